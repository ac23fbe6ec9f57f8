//! Moves VMs between pools, by what the pools' jobs ask for.

mod demands;
mod drain;

use super::{
    fleet::{ORDER_LOST, Vm, VmList},
    losses::give_up,
    owner::Owner,
    upkeep::Waves,
    vm_orders::{self, Errand, VmOrder},
};
use adapter::cloud::{OrderOutcome, VmState};
use clock::Instant;
use fleet::{PoolDemand, Shift, SizingLimits, lacks_vms, resize};
use jobs::{Loss, Need, Takeout, WorkerId};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    rc::Rc,
    time::Duration,
};
use tracing::info;

/// Time between two logs of what the pools have and need.
const LOG_INTERVAL: Duration = Duration::from_millis(1_000);

/// The VMs on their way, and what the pools have used of late.
#[derive(Default)]
pub struct Moves {
    /// The VMs on their way, by name.
    moving: BTreeMap<String, Moving>,
    /// Since when VMs have been idle, by name.
    idle: BTreeMap<String, Instant>,
    /// The VMs that are being emptied, and since when.
    draining: BTreeMap<String, Instant>,
    /// VMs that took too long to be emptied, and until when they are left alone.
    stuck: BTreeMap<String, Instant>,
    /// What the pools have used of late, and when.
    used: BTreeMap<String, VecDeque<(Instant, Need)>>,
    /// When the pools were last logged.
    told: Option<Instant>,
    /// Moves that the platform does not allow: from which pool, to which.
    barred: BTreeSet<(String, String)>,
}

/// What one round of decisions about VMs looks at.
#[derive(Clone, Copy)]
struct Round<'r> {
    owner: &'r Owner,
    list: &'r VmList,
    waves: &'r Waves,
    now: Instant,
}

impl Round<'_> {
    /// The worker that a VM has.
    fn worker(&self, name: &str) -> Option<&WorkerId> {
        self.list.get(name).and_then(|vm| vm.worker.as_ref())
    }
}

/// A VM on its way.
struct Moving {
    /// The pool that it is to be in.
    to: String,
    /// The worker that it had.
    worker: Option<WorkerId>,
    /// When the order was sent.
    since: Instant,
    /// Whether the list has shown that it left.
    confirmed: bool,
}

impl Moves {
    /// Whether VMs are on their way.
    pub fn is_open(&self) -> bool {
        !self.moving.is_empty()
    }

    /// Draws from a new list what became of the moves.
    pub fn see(&mut self, owner: &Rc<Owner>, list: &VmList) {
        for (name, moving) in &mut self.moving {
            let Some(vm) = list.get(name) else { continue };
            // The worker may be back under its id before another life of it is known to answer.
            let same = vm.is_up_with(moving.worker.as_ref());
            let left = !same || vm.pool == moving.to;
            if left && !moving.confirmed {
                moving.confirmed = true;
                if let Some(id) = &moving.worker {
                    give_up(owner, id, Loss::Ordered);
                }
            }
        }
        self.moving.retain(|name, moving| {
            let Some(vm) = list.get(name) else {
                return false;
            };
            let there = vm.state == VmState::Up && moving.confirmed;
            let lost = !moving.confirmed && moving.since.elapsed() >= ORDER_LOST;
            if lost && let Some(id) = &moving.worker {
                owner.cell.borrow_mut().take_worker(id, false);
            }
            !there && !lost
        });
    }

    /// Decides what is worth doing about the pools now, and does it.
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
        self.tell(&pools, now);
        if lacks_vms(&pools, &limits) {
            self.find_loose(round, &mut pools);
        }
        let plan = resize(&pools, now, &limits);
        self.drain(round, &plan);
        owner.wake();
        self.order(owner, list, plan.shifts).await;
    }

    /// Orders the moves that may be made now: as many as the platform's rate has room for, and recorded
    /// before.
    async fn order(&mut self, owner: &Rc<Owner>, list: &VmList, mut wanted: Vec<Shift>) {
        wanted.retain(|shift| !owner.must_skip(&shift.vm) && !self.is_barred(shift));
        wanted.truncate(vm_orders::available(owner));
        let vms: Vec<&str> = wanted.iter().map(|shift| shift.vm.as_str()).collect();
        if vms.is_empty() || !owner.claim_vms(&vms).await {
            return;
        }
        let begun: Vec<(&Vm, VmOrder)> = wanted
            .iter()
            .filter_map(|shift| Some((shift, list.get(&shift.vm)?)))
            .filter_map(|(shift, vm)| Some((vm, self.begin(owner, vm, shift)?)))
            .collect();
        let orders = begun.iter().map(|(_, order)| order.clone()).collect();
        let outcomes = vm_orders::give_all(owner, orders).await;
        for ((vm, _), outcome) in begun.into_iter().zip(outcomes) {
            self.settle(owner, vm, outcome);
        }
    }

    /// Logs now and then what each pool has and needs.
    fn tell(&mut self, pools: &[PoolDemand], now: Instant) {
        if self.told.is_some_and(|at| now < at + LOG_INTERVAL) {
            return;
        }
        self.told = Some(now);
        for pool in pools {
            info!(
                pool = pool.pool,
                vms = pool.vms,
                idle = pool.idle.len(),
                least = pool.least,
                busy = pool.busy,
                waiting = pool.waiting,
                late = pool.late,
                inflow = pool.inflow,
                "pool"
            );
        }
    }

    /// Whether the platform does not allow a move.
    fn is_barred(&self, shift: &Shift) -> bool {
        let bar = (shift.from.clone(), shift.to.clone());
        self.barred.contains(&bar)
    }

    /// Begins a move, if the VM still carries nothing: its worker gets nothing more from now on.
    fn begin(&mut self, owner: &Owner, vm: &Vm, shift: &Shift) -> Option<VmOrder> {
        if let Some(id) = &vm.worker {
            let mut cell = owner.cell.borrow_mut();
            if cell.takeout(id) != Takeout::Free {
                return None;
            }
            cell.take_worker(id, true);
        }
        self.idle.remove(&vm.name);
        self.draining.remove(&vm.name);
        let moving = Moving {
            to: shift.to.clone(),
            worker: vm.worker.clone(),
            since: Instant::now(),
            confirmed: false,
        };
        self.moving.insert(vm.name.clone(), moving);
        Some(VmOrder {
            vm: vm.name.clone(),
            errand: Errand::Move(shift.to.clone()),
        })
    }

    /// Draws from the answer to an order what is certain about the move.
    fn settle(&mut self, owner: &Owner, vm: &Vm, outcome: Option<OrderOutcome>) {
        match outcome {
            // Without an answer, it may be carried out at any moment; the list tells.
            Some(OrderOutcome::Done) | None => {}
            Some(OrderOutcome::Fenced) => owner.end("a newer owner gave orders for a VM"),
            Some(refused @ (OrderOutcome::Busy | OrderOutcome::Later | OrderOutcome::Rejected)) => {
                let moving = self.moving.remove(&vm.name);
                if refused == OrderOutcome::Rejected {
                    let bars = moving.map(|moving| (vm.pool.clone(), moving.to));
                    self.barred.extend(bars);
                }
                if let Some(id) = &vm.worker {
                    owner.cell.borrow_mut().take_worker(id, false);
                }
            }
        }
    }
}
