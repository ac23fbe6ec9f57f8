//! The owner of the cell: takes what earlier owners left, makes decisions durable, then acts.

use super::{
    fleet,
    inner::{Ask, News, Tell},
    lease::TRUST,
    node::{Node, wall_ms},
    orders, watch,
};
use adapter::{
    store::{Appended, Condition, Keyed, frame_keyed},
    workers::ClockMs,
};
use jobs::{
    Accepted, Batch, Cancelled, Cell as JobCell, Entry, JobId, Limits, Order, Phase, WorkerId,
};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{sync::Notify, task, time};
use tracing::{info, warn};

/// The topic with the jobs of the cell.
const TOPIC: &str = "keyed.jobs";

/// The name under which owners append to it; their epochs shut out earlier owners.
const PRODUCER: &str = "owner";

/// How long a worker keeps its runs without a word from the owner. Long enough for a new owner to be
/// found (2 s), to take over (0.5 s) and to reach the worker; a worker that is lost keeps its tasks
/// waiting for as long.
pub const LEASE: Duration = Duration::from_millis(4_500);

/// How long an owner that cannot renew goes on extending leases: while the store is down for all,
/// nobody else can take over. A new owner waits it out where it does not reach a worker.
pub const GRACE: Duration = Duration::from_millis(6_000);

/// The least time between two appends: each call has a price, and what comes up meanwhile shares one.
const GAP: Duration = Duration::from_millis(8);

/// Time between two looks at what only time changes: due rounds and runs that stand still.
const TICK: Duration = Duration::from_millis(200);

/// How long an append may take before work goes on without it: ten times what it takes as a rule.
const SLOW: Duration = Duration::from_millis(150);

/// Time between two looks at what can be done while an append is under way.
const MEANWHILE: Duration = Duration::from_millis(50);

/// How long an append may take before new jobs are refused at once: the store is away.
const AWAY: Duration = Duration::from_millis(500);

/// Time until an append that did not succeed is tried again.
const AGAIN: Duration = Duration::from_millis(60);

/// What the owner knows of the way to a worker.
#[derive(Clone, Debug)]
pub struct Contact {
    /// The worker's clock when it last answered.
    pub clock: Option<(ClockMs, Instant)>,
    /// Until when its lease may hold at the latest.
    pub leased: Instant,
    /// Up to which number its ends are durable.
    pub noted: u64,
}

/// What is known of the owner before.
#[derive(Clone, Copy, Debug)]
pub struct Predecessor {
    /// When its last renewal was read; none if its process has ended for certain.
    pub renewed: Option<Instant>,
    /// Whether the store was in trouble of late.
    pub troubled: bool,
}

/// The owner of the cell.
pub struct Owner {
    /// Shared state of the entry.
    pub node: Rc<Node>,
    /// The number that fences the owner's appends and orders.
    pub epoch: u64,
    /// The jobs and workers.
    pub cell: RefCell<JobCell>,
    /// The ways to the workers.
    pub contacts: RefCell<HashMap<WorkerId, Contact>>,
    /// When the renewal that last succeeded was sent.
    pub renewed: Cell<Instant>,
    /// Until when an earlier owner's leases may hold.
    pub inherited: Instant,
    /// From when on this owner may give orders about VMs that the earlier one gave orders about: it did
    /// so as long as it trusted its lease, and two holders must not act in turn.
    pub duties: Instant,
    /// Since when an append is under way.
    appending: Cell<Option<Instant>>,
    alive: Cell<bool>,
    loaded: Cell<bool>,
    wake: Notify,
    /// Told after each append, and when the owner ends.
    pub settled: Notify,
}

