//! Moves VMs between pools according to the demand of the pools' jobs.

mod capacity;
mod demands;
mod drain;

use super::{
    fleet::{ORDER_TIMEOUT, Vm, VmList},
    losses::abandon_worker,
    maintenance::Waves,
    owner::Owner,
    vm_orders::{self, VmOperation, VmOrder},
};
use adapter::cloud::{OrderOutcome, VmState};
use clock::Instant;
use fleet::{PoolDemand, SizingLimits, VmMove, lacks_vms, resize};
use jobs::{Disruption, Loss, Need, WorkerId};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    rc::Rc,
    time::Duration,
};
use tracing::info;

/// Interval between two rounds of log lines about what the pools have and need.
const LOG_INTERVAL: Duration = Duration::from_millis(1_000);

/// VMs that are being moved, and the recent usage of each pool.
#[derive(Default)]
pub struct Moves {
    /// VMs that are being moved, by name.
    moving: BTreeMap<String, Moving>,
    /// Idle VMs by name, with the time since which each has been idle.
    idle: BTreeMap<String, Instant>,
    /// VMs that are being drained, with the time at which this began.
    draining: BTreeMap<String, Instant>,
    /// VMs that took too long to drain, with the time until which they are skipped.
    stuck: BTreeMap<String, Instant>,
    /// Recent usage of each pool, with the time of each sample.
    usage: BTreeMap<String, VecDeque<(Instant, Need)>>,
    /// When the pools were last logged.
    last_logged: Option<Instant>,
    /// VMs whose listed capacity cannot be right, which has been logged.
    invalid: BTreeSet<String>,
    /// Moves that the platform does not allow, as source and destination pool.
    rejected: BTreeSet<(String, String)>,
}

/// The input of one round of decisions about VMs.
#[derive(Clone, Copy)]
struct Round<'r> {
    owner: &'r Owner,
    list: &'r VmList,
    waves: &'r Waves,
    now: Instant,
}

impl Round<'_> {
    /// Returns the worker of a VM.
    fn worker(&self, name: &str) -> Option<&WorkerId> {
        self.list.get(name).and_then(|vm| vm.worker.as_ref())
    }
}

/// A VM that is being moved.
struct Moving {
    /// The destination pool.
    to: String,
    /// The worker that the VM had.
    worker: Option<WorkerId>,
    /// When the order was sent.
    since: Instant,
    /// Whether the list of VMs has shown that the VM left its pool.
    confirmed: bool,
}

impl Moves {
    /// Returns whether VMs are being moved.
    pub fn is_open(&self) -> bool {
        !self.moving.is_empty()
    }

    /// Determines from a new list of VMs which moves have been carried out.
    pub fn apply_list(&mut self, owner: &Rc<Owner>, list: &VmList) {
        for (name, moving) in &mut self.moving {
            let Some(vm) = list.get(name) else { continue };
            // A new incarnation of the worker may be back under the same name before any response has shown it.
            let same = vm.is_up_with(moving.worker.as_ref());
            let left = !same || vm.pool == moving.to;
            if left && !moving.confirmed {
                moving.confirmed = true;
                if let Some(id) = &moving.worker {
                    abandon_worker(owner, id, Loss::Ordered);
                }
            }
        }
        self.moving.retain(|name, moving| {
            let Some(vm) = list.get(name) else {
                return false;
            };
            let arrived = vm.state == VmState::Up && moving.confirmed;
            let lost = !moving.confirmed && moving.since.elapsed() >= ORDER_TIMEOUT;
            if lost && let Some(id) = &moving.worker {
                owner.cell.borrow_mut().set_disrupted(id, false);
            }
            !arrived && !lost
        });
    }

    /// Decides which VMs to drain and to move, and carries that out.
    pub async fn advance(&mut self, owner: &Rc<Owner>, list: &VmList, waves: &Waves) {
        if !owner.is_certain() {
            return;
        }
        let now = Instant::now();
        let round = Round {
            owner,
            list,
            waves,
            now,
        };
        let limits = SizingLimits::default();
        let mut pools = self.demands(round);
        self.log_pools(round, &pools);
        if lacks_vms(&pools, &limits) {
            self.find_drainable(round, &mut pools);
        }
        let plan = resize(&pools, now, &limits);
        self.drain(round, &plan);
        owner.wake();
        self.order_moves(owner, list, plan.moves).await;
    }

