//! Ownership of the cell, which is a lease in the log.
//!
//! The owner appends a record every [`RENEWAL_INTERVAL`], and each entry reads the records. An
//! entry that has read none for [`fleet::LEASE_TIMEOUT`], while the store answered, appends its own on the
//! condition that no other entry has. The offset of the record is the new owner's epoch, which
//! fences its appends and its orders. [`Election`] decides when to claim the lease. This module
//! reads, claims, renews and releases it.

mod log;
mod relay;

pub use log::set_lease;

use super::{
    node::{Lease, Node},
    outage, own_cell,
    owner::{Owner, Predecessor, PredecessorEnd},
    peer::{self, PeerRequest},
    suspension,
};
use clock::Instant;
use fleet::{Claim, Election, Holder, StoreTrouble, UnrecordedRuns};
use jobs::RemainingLeases;
use log::{Log, RETRY_INTERVAL, ReadOutcome, WriteOutcome, write};
use std::{convert::Infallible, rc::Rc, time::Duration};
use tokio::{task, time};
use tracing::info;

/// Interval between two renewals. Three renewals fit into [`fleet::LEASE_TIMEOUT`], so that two may be
/// lost.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(400);

/// Maximum time for which a read waits. A response proves that the store answered while the
/// read waited. This proof must not be older than the time that the owner needs to renew its lease
/// after an outage.
const MAX_READ_HOLD: Duration = Duration::from_millis(1_000);

/// Duration of a renewal after which the owner asks other entries whether the store answers them:
/// ten times the usual one.
const SLOW_RENEWAL_THRESHOLD: Duration = Duration::from_millis(150);

/// Minimum time for which a read waits, since one that returns at once would be repeated at once.
const MIN_READ_HOLD: Duration = Duration::from_millis(50);

/// Delay before the log is read again after a claim that was not confirmed.
const CLAIM_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout of a request to hand the cell over, which usually takes some ms.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(500);

/// Follows the lease, claims it once it has expired, and renews it while this entry holds it.
pub async fn run(node: Rc<Node>) {
    let mut log = Log {
        end: 0,
        election: Election::new(node.settings.cpu_millis, Instant::now()),
        holder: None,
        last_renewal: None,
        last_outage: None,
        predecessor: Predecessor {
            end: PredecessorEnd::Nobody,
            trouble: StoreTrouble::None,
            orders: false,
        },
        first_sent: None,
    };
    // The first read does not wait. If there is no record yet, the first entry to claim gets the
    // lease.
    let mut wait = Duration::ZERO;
    loop {
        let outcome = tokio::select! {
            outcome = log::next(&node, &mut log, wait) => outcome,
            () = node.claim_due.notified() => ReadOutcome::Records
        };
        suspension::check(&node);
        match outcome {
            ReadOutcome::Nothing if next_claim(&node, &mut log) == Claim::Now => {
                claim(&node, &mut log).await
            }
            ReadOutcome::Records => request_hand_over(&node, &log),
            ReadOutcome::Nothing | ReadOutcome::NotRead | ReadOutcome::Failed => {}
        }
        if holds_lease(&node) {
            hold_lease(&node, &mut log).await;
        }
        wait = next_read_hold(&node, &mut log);
    }
}

/// Returns the holder of the lease, as this entry sees it.
fn holder(node: &Node, log: &Log) -> Holder {
    match node.lease.borrow().as_ref() {
        None if log.end == 0 => Holder::Nobody,
        None => Holder::Unknown,
        Some(lease) if lease.released => Holder::Released,
        Some(lease)
            if lease.node == node.settings.node && lease.incarnation != node.incarnation =>
        {
            Holder::EarlierIncarnation
        }
        // Its port refuses connections, so that its process has ended.
        Some(lease) if node.ended_owner.get() == Some(lease.incarnation) => Holder::Ended,
        Some(_) if node.reach.get().is_owner_silent(Instant::now()) => Holder::Silent,
        Some(_) if node.reach.get().has_owner_answered(Instant::now()) => Holder::Answering,
        Some(_) => Holder::Other,
    }
}

/// Returns when this entry may claim the lease. An entry that is stopping does not claim it.
fn next_claim(node: &Node, log: &mut Log) -> Claim {
    let now = Instant::now();
    if node.is_stopping() {
        return Claim::At(now + fleet::LEASE_TIMEOUT);
    }
    let holder = holder(node, log);
    log.election.next_claim(holder, now)
}