impl Owner {
    /// Begins to own the cell.
    pub fn start(node: &Rc<Node>, epoch: u64, before: Predecessor) -> Rc<Self> {
        let now = Instant::now();
        let extended = match before.renewed {
            Some(at) => at + GRACE,
            None => now,
        };
        let limits = Limits {
            stop: node.settings.stop,
            ..Limits::default()
        };
        let owner = Rc::new(Owner {
            node: Rc::clone(node),
            epoch,
            cell: RefCell::new(JobCell::new(limits)),
            contacts: RefCell::default(),
            renewed: Cell::new(now),
            inherited: extended + LEASE.mul_f64(1.03) + Duration::from_millis(50),
            duties: before.renewed.map_or(now, |at| at + TRUST) + node.settings.lease,
            appending: Cell::new(None),
            alive: Cell::new(true),
            loaded: Cell::new(false),
            wake: Notify::new(),
            settled: Notify::new(),
        });
        node.metrics.owned("gained");
        info!(epoch, ?before, "owns the cell");
        *node.owner.borrow_mut() = Some(Rc::clone(&owner));
        task::spawn_local(run(Rc::clone(&owner), before.troubled));
        owner
    }

    /// Whether it may still decide.
    pub fn is_alive(&self) -> bool {
        self.alive.get()
    }

    /// Whether it may extend leases and start what is durable.
    pub fn may_hold(&self) -> bool {
        self.is_alive() && self.renewed.get().elapsed() < GRACE
    }

    /// Whether it is certain that nobody else owns the cell.
    pub fn is_certain(&self) -> bool {
        self.is_alive() && self.renewed.get().elapsed() < TRUST
    }

    /// Whether the store has not taken an append for so long that a new job would wait in vain.
    fn is_cut_off(&self) -> bool {
        self.appending
            .get()
            .is_some_and(|since| since.elapsed() >= AWAY)
    }

    /// Whether the log has not taken an append for a while.
    fn is_stalled(&self) -> bool {
        self.appending
            .get()
            .is_some_and(|since| since.elapsed() >= SLOW)
    }

    /// Waits until orders about VMs may be given; false if they may not.
    pub async fn claim_vms(self: &Rc<Self>, vms: &[&str]) -> bool {
        if !self.is_certain() {
            return false;
        }
        let matters = self.node.settings.lease;
        let noted = vms.iter().copied();
        let version = self
            .cell
            .borrow_mut()
            .note_orders(noted, Instant::now(), matters);
        self.wake();
        loop {
            let settled = self.settled.notified();
            if self.cell.borrow().orders_durable(version) {
                return self.is_certain();
            }
            if !self.is_certain() || time::timeout(AWAY, settled).await.is_err() {
                return false;
            }
        }
    }

