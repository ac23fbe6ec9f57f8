//! The owner of the cell: what it knows, what it answers, and how decisions are made durable.

mod answer;
pub mod append;
pub mod duties;
mod evacuations;
pub mod load;
pub mod pulse;
pub mod workspaces;

use super::{
    node::{Lease, LifeId, Node},
    outage::Outage,
};
use adapter::{operator::Version, settings::Settings, store::Offset, workers::ClockMs};
use append::SLOW;
use clock::Instant;
use fleet::{MilliCpu, RateLimit, Stall, TROUBLE, Trouble};
use jobs::{Cell as JobCell, Limits, Order, WorkerId, WorkerName};
use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tokio::sync::{Notify, Semaphore};
use tracing::info;

/// How long a worker keeps its runs without a word from the owner. Long enough for the next question to a
/// worker with runs (0.5 s), for a new owner to be found (2 s), to take over (0.5 s) and to reach the worker;
/// a worker that is lost keeps its tasks waiting for as long. 4.5 s and 3.0 s serve worse (docs/DECISIONS.md).
pub const LEASE: Duration = Duration::from_millis(3_600);

/// How long an owner that cannot renew goes on extending leases: while the store is down for all,
/// nobody else can take over. A new owner waits it out where it does not reach a worker.
pub const GRACE: Duration = Duration::from_millis(6_000);

/// By what factor a lease may outlast its length: a worker's clock may run 2 % slow.
const SLOWNESS: f64 = 1.03;

/// By how much more it may: the worker's clock was read up to a second before the lease was given, in
/// which it may have gone 20 ms astray.
const DRIFT: Duration = Duration::from_millis(50);

/// How many starts are under way to one worker at a time. A step of eight tasks that one worker gets would
/// otherwise open eight connections, of which each takes 12 KB: 7,000 of them made 80 MB on 1,100 workers. A
/// start takes some ms, so that eight of them wait for less than 20; and where a worker falls silent, only these
/// wait for its lease.
const STARTS: usize = 3;

/// How long a lease of this length may hold at the most, after it was given.
pub fn longest(lease: Duration) -> Duration {
    lease.mul_f64(SLOWNESS) + DRIFT
}

/// A number that calls to a worker carry; it does nothing for one that is lower than the highest that it has seen.
pub type Fence = u64;

/// How many bits of a fence count the lives of a worker under one owner. With 33 more for the owner's epoch it is a whole
/// number in any form of JSON, and a worker would have to start a million times under one owner to use them up.
const LIFE_BITS: u32 = 20;

/// What the owner knows of the way to a life of a worker.
#[derive(Clone, Debug)]
pub struct Contact {
    /// The worker's clock when it last answered.
    pub clock: Option<(ClockMs, Instant)>,
    /// Until when its lease may hold at the latest.
    pub leased: Instant,
    /// When its newest answer to a question came: which life takes a call shows only afterwards.
    pub answered: Option<Instant>,
    /// Up to which number its ends are durable.
    pub noted: u64,
    /// The turns of starts that are sent to it.
    pub turns: Arc<Semaphore>,
}

impl Contact {
    /// The way to a worker of which nothing is known but until when its lease may hold.
    pub fn new(leased: Instant) -> Self {
        Contact {
            clock: None,
            leased,
            answered: None,
            noted: 0,
            turns: Arc::new(Semaphore::new(STARTS)),
        }
    }
}

/// How an owner sends orders to workers: by what stands above it.
pub type SendOrders = fn(&Rc<Owner>, Vec<Order>);

/// How long an owner may believe in its last renewal where two owners must not act in turn. Shorter
/// than [`fleet::EXPIRY`] by what clocks and answers may be late.
pub const TRUST: Duration = Duration::from_millis(1_100);

/// What is known of the owner before.
#[derive(Clone, Copy, Debug)]
pub struct Predecessor {
    /// When its last record was read; none if there was no owner before, or it gave the cell up.
    pub renewed: Option<Instant>,
    /// How long leases of owners before it may hold.
    pub waits: Duration,
    /// Whether the store was in trouble of late.
    pub trouble: Trouble,
    /// Whether it may have given orders about VMs that it has not recorded.
    pub orders: bool,
}