/// Returns how long the next read waits. It does not wait if the lease may be claimed now, since the
/// log only has to be read once more before the claim.
fn next_read_hold(node: &Node, log: &mut Log) -> Duration {
    match next_claim(node, log) {
        Claim::Now => Duration::ZERO,
        Claim::At(at) => {
            let wait = at.saturating_duration_since(Instant::now());
            wait.clamp(MIN_READ_HOLD, MAX_READ_HOLD)
        }
    }
}

/// Requests the cell from an owner that is much weaker than this entry. The log shows whether that
/// owner releases it.
fn request_hand_over(node: &Rc<Node>, log: &Log) {
    let now = Instant::now();
    let lease = node.lease.borrow().clone();
    let other = lease.filter(|lease| lease.incarnation != node.incarnation && !lease.released);
    let Some(other) = other.filter(|lease| log.election.should_request_handover(lease.cpu, now))
    else {
        return;
    };
    let request = PeerRequest::HandOver {
        cpu: node.settings.cpu_millis,
    };
    let node = Rc::clone(node);
    task::spawn_local(async move {
        let response = peer::call(&node, &other.address, &request, now + HAND_OVER_TIMEOUT).await;
        info!(
            owner = other.node,
            cpu = other.cpu,
            answer = ?response,
            "requested the cell from a weaker owner"
        );
    });
}

/// Returns the record by which this entry claims or renews the lease.
fn record(node: &Node) -> Lease {
    Lease {
        node: node.settings.node.clone(),
        incarnation: node.incarnation,
        address: node.peer_address(),
        cpu: node.settings.cpu_millis,
        unrecorded: node
            .as_owner()
            .is_some_and(|owner| owner.may_have_unrecorded_runs()),
        unrecorded_orders: node
            .as_owner()
            .is_some_and(|owner| owner.may_have_unrecorded_orders()),
        released: false,
        inherited_lease_ms: 0,
        worker_leases: Vec::new(),
        unasked_leases: Vec::new(),
    }
}

/// Returns the record by which an owner releases the lease.
fn release_record(node: &Node, owner: &Owner) -> Lease {
    let RemainingLeases {
        others,
        known,
        unasked,
    } = owner.remaining_leases();
    let (known, unasked) = (known.into_iter(), unasked.into_iter());
    Lease {
        released: true,
        inherited_lease_ms: others.as_millis() as u64,
        worker_leases: known
            .map(|(name, left)| (name, left.as_millis() as u64))
            .collect(),
        unasked_leases: unasked
            .map(|(id, left)| (id, left.as_millis() as u64))
            .collect(),
        cpu: owner.successor.get().unwrap_or(node.settings.cpu_millis),
        unrecorded: owner.has_unrecorded_runs(),
        unrecorded_orders: owner.may_have_unrecorded_orders(),
        ..record(node)
    }
}

/// Returns what is known of the owner before the one that claims now.
fn predecessor(node: &Node, log: &Log) -> Predecessor {
    let lease = node.lease.borrow();
    let announcement = match lease.as_ref() {
        Some(lease) if lease.unrecorded => UnrecordedRuns::Possible,
        Some(lease) if lease.released => UnrecordedRuns::None,
        Some(_) | None => UnrecordedRuns::NoneAtRenewal,
    };
    let trouble = fleet::store_trouble(announcement, log.last_outage, node.began, Instant::now());
    // An owner that released the cell extends no more leases. An owner before it may be cut off and still do so, and
    // the record of the release says for how long.
    let released = lease.as_ref().filter(|lease| lease.released);
    let end = match (released, log.last_renewal) {
        (Some(lease), _) => PredecessorEnd::Released(lease.remaining_leases()),
        (None, Some(renewed)) => PredecessorEnd::Replaced(renewed),
        (None, None) => PredecessorEnd::Nobody,
    };
    Predecessor {
        end,
        trouble,
        orders: lease.as_ref().is_some_and(|lease| lease.unrecorded_orders),
    }
}

/// Claims the lease, on the condition that no other entry has.
async fn claim(node: &Node, log: &mut Log) {
    log.predecessor = predecessor(node, log);
    // If this owner ends before it has contacted the workers, the next one has to do so.
    let lease = Lease {
        unrecorded: log.predecessor.trouble != StoreTrouble::None,
        unrecorded_orders: log.predecessor.orders,
        ..record(node)
    };
    match write(node, log, lease).await {
        WriteOutcome::Done | WriteOutcome::AlreadyWritten => {}
        // Another entry was first or the response was lost, which the next read shows.
        WriteOutcome::Unconfirmed => time::sleep(CLAIM_RETRY_INTERVAL).await,
    }
}

