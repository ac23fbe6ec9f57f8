//! Who owns the cell: a lease in the log.
//!
//! The owner appends a record every [`RENEW`]; each entry reads them. One that has read none for
//! [`fleet::EXPIRY`], while the store answered, appends its own on the condition that nobody else has.
//! The record's offset is the new owner's epoch, which fences its appends and its orders. When to claim
//! is decided in [`Tenure`]; this module reads, claims, renews and releases.

mod log;
mod relay;

pub use log::set_lease;

use super::{
    node::{Lease, Node},
    outage, own_cell,
    owner::{Owner, Predecessor},
    peer::{self, PeerRequest},
    suspension,
};
use clock::Instant;
use fleet::{Claim, Holder, Tenure, Told, Trouble};
use log::{Log, RETRY_INTERVAL, ReadOutcome, WriteOutcome, write};
use std::{convert::Infallible, rc::Rc, time::Duration};
use tokio::{task, time};
use tracing::info;

/// How often the owner renews. Three renewals fit into [`fleet::EXPIRY`], so that two may be lost.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(400);

/// How long a read waits at the most: what it then says of the store must not be older than the owner needs to renew its
/// lease after the store's return.
const MAX_READ_HOLD: Duration = Duration::from_millis(1_000);

/// How long a renewal may take until the owner asks others whether the store answers them: ten times what it takes.
const SLOW_RENEWAL_THRESHOLD: Duration = Duration::from_millis(150);

/// How long a read waits at the least: one that comes back at once would be repeated at once.
const MIN_READ_HOLD: Duration = Duration::from_millis(50);

/// Time until the log is read again after a claim that was not confirmed.
const CLAIM_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// How long an owner may take to answer whether it hands the cell over; it takes some ms.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(500);