/// The owner of the cell.
pub struct Owner {
    /// Shared state of the entry.
    pub node: Rc<Node>,
    /// The number that fences the owner's appends and orders.
    pub epoch: u64,
    /// When it came to own the cell.
    pub began: Instant,
    /// The jobs and workers.
    pub cell: RefCell<JobCell>,
    /// The ways to the lives of workers.
    pub contacts: RefCell<HashMap<WorkerId, Contact>>,
    /// When the renewal that last succeeded was sent.
    pub renewed: Cell<Instant>,
    /// The entries that name no worker to use and have been logged, by id.
    pub foreign: RefCell<HashSet<WorkerName>>,
    /// The lives at whose address another worker has answered, with the address.
    pub gone: RefCell<HashMap<WorkerId, String>>,
    /// Until when an earlier owner's leases may hold.
    pub inherited: Instant,
    /// Whether the store was in trouble when this owner began.
    pub trouble: Trouble,
    /// When an order about VMs was last to be given without a record.
    order_due: Cell<Option<Instant>>,
    /// Whether the last renewal told of such orders.
    orders_told: Cell<bool>,
    /// From when on this owner may give orders about VMs that the earlier one gave orders about: it did
    /// so as long as it trusted its lease, and two holders must not act in turn.
    pub duties: Instant,
    /// The earlier owners that are known to have ended.
    pub ended: RefCell<HashSet<LifeId>>,
    /// How many orders about VMs may be given now.
    pub vm_rate: RefCell<RateLimit>,
    /// The end of the log of what operators are told, as far as it is known. Each record is appended on condition of
    /// it, so that one that comes late cannot stand behind a newer one.
    pub status_end: Cell<u64>,
    /// What other entries say of the store.
    pub outage: Cell<Outage>,
    /// When the renewal was sent that last told that runs may be started without a record.
    announced: Cell<Option<Instant>>,
    /// When runs were last started without a record.
    unrecorded: Cell<Option<Instant>>,
    /// Since when a renewal of the lease is under way.
    pub renewing: Cell<Option<Instant>>,
    /// Since when an append is under way.
    appending: Cell<Option<Instant>>,
    /// The version of the configuration whose bounds are in force in the cell; none before there is one.
    bounds: Cell<Option<Version>>,
    /// As of which offset of the operators' topic the cell knows which data centres are to be emptied.
    evacuated: Cell<Offset>,
    /// What sends orders to workers.
    send: SendOrders,
    /// Whether it may still decide.
    alive: Cell<bool>,
    /// Whether what earlier owners recorded has been taken in.
    pub loaded: Cell<bool>,
    /// The part of a core of a stronger entry that has asked for the cell.
    pub successor: Cell<Option<MilliCpu>>,
    /// Entries that the store answers while it does not answer this one; none as a rule.
    pub relays: RefCell<Vec<String>>,
    /// Told when there are some.
    pub relays_known: Notify,
    /// Told when the lease is to be looked at before its next renewal is due.
    pub lease_due: Notify,
    /// Told when something has changed in the cell.
    pub wake: Notify,
    /// Told after each append, and when the owner ends.
    pub settled: Notify,
}

