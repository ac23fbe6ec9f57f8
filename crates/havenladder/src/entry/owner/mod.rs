//! The owner of the cell: its state, its responses to requests, and how its decisions become
//! durable.

pub mod append;
mod hall_drains;
pub mod load;
pub mod loop_stats;
mod requests;
pub mod vm_orders;
pub mod workspaces;

use super::{
    node::{IncarnationId, Lease, Node},
    outage::Outage,
};
use adapter::{operator::Version, settings::Settings, store::Offset, workers::ClockMs};
use append::SLOW_APPEND_THRESHOLD;
use clock::Instant;
use fleet::{MilliCpu, RateLimit, STORE_TROUBLE_AGE, Stall, StoreTrouble};
use jobs::{
    Cell as JobCell, HeldLeases, InheritedLeases, Limits, Order, RemainingLeases, WorkerId,
    WorkerName,
};
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap, HashSet},
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tokio::sync::{Notify, Semaphore};
use tracing::info;

/// Time for which a worker keeps its runs without a call from the owner. It suffices for the next
/// poll of a worker with runs (0.5 s), for the election of a new owner (2 s), for its takeover (0.5
/// s) and for its first call to the worker. The tasks of a lost worker have to wait for the same
/// time. 4.5 s and 3.0 s gave worse results (docs/DECISIONS.md).
pub const WORKER_LEASE_DURATION: Duration = Duration::from_millis(3_600);

/// Maximum age of the last renewal with which an owner still extends leases. While the store is
/// down for all, no other entry can take over. A new owner that does not reach a worker includes
/// this time when it waits for the worker's lease to expire.
pub const MAX_RENEWAL_AGE: Duration = Duration::from_millis(6_000);

/// Maximum time after which a worker carries out a call that it has not answered. Where the incarnation that the call was
/// meant for carries it out, its deadline excludes later effects; another incarnation may not refuse it.
const MAX_CALL_DELAY: Duration = MAX_RENEWAL_AGE;

/// Factor by which a lease may outlast its duration, since a worker's clock may run 2 % slow.
const MAX_CLOCK_SLOWDOWN: f64 = 1.03;

/// Time by which a lease may outlast its duration in addition to that factor. The worker's clock was read up to a second before the
/// lease was granted, and may have drifted by 20 ms since.
const MAX_CLOCK_ERROR: Duration = Duration::from_millis(50);

/// Maximum number of concurrent starts on one worker. A step of eight tasks on one worker would
/// otherwise open eight connections of 12 KB each: 7,000 of them took 80 MB with 1,100 workers. A
/// start takes some ms, so that eight of them wait for less than 20 ms. If a worker falls silent,
/// only these starts wait for its lease to expire.
const MAX_CONCURRENT_STARTS: usize = 3;

/// Returns the maximum time for which a lease of this duration may hold after it was granted.
pub fn max_lease_duration(lease: Duration) -> Duration {
    lease.mul_f64(MAX_CLOCK_SLOWDOWN) + MAX_CLOCK_ERROR
}

/// Fencing token of calls to a worker. A worker ignores a call whose token is lower than the
/// highest one that it has seen.
pub type FencingToken = u64;

/// Number of bits of a fencing token that count the incarnations of a worker under one owner.
/// Together with 33 bits for the owner's epoch, the token is an exact integer in any form of JSON.
/// A worker would have to start a million times under one owner to use them up.
const INCARNATION_BITS: u32 = 20;

/// Contact of the owner with an incarnation of a worker.
#[derive(Clone, Debug)]
pub struct Contact {
    /// The worker's clock, and the time at which it was read.
    pub clock: Option<(ClockMs, Instant)>,
    /// Latest time until which the worker's lease may hold.
    pub lease_until: Instant,
    /// Time of the last response to a poll. Only the response shows which incarnation took the call.
    pub last_answer: Option<Instant>,
    /// Number up to which the ends of runs that the worker reported are durable.
    pub acknowledged: u64,
    /// Permits for concurrent starts on the worker.
    pub start_permits: Arc<Semaphore>,
}

impl Contact {
    /// Creates the contact with a worker of which only the end of its lease is known.
    pub fn new(lease_until: Instant) -> Self {
        Contact {
            clock: None,
            lease_until,
            last_answer: None,
            acknowledged: 0,
            start_permits: Arc::new(Semaphore::new(MAX_CONCURRENT_STARTS)),
        }
    }
}

/// Function by which an owner sends orders to workers. It is passed in, since it is defined in a
/// module that depends on this one.
pub type SendOrders = fn(&Rc<Owner>, Vec<Order>);

