//! Who owns the cell: a lease in the log.
//!
//! The owner appends a record every [`RENEW`]; each entry reads them. One that has read none for
//! [`fleet::LEASE_TIMEOUT`], while the store answered, appends its own on the condition that nobody else has.
//! The record's offset is the new owner's epoch, which fences its appends and its orders. When to claim
//! is decided in [`Election`]; this module reads, claims, renews and releases.

mod log;
mod relay;

pub use log::set_lease;

use super::{
    inner::{self, Ask},
    node::{Lease, Node},
    outage, own_cell,
    owner::{Owner, Predecessor},
    suspension,
};
use clock::Instant;
use fleet::{Claim, Election, Holder, StoreTrouble, UnrecordedRuns};
use log::{Log, RETRY_INTERVAL, Seen, Written, write};
use std::{convert::Infallible, rc::Rc, time::Duration};
use tokio::{task, time};
use tracing::info;

/// How often the owner renews. Three renewals fit into [`fleet::LEASE_TIMEOUT`], so that two may be lost.
const RENEW: Duration = Duration::from_millis(400);

/// How long a read waits at the most: what it then says of the store must not be older than the owner needs to renew its
/// lease after the store's return.
const MOST_WAIT: Duration = Duration::from_millis(1_000);

/// How long a renewal may take until the owner asks others whether the store answers them: ten times what it takes.
const SLOW_RENEWAL: Duration = Duration::from_millis(150);

/// How long a read waits at the least: one that comes back at once would be repeated at once.
const LEAST_WAIT: Duration = Duration::from_millis(50);

/// Time until the log is read again after a claim that was not confirmed.
const CLAIM_AGAIN: Duration = Duration::from_millis(20);

/// How long an owner may take to answer whether it hands the cell over; it takes some ms.
const HAND_OVER: Duration = Duration::from_millis(500);

/// Follows the lease, claims it where it has lapsed, and renews it while this entry has it.
pub async fn run(node: Rc<Node>) {
    let mut log = Log {
        end: 0,
        tenure: Election::new(node.settings.cpu, Instant::now()),
        holder: None,
        renewed: None,
        trouble: None,
        before: Predecessor {
            renewed: None,
            waits: Duration::ZERO,
            trouble: StoreTrouble::None,
            orders: false,
        },
        sent: None,
    };
    // The first read needs no wait: where there is no record yet, the first to claim has it.
    let mut wait = Duration::ZERO;
    loop {
        let seen = tokio::select! {
            seen = log::next(&node, &mut log, wait) => seen,
            () = node.claim_due.notified() => Seen::Records,
        };
        suspension::notice(&node);
        match seen {
            Seen::Nothing if next(&node, &mut log) == Claim::Now => claim(&node, &mut log).await,
            Seen::Records => ask_for(&node, &log),
            Seen::Nothing | Seen::Unasked | Seen::Failed => {}
        }
        if holds(&node) {
            own(&node, &mut log).await;
        }
        wait = next_wait(&node, &mut log);
    }
}

/// Who holds the lease, as this entry sees it.
fn holder(node: &Node, log: &Log) -> Holder {
    match node.lease.borrow().as_ref() {
        None if log.end == 0 => Holder::Nobody,
        None => Holder::Unknown,
        Some(lease) if lease.released => Holder::Released,
        Some(lease) if lease.node == node.settings.node && lease.life != node.life => {
            Holder::EarlierIncarnation
        }
        // Its port refuses connections: its process has ended.
        Some(lease) if node.refused.get() == Some(lease.life) => Holder::Ended,
        Some(_) if node.reach.get().is_owner_silent(Instant::now()) => Holder::Silent,
        Some(_) if node.reach.get().has_owner_answered(Instant::now()) => Holder::Answering,
        Some(_) => Holder::Other,
    }
}

/// When this entry may claim the lease; one that is to stop does not.
fn next(node: &Node, log: &mut Log) -> Claim {
    let now = Instant::now();
    if node.stopping.get() {
        return Claim::At(now + fleet::LEASE_TIMEOUT);
    }
    let holder = holder(node, log);
    log.tenure.next_claim(holder, now)
}

/// How long the next read waits: not at all where only the log has to be asked before a claim.
fn next_wait(node: &Node, log: &mut Log) -> Duration {
    match next(node, log) {
        Claim::Now => Duration::ZERO,
        Claim::At(at) => {
            let wait = at.saturating_duration_since(Instant::now());
            wait.clamp(LEAST_WAIT, MOST_WAIT)
        }
    }
}

