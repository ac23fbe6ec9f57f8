//! Watches the workers: the platform's list of them, and what each says of its runs.

use super::{
    orders,
    owner::{Contact, Owner},
};
use adapter::{
    store::{Keyed, Offset, Read, split_keyed},
    workers::{self, ClockMs, Hold, WorkerError},
};
use jobs::{How, Refusal, Report, WorkerId};
use std::{
    collections::HashSet,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{task, time};
use tracing::{info, warn};

/// How long a read of the list waits for a change.
const LIST_WAIT: Duration = Duration::from_millis(5_000);

/// The least time between two reads of the list: 50 workers write to it 33 times a second, and each
/// read has a price. A worker that drains must get no new runs after 2 s.
const LIST_GAP: Duration = Duration::from_millis(250);

/// How long a question waits at a worker for an end. The lease is extended by each question, so this
/// must leave room for two more within a lease.
const HOLD_WAIT: Duration = Duration::from_millis(1_000);

/// The least time between two questions to one worker: each has a price, and ends that come close
/// together share one.
const HOLD_GAP: Duration = Duration::from_millis(20);

/// How long a question waits for the ends of the one before to be durable, at the most.
const NOTED_WAIT: Duration = Duration::from_millis(700);

/// Time until a worker that did not answer is asked again.
const HOLD_AGAIN: Duration = Duration::from_millis(150);

/// Time until the store is asked again after it did not answer.
const LIST_AGAIN: Duration = Duration::from_millis(200);

/// Follows the list of workers and watches each, until the owner ends.
pub async fn run(owner: Rc<Owner>) {
    task::spawn_local(expire_orphans(Rc::clone(&owner)));
    while owner.is_alive() {
        if let Ok(Some(newest)) = owner.node.store.newest(workers::TOPIC).await {
            let listed: HashSet<WorkerId> = newest
                .records
                .iter()
                .map(|record| record.key.clone())
                .collect();
            newest
                .records
                .into_iter()
                .for_each(|record| apply(&owner, record));
            drop_unlisted(&owner, &listed);
            owner.cell.borrow_mut().mark_listed();
            owner.wake();
            read_on(&owner, newest.end).await;
        }
        time::sleep(LIST_AGAIN).await;
    }
}

async fn read_on(owner: &Rc<Owner>, mut from: Offset) {
    while owner.is_alive() {
        match owner.node.store.read(workers::TOPIC, from, LIST_WAIT).await {
            Ok(Read::Records(_, records)) => {
                from += records.len() as Offset;
                records
                    .into_iter()
                    .filter_map(split_keyed)
                    .for_each(|r| apply(owner, r));
                owner.wake();
                time::sleep(LIST_GAP).await;
            }
            Ok(Read::Gone(_)) => return,
            Ok(Read::Busy) | Err(_) => time::sleep(LIST_AGAIN).await,
        }
    }
}

fn apply(owner: &Rc<Owner>, record: Keyed) {
    let Some(value) = record.value else {
        return unlist(owner, &record.key);
    };
    let entry = match workers::read_entry(&record.key, &value) {
        Ok(entry) => entry,
        Err(error) => return warn!(%error, worker = record.key, "a worker's entry cannot be read"),
    };
    let id = entry.id.clone();
    let known = owner.contacts.borrow().contains_key(&id);
    if !known {
        info!(
            worker = id,
            service = entry.service,
            draining = entry.draining,
            "worker listed"
        );
        let contact = Contact {
            clock: None,
            leased: owner.inherited,
            noted: 0,
        };
        owner.contacts.borrow_mut().insert(id.clone(), contact);
        owner.cell.borrow_mut().see_worker(entry, Instant::now());
        task::spawn_local(watch(Rc::clone(owner), id));
        return;
    }
    owner.cell.borrow_mut().see_worker(entry, Instant::now());
}

/// A worker whose entry is gone gets no new runs; its own answers tell what becomes of the others.
fn unlist(owner: &Rc<Owner>, id: &str) {
    if let Some(worker) = owner.cell.borrow_mut().workers.get_mut(id) {
        info!(worker = id, "worker no longer listed");
        worker.info.draining = true;
    }
}

fn drop_unlisted(owner: &Rc<Owner>, listed: &HashSet<WorkerId>) {
    let ids: Vec<WorkerId> = owner.cell.borrow().workers.keys().cloned().collect();
    ids.iter()
        .filter(|id| !listed.contains(*id))
        .for_each(|id| unlist(owner, id));
}

/// Notes what a worker's clock shows.
pub fn set_clock(owner: &Owner, worker: &str, clock: ClockMs, now: Instant) {
    if let Some(contact) = owner.contacts.borrow_mut().get_mut(worker) {
        contact.clock = Some((clock, now));
    }
}

/// Asks a worker what it runs, again and again, and extends its lease by that.
async fn watch(owner: Rc<Owner>, id: WorkerId) {
    let mut silent = false;
    while owner.is_alive() {
        let info = owner.cell.borrow().workers.get(&id).map(|w| w.info.clone());
        let Some(info) = info else { break };
        if !owner.may_hold() {
            time::sleep(HOLD_AGAIN).await;
            continue;
        }
        let asked = Instant::now();
        // A question without an answer may extend the lease all the same: a worker that is silent is
        // asked without, so that its lease can run out.
        let deadline = if silent {
            None
        } else {
            orders::lease_end(&owner, &id)
        };
        let noted = owner.contacts.borrow().get(&id).map_or(0, |c| c.noted);
        // The first question only tells the worker's clock and who owns the cell now.
        let wait = if deadline.is_some() {
            HOLD_WAIT.as_millis() as u64
        } else {
            0
        };
        let hold = Hold {
            deadline,
            fence: owner.epoch,
            noted,
            wait,
        };
        match owner.node.workers.hold(&info, hold).await {
            Ok(told) => {
                let now = Instant::now();
                set_clock(&owner, &id, told.clock, now);
                log_ends(&owner, &id, &told.value, noted);
                owner.cell.borrow_mut().report(&id, &told.value, asked, now);
                owner.wake();
                silent = false;
                if deadline.is_some() {
                    time::sleep(HOLD_GAP).await;
                    wait_noted(&owner, &id, &told.value).await;
                }
            }
            Err(WorkerError::Replaced) => {
                info!(worker = id, "another worker has its address");
                break;
            }
            Err(WorkerError::Refused(Refusal::Fenced)) => {
                return owner.end("a worker has seen a newer owner");
            }
            Err(error) => {
                if !std::mem::replace(&mut silent, true) {
                    info!(worker = id, %error, "worker does not answer");
                    owner.cell.borrow_mut().mute_worker(&id);
                }
                if has_lapsed(&owner, &id) && release_lapsed(&owner, &id) {
                    break;
                }
                time::sleep(HOLD_AGAIN).await;
            }
        }
    }
    if owner.is_alive() {
        owner.cell.borrow_mut().lose_worker(&id);
        owner.contacts.borrow_mut().remove(&id);
        owner.wake();
    }
}

/// Waits until the ends that a worker listed are durable: until then, it would list them again at
/// once. Its lease must be extended meanwhile, so the wait is bounded.
async fn wait_noted(owner: &Owner, worker: &str, report: &Report) {
    let Some(last) = report.ended.iter().map(|end| end.number).max() else {
        return;
    };
    let until = time::Instant::now() + NOTED_WAIT;
    while owner.is_alive() && time::Instant::now() < until {
        let noted = owner
            .contacts
            .borrow()
            .get(worker)
            .map_or(u64::MAX, |c| c.noted);
        if noted >= last {
            return;
        }
        // A timeout only means that nothing has become durable for so long.
        let _ = time::timeout_at(until, owner.settled.notified()).await;
    }
}

fn name_end(how: How) -> &'static str {
    match how {
        How::Done => "done",
        How::Failed => "failed",
        How::Stopped => "stopped",
        How::Lapsed => "lapsed",
        How::Broken => "broken",
        How::Alone => "alone",
    }
}