/// Maximum age of the last renewal with which an owner is certain that no other entry owns the
/// cell, as it has to be for orders that two owners must not both give. It is shorter than
/// [`fleet::LEASE_TIMEOUT`] by the possible delay of clocks and responses.
pub const CERTAIN_RENEWAL_AGE: Duration = Duration::from_millis(1_100);

/// How the previous owner ended.
#[derive(Clone, Debug)]
pub enum PredecessorEnd {
    /// There was no previous owner.
    Nobody,
    /// It released the cell, and leases may hold for these times.
    Released(RemainingLeases),
    /// It may still extend leases. Its last record was read at this time.
    Replaced(Instant),
}

/// State of the previous owner, as far as it is known. The log shows the fields under their names.
#[derive(Clone, Debug)]
pub struct Predecessor {
    /// How it ended.
    pub end: PredecessorEnd,
    /// Whether there was a store outage recently.
    pub trouble: StoreTrouble,
    /// Whether it may have given orders about VMs that it has not recorded.
    pub orders: bool,
}

/// State of the owner of the cell.
pub struct Owner {
    /// Shared state of the entry.
    pub node: Rc<Node>,
    /// Epoch, which fences the owner's appends and orders.
    pub epoch: u64,
    /// Time at which this entry became the owner.
    pub began: Instant,
    /// Jobs and workers.
    pub cell: RefCell<JobCell>,
    /// Contacts with the incarnations of workers.
    pub contacts: RefCell<HashMap<WorkerId, Contact>>,
    /// Time at which the last successful renewal was sent.
    pub last_renewal: Cell<Instant>,
    /// Names in the platform's list that belong to no usable worker and have been logged.
    pub foreign: RefCell<HashSet<WorkerName>>,
    /// Incarnations at whose address another worker has answered, with that address.
    pub replaced: RefCell<HashMap<WorkerId, String>>,
    /// Until when leases of earlier owners may hold on each worker.
    pub inherited_leases: InheritedLeases,
    /// Until when leases of earlier owners may hold on any worker.
    pub inherited_leases_until: Instant,
    /// Whether there was a store outage when this owner started.
    pub trouble: StoreTrouble,
    /// Time at which this owner last intended to give orders about VMs without a record.
    unrecorded_order_at: Cell<Option<Instant>>,
    /// Whether the last renewal announced unrecorded orders about VMs.
    orders_announced: Cell<bool>,
    /// Latest time at which the earlier owner may have given an order about a VM.
    pub last_order: Instant,
    /// Time from which on this owner may give orders about VMs that the earlier owner may have
    /// given orders about. That owner did so for as long as its lease was certain, and two owners
    /// must not both give orders about a VM.
    pub inherited_orders_until: Instant,
    /// Earlier owners whose process is known to have ended.
    pub ended_owners: RefCell<HashSet<IncarnationId>>,
    /// Rate limit of orders about VMs.
    pub vm_rate: RefCell<RateLimit>,
    /// End of the log of wave statuses, as far as it is known. Each record is appended on the
    /// condition that the log ends there, so that a late record cannot follow a newer one.
    pub status_end: Cell<u64>,
    /// Result of the last check for a store outage.
    pub outage: Cell<Outage>,
    /// Time at which the last renewal was sent that announced runs without a record.
    unrecorded_announced_at: Cell<Option<Instant>>,
    /// Last time at which runs were started without a record.
    unrecorded_start_at: Cell<Option<Instant>>,
    /// Time since which a renewal of the lease is in progress.
    pub renewing: Cell<Option<Instant>>,
    /// Time since which an append is in progress.
    appending: Cell<Option<Instant>>,
    /// Version of the configuration whose bounds the cell applies. `None` before the first one.
    bounds_version: Cell<Option<Version>>,
    /// Offset of the operators' topic as of which the cell knows the data centres to be drained.
    hall_drains_as_of: Cell<Offset>,
    /// Time of the next update of the states of data centres.
    hall_states_due: Cell<Instant>,
    /// Time from which on runs in data centres that are to be drained are looked at again.
    hall_drain_due: Cell<Instant>,
    /// Function that sends orders to workers.
    send: SendOrders,
    /// Whether the owner may still decide.
    alive: Cell<bool>,
    /// Whether the records of earlier owners have been loaded.
    pub loaded: Cell<bool>,
    /// CPU share of a stronger entry that has requested the cell.
    pub successor: Cell<Option<MilliCpu>>,
    /// Entries that the store answers while it does not answer this one. Usually empty.
    pub relays: RefCell<Vec<String>>,
    /// Notified when relays have been found.
    pub relays_known: Notify,
    /// Notified when the lease is to be checked before its next renewal is due.
    pub lease_due: Notify,
    /// Notified when something has changed in the cell.
    pub wake: Notify,
    /// Notified after the load, after each append, renewal or withdrawal, and when the owner ends.
    pub state_changed: Notify,
}

