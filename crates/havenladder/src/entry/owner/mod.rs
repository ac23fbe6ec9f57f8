//! The owner of the cell: takes what earlier owners left, makes decisions durable, then acts.

mod answer;
mod append;
mod bound_waits;
mod duties;
mod load;
mod pulse;

use super::{
    fleet,
    lease::TRUST,
    node::{Lease, LifeId, Node, wall_ms},
    orders,
    outage::Outage,
    suspension, worker_list,
};
use ::fleet::{MilliCpu, RateLimit, Stall, TROUBLE, Trouble};
use adapter::{operator::Version, settings::Settings, workers::ClockMs};
use append::{SLOW, append};
use clock::{Instant, timer};
use jobs::{Batch, Cell as JobCell, Limits, WorkerId, WorkerName};
use load::load;
use pulse::Pulse;
use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tokio::{
    sync::{Notify, Semaphore},
    task, time,
};
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

/// The least time between two rounds of decisions: each append has a price and each pass over what waits
/// costs processor time, and what comes up meanwhile shares one. 350 workers wake the owner 2,000 times
/// a second.
const ROUND_GAP: Duration = Duration::from_millis(8);

/// Time between two looks at what only time changes: due rounds and runs that stand still.
const LONGEST_GAP: Duration = Duration::from_millis(200);

/// Time between two lines about lasting tasks that wait for room.
const LOG_INTERVAL: Duration = Duration::from_millis(2_000);

/// How many starts are under way to one worker at a time. A step of eight tasks that one worker gets would
/// otherwise open eight connections, of which each takes 12 KB: 7,000 of them made 80 MB on 1,100 workers. A
/// start takes some ms, so that eight of them wait for less than 20; and where a worker falls silent, only these
/// wait for its lease.
const STARTS: usize = 3;

/// How long a takeover may take before the store counts as troubled: it takes 50 ms as a rule.
const LOADED: Duration = Duration::from_millis(300);

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
    trouble: Trouble,
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
    /// Since when an append is under way.
    appending: Cell<Option<Instant>>,
    /// The version of the configuration whose bounds are in force in the cell; none before there is one.
    bounds: Cell<Option<Version>>,
    /// Whether it may still decide.
    alive: Cell<bool>,
    /// Whether what earlier owners recorded has been taken in.
    loaded: Cell<bool>,
    /// The part of a core of a stronger entry that has asked for the cell.
    pub successor: Cell<Option<MilliCpu>>,
    /// Told when the lease is to be looked at before its next renewal is due.
    pub lease_due: Notify,
    /// Told when something has changed in the cell.
    wake: Notify,
    /// Told after each append, and when the owner ends.
    pub settled: Notify,
}

impl Owner {
    /// Begins to own the cell, by a record that others may have read since `since`.
    pub fn start(node: &Rc<Node>, epoch: u64, before: Predecessor, since: Instant) -> Rc<Self> {
        let owner = Rc::new(Owner::new(node, epoch, before, since));
        node.metrics.owned("gained");
        info!(epoch, ?before, "owns the cell");
        *node.owner.borrow_mut() = Some(Rc::clone(&owner));
        task::spawn_local(run(Rc::clone(&owner)));
        owner
    }

