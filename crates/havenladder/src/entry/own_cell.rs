//! What an entry does while it owns the cell: takes over what earlier owners left, then decides, records and acts in turn,
//! beside the duties that look after workers and VMs.

use super::{
    fleet,
    node::{Node, wall_ms},
    orders,
    owner::{
        Owner, Predecessor, append::append, duties, load::load, pulse::Pulse,
        workspaces::tell_bound_waits,
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
const ROUND_GAP: Duration = Duration::from_millis(8);

/// Time between two looks at what only time changes: due rounds and runs that stand still.
const LONGEST_GAP: Duration = Duration::from_millis(200);

/// Time between two lines about lasting tasks that wait for room.
const LOG_INTERVAL: Duration = Duration::from_millis(2_000);

/// How long a takeover may take before the store counts as troubled: it takes 50 ms as a rule.
const LOADED: Duration = Duration::from_millis(300);

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
    let began = Instant::now();
    if !load(&owner).await {
        return;
    }
    close_gate(&owner, began.elapsed());
    owner.loaded.set(true);
    owner.settled.notify_waiters();
    task::spawn_local(worker_list::run(Rc::clone(&owner)));
    task::spawn_local(fleet::run(Rc::clone(&owner)));
    task::spawn_local(duties::watch_holders(Rc::clone(&owner)));
    task::spawn_local(complain(Rc::clone(&owner)));
    work(&owner).await;
    owner.end("the loop ends");
}

/// Holds back what waited until all workers are met, if the earlier owner may have started some of it
/// without a record: a takeover that took long counts as trouble of the store as well.
fn close_gate(owner: &Owner, took: Duration) {
    let trouble = owner.trouble;
    if trouble != Trouble::None || took >= LOADED {
        let troubled = trouble != Trouble::Unknown;
        owner
            .cell
            .borrow_mut()
            .close_gate(owner.inherited, troubled);
    }
}

/// Decides, records and acts in turn until the owner ends.
async fn work(owner: &Rc<Owner>) {
    let mut sequence = 1;
    let mut pulse = Pulse::new(Instant::now());
    while owner.is_alive() {
        let _ = time::timeout(LONGEST_GAP, owner.wake.notified()).await;
        suspension::notice(&owner.node);
        let began = Instant::now();
        let mut batch = decide(owner);
        pulse.note_round(owner, began.elapsed());
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
        let due = Instant::now() + ROUND_GAP;
        timer::sleep_until(due).await;
        pulse.note_sleep(owner, due.elapsed());
    }
}

/// Tells for a lasting task that waits what keeps it from the workers.
async fn complain(owner: Rc<Owner>) {
    while owner.is_alive() {
        time::sleep(LOG_INTERVAL).await;
        let cell = owner.cell.borrow();
        let waiting = cell.waiting_long_running();
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
    let may_start = owner.update_evacuations();
    let mut cell = owner.cell.borrow_mut();
    cell.mark_due(wall_ms());
    cell.stop_stalled(now);
    if may_start {
        cell.schedule(now);
    }
    tell_bound_waits(&owner.node, cell.take_bound_waits());
    cell.take_batch()
}

/// Does what waited for its records, which are durable now.
fn carry_out(owner: &Rc<Owner>, batch: Batch) {
    owner.cell.borrow_mut().confirm(&batch);
    for (worker, number) in batch.acknowledged {
        if let Some(contact) = owner.contacts.borrow_mut().get_mut(&worker) {
            contact.noted = contact.noted.max(number);
        }
    }
    owner.send(batch.starts);
    owner.settled.notify_waiters();
}
