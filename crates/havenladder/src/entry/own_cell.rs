//! The work of an entry that owns the cell. It takes over the state of earlier owners, then
//! decides, records and acts in rounds, while background tasks watch the workers and manage the VMs.

use super::{
    fleet::{self, ORDER_TIMEOUT},
    logs::kind,
    node::{Node, wall_ms},
    orders,
    owner::{
        Owner, Predecessor, append::append, load::load, loop_stats::LoopStats, vm_orders,
        workspaces::log_bound_waits,
    },
    suspension, traffic, worker_list,
};
use ::fleet::StoreTrouble;
use clock::{Instant, timer};
use jobs::Batch;
use std::{rc::Rc, time::Duration};
use tokio::{task, time};
use tracing::info;

/// Minimum time between two rounds of decisions. Each append has a price and each pass over the
/// waiting jobs costs CPU time, so changes that arrive in between share one round. 350 workers wake
/// the owner 2,000 times a second.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(8);

/// Maximum time between two rounds of decisions. Some changes depend on time alone: rounds of jobs
/// that become due, and runs that have stalled.
const MAX_ROUND_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between two log lines about long-running tasks that wait for capacity.
const LOG_INTERVAL: Duration = Duration::from_millis(2_000);

/// Duration from which on a takeover counts as a sign of a store outage. It usually takes 50 ms.
const SLOW_TAKEOVER_THRESHOLD: Duration = Duration::from_millis(300);

/// Starts to own the cell. `since` is the earliest time at which other entries may have read the
/// record of this claim.
pub fn start(node: &Rc<Node>, epoch: u64, before: Predecessor, since: Instant) -> Rc<Owner> {
    let owner = Owner::new(node, epoch, &before, since, orders::send_all);
    let owner = Rc::new(owner);
    node.metrics.ownership_changed("gained");
    let leases = owner.inherited_leases_until;
    let leases_ms = leases.saturating_duration_since(owner.began).as_millis() as u64;
    info!(epoch, ?before, leases_ms, "owns the cell");
    *node.owner.borrow_mut() = Some(Rc::clone(&owner));
    task::spawn_local(run(Rc::clone(&owner)));
    owner
}

/// Takes over the cell, then works until the owner ends.
async fn run(owner: Rc<Owner>) {
    let started_at = Instant::now();
    if !load(&owner).await {
        return;
    }
    raise_takeover_barrier(&owner, started_at.elapsed());
    owner
        .cell
        .borrow_mut()
        .set_inherited_maintenance(owner.last_order + ORDER_TIMEOUT);
    owner.loaded.set(true);
    owner.state_changed.notify_waiters();
    task::spawn_local(worker_list::run(Rc::clone(&owner)));
    task::spawn_local(fleet::run(Rc::clone(&owner)));
    task::spawn_local(vm_orders::watch_earlier_owners(Rc::clone(&owner)));
    task::spawn_local(log_waiting_tasks(Rc::clone(&owner)));
    task::spawn_local(traffic::log(Rc::clone(&owner)));
    run_rounds(&owner).await;
    owner.end("the owner's loop has ended");
}

/// Raises the takeover barrier if the earlier owner may have started runs without a record, so that
/// waiting tasks are held back until all workers have been contacted. A slow takeover counts as a
/// store outage too.
fn raise_takeover_barrier(owner: &Owner, took: Duration) {
    let trouble = owner.trouble;
    if trouble != StoreTrouble::None || took >= SLOW_TAKEOVER_THRESHOLD {
        let had_outage = trouble != StoreTrouble::Unknown;
        owner
            .cell
            .borrow_mut()
            .raise_takeover_barrier(owner.inherited_leases_until, had_outage);
    }
}

/// Decides, records and acts in rounds until the owner ends.
async fn run_rounds(owner: &Rc<Owner>) {
    let mut sequence = 1;
    let mut loop_stats = LoopStats::new(Instant::now());
    while owner.is_alive() {
        let _ = time::timeout(MAX_ROUND_INTERVAL, owner.wake.notified()).await;
        suspension::check(&owner.node);
        let started_at = Instant::now();
        let mut batch = decide(owner);
        loop_stats.record_round(owner, started_at.elapsed());
        owner.send_urgent();
        let is_empty = batch.is_empty();
        if !batch.entries.is_empty() && !append(owner, &mut batch, &mut sequence).await {
            break;
        }
        if !is_empty {
            carry_out(owner, batch);
        }
        let due = Instant::now() + MIN_ROUND_INTERVAL;
        timer::sleep_until(due).await;
        loop_stats.record_sleep(owner, due.elapsed());
    }
}

/// Logs, for a long-running task that waits, what keeps it from the workers.
async fn log_waiting_tasks(owner: Rc<Owner>) {
    while owner.is_alive() {
        time::sleep(LOG_INTERVAL).await;
        let cell = owner.cell.borrow();
        let waiting = cell.waiting_long_running();
        if let Some(task) = waiting.first() {
            let obstacles = cell.obstacles(*task, Instant::now());
            info!(target: kind::JOB, %task, waiting = waiting.len(), ?obstacles, "long-running task waits for capacity");
        }
    }
}

/// Decides what is to be done now and returns it with the records that it needs.
fn decide(owner: &Rc<Owner>) -> Batch {
    let now = Instant::now();
    owner.update_workspaces();
    let may_start = owner.update_hall_drains();
    let mut cell = owner.cell.borrow_mut();
    cell.mark_due(wall_ms());
    cell.stop_stalled(now);
    cell.set_dispatch(owner.node.dispatch());
    if may_start {
        cell.schedule(now);
    }
    log_bound_waits(&owner.node, cell.take_bound_waits());
    cell.take_batch()
}

/// Carries out the decisions of a batch whose records are durable now.
fn carry_out(owner: &Rc<Owner>, batch: Batch) {
    owner.cell.borrow_mut().confirm(&batch);
    for (worker, number) in batch.acknowledged {
        if let Some(contact) = owner.contacts.borrow_mut().get_mut(&worker) {
            contact.acknowledged = contact.acknowledged.max(number);
        }
    }
    owner.send(batch.starts);
    owner.state_changed.notify_waiters();
}
