//! Follows the platform's list of workers, and has each life of a worker watched that it names.

use super::{
    losses::give_up,
    owner::{Contact, Owner},
    store_calls,
    watch::watch,
};
use adapter::{
    store::{KeyedRecord, Offset, ReadResponse, decode_keyed},
    workers::{self, EntryError},
};
use clock::{Instant, timer};
use jobs::{Listing, Loss, WorkerId, WorkerName};
use std::{collections::HashSet, rc::Rc, time::Duration};
use tokio::{task, time};
use tracing::{info, warn};

/// How long a read of the list waits for a change. A connection that fell silent is noticed soon after this, and a worker
/// that drains must get no new runs after 2 s.
const LIST_WAIT: Duration = Duration::from_millis(1_000);

/// The least time between two reads of the list: 50 workers write to it 33 times a second, and each
/// read has a price. A worker that drains must get no new runs after 2 s.
const LIST_GAP: Duration = Duration::from_millis(250);

/// Time until the store is asked again after it did not answer.
const LIST_AGAIN: Duration = Duration::from_millis(200);

/// How many entries that name no worker are remembered, so that each is logged once: another writer may leave a million
/// of them. Beyond that they are only counted.
const MOST_FOREIGN: usize = 1_000;

/// Follows the list of workers and watches each, until the owner ends.
pub async fn run(owner: Rc<Owner>) {
    task::spawn_local(expire_orphans(Rc::clone(&owner)));
    while owner.is_alive() {
        if let Ok(Some(newest)) = store_calls::newest(&owner.node, workers::TOPIC).await {
            let listed: HashSet<WorkerName> = newest
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
            Ok(ReadResponse::Records(_, records)) => {
                from += records.len() as Offset;
                records
                    .into_iter()
                    .filter_map(decode_keyed)
                    .for_each(|r| apply(owner, r));
                owner.wake();
                time::sleep(LIST_GAP).await;
            }
            Ok(ReadResponse::Gone(_)) => return,
            Ok(ReadResponse::Busy) | Err(_) => time::sleep(LIST_AGAIN).await,
        }
    }
}

/// Takes in what the list says of a worker, and watches the life that it names, if that is new.
fn apply(owner: &Rc<Owner>, record: KeyedRecord) {
    let Some(value) = record.value else {
        return unlist(owner, &record.key);
    };
    let entry = match workers::read_entry(&record.key, &value) {
        Ok(entry) => entry,
        Err(error) => return distrust(owner, record.key, &error),
    };
    if owner.replaced.borrow().get(&entry.id) == Some(&entry.address) {
        return owner.node.metrics.foreign_entry("gone");
    }
    owner.foreign.borrow_mut().remove(entry.id.name());
    let (service, draining) = (entry.service.clone(), entry.draining);
    let listing = owner.cell.borrow_mut().list_worker(entry, Instant::now());
    match listing {
        Listing::Past => owner.node.metrics.foreign_entry("past"),
        Listing::Surplus => owner.node.metrics.foreign_entry("surplus"),
        Listing::Of(life) if owner.contacts.borrow().contains_key(&life) => {}
        Listing::Of(life) => {
            info!(worker = %life, service, draining, "worker listed");
            meet(owner, life, owner.inherited_leases_until);
        }
    }
}

/// Begins to watch a life of a worker, whose lease may hold until then at the latest.
pub fn meet(owner: &Rc<Owner>, life: WorkerId, leased: Instant) {
    let contact = Contact::new(leased);
    owner.contacts.borrow_mut().insert(life.clone(), contact);
    task::spawn_local(watch(Rc::clone(owner), life));
}

/// An entry names no worker to use: a worker that is known gets no new runs, and its own answers tell what becomes of
/// the others. Logged once a change, for the first [`MOST_FOREIGN`] of them.
fn distrust(owner: &Owner, name: WorkerName, error: &EntryError) {
    owner.node.metrics.foreign_entry(error.reason());
    let changed = owner.cell.borrow_mut().distrust_worker(&name);
    let mut foreign = owner.foreign.borrow_mut();
    if !changed || foreign.contains(&name) || foreign.len() >= MOST_FOREIGN {
        return;
    }
    warn!(worker = name, %error, "entry names no worker to use");
    foreign.insert(name);
}

/// A worker whose entry is gone gets no new runs; its own answers tell what becomes of the others.
fn unlist(owner: &Rc<Owner>, name: &str) {
    let lives = owner.cell.borrow_mut().unlist_worker(name, Instant::now());
    for life in lives {
        info!(worker = %life, "worker no longer listed");
    }
    let mut gone = owner.replaced.borrow_mut();
    if !gone.is_empty() {
        gone.retain(|life, _| life.name() != name);
    }
}

/// Notes that another worker has answered at the address of a life: an entry that goes on to name it there is another
/// writer's. Each would else be taken for a new worker, with a question and three lines every heartbeat.
pub fn note_gone(owner: &Owner, life: &WorkerId) {
    let mut gone = owner.replaced.borrow_mut();
    let cell = owner.cell.borrow();
    if let Some(worker) = cell.workers.get(life)
        && gone.len() < MOST_FOREIGN
    {
        gone.insert(life.clone(), worker.info.address.clone());
    }
}

/// Deals with the workers that a whole list does not name.
fn drop_unlisted(owner: &Rc<Owner>, listed: &HashSet<WorkerName>) {
    let names = owner.cell.borrow().listed_names();
    names
        .iter()
        .filter(|name| !listed.contains(*name))
        .for_each(|name| unlist(owner, name));
}

/// Gives up the workers that an earlier owner had used and that are not listed any more, once nothing
/// can run there.
async fn expire_orphans(owner: Rc<Owner>) {
    timer::sleep_until(owner.inherited_leases_until).await;
    let orphans = owner.cell.borrow().orphaned();
    for id in orphans {
        give_up(&owner, &id, Loss::Ended);
    }
    owner.wake();
}
