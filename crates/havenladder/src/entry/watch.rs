//! Watches the workers: the platform's list of them, and what each says of its runs.

use super::{
    ends,
    losses::{give_up, give_up_runs},
    orders,
    owner::{Contact, Owner},
    questions::{Answer, Answers, ask_worker, question},
    store_calls,
};
use adapter::{
    store::{Keyed, Offset, Read, split_keyed},
    workers::{self, ClockMs, EntryError, WorkerError},
};
use clock::{Instant, timer};
use jobs::{Loss, Refusal, Report, WorkerId};
use std::{collections::HashSet, rc::Rc, time::Duration};
use tokio::{task, time};
use tracing::{info, warn};

/// How long a read of the list waits for a change.
const LIST_WAIT: Duration = Duration::from_millis(5_000);

/// The least time between two reads of the list: 50 workers write to it 33 times a second, and each
/// read has a price. A worker that drains must get no new runs after 2 s.
const LIST_GAP: Duration = Duration::from_millis(250);

/// The least time between two questions to one worker: each has a price, and ends that come close
/// together share one.
const HOLD_GAP: Duration = Duration::from_millis(20);

/// How long a question waits for the ends of the one before to be durable, at the most.
const NOTED_WAIT: Duration = Duration::from_millis(700);

/// Time until a worker that did not answer is asked again.
const HOLD_AGAIN: Duration = Duration::from_millis(150);

/// How many entries that name no worker are remembered, so that each is logged once: another writer may leave a million
/// of them. Beyond that they are only counted.
const MOST_FOREIGN: usize = 1_000;

/// Time until the store is asked again after it did not answer.
const LIST_AGAIN: Duration = Duration::from_millis(200);