fn log_ends(owner: &Owner, worker: &str, report: &Report, noted: u64) {
    for end in report.ended.iter().filter(|end| end.number > noted) {
        info!(task = %end.task, run = end.run, worker, number = end.number, how = ?end.how, "ended");
        owner.node.metrics.ended(name_end(end.how));
    }
}

fn has_lapsed(owner: &Owner, id: &str) -> bool {
    let contacts = owner.contacts.borrow();
    contacts
        .get(id)
        .is_none_or(|contact| contact.leased < Instant::now())
}

/// Nothing runs on a worker whose lease has run out: its tasks are free. True if the worker is also
/// gone from the list.
fn release_lapsed(owner: &Rc<Owner>, id: &str) -> bool {
    let mut cell = owner.cell.borrow_mut();
    let Some(worker) = cell.workers.get(id) else {
        return true;
    };
    if worker.info.draining {
        return true;
    }
    if worker.runs.is_empty() {
        return false;
    }
    let info = worker.info.clone();
    info!(
        worker = id,
        runs = worker.runs.len(),
        "lease has run out; its runs are given up"
    );
    cell.lose_worker(id);
    cell.see_worker(info, Instant::now());
    drop(cell);
    owner.wake();
    false
}

/// Gives up the workers that an earlier owner had used and that are not listed any more, once nothing
/// can run there.
async fn expire_orphans(owner: Rc<Owner>) {
    time::sleep_until(owner.inherited.into()).await;
    let orphans = owner.cell.borrow().orphaned();
    for id in orphans {
        info!(worker = id, "worker of an earlier owner is gone");
        owner.cell.borrow_mut().lose_worker(&id);
    }
    owner.wake();
}