impl Owner {
    /// Creates an owner that knows only its predecessor.
    pub fn new(
        node: &Rc<Node>,
        epoch: u64,
        before: &Predecessor,
        since: Instant,
        send: SendOrders,
    ) -> Self {
        let now = Instant::now();
        let renewed = match &before.end {
            PredecessorEnd::Replaced(at) => Some(*at),
            PredecessorEnd::Nobody | PredecessorEnd::Released(_) => None,
        };
        let last_order = renewed.map_or(now, |at| at + CERTAIN_RENEWAL_AGE);
        let inherited_leases = inherited_leases(&node.settings, &before.end, now);
        let mut cell = JobCell::new(limits(&node.settings));
        if before.orders {
            cell.mark_all_vms_unconfirmed();
        }
        Owner {
            node: Rc::clone(node),
            epoch,
            began: now,
            cell: RefCell::new(cell),
            contacts: RefCell::default(),
            foreign: RefCell::default(),
            replaced: RefCell::default(),
            last_renewal: Cell::new(since),
            inherited_leases_until: inherited_leases.latest(),
            inherited_leases,
            trouble: before.trouble,
            unrecorded_order_at: Cell::new(None),
            orders_announced: Cell::new(false),
            inherited_orders_until: last_order + node.settings.order_lease,
            last_order,
            ended_owners: RefCell::default(),
            vm_rate: RefCell::new(RateLimit::new(node.settings.vm_order_rate, now)),
            status_end: Cell::new(0),
            outage: Cell::default(),
            renewing: Cell::new(None),
            appending: Cell::new(None),
            bounds_version: Cell::new(None),
            hall_drains_as_of: Cell::new(0),
            hall_states_due: Cell::new(now),
            hall_drain_due: Cell::new(now),
            send,
            alive: Cell::new(true),
            loaded: Cell::new(false),
            successor: Cell::new(None),
            relays: RefCell::default(),
            relays_known: Notify::new(),
            lease_due: Notify::new(),
            unrecorded_announced_at: Cell::new(None),
            unrecorded_start_at: Cell::new(None),
            wake: Notify::new(),
            state_changed: Notify::new(),
        }
    }

    /// Returns whether the owner may still decide.
    pub fn is_alive(&self) -> bool {
        self.alive.get()
    }

    /// Returns the fencing token for calls to a worker. It is higher than the token of each earlier
    /// owner, and than that of each call to an earlier incarnation of the worker. Such a call may
    /// still be in progress, and would start a task again that has been done or started elsewhere.
    pub fn fencing_token(&self, worker: &str) -> FencingToken {
        let changes = self.cell.borrow().incarnation_changes(worker);
        (self.epoch << INCARNATION_BITS) + changes.min((1 << INCARNATION_BITS) - 1)
    }

    /// Returns whether a call with this token was refused because this owner, and no other one, has
    /// raised the token since.
    pub fn has_raised_token(&self, worker: &str, token: FencingToken) -> bool {
        token < self.fencing_token(worker)
    }

    /// Returns how long a worker's response may take until the call is resent: at least this time, and longer while
    /// the responses of all workers take longer.
    pub fn resend_delay(&self, min: Duration) -> Duration {
        self.node.worker_times.get().initial_timeout().max(min)
    }

    /// Returns whether the owner may extend leases and start durable tasks.
    pub fn may_hold(&self) -> bool {
        self.is_alive() && self.last_renewal.get().elapsed() < MAX_RENEWAL_AGE
    }

    /// Returns whether it is certain that no other entry owns the cell.
    pub fn is_certain(&self) -> bool {
        self.is_alive() && self.last_renewal.get().elapsed() < CERTAIN_RENEWAL_AGE
    }

    /// Returns for how long leases of this owner and of earlier ones hold if it ends now.
    pub fn remaining_leases(&self) -> RemainingLeases {
        let cell = self.cell.borrow();
        let contacts = self.contacts.borrow();
        let leased = contacts.iter();
        let unreported = cell.workers.keys();
        let held = HeldLeases {
            known: leased
                .map(|(id, contact)| (id.clone(), contact.lease_until))
                .collect(),
            unasked: unreported
                .filter_map(|id| Some((id.clone(), cell.unreported_until(id)?)))
                .collect(),
        };
        let usual = max_lease_duration(WORKER_LEASE_DURATION);
        self.inherited_leases
            .at_release(held, usual, Instant::now())
    }

