//! Follows the platform's list of workers and starts a watch for each incarnation that it names.

use super::{
    logs::kind,
    losses::abandon_worker,
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

/// Time for which a read of the list waits for a change. A stalled connection is noticed soon after this time, and a
/// draining worker must get no new runs after 2 s.
const LIST_WAIT: Duration = Duration::from_millis(1_000);

/// Minimum time between two reads of the list. 50 workers update it 33 times a second, and each read has a cost; a
/// draining worker must get no new runs after 2 s.
const MIN_LIST_INTERVAL: Duration = Duration::from_millis(250);

/// Time until the next read after the store did not respond.
const LIST_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of unusable list entries that are remembered, so that each is logged only once. Another writer may
/// leave a million of them; further ones are only counted.
const MAX_FOREIGN: usize = 1_000;

/// Follows the list of workers and watches each worker until the owner ends.
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
            follow_list(&owner, newest.end).await;
        }
        time::sleep(LIST_RETRY_INTERVAL).await;
    }
}

/// Applies records of the list from `from` on, until the store no longer has the next record or the owner ends.
async fn follow_list(owner: &Rc<Owner>, mut from: Offset) {
    while owner.is_alive() {
        match store_calls::read(&owner.node, workers::TOPIC, from, LIST_WAIT).await {
            Ok(ReadResponse::Records(_, records)) => {
                from += records.len() as Offset;
                records
                    .into_iter()
                    .filter_map(decode_keyed)
                    .for_each(|r| apply(owner, r));
                owner.wake();
                time::sleep(MIN_LIST_INTERVAL).await;
            }
            Ok(ReadResponse::Gone(_)) => return,
            Ok(ReadResponse::Busy) | Err(_) => time::sleep(LIST_RETRY_INTERVAL).await,
        }
    }
}

/// Applies one record of the list, and starts a watch for an incarnation that is new.
fn apply(owner: &Rc<Owner>, record: KeyedRecord) {
    let Some(value) = record.value else {
        return unlist(owner, &record.key);
    };
    let entry = match workers::read_entry(&record.key, &value) {
        Ok(entry) => entry,
        Err(error) => return mark_unusable(owner, record.key, &error),
    };
    if owner.replaced.borrow().get(&entry.id) == Some(&entry.address) {
        return owner.node.metrics.foreign_entry("gone");
    }
    owner.foreign.borrow_mut().remove(entry.id.name());
    let (service, draining) = (entry.service.clone(), entry.draining);
    let listing = owner.cell.borrow_mut().list_worker(entry, Instant::now());
    match listing {
        Listing::Ended => owner.node.metrics.foreign_entry("past"),
        Listing::LimitReached => owner.node.metrics.foreign_entry("surplus"),
        Listing::Incarnation(incarnation) if owner.contacts.borrow().contains_key(&incarnation) => {
        }
        Listing::Incarnation(incarnation) => {
            info!(target: kind::WORKER, worker = %incarnation, service, draining, "worker listed");
            contact_worker(owner, incarnation);
        }
    }
}

/// Starts to watch an incarnation of a worker.
pub fn contact_worker(owner: &Rc<Owner>, incarnation: WorkerId) {
    let contact = Contact::new(owner.inherited_leases.of(incarnation.name()));
    owner
        .contacts
        .borrow_mut()
        .insert(incarnation.clone(), contact);
    task::spawn_local(watch(Rc::clone(owner), incarnation));
}

/// Stops new runs on a known worker whose list entry is unusable; the worker's own responses decide about its current
/// runs. Logs each change once, for the first [`MAX_FOREIGN`] names.
fn mark_unusable(owner: &Owner, name: WorkerName, error: &EntryError) {
    owner.node.metrics.foreign_entry(error.reason());
    let changed = owner.cell.borrow_mut().mark_unusable(&name);
    let mut foreign = owner.foreign.borrow_mut();
    if !changed || foreign.contains(&name) || foreign.len() >= MAX_FOREIGN {
        return;
    }
    warn!(worker = name, %error, "entry names no worker to use");
    foreign.insert(name);
}

/// Stops new runs on a worker that is no longer listed. Its own responses decide about its current runs.
fn unlist(owner: &Rc<Owner>, name: &str) {
    let incarnations = owner.cell.borrow_mut().unlist_worker(name, Instant::now());
    for incarnation in incarnations {
        info!(target: kind::WORKER, worker = %incarnation, "worker no longer listed");
    }
    let mut replaced = owner.replaced.borrow_mut();
    if !replaced.is_empty() {
        replaced.retain(|incarnation, _| incarnation.name() != name);
    }
}

/// Records that another worker responded at this incarnation's address. List entries that keep naming the incarnation
/// at that address come from another writer; each would otherwise count as a new worker and cost a poll and three log
/// lines per heartbeat.
pub fn record_replaced(owner: &Owner, incarnation: &WorkerId) {
    let mut replaced = owner.replaced.borrow_mut();
    let cell = owner.cell.borrow();
    if let Some(worker) = cell.workers.get(incarnation)
        && replaced.len() < MAX_FOREIGN
    {
        replaced.insert(incarnation.clone(), worker.info.address.clone());
    }
}

/// Removes the known workers that a complete list does not name.
fn drop_unlisted(owner: &Rc<Owner>, listed: &HashSet<WorkerName>) {
    let names = owner.cell.borrow().known_worker_names();
    names
        .iter()
        .filter(|name| !listed.contains(*name))
        .for_each(|name| unlist(owner, name));
}

/// Abandons orphaned workers, which an earlier owner had used and which are no longer listed, once their leases have
/// expired.
async fn expire_orphans(owner: Rc<Owner>) {
    while owner.is_alive() {
        let until = |id: &WorkerId| owner.inherited_leases.of(id.name());
        let orphans = owner.cell.borrow().orphaned_workers();
        let Some(next) = orphans.iter().map(until).min() else {
            return;
        };
        timer::sleep_until(next).await;
        let now = Instant::now();
        for id in orphans.iter().filter(|id| until(id) <= now) {
            // Its list entry may have been read in the meantime.
            if owner.cell.borrow().is_orphaned_worker(id) {
                abandon_worker(&owner, id, Loss::Ended);
            }
        }
        owner.wake();
    }
}
