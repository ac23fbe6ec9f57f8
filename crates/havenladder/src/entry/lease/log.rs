//! Reads the log of the lease's records, applies the newest one and appends new ones.

use crate::entry::{
    lease_record::{TOPIC, append},
    node::{IncarnationId, Lease, Node},
    owner::Predecessor,
    store_calls,
};
use adapter::store::{AppendResponse, Offset, ReadResponse};
use bytes::Bytes;
use clock::Instant;
use fleet::{Election, FirstSent};
use std::time::Duration;
use tokio::time;
use tracing::{info, warn};

/// Delay before the store is called again after it did not answer.
pub(super) const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// State of the lease's log, as far as this entry has read it.
pub(super) struct Log {
    /// End of the log, as far as it was read.
    pub(super) end: Offset,
    /// Decides when this entry may claim the lease, and from whom it should request the cell.
    pub(super) election: Election,
    /// Incarnation that wrote the newest record, and whether it released the cell with it.
    pub(super) holder: Option<(IncarnationId, bool)>,
    /// Time at which a renewal of the current owner was last read or, if this entry is the owner, written.
    pub(super) last_renewal: Option<Instant>,
    /// Time at which the store last did not answer.
    pub(super) last_outage: Option<Instant>,
    /// State of the owner at the last claim of this entry.
    pub(super) predecessor: Predecessor,
    /// Offset for which this entry last sent a record, and the time since which it has done so.
    pub(super) first_sent: Option<FirstSent>,
}

impl Log {
    /// Returns the earliest time at which the log can have accepted its newest record, if this
    /// entry sent it.
    pub(super) fn earliest_append(&self) -> Option<Instant> {
        let offset = self.end.checked_sub(1)?;
        self.first_sent.and_then(|sent| sent.earliest(offset))
    }
}

/// Result of a read of the lease's records.
pub(super) enum ReadOutcome {
    /// There are new records.
    Records,
    /// There are no new records, and the store answered.
    Nothing,
    /// The store was not called, since the wait ended with a replication update that has no newer
    /// lease.
    NotRead,
    /// The store did not answer.
    Failed,
}

/// Reads the next records and applies the newest one.
pub(super) async fn read(node: &Node, log: &mut Log, wait: Duration) -> ReadOutcome {
    let read = store_calls::read(node, TOPIC, log.end, wait).await;
    if read.is_ok() {
        node.update_reach(|reach| reach.on_store_response(Instant::now()));
    }
    match read {
        Ok(ReadResponse::Records(_, records)) if records.is_empty() => ReadOutcome::Nothing,
        Ok(ReadResponse::Records(_, records)) => {
            apply_records(node, log, &records);
            ReadOutcome::Records
        }
        Ok(ReadResponse::Gone(first)) => {
            log.end = first;
            ReadOutcome::Records
        }
        Ok(ReadResponse::Busy) | Err(_) => {
            let now = Instant::now();
            log.election.on_store_trouble(now);
            log.last_outage = Some(now);
            time::sleep(RETRY_INTERVAL).await;
            ReadOutcome::Failed
        }
    }
}

/// Waits for the next records, either from the entry that this one follows or from the store.
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
        // The lease may be claimed now, unless the log has a newer record.
        Err(_) => read(node, log, Duration::ZERO).await,
    }
}

/// Applies the lease that another entry has sent. Returns false if it is not newer.
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

/// Records that the owner has written a record.
fn record_owner_contact(node: &Node, log: &mut Log, now: Instant) {
    log.last_renewal = Some(now);
    node.update_reach(|reach| reach.on_renewal(now));
    // An owner that writes is alive, whatever its port did during a network partition.
    node.ended_owner.set(None);
    node.suspected_owner.set(None);
}

/// Applies new records, of which only the last one counts.
fn apply_records(node: &Node, log: &mut Log, records: &[Bytes]) {
    let now = Instant::now();
    log.end += records.len() as Offset;
    record_owner_contact(node, log, now);
    match records
        .last()
        .map(|record| rmp_serde::from_slice::<Lease>(record))
    {
        Some(Ok(lease)) => apply_lease(node, log, lease, now),
        Some(Err(error)) => warn!(%error, "cannot decode a record of the lease"),
        None => {}
    }
}

/// Sets the owner of the cell, unless a newer record is known.
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
        "ownership has changed"
    );
    // It is not known yet whether the new owner answers.
    node.update_reach(fleet::Reach::on_owner_change);
    node.lease_changed.notify_waiters();
}

/// Applies a record of the lease, which was read or appended at `now`.
pub(super) fn apply_lease(node: &Node, log: &mut Log, lease: Lease, now: Instant) {
    update_election(log, &lease, now);
    set_lease(node, lease, log.end);
}

/// Updates the election with the holder of the lease.
fn update_election(log: &mut Log, lease: &Lease, now: Instant) {
    log.election.on_record(lease.cpu, now);
    let known = log.holder.replace((lease.incarnation, lease.released));
    if known != log.holder {
        log.election.on_owner_change(now);
    }
}

/// Outcome of an append to the lease's log.
pub(super) enum WriteOutcome {
    /// The record is in the log.
    Done,
    /// The log has another record of this entry at the offset, from an earlier call whose response
    /// was lost.
    AlreadyWritten,
    /// Another entry has written a record, or the outcome is not known.
    Unconfirmed,
}

/// Appends a record at the end of the log as far as it was read, and applies what the log contains
/// there.
pub(super) async fn write(node: &Node, log: &mut Log, lease: Lease) -> WriteOutcome {
    let offset = log.end;
    log.first_sent = Some(FirstSent::record(log.first_sent, offset, Instant::now()));
    match append(node, offset, &lease).await {
        Some(AppendResponse::Done(end)) => {
            let now = Instant::now();
            log.end = end;
            log.last_renewal = Some(now);
            apply_lease(node, log, lease, now);
            WriteOutcome::Done
        }
        Some(AppendResponse::Moved(_)) => {
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

/// Returns whether the newest record was written by this incarnation of the entry.
fn is_own(node: &Node) -> bool {
    let lease = node.lease.borrow();
    lease
        .as_ref()
        .is_some_and(|lease| lease.incarnation == node.incarnation)
}