    /// Orders the moves that may be made now, up to the platform's rate limit. The owner records its claim to the VMs
    /// first.
    async fn order_moves(&mut self, owner: &Rc<Owner>, list: &VmList, mut wanted: Vec<VmMove>) {
        wanted.retain(|shift| !owner.must_skip(&shift.vm) && !self.is_rejected(shift));
        wanted.truncate(vm_orders::available(owner));
        let vms: Vec<&str> = wanted.iter().map(|shift| shift.vm.as_str()).collect();
        if vms.is_empty() || !owner.claim_vms(&vms).await {
            return;
        }
        let begun: Vec<(&Vm, VmOrder)> = wanted
            .iter()
            .filter_map(|shift| Some((shift, list.get(&shift.vm)?)))
            .filter_map(|(shift, vm)| Some((vm, self.begin_move(owner, vm, shift)?)))
            .collect();
        let orders = begun.iter().map(|(_, order)| order.clone()).collect();
        let outcomes = vm_orders::send_all(owner, orders).await;
        for ((vm, _), outcome) in begun.into_iter().zip(outcomes) {
            self.apply_outcome(owner, vm, outcome);
        }
    }

    /// Logs from time to time what each pool has and needs.
    fn log_pools(&mut self, round: Round<'_>, pools: &[PoolDemand]) {
        let now = round.now;
        if self.last_logged.is_some_and(|at| now < at + LOG_INTERVAL) {
            return;
        }
        self.last_logged = Some(now);
        let usable_cpu = self.usable_cpu(round);
        for pool in pools {
            let usable = usable_cpu.get(&pool.pool).copied().unwrap_or_default();
            let counts = round.owner.cell.borrow().pass_counts(&pool.pool);
            info!(
                pool = pool.pool,
                vms = pool.vms,
                idle = pool.idle.len(),
                least = pool.min_vms,
                usable = usable.now,
                usable_later = usable.later,
                busy = pool.peak_running,
                waiting = pool.waiting,
                late = pool.late,
                late_running = pool.late_running,
                inflow = pool.inflow,
                misfits = counts.misfits,
                untried = counts.untried,
                reserved = counts.reserved,
                "pool"
            );
        }
    }

    /// Returns whether the platform has rejected a move between these pools.
    fn is_rejected(&self, shift: &VmMove) -> bool {
        let shift_pools = (shift.from.clone(), shift.to.clone());
        self.rejected.contains(&shift_pools)
    }

    /// Begins a move if the VM still has no runs. Its worker gets no new runs from now on.
    fn begin_move(&mut self, owner: &Owner, vm: &Vm, shift: &VmMove) -> Option<VmOrder> {
        if let Some(id) = &vm.worker {
            let mut cell = owner.cell.borrow_mut();
            if cell.disruption(id) != Disruption::Free {
                return None;
            }
            cell.set_disrupted(id, true);
            // Its disruption alone keeps new runs off the worker, which must be open again if the platform
            // refuses the move.
            if self.draining.remove(&vm.name).is_some() {
                cell.set_closed(id, false);
            }
        }
        self.idle.remove(&vm.name);
        let moving = Moving {
            to: shift.to.clone(),
            worker: vm.worker.clone(),
            since: Instant::now(),
            confirmed: false,
        };
        self.moving.insert(vm.name.clone(), moving);
        Some(VmOrder {
            vm: vm.name.clone(),
            operation: VmOperation::Move(shift.to.clone()),
        })
    }

    /// Applies what the response to an order shows about the move.
    fn apply_outcome(&mut self, owner: &Owner, vm: &Vm, outcome: Option<OrderOutcome>) {
        match outcome {
            // Without a response the order may be carried out at any time; the list will show it.
            Some(OrderOutcome::Done) | None => {}
            Some(OrderOutcome::Fenced) => owner.end("a newer owner gave orders for a VM"),
            Some(refused @ (OrderOutcome::Busy | OrderOutcome::Later | OrderOutcome::Rejected)) => {
                let moving = self.moving.remove(&vm.name);
                if refused == OrderOutcome::Rejected {
                    let rejected = moving.map(|moving| (vm.pool.clone(), moving.to));
                    self.rejected.extend(rejected);
                }
                if let Some(id) = &vm.worker {
                    owner.cell.borrow_mut().set_disrupted(id, false);
                }
            }
        }
    }
}
