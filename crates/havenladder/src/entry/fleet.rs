//! The owner's VM control loop: reads the platform's list of VMs and decides on maintenance and moves between pools.

use super::{
    logs::kind,
    losses::abandon_worker,
    maintenance::Waves,
    moves::Moves,
    owner::Owner,
    resend::{Timeouts, until_answered},
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

/// A VM and the incarnation of its worker.
#[derive(Clone, Debug)]
pub struct Vm {
    /// The VM's name.
    pub name: String,
    /// The VM's pool.
    pub pool: String,
    /// The VM's state as listed by the platform.
    pub state: VmState,
    /// The data centre that the VM is in.
    pub hall: HallId,
    /// The VM's resource capacity.
    pub capacity: Need,
    /// The worker that runs on the VM, if any. This is the worker's current incarnation, or its bare name if no
    /// incarnation is known: the platform's list has only the name, which later incarnations keep.
    pub worker: Option<WorkerId>,
}

impl Vm {
    /// Converts a VM of the platform's list and looks up the current incarnation of its worker.
    fn from_listed(listed: cloud::Vm, owner: &Owner) -> Self {
        let cell = owner.cell.borrow();
        let incarnation = |name: WorkerName| {
            let current = cell.current_incarnation(&name).cloned();
            current.unwrap_or_else(|| WorkerId::new(&name, None))
        };
        Vm {
            name: listed.name,
            pool: listed.pool,
            state: listed.state,
            hall: listed.hall,
            capacity: listed.capacity,
            worker: listed.worker.map(incarnation),
        }
    }

    /// Returns whether the VM is up and may still run this incarnation of a worker or, for `None`, still has no worker.
    pub fn is_up_with(&self, worker: Option<&WorkerId>) -> bool {
        let same = match (&self.worker, worker) {
            (Some(now), Some(then)) => now.may_be(then),
            (None, None) => true,
            (Some(_), None) | (None, Some(_)) => false,
        };
        self.state == VmState::Up && same
    }
}

/// VMs by name.
pub type VmList = BTreeMap<String, Vm>;

/// Time between two rounds of decisions about VMs.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Age at which the list is read again while VMs are being moved or are down. These phases take 1.5 s to 2 s, and
/// each read has a cost.
pub const MAX_BUSY_LIST_AGE: Duration = Duration::from_millis(250);

/// Age at which the list is read again when no VM is being moved or is down.
const MAX_LIST_AGE: Duration = Duration::from_millis(3_000);

/// Time for which a silent worker must be missing from the list of VMs before its runs count as ended. A list may be
/// about 100 ms old, and a worker that has just started may not be in it yet.
const ABSENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time after which an order counts as not carried out if it got no response, or if the list shows no effect of it.
/// Orders may be carried out up to 12 s late.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(13_000);

/// Timeouts for reading the list, which is requested again until it arrives. No VM is ordered without the list.
const LIST_TIMEOUTS: Timeouts = Timeouts {
    hold: Duration::ZERO,
    limit: Duration::from_millis(1_500),
};

/// Reads the list of VMs. Returns `None` if the platform rejected the call or did not respond.
async fn read_list(owner: &Owner) -> Option<Vec<cloud::Vm>> {
    owner.node.metrics.read("vms");
    let send = |connection| {
        let cloud = owner.node.cloud.with_connection(connection);
        async move { cloud.vms().await }
    };
    let response = until_answered(&owner.node.list_times, LIST_TIMEOUTS, send).await;
    if let Err(error) = response.outcome {
        info!(%error, calls = response.calls, "could not read the list of VMs");
    }
    response.outcome.ok().flatten()
}

/// Runs the VM control loop until the owner ends.
pub async fn run(owner: Rc<Owner>) {
    expect_workers(&owner).await;
    let mut waves = Waves::default();
    let mut moves = Moves::default();
    let mut list = VmList::new();
    let mut read_at: Option<Instant> = None;
    let mut absences = Absences::default();
    while owner.is_alive() {
        let busy = waves.is_open(&owner) || moves.is_open() || !absences.none_silent(&owner);
        let age = if busy {
            MAX_BUSY_LIST_AGE
        } else {
            MAX_LIST_AGE
        };
        let asked = Instant::now();
        if read_at.is_none_or(|at| at.elapsed() >= age)
            && let Some(vms) = read_list(&owner).await
        {
            let vms = vms.into_iter().map(|vm| Vm::from_listed(vm, &owner));
            list = vms.map(|vm| (vm.name.clone(), vm)).collect();
            read_at = Some(Instant::now());
            absences.abandon_absent(&owner, &list, asked);
            mark_unconfirmed_workers(&owner, &list);
            moves.apply_list(&owner, &list);
            if waves.advance(&owner, &list).await {
                read_at = None;
                continue;
            }
        }
        owner.drain_halls();
        if read_at.is_some() {
            moves.advance(&owner, &list, &waves).await;
        }
        time::sleep(CHECK_INTERVAL).await;
    }
}

/// Silent workers that are missing from the list of VMs.
#[derive(Default)]
struct Absences {
    /// The time since which each of these workers has been missing from the list.
    since: BTreeMap<WorkerId, Instant>,
}

impl Absences {
    /// Returns whether every worker that may have runs is responding.
    fn none_silent(&self, owner: &Owner) -> bool {
        owner.cell.borrow().silent_workers().is_empty()
    }

    /// Abandons silent workers that are missing from the list requested at `asked` and from earlier lists for
    /// [`ABSENCE_TIMEOUT`]. A worker never outlives its VM, so its runs have ended. One list is enough if the
    /// worker's port had already refused a connection by `asked`. For listed workers, their own responses show which
    /// incarnation is running.
    fn abandon_absent(&mut self, owner: &Rc<Owner>, list: &VmList, asked: Instant) {
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
            let refused = owner.cell.borrow().has_refused_connection(&id, asked);
            if refused || now >= since + ABSENCE_TIMEOUT {
                info!(target: kind::WORKER, worker = %id, "no VM has the silent worker any more");
                abandon_worker(owner, &id, Loss::Ended);
            }
        }
    }
}

/// Informs the cell which workers' VMs may still be taken down by an order of an earlier owner.
fn mark_unconfirmed_workers(owner: &Owner, list: &VmList) {
    for vm in list.values() {
        if vm.state == VmState::Upkeep {
            owner.cell.borrow_mut().settle_maintenance(&vm.name);
        }
        if let Some(worker) = &vm.worker {
            let unconfirmed = owner.has_unconfirmed_order(&vm.name);
            owner
                .cell
                .borrow_mut()
                .set_order_unconfirmed(worker, unconfirmed);
        }
    }
}

/// Informs the cell, once, which workers run on the VMs that are up.
async fn expect_workers(owner: &Rc<Owner>) {
    while owner.is_alive() {
        if let Some(vms) = read_list(owner).await {
            let up = vms.into_iter().filter(|vm| vm.state == VmState::Up);
            let workers = up.filter_map(|vm| Some((vm.worker?, vm.pool)));
            owner.cell.borrow_mut().expect_workers(workers);
            return owner.wake();
        }
        time::sleep(MAX_BUSY_LIST_AGE).await;
    }
}