impl Owner {
    /// An owner that knows nothing yet but its predecessor.
    pub fn new(
        node: &Rc<Node>,
        epoch: u64,
        before: Predecessor,
        since: Instant,
        send: SendOrders,
    ) -> Self {
        let now = Instant::now();
        let extended = match before.renewed {
            Some(at) => at + GRACE,
            None => now,
        };
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
            gone: RefCell::default(),
            renewed: Cell::new(since),
            inherited: (extended + longest(LEASE)).max(now + before.waits),
            trouble: before.trouble,
            order_due: Cell::new(None),
            orders_told: Cell::new(false),
            duties: before.renewed.map_or(now, |at| at + TRUST) + node.settings.lease,
            ended: RefCell::default(),
            vm_rate: RefCell::new(RateLimit::new(node.settings.vm_orders, now)),
            status_end: Cell::new(0),
            outage: Cell::default(),
            renewing: Cell::new(None),
            appending: Cell::new(None),
            bounds: Cell::new(None),
            evacuated: Cell::new(0),
            send,
            alive: Cell::new(true),
            loaded: Cell::new(false),
            successor: Cell::new(None),
            relays: RefCell::default(),
            relays_known: Notify::new(),
            lease_due: Notify::new(),
            announced: Cell::new(None),
            unrecorded: Cell::new(None),
            wake: Notify::new(),
            settled: Notify::new(),
        }
    }

    /// Whether it may still decide.
    pub fn is_alive(&self) -> bool {
        self.alive.get()
    }

    /// The fence of calls to a worker. It is higher than that of each earlier owner, and than that of each call that was
    /// meant for a life of the worker before the one that answers now: such a call may still be under way, and would
    /// start again what has been done or is started elsewhere.
    pub fn fence(&self, worker: &str) -> Fence {
        let changes = self.cell.borrow().changes_of(worker);
        (self.epoch << LIFE_BITS) + changes.min((1 << LIFE_BITS) - 1)
    }

    /// Whether a call with this fence was refused since this owner has raised it, and no other has.
    pub fn has_raised(&self, worker: &str, fence: Fence) -> bool {
        fence < self.fence(worker)
    }

    /// Whether it may extend leases and start what is durable.
    pub fn may_hold(&self) -> bool {
        self.is_alive() && self.renewed.get().elapsed() < GRACE
    }

    /// Whether it is certain that nobody else owns the cell.
    pub fn is_certain(&self) -> bool {
        self.is_alive() && self.renewed.get().elapsed() < TRUST
    }

    /// For how long leases of earlier owners may still hold.
    pub fn inherited_for(&self) -> Duration {
        self.inherited.saturating_duration_since(Instant::now())
    }

    /// Ends it: it decides and orders nothing any more.
    pub fn end(&self, why: &str) {
        if self.alive.replace(false) {
            self.node.metrics.owned("lost");
            info!(epoch = self.epoch, why, "owns the cell no longer");
            self.wake.notify_one();
            self.settled.notify_waiters();
        }
    }

    /// A renewal that was sent at `sent` is durable.
    pub fn note_renewal(&self, sent: Instant, lease: &Lease) {
        self.renewed.set(sent);
        if lease.unrecorded {
            self.announced.set(Some(sent));
        }
        self.orders_told.set(lease.orders);
        // Orders about VMs may have waited for this.
        self.settled.notify_waiters();
    }

    /// Whether runs may have been started without a record, or may be soon: the next owner is to know.
    pub fn may_be_unrecorded(&self) -> bool {
        self.has_unrecorded() || self.has_waited(SLOW)
    }

    /// Whether runs may have been started without a record by now.
    pub fn has_unrecorded(&self) -> bool {
        let recent = self.unrecorded.get();
        // What an earlier owner started so may still run until its leases have run out.
        let inherited = self.trouble != Trouble::None && Instant::now() < self.inherited;
        inherited || recent.is_some_and(|at| at.elapsed() < TROUBLE)
    }

    /// Something has changed in the cell: what follows is to be decided and done.
    pub fn wake(self: &Rc<Self>) {
        self.send_urgent();
        self.wake.notify_one();
    }

    /// Sends the orders that need no record.
    pub fn send_urgent(self: &Rc<Self>) {
        let urgent = self.cell.borrow_mut().take_urgent();
        self.send(urgent);
    }

    /// Sends orders to workers, without waiting for their answers.
    pub fn send(self: &Rc<Self>, orders: Vec<Order>) {
        (self.send)(self, orders);
    }

    /// What is known of an append that is under way.
    fn stall(&self) -> Stall {
        Stall {
            since: self.appending.get(),
            announced: self.announced.get(),
            confirmed: self.outage.get().is_confirmed(),
            certain: self.is_certain(),
        }
    }

    /// Whether a renewal or another append is under way that has taken at least this long.
    pub fn is_stalled(&self, least: Duration) -> bool {
        let renewing = self.renewing.get();
        renewing.is_some_and(|since| since.elapsed() >= least) || self.has_waited(least)
    }

    /// Whether an append is under way that has taken at least this long.
    fn has_waited(&self, least: Duration) -> bool {
        self.appending
            .get()
            .is_some_and(|since| since.elapsed() >= least)
    }
}

/// The limits of a cell's decisions that the platform tells, with the others as they are.
fn limits(settings: &Settings) -> Limits {
    Limits {
        stop: settings.stop,
        hold: longest(settings.hold),
        far: settings.far,
        ..Limits::default()
    }
}