    /// Ends the owner, after which it neither decides nor gives orders.
    pub fn end(&self, why: &str) {
        if self.alive.replace(false) {
            self.node.metrics.ownership_changed("lost");
            self.node.metrics.set_halls(BTreeMap::new());
            info!(epoch = self.epoch, why, "owns the cell no longer");
            self.wake.notify_one();
            self.state_changed.notify_waiters();
        }
    }

    /// Records that a renewal, which was sent at `sent`, is durable.
    pub fn record_renewal(&self, sent: Instant, lease: &Lease) {
        self.last_renewal.set(sent);
        if lease.unrecorded {
            self.unrecorded_announced_at.set(Some(sent));
        }
        self.orders_announced.set(lease.unrecorded_orders);
        // Orders about VMs may have waited for the renewal.
        self.state_changed.notify_waiters();
    }

    /// Returns whether runs may have been started without a record, or may be soon, so that the
    /// next owner has to know.
    pub fn may_have_unrecorded_runs(&self) -> bool {
        self.has_unrecorded_runs() || self.is_append_pending_for(SLOW_APPEND_THRESHOLD)
    }

    /// Returns whether runs may already have been started without a record.
    pub fn has_unrecorded_runs(&self) -> bool {
        let recent = self.unrecorded_start_at.get();
        // Unrecorded runs of an earlier owner may continue until its leases have expired.
        let inherited =
            self.trouble != StoreTrouble::None && Instant::now() < self.inherited_leases_until;
        inherited || recent.is_some_and(|at| at.elapsed() < STORE_TROUBLE_AGE)
    }

    /// Notifies the owner that something has changed in the cell and sends the orders that need no
    /// record.
    pub fn wake(self: &Rc<Self>) {
        self.send_urgent();
        self.wake.notify_one();
    }

    /// Sends the orders that need no record.
    pub fn send_urgent(self: &Rc<Self>) {
        let urgent = self.cell.borrow_mut().take_urgent();
        self.send(urgent);
    }

    /// Sends orders to workers without waiting for their responses.
    pub fn send(self: &Rc<Self>, orders: Vec<Order>) {
        (self.send)(self, orders);
    }

    /// Returns the state of an append that is in progress.
    fn stall(&self) -> Stall {
        Stall {
            since: self.appending.get(),
            announced: self.unrecorded_announced_at.get(),
            outage_confirmed: self.outage.get().is_confirmed(),
            sole_owner: self.is_certain(),
        }
    }

    /// Returns whether a renewal or another append has been in progress for at least this time.
    pub fn is_stalled(&self, min_duration: Duration) -> bool {
        let renewing = self.renewing.get();
        renewing.is_some_and(|since| since.elapsed() >= min_duration)
            || self.is_append_pending_for(min_duration)
    }

    /// Returns whether an append has been in progress for at least this time.
    fn is_append_pending_for(&self, min_duration: Duration) -> bool {
        self.appending
            .get()
            .is_some_and(|since| since.elapsed() >= min_duration)
    }
}

/// Returns until when leases of earlier owners may hold.
///
/// An owner that released the cell knew of each lease that may hold longer than it had intended. One that was replaced
/// may have known as well, but nobody can ask it. All its calls, late ones included, count as carried out within
/// [`MAX_RENEWAL_AGE`] of its last renewal, and any of them may have reached another incarnation than the intended one.
fn inherited_leases(settings: &Settings, end: &PredecessorEnd, now: Instant) -> InheritedLeases {
    let usual = max_lease_duration(WORKER_LEASE_DURATION);
    match end {
        PredecessorEnd::Nobody => InheritedLeases::until(now + usual),
        PredecessorEnd::Released(leases) => InheritedLeases::remaining(leases, usual, now),
        PredecessorEnd::Replaced(renewed) => {
            let longest = max_lease_duration(settings.max_worker_lease).max(usual);
            InheritedLeases::until(*renewed + MAX_RENEWAL_AGE + longest)
        }
    }
}

/// Returns the limits for the decisions of a cell: those that the platform sets, and the defaults
/// for the others.
fn limits(settings: &Settings) -> Limits {
    Limits {
        stop_timeout: settings.stop_timeout,
        max_lease: max_lease_duration(settings.max_worker_lease),
        max_call_delay: MAX_CALL_DELAY,
        remote_slowdown: settings.remote_factor,
        ..Limits::default()
    }
}