/// Follows the lease, claims it where it has lapsed, and renews it while this entry has it.
pub async fn run(node: Rc<Node>) {
    let mut log = Log {
        end: 0,
        election: Tenure::new(node.settings.cpu, Instant::now()),
        holder: None,
        last_renewal: None,
        last_outage: None,
        predecessor: Predecessor {
            renewed: None,
            waits: Duration::ZERO,
            trouble: Trouble::None,
            orders: false,
        },
        first_sent: None,
    };
    // The first read needs no wait: where there is no record yet, the first to claim has it.
    let mut wait = Duration::ZERO;
    loop {
        let outcome = tokio::select! {
            outcome = log::next(&node, &mut log, wait) => outcome,
            () = node.claim_due.notified() => ReadOutcome::Records,
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

/// Who holds the lease, as this entry sees it.
fn holder(node: &Node, log: &Log) -> Holder {
    match node.lease.borrow().as_ref() {
        None if log.end == 0 => Holder::Nobody,
        None => Holder::Unknown,
        Some(lease) if lease.released => Holder::Released,
        Some(lease)
            if lease.node == node.settings.node && lease.incarnation != node.incarnation =>
        {
            Holder::EarlierLife
        }
        // Its port refuses connections: its process has ended.
        Some(lease) if node.ended_owner.get() == Some(lease.incarnation) => Holder::Ended,
        Some(_) if node.reach.get().is_owner_silent(Instant::now()) => Holder::Silent,
        Some(_) if node.reach.get().is_owner_heard(Instant::now()) => Holder::Answering,
        Some(_) => Holder::Other,
    }
}

/// When this entry may claim the lease; one that is to stop does not.
fn next_claim(node: &Node, log: &mut Log) -> Claim {
    let now = Instant::now();
    if node.stopping.get() {
        return Claim::At(now + fleet::EXPIRY);
    }
    let holder = holder(node, log);
    log.election.next(holder, now)
}

/// How long the next read waits: not at all where only the log has to be asked before a claim.
fn next_read_hold(node: &Node, log: &mut Log) -> Duration {
    match next_claim(node, log) {
        Claim::Now => Duration::ZERO,
        Claim::At(at) => {
            let wait = at.saturating_duration_since(Instant::now());
            wait.clamp(MIN_READ_HOLD, MAX_READ_HOLD)
        }
    }
}

/// Asks an owner that is much weaker than this entry to hand the cell over. Whether it does shows in
/// the log.
fn request_hand_over(node: &Rc<Node>, log: &Log) {
    let now = Instant::now();
    let lease = node.lease.borrow().clone();
    let other = lease.filter(|lease| lease.incarnation != node.incarnation && !lease.released);
    let Some(other) = other.filter(|lease| log.election.should_ask(lease.cpu, now)) else {
        return;
    };
    let request = PeerRequest::HandOver {
        cpu: node.settings.cpu,
    };
    let node = Rc::clone(node);
    task::spawn_local(async move {
        let answer = peer::call(&node, &other.address, &request, now + HAND_OVER_TIMEOUT).await;
        info!(
            owner = other.node,
            cpu = other.cpu,
            ?answer,
            "asked a weaker owner to hand over"
        );
    });
}

/// The record with which this entry claims, renews or releases the lease.
fn record(node: &Node, released: Option<Duration>) -> Lease {
    Lease {
        node: node.settings.node.clone(),
        incarnation: node.incarnation,
        address: node.peer_address(),
        cpu: node.settings.cpu,
        unrecorded: node
            .as_owner()
            .is_some_and(|owner| owner.may_have_unrecorded_runs()),
        unrecorded_orders: node
            .as_owner()
            .is_some_and(|owner| owner.may_have_unrecorded_orders()),
        released: released.is_some(),
        inherited_lease_ms: released.map_or(0, |waits| waits.as_millis() as u64),
    }
}

/// What is known of the owner before the one that claims now.
fn predecessor(node: &Node, log: &Log) -> Predecessor {
    let lease = node.lease.borrow();
    let told = match lease.as_ref() {
        Some(lease) if lease.unrecorded => Told::Unrecorded,
        Some(lease) if lease.released => Told::None,
        Some(_) | None => Told::NoneThen,
    };
    let trouble = fleet::trouble(told, log.last_outage, node.began, Instant::now());
    let released = lease.as_ref().filter(|lease| lease.released);
    Predecessor {
        // An owner that gave the cell up extends no more leases, but the one before it may be cut off
        // and go on: it has told for how long.
        renewed: log.last_renewal.filter(|_| released.is_none()),
        waits: Duration::from_millis(released.map_or(0, |lease| lease.inherited_lease_ms)),
        trouble,
        orders: lease.as_ref().is_some_and(|lease| lease.unrecorded_orders),
    }
}

/// Claims the lease, on the condition that nobody else has.
async fn claim(node: &Node, log: &mut Log) {
    log.predecessor = predecessor(node, log);
    // An owner that ends before it has met the workers leaves them to the next one.
    let lease = Lease {
        unrecorded: log.predecessor.trouble != Trouble::None,
        unrecorded_orders: log.predecessor.orders,
        ..record(node, None)
    };
    match write(node, log, lease).await {
        WriteOutcome::Done | WriteOutcome::AlreadyWritten => {}
        // Another was first, or the answer was lost: the next read tells.
        WriteOutcome::Unconfirmed => time::sleep(CLAIM_RETRY_INTERVAL).await,
    }
}

/// Whether the newest record says that this life of the entry owns the cell.
fn holds_lease(node: &Node) -> bool {
    let lease = node.lease.borrow();
    lease
        .as_ref()
        .is_some_and(|lease| lease.incarnation == node.incarnation && !lease.released)
}

/// What an owner does about its lease next.
enum Step {
    /// It renews it.
    Renew,
    /// It gives the cell up, and why.
    Release(&'static str),
    /// It has met a newer owner.
    Lost,
}

/// Chooses what an owner does about its lease now.
fn next_step(node: &Node, owner: &Owner) -> Step {
    if !owner.is_alive() {
        return Step::Lost;
    }
    if node.stopping.get() {
        return Step::Release("the process stops");
    }
    if !owner.relays.borrow().is_empty() {
        return Step::Release("the store answers others, not this entry");
    }
    match owner.successor.get() {
        Some(_) => Step::Release("a stronger entry asks for the cell"),
        None => Step::Renew,
    }
}

/// Waits until an owner is to look at its lease: a renewal is due, or something has come up before.
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

/// Owns the cell until the lease is lost or given up.
async fn hold_lease(node: &Rc<Node>, log: &mut Log) {
    // One that cannot tell since when others may have read its record relies on the next renewal.
    let since = log.earliest_append().unwrap_or(node.began);
    let owner = own_cell::start(node, log.end, log.predecessor, since);
    loop {
        wait_until_step_due(node, &owner).await;
        suspension::check(node);
        match next_step(node, &owner) {
            Step::Renew => tokio::select! {
                () = renew(node, log, &owner) => {}
                // A renewal that the store does not answer takes 1.5 s.
                () = owner.relays_known.notified() => {}
                never = check_outage_while_waiting(&owner) => match never {},
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

/// Finds out why a renewal takes long.
async fn check_outage_while_waiting(owner: &Rc<Owner>) -> Infallible {
    loop {
        time::sleep(SLOW_RENEWAL_THRESHOLD).await;
        outage::start_check(owner);
    }
}

/// Gives the cell up, so that nobody waits for the lease to run out, however often it takes. Where a
/// stronger entry has asked for it, entries that are much weaker leave it to others for a moment.
async fn release(node: &Node, log: &mut Log, owner: &Owner, why: &str) {
    // What is known of its runs is told as of now: an owner that has ended knows nothing.
    let released = Lease {
        cpu: owner.successor.get().unwrap_or(node.settings.cpu),
        unrecorded: owner.has_unrecorded_runs(),
        unrecorded_orders: owner.may_have_unrecorded_orders(),
        ..record(node, Some(owner.inherited_leases_remaining()))
    };
    owner.end(why);
    relay::release_through(node, &owner.relays.take(), &released).await;
    // Only this record says what the next owner must look for: an owner that began anew in this process would know
    // nothing of it, and release the cell without.
    while holds_lease(node) {
        if let WriteOutcome::Unconfirmed = write(node, log, released.clone()).await {
            time::sleep(RETRY_INTERVAL).await;
        }
    }
}

/// A newer owner was met before its record was read.
fn forget_owner(node: &Node) {
    *node.lease.borrow_mut() = None;
}

/// Renews the lease, once.
async fn renew(node: &Node, log: &mut Log, owner: &Owner) {
    let sent = Instant::now();
    owner.renewing.set(Some(sent));
    let renewed = match write(node, log, record(node, None)).await {
        WriteOutcome::Done => Some(sent),
        WriteOutcome::AlreadyWritten => log.earliest_append(),
        WriteOutcome::Unconfirmed => None,
    };
    owner.renewing.set(None);
    let lease = node.lease.borrow().clone();
    match (renewed, lease) {
        (Some(renewed), Some(lease)) => {
            owner.record_renewal(renewed, &lease);
            node.update_reach(|reach| reach.note_store(Instant::now()));
        }
        _ if holds_lease(node) => time::sleep(RETRY_INTERVAL).await,
        _ => {}
    }
}
