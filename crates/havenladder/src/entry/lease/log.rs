//! The log of the lease's records: reading on, what the newest record says, and appending one.

use crate::entry::{
    lease_record::{TOPIC, append},
    node::{Lease, LifeId, Node},
    owner::Predecessor,
    store_calls,
};
use adapter::store::{Appended, Offset, Read};
use bytes::Bytes;
use clock::Instant;
use fleet::{Election, FirstSent};
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
    pub(super) tenure: Election,
    /// Which life of an entry has written the newest record, and whether it gave the cell up with it.
    pub(super) holder: Option<(LifeId, bool)>,
    /// When a renewal of the current owner was last read.
    pub(super) renewed: Option<Instant>,
    /// When the store last did not answer.
    pub(super) trouble: Option<Instant>,
    /// What was known of the owner when this entry last claimed.
    pub(super) before: Predecessor,
    /// For which place this entry last sent a record, and since when.
    pub(super) sent: Option<FirstSent>,
}

impl Log {
    /// The earliest moment at which the log can have taken its newest record, if this entry sent it.
    pub(super) fn taken(&self) -> Option<Instant> {
        let place = self.end.checked_sub(1)?;
        self.sent.and_then(|sent| sent.earliest(place))
    }
}

/// What a read of the lease's records found.
pub(super) enum Seen {
    /// New records.
    Records,
    /// None, and the store answered.
    Nothing,
    /// The store was not asked: there is news of another kind.
    Unasked,
    /// The store did not answer.
    Failed,
}

/// Reads on and takes in what the newest record says.
pub(super) async fn read(node: &Node, log: &mut Log, wait: Duration) -> Seen {
    let read = store_calls::read(node, TOPIC, log.end, wait).await;
    if read.is_ok() {
        node.note_reach(|reach| reach.on_store_response(Instant::now()));
    }
    match read {
        Ok(Read::Records(_, records)) if records.is_empty() => Seen::Nothing,
        Ok(Read::Records(_, records)) => {
            take_records(node, log, &records);
            Seen::Records
        }
        Ok(Read::Gone(first)) => {
            log.end = first;
            Seen::Records
        }
        Ok(Read::Busy) | Err(_) => {
            let now = Instant::now();
            log.tenure.on_store_trouble(now);
            log.trouble = Some(now);
            time::sleep(RETRY_INTERVAL).await;
            Seen::Failed
        }
    }
}

/// Waits for the next records: those that the entry tells that this one follows, or those that it reads.
pub(super) async fn next(node: &Node, log: &mut Log, wait: Duration) -> Seen {
    if wait.is_zero() || !node.feed.follows() {
        return read(node, log, wait).await;
    }
    let news = node.feed.news.notified();
    if take_told(node, log) {
        return Seen::Records;
    }
    match time::timeout(wait, news).await {
        Ok(()) if take_told(node, log) => Seen::Records,
        Ok(()) => Seen::Unasked,
        // It is time to claim, if the log has nothing newer.
        Err(_) => read(node, log, Duration::ZERO).await,
    }
}

/// Takes in what another entry has told of the lease; false if that is nothing new.
fn take_told(node: &Node, log: &mut Log) -> bool {
    let end = node.lease_end.get();
    let lease = node.lease.borrow().clone();
    let Some(lease) = lease.filter(|_| end > log.end) else {
        return false;
    };
    let now = Instant::now();
    log.end = end;
    note_heard(node, log, now);
    note_tenure(log, &lease, now);
    true
}

/// Takes note that the owner has written a record.
fn note_heard(node: &Node, log: &mut Log, now: Instant) {
    log.renewed = Some(now);
    node.note_reach(|reach| reach.on_renewal(now));
    // Whoever writes here lives, whatever its port did behind a cut.
    node.refused.set(None);
    node.suspect.set(None);
}

/// Takes in new records, of which the last one counts.
fn take_records(node: &Node, log: &mut Log, records: &[Bytes]) {
    let now = Instant::now();
    log.end += records.len() as Offset;
    note_heard(node, log, now);
    match records
        .last()
        .map(|record| rmp_serde::from_slice::<Lease>(record))
    {
        Some(Ok(lease)) => note_lease(node, log, lease, now),
        Some(Err(error)) => warn!(%error, "a record of the lease cannot be read"),
        None => {}
    }
}

/// Takes in who owns the cell, unless something newer is known.
pub fn set_lease(node: &Node, lease: Lease, end: Offset) {
    if end < node.lease_end.replace(end.max(node.lease_end.get())) {
        return;
    }
    node.feed.news.notify_waiters();
    let mut current = node.lease.borrow_mut();
    let known = current.replace(lease.clone());
    if known.is_some_and(|known| known.is_same(&lease)) {
        return;
    }
    info!(
        owner = lease.node,
        life = lease.life,
        end,
        released = lease.released,
        "owner seen"
    );
    // Whether it answers is not known yet.
    node.note_reach(fleet::Reach::on_owner_change);
    node.lease_changed.notify_waiters();
}

/// Takes in a record of the lease, read or appended at `now`.
pub(super) fn note_lease(node: &Node, log: &mut Log, lease: Lease, now: Instant) {
    note_tenure(log, &lease, now);
    set_lease(node, lease, log.end);
}

/// Takes note of who has the lease.
fn note_tenure(log: &mut Log, lease: &Lease, now: Instant) {
    log.tenure.on_record(lease.cpu, now);
    let known = log.holder.replace((lease.life, lease.released));
    if known != log.holder {
        log.tenure.on_owner_change(now);
    }
}

/// What came of a record that was to be appended.
pub(super) enum Written {
    /// It is in the log.
    Done,
    /// The log has another record of this entry in its place: an earlier call took it, whose answer was lost.
    Earlier,
    /// Another entry has written, or it is not known what came of it.
    Unsure,
}

/// Appends a record to the end of the log as far as it was read, and takes in what the log has there.
pub(super) async fn write(node: &Node, log: &mut Log, lease: Lease) -> Written {
    let place = log.end;
    log.sent = Some(FirstSent::record(log.sent, place, Instant::now()));
    match append(node, place, &lease).await {
        Some(Appended::Done(end)) => {
            log.end = end;
            note_lease(node, log, lease, Instant::now());
            Written::Done
        }
        Some(Appended::Moved(_)) => {
            read(node, log, Duration::ZERO).await;
            if log.end == place + 1 && is_own(node) {
                Written::Earlier
            } else {
                Written::Unsure
            }
        }
        Some(_) | None => Written::Unsure,
    }
}

/// Whether the newest record is of this life of the entry.
fn is_own(node: &Node) -> bool {
    let lease = node.lease.borrow();
    lease.as_ref().is_some_and(|lease| lease.life == node.life)
}