/// Asks an owner that is much weaker than this entry to hand the cell over. Whether it does shows in
/// the log.
fn ask_for(node: &Rc<Node>, log: &Log) {
    let now = Instant::now();
    let lease = node.lease.borrow().clone();
    let other = lease.filter(|lease| lease.life != node.life && !lease.released);
    let Some(other) = other.filter(|lease| log.tenure.should_request_handover(lease.cpu, now))
    else {
        return;
    };
    let ask = Ask::HandOver {
        cpu: node.settings.cpu,
    };
    let node = Rc::clone(node);
    task::spawn_local(async move {
        let answer = inner::ask(&node, &other.address, &ask, now + HAND_OVER).await;
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
        life: node.life,
        address: node.inner_address(),
        cpu: node.settings.cpu,
        unrecorded: node.own().is_some_and(|owner| owner.may_be_unrecorded()),
        orders: node.own().is_some_and(|owner| owner.may_order_unrecorded()),
        released: released.is_some(),
        waits: released.map_or(0, |waits| waits.as_millis() as u64),
    }
}

/// What is known of the owner before the one that claims now.
fn predecessor(node: &Node, log: &Log) -> Predecessor {
    let lease = node.lease.borrow();
    let told = match lease.as_ref() {
        Some(lease) if lease.unrecorded => UnrecordedRuns::Possible,
        Some(lease) if lease.released => UnrecordedRuns::None,
        Some(_) | None => UnrecordedRuns::NoneAtRenewal,
    };
    let trouble = fleet::store_trouble(told, log.trouble, node.began, Instant::now());
    let released = lease.as_ref().filter(|lease| lease.released);
    Predecessor {
        // An owner that gave the cell up extends no more leases, but the one before it may be cut off
        // and go on: it has told for how long.
        renewed: log.renewed.filter(|_| released.is_none()),
        waits: Duration::from_millis(released.map_or(0, |lease| lease.waits)),
        trouble,
        orders: lease.as_ref().is_some_and(|lease| lease.orders),
    }
}

/// Claims the lease, on the condition that nobody else has.
async fn claim(node: &Node, log: &mut Log) {
    log.before = predecessor(node, log);
    // An owner that ends before it has met the workers leaves them to the next one.
    let lease = Lease {
        unrecorded: log.before.trouble != StoreTrouble::None,
        orders: log.before.orders,
        ..record(node, None)
    };
    match write(node, log, lease).await {
        Written::Done | Written::Earlier => {}
        // Another was first, or the answer was lost: the next read tells.
        Written::Unsure => time::sleep(CLAIM_AGAIN).await,
    }
}

/// Whether the newest record says that this life of the entry owns the cell.
fn holds(node: &Node) -> bool {
    let lease = node.lease.borrow();
    lease
        .as_ref()
        .is_some_and(|lease| lease.life == node.life && !lease.released)
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
async fn wait_for_turn(node: &Node, owner: &Owner) {
    let wait = if owner.is_alive() {
        RENEW
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
async fn own(node: &Rc<Node>, log: &mut Log) {
    // One that cannot tell since when others may have read its record relies on the next renewal.
    let since = log.taken().unwrap_or(node.began);
    let owner = own_cell::start(node, log.end, log.before, since);
    loop {
        wait_for_turn(node, &owner).await;
        suspension::notice(node);
        match next_step(node, &owner) {
            Step::Renew => tokio::select! {
                () = renew(node, log, &owner) => {}
                // A renewal that the store does not answer takes 1.5 s.
                () = owner.relays_known.notified() => {}
                never = ask_meanwhile(&owner) => match never {},
            },
            Step::Release(why) => return release(node, log, &owner, why).await,
            Step::Lost => {
                info!("the cell was lost to a newer owner");
                return forget(node);
            }
        }
        if !holds(node) {
            owner.end("another entry has the lease");
            return;
        }
    }
}

/// Finds out why a renewal takes long.
async fn ask_meanwhile(owner: &Rc<Owner>) -> Infallible {
    loop {
        time::sleep(SLOW_RENEWAL).await;
        outage::ask(owner);
    }
}

/// Gives the cell up, so that nobody waits for the lease to run out, however often it takes. Where a
/// stronger entry has asked for it, entries that are much weaker leave it to others for a moment.
async fn release(node: &Node, log: &mut Log, owner: &Owner, why: &str) {
    // What is known of its runs is told as of now: an owner that has ended knows nothing.
    let released = Lease {
        cpu: owner.successor.get().unwrap_or(node.settings.cpu),
        unrecorded: owner.has_unrecorded(),
        orders: owner.may_order_unrecorded(),
        ..record(node, Some(owner.inherited_for()))
    };
    owner.end(why);
    relay::ask(node, &owner.relays.take(), &released).await;
    // Only this record says what the next owner must look for: an owner that began anew in this process would know
    // nothing of it, and release the cell without.
    while holds(node) {
        if let Written::Unsure = write(node, log, released.clone()).await {
            time::sleep(RETRY_INTERVAL).await;
        }
    }
}

/// A newer owner was met before its record was read.
fn forget(node: &Node) {
    *node.lease.borrow_mut() = None;
}

/// Renews the lease, once.
async fn renew(node: &Node, log: &mut Log, owner: &Owner) {
    let sent = Instant::now();
    owner.renewing.set(Some(sent));
    let renewed = match write(node, log, record(node, None)).await {
        Written::Done => Some(sent),
        Written::Earlier => log.taken(),
        Written::Unsure => None,
    };
    owner.renewing.set(None);
    let lease = node.lease.borrow().clone();
    match (renewed, lease) {
        (Some(renewed), Some(lease)) => {
            owner.note_renewal(renewed, &lease);
            node.note_reach(|reach| reach.on_store_response(Instant::now()));
        }
        _ if holds(node) => time::sleep(RETRY_INTERVAL).await,
        _ => {}
    }
}
