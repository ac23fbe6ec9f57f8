//! What an entry does while it owns the cell: takes over what earlier owners left, then decides, records and acts in turn,
//! beside the duties that look after workers and VMs.

use super::{
    fleet,
    node::{Node, wall_ms},
    orders,
    owner::{
        Owner, Predecessor, append::append, load::load, loop_stats::LoopStats, vm_orders,
        workspaces::log_bound_waits,
    },
    suspension, worker_list,
};
use ::fleet::Trouble;
use clock::{Instant, timer};
use jobs::Batch;
use std::{rc::Rc, time::Duration};
use tokio::{task, time};
use tracing::info;

/// The least time between two rounds of decisions: each append has a price and each pass over what waits
/// costs processor time, and what comes up meanwhile shares one. 350 workers wake the owner 2,000 times
/// a second.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(8);

/// Time between two looks at what only time changes: due rounds and runs that stand still.
const MAX_ROUND_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two lines about lasting tasks that wait for room.
const LOG_INTERVAL: Duration = Duration::from_millis(2_000);

/// How long a takeover may take before the store counts as troubled: it takes 50 ms as a rule.
const SLOW_TAKEOVER_THRESHOLD: Duration = Duration::from_millis(300);

/// Begins to own the cell, by a record that others may have read since `since`.
pub fn start(node: &Rc<Node>, epoch: u64, before: Predecessor, since: Instant) -> Rc<Owner> {
    let owner = Rc::new(Owner::new(node, epoch, before, since, orders::send_all));
    node.metrics.owned("gained");
    info!(epoch, ?before, "owns the cell");
    *node.owner.borrow_mut() = Some(Rc::clone(&owner));
    task::spawn_local(run(Rc::clone(&owner)));
    owner
}

/// Takes the cell over, then works until the owner ends.
async fn run(owner: Rc<Owner>) {
    let started_at = Instant::now();
    if !load(&owner).await {
        return;
    }
    raise_takeover_barrier(&owner, started_at.elapsed());
    owner.loaded.set(true);
    owner.settled.notify_waiters();
    task::spawn_local(worker_list::run(Rc::clone(&owner)));
    task::spawn_local(fleet::run(Rc::clone(&owner)));
    task::spawn_local(vm_orders::watch_earlier_owners(Rc::clone(&owner)));
    task::spawn_local(log_waiting_tasks(Rc::clone(&owner)));
    run_rounds(&owner).await;
    owner.end("the loop ends");
}

/// Holds back what waited until all workers are met, if the earlier owner may have started some of it
/// without a record: a takeover that took long counts as trouble of the store as well.
fn raise_takeover_barrier(owner: &Owner, took: Duration) {
    let trouble = owner.trouble;
    if trouble != Trouble::None || took >= SLOW_TAKEOVER_THRESHOLD {
        let troubled = trouble != Trouble::Unknown;
        owner
            .cell
            .borrow_mut()
            .close_gate(owner.inherited_leases_until, troubled);
    }
}

/// Decides, records and acts in turn until the owner ends.
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
        if !batch.entries.is_empty() {
            if !append(owner, &batch.entries, sequence, &mut batch.starts).await {
                break;
            }
            sequence += 1;
        }
        if !batch.is_empty() {
            carry_out(owner, batch);
        }
        let due = Instant::now() + MIN_ROUND_INTERVAL;
        timer::sleep_until(due).await;
        loop_stats.record_sleep(owner, due.elapsed());
    }
}

/// Tells for a lasting task that waits what keeps it from the workers.
async fn log_waiting_tasks(owner: Rc<Owner>) {
    while owner.is_alive() {
        time::sleep(LOG_INTERVAL).await;
        let cell = owner.cell.borrow();
        let waiting = cell.waiting_lasting();
        if let Some(task) = waiting.first() {
            let obstacles = cell.obstacles(*task, Instant::now());
            info!(%task, waiting = waiting.len(), ?obstacles, "lasting task waits for room");
        }
    }
}

/// Decides what is to be done now, and what has to be recorded for it.
fn decide(owner: &Rc<Owner>) -> Batch {
    let now = Instant::now();
    owner.update_workspaces();
    let may_start = owner.update_hall_drains();
    let mut cell = owner.cell.borrow_mut();
    cell.mark_due(wall_ms());
    cell.stop_still(now);
    if may_start {
        cell.schedule(now);
    }
    log_bound_waits(&owner.node, cell.take_bound_waits());
    cell.take_batch()
}

/// Does what waited for its records, which are durable now.
fn carry_out(owner: &Rc<Owner>, batch: Batch) {
    owner.cell.borrow_mut().confirm(&batch);
    for (worker, number) in batch.noted {
        if let Some(contact) = owner.contacts.borrow_mut().get_mut(&worker) {
            contact.acknowledged = contact.acknowledged.max(number);
        }
    }
    owner.send(batch.starts);
    owner.settled.notify_waiters();
}
