//! The VMs: their list, and what the owner does about them, one look after the other.

use super::{
    losses::give_up,
    moves::Moves,
    owner::Owner,
    resend::{Timeouts, until_answered},
    upkeep::Waves,
};
use adapter::cloud::{self, VmState};
use clock::Instant;
use jobs::{HallId, Loss, Need, WorkerId, WorkerName};
use std::{
    collections::{BTreeMap, HashSet},
    rc::Rc,
    time::Duration,
};
use tokio::time;
use tracing::info;

/// A VM, with the life of the worker that it has.
#[derive(Clone, Debug)]
pub struct Vm {
    /// Its name.
    pub name: String,
    /// Its pool.
    pub pool: String,
    /// How it is.
    pub state: VmState,
    /// Its data centre.
    pub hall: HallId,
    /// Its room.
    pub capacity: Need,
    /// The worker that runs on it, if any: the life that counts by what is known, or the name alone of one that is not
    /// known. The platform's list tells the name, under which the next life goes on.
    pub worker: Option<WorkerId>,
}

impl Vm {
    /// A VM of the platform's list, as the owner knows its worker.
    fn of(listed: cloud::Vm, owner: &Owner) -> Self {
        let cell = owner.cell.borrow();
        let life = |name: WorkerName| {
            let current = cell.current_life(&name).cloned();
            current.unwrap_or_else(|| WorkerId::new(&name, None))
        };
        Vm {
            name: listed.name,
            pool: listed.pool,
            state: listed.state,
            hall: listed.hall,
            capacity: listed.capacity,
            worker: listed.worker.map(life),
        }
    }

    /// Whether it is up and has the worker that it had, and not another life of it.
    pub fn is_up_with(&self, worker: Option<&WorkerId>) -> bool {
        let same = match (&self.worker, worker) {
            (Some(now), Some(then)) => now.may_be(then),
            (None, None) => true,
            (Some(_), None) | (None, Some(_)) => false,
        };
        self.state == VmState::Up && same
    }
}

/// The VMs by name.
pub type VmList = BTreeMap<String, Vm>;

/// Time between two looks at what the pools need.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Age of the list at which it is read again while VMs are on their way or down: these take 1.5 to
/// 2 s, and each reading has a price.
const BUSY_LIST_AGE: Duration = Duration::from_millis(250);

/// Age of the list at which it is read again in any case.
const CALM_LIST_AGE: Duration = Duration::from_millis(3_000);

/// How long the list of VMs must not have named a silent worker until what ran there has ended for
/// certain: a list may be some 100 ms old, and a worker that has just begun may not be in it yet.
const ABSENT: Duration = Duration::from_millis(1_500);

/// How long an order without an answer, or with one that the list doesn't show, is waited for: orders
/// may be carried out 12 s late.
pub const ORDER_LOST: Duration = Duration::from_millis(13_000);

/// How long the list is asked for again without an answer. Without it no VM is ordered.
const LIST: Timeouts = Timeouts {
    hold: Duration::ZERO,
    limit: Duration::from_millis(1_500),
};

/// Reads the list of VMs; none if the platform turned the call away or did not answer.
async fn read_list(owner: &Owner) -> Option<Vec<cloud::Vm>> {
    owner.node.metrics.read("vms");
    let send = |connection| {
        let cloud = owner.node.cloud.with_connection(connection);
        async move { cloud.vms().await }
    };
    let answered = until_answered(&owner.node.list_times, LIST, send).await;
    if let Err(error) = answered.outcome {
        info!(%error, calls = answered.calls, "no list of VMs");
    }
    answered.outcome.ok().flatten()
}

/// Runs until the owner ends.
pub async fn run(owner: Rc<Owner>) {
    expect_workers(&owner).await;
    let mut waves = Waves::default();
    let mut moves = Moves::default();
    let mut list = VmList::new();
    let mut read: Option<Instant> = None;
    let mut absences = Absences::default();
    while owner.is_alive() {
        let busy = waves.is_open(&owner) || moves.is_open() || !absences.is_settled(&owner);
        let age = if busy { BUSY_LIST_AGE } else { CALM_LIST_AGE };
        let began = Instant::now();
        if read.is_none_or(|at| at.elapsed() >= age)
            && let Some(vms) = read_list(&owner).await
        {
            let vms = vms.into_iter().map(|vm| Vm::of(vm, &owner));
            list = vms.map(|vm| (vm.name.clone(), vm)).collect();
            read = Some(Instant::now());
            absences.see(&owner, &list, began);
            doubt_workers(&owner, &list);
            moves.see(&owner, &list);
            if waves.advance(&owner, &list).await {
                read = None;
                continue;
            }
        }
        owner.drain_halls();
        if read.is_some() {
            moves.advance(&owner, &list, &waves).await;
        }
        time::sleep(LOOK_INTERVAL).await;
    }
}

/// Workers that do not answer and that no VM in the list of VMs has.
#[derive(Default)]
struct Absences {
    /// Since when the list of VMs has named none with each of them.
    since: BTreeMap<WorkerId, Instant>,
}

impl Absences {
    /// Whether every worker that may have runs answers.
    fn is_settled(&self, owner: &Owner) -> bool {
        owner.cell.borrow().silent_workers().is_empty()
    }

    /// Gives up the silent workers that a new list of VMs, asked for at `asked`, does not name, as earlier ones did not: a
    /// worker belongs to its VM, so that what ran there has ended. One list does for a worker whose port had refused a
    /// connection by then. Where the list names a worker, its own answers tell which life of it goes on.
    fn see(&mut self, owner: &Rc<Owner>, list: &VmList, asked: Instant) {
        let silent = owner.cell.borrow().silent_workers();
        let named: HashSet<&str> = list
            .values()
            .filter_map(|vm| vm.worker.as_ref().map(WorkerId::name))
            .collect();
        let silent = silent.into_iter();
        let absent: Vec<WorkerId> = silent.filter(|id| !named.contains(id.name())).collect();
        self.since.retain(|id, _| absent.contains(id));
        let now = Instant::now();
        for id in absent {
            let since = *self.since.entry(id.clone()).or_insert(now);
            let refused = owner.cell.borrow().has_refused(&id, asked);
            if refused || now >= since + ABSENT {
                info!(worker = %id, "silent worker is on no VM any more");
                give_up(owner, &id, Loss::Ended);
            }
        }
    }
}

/// Tells the cell which workers' VMs may be about to go by an order of an earlier owner.
fn doubt_workers(owner: &Owner, list: &VmList) {
    for vm in list.values() {
        if let Some(worker) = &vm.worker {
            let doubted = owner.has_unconfirmed_order(&vm.name);
            owner.cell.borrow_mut().doubt_worker(worker, doubted);
        }
    }
}

/// Tells the cell, once, which workers run on the VMs that are up.
async fn expect_workers(owner: &Rc<Owner>) {
    while owner.is_alive() {
        if let Some(vms) = read_list(owner).await {
            let up = vms.into_iter().filter(|vm| vm.state == VmState::Up);
            let workers = up.filter_map(|vm| Some((vm.worker?, vm.pool)));
            owner.cell.borrow_mut().expect_workers(workers);
            return owner.wake();
        }
        time::sleep(BUSY_LIST_AGE).await;
    }
}
