//! The log of the lease's records: reading on, what the newest record says, and appending one.

use crate::entry::{
    lease_record::{TOPIC, append},
    node::{IncarnationId, Lease, Node},
    owner::Predecessor,
    store_calls,
};
use adapter::store::{Appended, Offset, Read};
use bytes::Bytes;
use clock::Instant;
use fleet::{FirstSent, Tenure};
use std::time::Duration;
use tokio::time;
use tracing::{info, warn};

/// Time until the store is asked again after it did not answer.
pub(super) const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// How far this entry has read the lease's records.
pub(super) struct Log {
    /// The end of the log, as far as it was read.
    pub(super) end: Offset,
    /// When this entry may claim, and from whom it should.
    pub(super) election: Tenure,
    /// Which life of an entry has written the newest record, and whether it gave the cell up with it.
    pub(super) holder: Option<(IncarnationId, bool)>,
    /// When a renewal of the current owner was last read.
    pub(super) last_renewal: Option<Instant>,
    /// When the store last did not answer.
    pub(super) last_outage: Option<Instant>,
    /// What was known of the owner when this entry last claimed.
    pub(super) predecessor: Predecessor,
    /// For which place this entry last sent a record, and since when.
    pub(super) first_sent: Option<FirstSent>,
}

impl Log {
    /// The earliest moment at which the log can have taken its newest record, if this entry sent it.
    pub(super) fn earliest_append(&self) -> Option<Instant> {
        let offset = self.end.checked_sub(1)?;
        self.first_sent.and_then(|sent| sent.earliest(offset))
    }
}

/// What a read of the lease's records found.
pub(super) enum ReadOutcome {
    /// New records.
    Records,
    /// None, and the store answered.
    Nothing,
    /// The store was not asked: there is news of another kind.
    NotRead,
    /// The store did not answer.
    Failed,
}

/// Reads on and takes in what the newest record says.
pub(super) async fn read(node: &Node, log: &mut Log, wait: Duration) -> ReadOutcome {
    let read = store_calls::read(node, TOPIC, log.end, wait).await;
    if read.is_ok() {
        node.update_reach(|reach| reach.note_store(Instant::now()));
    }
    match read {
        Ok(Read::Records(_, records)) if records.is_empty() => ReadOutcome::Nothing,
        Ok(Read::Records(_, records)) => {
            apply_records(node, log, &records);
            ReadOutcome::Records
        }
        Ok(Read::Gone(first)) => {
            log.end = first;
            ReadOutcome::Records
        }
        Ok(Read::Busy) | Err(_) => {
            let now = Instant::now();
            log.election.note_trouble(now);
            log.last_outage = Some(now);
            time::sleep(RETRY_INTERVAL).await;
            ReadOutcome::Failed
        }
    }
}

/// Waits for the next records: those that the entry tells that this one follows, or those that it reads.
pub(super) async fn next(node: &Node, log: &mut Log, wait: Duration) -> ReadOutcome {
    if wait.is_zero() || !node.replication.follows() {
        return read(node, log, wait).await;
    }
    let update = node.replication.updated.notified();
    if apply_received(node, log) {
        return ReadOutcome::Records;
    }
    match time::timeout(wait, update).await {
        Ok(()) if apply_received(node, log) => ReadOutcome::Records,
        Ok(()) => ReadOutcome::NotRead,
        // It is time to claim, if the log has nothing newer.
        Err(_) => read(node, log, Duration::ZERO).await,
    }
}

/// Takes in what another entry has told of the lease; false if that is nothing new.
fn apply_received(node: &Node, log: &mut Log) -> bool {
    let end = node.lease_end.get();
    let lease = node.lease.borrow().clone();
    let Some(lease) = lease.filter(|_| end > log.end) else {
        return false;
    };
    let now = Instant::now();
    log.end = end;
    record_owner_contact(node, log, now);
    update_election(log, &lease, now);
    true
}

/// Takes note that the owner has written a record.
fn record_owner_contact(node: &Node, log: &mut Log, now: Instant) {
    log.last_renewal = Some(now);
    node.update_reach(|reach| reach.note_renewal(now));
    // Whoever writes here lives, whatever its port did behind a cut.
    node.ended_owner.set(None);
    node.suspected_owner.set(None);
}

/// Takes in new records, of which the last one counts.
fn apply_records(node: &Node, log: &mut Log, records: &[Bytes]) {
    let now = Instant::now();
    log.end += records.len() as Offset;
    record_owner_contact(node, log, now);
    match records
        .last()
        .map(|record| rmp_serde::from_slice::<Lease>(record))
    {
        Some(Ok(lease)) => apply_lease(node, log, lease, now),
        Some(Err(error)) => warn!(%error, "a record of the lease cannot be read"),
        None => {}
    }
}

/// Takes in who owns the cell, unless something newer is known.
pub fn set_lease(node: &Node, lease: Lease, end: Offset) {
    if end < node.lease_end.replace(end.max(node.lease_end.get())) {
        return;
    }
    node.replication.updated.notify_waiters();
    let mut current = node.lease.borrow_mut();
    let known = current.replace(lease.clone());
    if known.is_some_and(|known| known.has_same_owner(&lease)) {
        return;
    }
    info!(
        owner = lease.node,
        life = lease.incarnation,
        end,
        released = lease.released,
        "owner seen"
    );
    // Whether it answers is not known yet.
    node.update_reach(fleet::Reach::note_owner);
    node.lease_changed.notify_waiters();
}

/// Takes in a record of the lease, read or appended at `now`.
pub(super) fn apply_lease(node: &Node, log: &mut Log, lease: Lease, now: Instant) {
    update_election(log, &lease, now);
    set_lease(node, lease, log.end);
}

/// Takes note of who has the lease.
fn update_election(log: &mut Log, lease: &Lease, now: Instant) {
    log.election.note_record(lease.cpu, now);
    let known = log.holder.replace((lease.incarnation, lease.released));
    if known != log.holder {
        log.election.note_change(now);
    }
}

/// What came of a record that was to be appended.
pub(super) enum WriteOutcome {
    /// It is in the log.
    Done,
    /// The log has another record of this entry in its place: an earlier call took it, whose answer was lost.
    AlreadyWritten,
    /// Another entry has written, or it is not known what came of it.
    Unconfirmed,
}

/// Appends a record to the end of the log as far as it was read, and takes in what the log has there.
pub(super) async fn write(node: &Node, log: &mut Log, lease: Lease) -> WriteOutcome {
    let offset = log.end;
    log.first_sent = Some(FirstSent::note(log.first_sent, offset, Instant::now()));
    match append(node, offset, &lease).await {
        Some(Appended::Done(end)) => {
            log.end = end;
            apply_lease(node, log, lease, Instant::now());
            WriteOutcome::Done
        }
        Some(Appended::Moved(_)) => {
            read(node, log, Duration::ZERO).await;
            if log.end == offset + 1 && is_own(node) {
                WriteOutcome::AlreadyWritten
            } else {
                WriteOutcome::Unconfirmed
            }
        }
        Some(_) | None => WriteOutcome::Unconfirmed,
    }
}

/// Whether the newest record is of this life of the entry.
fn is_own(node: &Node) -> bool {
    let lease = node.lease.borrow();
    lease
        .as_ref()
        .is_some_and(|lease| lease.incarnation == node.incarnation)
}