/// Follows the list of workers and watches each, until the owner ends.
pub async fn run(owner: Rc<Owner>) {
    task::spawn_local(expire_orphans(Rc::clone(&owner)));
    while owner.is_alive() {
        if let Ok(Some(newest)) = store_calls::newest(&owner.node, workers::TOPIC).await {
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

/// Reads on until the records asked for are gone, or the owner ends.
async fn read_on(owner: &Rc<Owner>, mut from: Offset) {
    while owner.is_alive() {
        match store_calls::read(&owner.node, workers::TOPIC, from, LIST_WAIT).await {
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

/// Takes in what the list says of a worker, and watches it if it is new.
fn apply(owner: &Rc<Owner>, record: Keyed) {
    let Some(value) = record.value else {
        return unlist(owner, &record.key);
    };
    let entry = match workers::read_entry(&record.key, &value) {
        Ok(entry) => entry,
        Err(error) => return distrust(owner, record.key, &error),
    };
    let id = entry.id.clone();
    if owner.gone.borrow().get(&id) == Some(&entry.address) {
        return owner.node.metrics.foreign_entry("gone");
    }
    owner.foreign.borrow_mut().remove(&id);
    if owner.contacts.borrow().contains_key(&id) {
        owner.cell.borrow_mut().see_worker(entry, Instant::now());
        return;
    }
    info!(
        worker = id,
        service = entry.service,
        draining = entry.draining,
        "worker listed"
    );
    let contact = Contact::new(owner.inherited);
    owner.contacts.borrow_mut().insert(id.clone(), contact);
    owner.cell.borrow_mut().see_worker(entry, Instant::now());
    task::spawn_local(watch(Rc::clone(owner), id));
}

/// An entry names no worker to use: a worker that is known gets no new runs, and its own answers tell what becomes of
/// the others. Logged once a change, for the first [`MOST_FOREIGN`] of them.
fn distrust(owner: &Owner, id: WorkerId, error: &EntryError) {
    owner.node.metrics.foreign_entry(error.reason());
    let changed = owner.cell.borrow_mut().distrust_worker(&id);
    let mut foreign = owner.foreign.borrow_mut();
    if !changed || foreign.contains(&id) || foreign.len() >= MOST_FOREIGN {
        return;
    }
    warn!(worker = id, %error, "entry names no worker to use");
    foreign.insert(id);
}

/// A worker whose entry is gone gets no new runs; its own answers tell what becomes of the others.
fn unlist(owner: &Rc<Owner>, id: &str) {
    if owner.cell.borrow().workers.get(id).is_some() {
        info!(worker = id, "worker no longer listed");
        owner.cell.borrow_mut().unlist_worker(id, Instant::now());
    }
    owner.gone.borrow_mut().remove(id);
}

/// Notes that another life has answered at the address of a worker: an entry that goes on to name it there is another
/// writer's. Each would else be taken for a new worker, with a question and three lines every heartbeat.
fn note_gone(owner: &Owner, id: &str) {
    let mut gone = owner.gone.borrow_mut();
    if let Some(info) = orders::find(owner, id)
        && gone.len() < MOST_FOREIGN
    {
        gone.insert(id.to_owned(), info.address.clone());
    }
}

/// Deals with the workers that a whole list does not name.
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

/// Whether a worker is asked again.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Watch {
    /// It is.
    GoesOn,
    /// It is not: it is given up for this reason, if the owner still decides.
    Ends(Loss),
}

/// Asks a worker what it runs, again and again, and extends its lease by that.
async fn watch(owner: Rc<Owner>, id: WorkerId) {
    let mut last = Answers::Given;
    let mut loss = Loss::Ended;
    while owner.is_alive() {
        let Some(info) = orders::find(&owner, &id) else {
            break;
        };
        if !owner.may_hold() {
            time::sleep(HOLD_AGAIN).await;
            continue;
        }
        let hold = question(&owner, &id, last);
        match ask_worker(&owner, &info, hold).await {
            Ok(answer) => {
                last = Answers::Given;
                take_report(&owner, &id, &answer);
                if hold.deadline.is_some() {
                    time::sleep(HOLD_GAP).await;
                    wait_noted(&owner, &id, &answer.told.value).await;
                }
            }
            Err(error) => {
                if let Watch::Ends(why) = take_failure(&owner, &id, error, last) {
                    loss = why;
                    break;
                }
                last = Answers::Missing;
                time::sleep(HOLD_AGAIN).await;
            }
        }
    }
    if owner.is_alive() {
        give_up(&owner, &id, loss);
        owner.contacts.borrow_mut().remove(&id);
    }
}

/// Asks a worker once, beside the questions that wait for ends and without extending its lease: its answer
/// shows that it is in reach.
pub fn look(owner: &Rc<Owner>, id: &str) {
    let owner = Rc::clone(owner);
    let id = id.to_owned();
    task::spawn_local(async move {
        let Some(info) = orders::find(&owner, &id) else {
            return;
        };
        let hold = question(&owner, &id, Answers::Missing);
        match ask_worker(&owner, &info, hold).await {
            Ok(answer) => take_report(&owner, &id, &answer),
            // The questions that wait for ends deal with it.
            Err(error) => info!(worker = id, %error, "worker does not answer a look"),
        }
    });
}

/// Takes in the answer to a question.
fn take_report(owner: &Rc<Owner>, id: &str, answer: &Answer) {
    let now = Instant::now();
    let Answer { asked, told } = answer;
    set_clock(owner, id, told.clock, now);
    ends::log_listed(owner, id, &told.value);
    let vanished = owner.cell.borrow_mut().report(id, &told.value, *asked, now);
    ends::log_vanished(owner, id, &vanished);
    owner.wake();
}

/// Draws from a question that failed what is certain about the worker.
fn take_failure(owner: &Rc<Owner>, id: &str, error: WorkerError, last: Answers) -> Watch {
    match error {
        WorkerError::Replaced => {
            info!(worker = id, "another worker has its address");
            note_gone(owner, id);
            return Watch::Ends(Loss::Ended);
        }
        WorkerError::Refused(Refusal::Fenced) => {
            owner.end("a worker has seen a newer owner");
            return Watch::Ends(Loss::Lapsed);
        }
        WorkerError::Refused(_) | WorkerError::Call(_) | WorkerError::Odd(_) => {}
    }
    if last == Answers::Given {
        info!(worker = id, %error, "worker does not answer");
        owner.cell.borrow_mut().mute_worker(id, Instant::now());
    }
    if has_lapsed(owner, id) && release_lapsed(owner, id) {
        return Watch::Ends(Loss::Lapsed);
    }
    Watch::GoesOn
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

/// Whether the lease of a worker has run out for certain.
fn has_lapsed(owner: &Owner, id: &str) -> bool {
    let contacts = owner.contacts.borrow();
    contacts
        .get(id)
        .is_none_or(|contact| contact.leased < Instant::now())
}

/// Whether a worker may have runs.
fn has_runs(owner: &Owner, id: &str) -> bool {
    let cell = owner.cell.borrow();
    let worker = cell.workers.get(id);
    worker.is_some_and(|worker| !worker.runs.is_empty())
}

/// Nothing runs on a worker whose lease has run out: its tasks are free. True if the worker is also
/// gone from the list.
fn release_lapsed(owner: &Rc<Owner>, id: &str) -> bool {
    if orders::find(owner, id).is_none_or(|info| info.draining) {
        return true;
    }
    if has_runs(owner, id) {
        give_up_runs(owner, id);
    }
    false
}

/// Gives up the workers that an earlier owner had used and that are not listed any more, once nothing
/// can run there.
async fn expire_orphans(owner: Rc<Owner>) {
    timer::sleep_until(owner.inherited).await;
    let orphans = owner.cell.borrow().orphaned();
    for id in orphans {
        give_up(&owner, &id, Loss::Ended);
    }
    owner.wake();
}