/// Returns whether this incarnation of the entry owns the cell according to the newest record.
fn holds_lease(node: &Node) -> bool {
    let lease = node.lease.borrow();
    lease
        .as_ref()
        .is_some_and(|lease| lease.incarnation == node.incarnation && !lease.released)
}

/// Next step of an owner regarding its lease.
enum Step {
    /// Renew the lease.
    Renew,
    /// Release the cell, for this reason.
    Release(&'static str),
    /// End, since there is a newer owner.
    Lost,
}

/// Returns the next step of an owner regarding its lease.
fn next_step(node: &Node, owner: &Owner) -> Step {
    if !owner.is_alive() {
        return Step::Lost;
    }
    if node.is_stopping() {
        return Step::Release("the process stops");
    }
    if !owner.relays.borrow().is_empty() {
        return Step::Release("the store answers other entries but not this one");
    }
    match owner.successor.get() {
        Some(_) => Step::Release("a stronger entry requested the cell"),
        None => Step::Renew,
    }
}

/// Waits until the next step is due: at the next renewal, or earlier if the owner is notified.
async fn wait_until_step_due(node: &Node, owner: &Owner) {
    let wait = if owner.is_alive() {
        RENEWAL_INTERVAL
    } else {
        Duration::ZERO
    };
    tokio::select! {
        () = time::sleep(wait) => {}
        () = node.stop.notified() => {}
        () = owner.lease_due.notified() => {}
    }
}

/// Owns the cell until the lease is lost or released.
async fn hold_lease(node: &Rc<Node>, log: &mut Log) {
    // If it is not known since when others may have read the record, the start of the process counts
    // as the time of the last renewal, and the owner relies on the next one.
    let since = log.earliest_append().unwrap_or(node.began);
    let owner = own_cell::start(node, log.end, log.predecessor.clone(), since);
    loop {
        wait_until_step_due(node, &owner).await;
        suspension::check(node);
        match next_step(node, &owner) {
            Step::Renew => tokio::select! {
                () = renew(node, log, &owner) => {}
                // A renewal that the store does not answer takes 1.5 s, so that it is interrupted.
                () = owner.relays_known.notified() => {}
                never = check_outage_while_waiting(&owner) => match never {}
            },
            Step::Release(why) => return release(node, log, &owner, why).await,
            Step::Lost => {
                info!("the cell was lost to a newer owner");
                return forget_owner(node);
            }
        }
        if !holds_lease(node) {
            owner.end("another entry has the lease");
            return;
        }
    }
}

/// Checks periodically, while a renewal is slow, whether there is a store outage.
async fn check_outage_while_waiting(owner: &Rc<Owner>) -> Infallible {
    loop {
        time::sleep(SLOW_RENEWAL_THRESHOLD).await;
        outage::start_check(owner);
    }
}

/// Releases the cell, retrying as often as needed, so that no entry has to wait until the lease
/// expires. After a release for a stronger entry, much weaker entries leave the cell to others for
/// a moment.
async fn release(node: &Node, log: &mut Log, owner: &Owner, why: &str) {
    // The state of its runs is read before the owner ends, since an ended owner no longer keeps it up
    // to date.
    let released = release_record(node, owner);
    owner.end(why);
    relay::release_through(node, &owner.relays.take(), &released).await;
    // Only this record informs the next owner of unrecorded runs and orders. If this process owned
    // the cell again without it, its new owner state would lack them, and it would later release the
    // cell without mentioning them.
    while holds_lease(node) {
        if let WriteOutcome::Unconfirmed = write(node, log, released.clone()).await {
            time::sleep(RETRY_INTERVAL).await;
        }
    }
}

/// Forgets the owner, after the cell was lost to a newer one whose record has not been read yet.
fn forget_owner(node: &Node) {
    *node.lease.borrow_mut() = None;
}

/// Renews the lease once.
async fn renew(node: &Node, log: &mut Log, owner: &Owner) {
    let sent = Instant::now();
    owner.renewing.set(Some(sent));
    let renewed = match write(node, log, record(node)).await {
        WriteOutcome::Done => Some(sent),
        WriteOutcome::AlreadyWritten => log.earliest_append(),
        WriteOutcome::Unconfirmed => None,
    };
    owner.renewing.set(None);
    let lease = node.lease.borrow().clone();
    match (renewed, lease) {
        (Some(renewed), Some(lease)) => {
            owner.record_renewal(renewed, &lease);
            node.update_reach(|reach| reach.on_store_response(Instant::now()));
        }
        _ if holds_lease(node) => time::sleep(RETRY_INTERVAL).await,
        _ => {}
    }
}