    /// An owner that knows nothing yet but its predecessor.
    fn new(node: &Rc<Node>, epoch: u64, before: Predecessor, since: Instant) -> Self {
        let now = Instant::now();
        let extended = match before.renewed {
            Some(at) => at + GRACE,
            None => now,
        };
        let mut cell = JobCell::new(limits(&node.settings));
        if before.orders {
            cell.doubt_all_vms();
        }
        Owner {
            node: Rc::clone(node),
            epoch,
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
            appending: Cell::new(None),
            bounds: Cell::new(None),
            alive: Cell::new(true),
            loaded: Cell::new(false),
            successor: Cell::new(None),
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
        let recent = self.unrecorded.get();
        // What an earlier owner started so may still run until its leases have run out.
        let inherited = self.trouble != Trouble::None && Instant::now() < self.inherited;
        inherited || self.has_waited(SLOW) || recent.is_some_and(|at| at.elapsed() < TROUBLE)
    }

    /// Something has changed in the cell: what follows is to be decided and done.
    pub fn wake(self: &Rc<Self>) {
        self.send_urgent();
        self.wake.notify_one();
    }

    /// Sends the orders that need no record.
    fn send_urgent(self: &Rc<Self>) {
        let urgent = self.cell.borrow_mut().take_urgent();
        orders::send_all(self, urgent);
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

/// Takes the cell over, then works until the owner ends.
async fn run(owner: Rc<Owner>) {
    let began = Instant::now();
    if !load(&owner).await {
        return;
    }
    close_gate(&owner, began.elapsed());
    owner.loaded.set(true);
    owner.settled.notify_waiters();
    task::spawn_local(worker_list::run(Rc::clone(&owner)));
    task::spawn_local(fleet::run(Rc::clone(&owner)));
    task::spawn_local(duties::watch_holders(Rc::clone(&owner)));
    task::spawn_local(complain(Rc::clone(&owner)));
    work(&owner).await;
    owner.end("the loop ends");
}

/// Holds back what waited until all workers are met, if the earlier owner may have started some of it
/// without a record: a takeover that took long counts as trouble of the store as well.
fn close_gate(owner: &Owner, took: Duration) {
    let trouble = owner.trouble;
    if trouble != Trouble::None || took >= LOADED {
        let troubled = trouble != Trouble::Unknown;
        owner
            .cell
            .borrow_mut()
            .close_gate(owner.inherited, troubled);
    }
}

/// Decides, records and acts in turn until the owner ends.
async fn work(owner: &Rc<Owner>) {
    let mut sequence = 1;
    let mut pulse = Pulse::new(Instant::now());
    while owner.is_alive() {
        let _ = time::timeout(LONGEST_GAP, owner.wake.notified()).await;
        suspension::notice(&owner.node);
        let began = Instant::now();
        let mut batch = decide(owner);
        pulse.note_round(owner, began.elapsed());
        owner.send_urgent();
        if !batch.entries.is_empty() {
            if !append(owner, &batch.entries, sequence, &mut batch.starts).await {
                break;
            }
            sequence += 1;
        }
        if !batch.is_empty() {
            carry_out(owner, batch);
        }
        let due = Instant::now() + ROUND_GAP;
        timer::sleep_until(due).await;
        pulse.note_sleep(owner, due.elapsed());
    }
}

/// Tells for a lasting task that waits what keeps it from the workers.
async fn complain(owner: Rc<Owner>) {
    while owner.is_alive() {
        time::sleep(LOG_INTERVAL).await;
        let cell = owner.cell.borrow();
        let waiting = cell.waiting_lasting();
        if let Some(task) = waiting.first() {
            let obstacles = cell.obstacles(*task, Instant::now());
            info!(%task, waiting = waiting.len(), ?obstacles, "lasting task waits for room");
        }
    }
}

/// Decides what is to be done now, and what has to be recorded for it.
fn decide(owner: &Rc<Owner>) -> Batch {
    let now = Instant::now();
    owner.update_bounds();
    let mut cell = owner.cell.borrow_mut();
    cell.mark_due(wall_ms());
    cell.stop_still(now);
    cell.schedule(now);
    bound_waits::tell(&owner.node, cell.take_bound_waits());
    cell.take_batch()
}

/// Does what waited for its records, which are durable now.
fn carry_out(owner: &Rc<Owner>, batch: Batch) {
    owner.cell.borrow_mut().confirm(&batch);
    for (worker, number) in batch.noted {
        if let Some(contact) = owner.contacts.borrow_mut().get_mut(&worker) {
            contact.noted = contact.noted.max(number);
        }
    }
    orders::send_all(owner, batch.starts);
    owner.settled.notify_waiters();
}