    /// Whether a VM is to be left alone because an earlier owner may have just given an order about it.
    pub fn must_spare(&self, vm: &str) -> bool {
        Instant::now() < self.duties && self.cell.borrow().was_ordered(vm)
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

    /// Something has changed in the cell: what follows is to be decided and done.
    pub fn wake(self: &Rc<Self>) {
        let urgent = self.cell.borrow_mut().take_urgent();
        urgent
            .into_iter()
            .for_each(|order| orders::send(self, order));
        self.wake.notify_one();
    }

    /// Answers a question of an entry.
    pub async fn answer(self: &Rc<Self>, ask: Ask) -> Tell {
        while !self.loaded.get() {
            if !self.is_alive() {
                return Tell::NotOwner;
            }
            self.settled.notified().await;
        }
        match ask {
            Ask::Submit(given) => {
                let id = given.id;
                if self.is_cut_off() && !self.cell.borrow().jobs.contains_key(&id) {
                    info!(job = format!("{id:016x}"), "refused: the store is away");
                    return Tell::Refused;
                }
                let accepted = self.cell.borrow_mut().accept(given);
                self.wake();
                match self.durable(id).await {
                    Some(_) => {
                        info!(
                            job = format!("{id:016x}"),
                            new = accepted == Accepted::New,
                            "accepted"
                        );
                        Tell::Accepted
                    }
                    None => Tell::Unsure,
                }
            }
            Ask::Cancel(id) => {
                let cancelled = self.cell.borrow_mut().cancel(id);
                if cancelled == Cancelled::Unknown {
                    return Tell::Unknown;
                }
                self.wake();
                info!(job = format!("{id:016x}"), "cancelled");
                self.durable(id)
                    .await
                    .map_or(Tell::Unsure, |_| Tell::Cancelled)
            }
            Ask::State(id) => {
                let shown = self.cell.borrow().jobs.get(&id).map(|job| job.shown);
                match shown {
                    None => Tell::Unknown,
                    Some(Some(phase)) => Tell::State(phase),
                    Some(None) => self.durable(id).await.map_or(Tell::Unsure, Tell::State),
                }
            }
            Ask::News { .. } => Tell::News(News::default()),
            Ask::Pending(queue) => Tell::Pending(self.cell.borrow().pending(&queue)),
        }
    }

    /// Waits until what is known of a job is durable; none if this owner ends before.
    async fn durable(&self, id: JobId) -> Option<Phase> {
        loop {
            let settled = self.settled.notified();
            if !self.is_alive() {
                return None;
            }
            match self.told(id) {
                Told::Missing => return None,
                Told::Durable(phase) => return Some(phase),
                Told::Waits => settled.await,
            }
        }
    }

    fn told(&self, id: JobId) -> Told {
        let cell = self.cell.borrow();
        let Some(job) = cell.jobs.get(&id) else {
            return Told::Missing;
        };
        // Over or not is what a caller was told or waits for; the rest may be behind.
        match job.shown {
            Some(shown) if shown.is_over() == job.phase.is_over() => Told::Durable(shown),
            _ => Told::Waits,
        }
    }
}

/// What can be told of a job.
enum Told {
    /// It is not known.
    Missing,
    /// It is this far, and that is durable.
    Durable(Phase),
    /// What is known of it is not durable yet.
    Waits,
}

async fn run(owner: Rc<Owner>, troubled: bool) {
    if !load(&owner).await {
        return;
    }
    owner
        .cell
        .borrow_mut()
        .close_gate(owner.inherited, troubled);
    owner.loaded.set(true);
    owner.settled.notify_waiters();
    task::spawn_local(watch::run(Rc::clone(&owner)));
    task::spawn_local(fleet::run(Rc::clone(&owner)));
    task::spawn_local(complain(Rc::clone(&owner)));
    let mut sequence = 1;
    while owner.is_alive() {
        let _ = time::timeout(TICK, owner.wake.notified()).await;
        let mut batch = decide(&owner);
        owner.wake_urgent();
        if batch.is_empty() {
            continue;
        }
        if !batch.entries.is_empty() {
            if !append(&owner, &batch.entries, sequence, &mut batch.starts).await {
                break;
            }
            sequence += 1;
        }
        carry_out(&owner, batch);
        time::sleep(GAP).await;
    }
    owner.end("the loop ends");
}

impl Owner {
    fn wake_urgent(self: &Rc<Self>) {
        let urgent = self.cell.borrow_mut().take_urgent();
        urgent
            .into_iter()
            .for_each(|order| orders::send(self, order));
    }
}

/// Time between two lines about lasting tasks that wait for room.
const COMPLAINT: Duration = Duration::from_millis(2_000);

/// Tells for a lasting task that waits what keeps it from the workers.
async fn complain(owner: Rc<Owner>) {
    while owner.is_alive() {
        time::sleep(COMPLAINT).await;
        let cell = owner.cell.borrow();
        let waiting = cell.waiting_lasting();
        if let Some(task) = waiting.first() {
            let obstacles = cell.obstacles(*task, Instant::now());
            info!(%task, waiting = waiting.len(), ?obstacles, "lasting task waits for room");
        }
    }
}

fn decide(owner: &Rc<Owner>) -> Batch {
    let now = Instant::now();
    let mut cell = owner.cell.borrow_mut();
    cell.mark_due(wall_ms());
    cell.stop_still(now);
    cell.schedule(now);
    cell.take_batch()
}

fn carry_out(owner: &Rc<Owner>, batch: Batch) {
    owner.cell.borrow_mut().confirm(&batch);
    for (worker, number) in batch.noted {
        if let Some(contact) = owner.contacts.borrow_mut().get_mut(&worker) {
            contact.noted = contact.noted.max(number);
        }
    }
    batch
        .starts
        .into_iter()
        .for_each(|order| orders::send(owner, order));
    owner.settled.notify_waiters();
}

/// Shuts out earlier owners and takes in what they recorded; false if this owner was shut out.
async fn load(owner: &Rc<Owner>) -> bool {
    let began = Instant::now();
    if !append(owner, &[], 0, &mut Vec::new()).await {
        owner.end("a newer owner was there first");
        return false;
    }
    loop {
        if !owner.is_alive() {
            return false;
        }
        match owner.node.store.newest(TOPIC).await {
            Ok(Some(newest)) => {
                let records: Vec<_> = newest.records.iter().filter_map(decode).collect();
                let count = records.len();
                owner.cell.borrow_mut().load(records);
                let jobs = owner.cell.borrow().jobs.len();
                info!(
                    count,
                    jobs,
                    ms = began.elapsed().as_millis() as u64,
                    "took over the cell"
                );
                return true;
            }
            Ok(None) | Err(_) => time::sleep(AGAIN).await,
        }
    }
}

fn decode(record: &Keyed) -> Option<jobs::Decoded> {
    let value = record.value.as_ref()?;
    match jobs::decode_entry(&record.key, value) {
        Ok(decoded) => Some(decoded),
        Err(error) => {
            warn!(%error, key = record.key, "a record of the cell cannot be read");
            None
        }
    }
}

/// Makes records durable, however often it takes; false if a newer owner shut this one out. What can
/// be done without them is done meanwhile.
async fn append(
    owner: &Rc<Owner>,
    entries: &[Entry],
    sequence: u64,
    starts: &mut Vec<Order>,
) -> bool {
    let rows = entries
        .iter()
        .map(|entry| (entry.key.as_str(), entry.value.as_deref()));
    let body = frame_keyed(rows);
    let condition = Condition::Producer {
        name: PRODUCER,
        epoch: owner.epoch,
        sequence,
    };
    owner.appending.set(Some(Instant::now()));
    let mut durable = false;
    while owner.is_alive() {
        let call = owner.node.store.append(TOPIC, condition, body.clone());
        match meanwhile(owner, call, starts).await {
            Ok(Appended::Done(_)) => {
                durable = true;
                break;
            }
            Ok(Appended::Fenced) => owner.end("a newer owner appends"),
            Ok(Appended::Busy) | Err(_) => {
                let pause = time::sleep(AGAIN);
                meanwhile(owner, pause, starts).await;
            }
            Ok(odd) => {
                warn!(?odd, sequence, "an append was refused");
                owner.end("an append was refused");
            }
        }
    }
    if let Some(since) = owner.appending.take() {
        owner.node.metrics.appended(since.elapsed());
    }
    durable
}

/// Waits for something and, where an append takes long, goes on with jobs that the log holds.
async fn meanwhile<T>(
    owner: &Rc<Owner>,
    call: impl Future<Output = T>,
    starts: &mut Vec<Order>,
) -> T {
    let mut call = pin!(call);
    loop {
        if let Ok(outcome) = time::timeout(MEANWHILE, call.as_mut()).await {
            return outcome;
        }
        if owner.is_stalled() && owner.loaded.get() && owner.may_hold() {
            go_on(owner, starts);
        }
    }
}

/// Starts what is due of jobs that the log holds, though the starts themselves are not recorded: a
/// new owner meets all workers before it starts what waited.
fn go_on(owner: &Rc<Owner>, starts: &mut Vec<Order>) {
    let now = Instant::now();
    let mut cell = owner.cell.borrow_mut();
    cell.mark_due(wall_ms());
    cell.stop_still(now);
    cell.schedule_unrecorded(now);
    let mut known = cell.take_known(starts);
    known.extend(cell.take_unrecorded());
    drop(cell);
    owner.wake_urgent();
    known
        .into_iter()
        .for_each(|order| orders::send(owner, order));
}
