//! Moves VMs between pools, by what the pools' jobs ask for.

use super::{
    fleet::{LOST, VmList},
    owner::Owner,
    upkeep::Waves,
    vm_orders::{self, Errand, VmOrder},
};
use adapter::cloud::{Ordered, Vm, VmState};
use fleet::{IdleVm, LooseVm, PoolDemand, Resize, Shift, SizingLimits, lacks_vms, resize};
use jobs::{Demand, Need, Takeout};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    rc::Rc,
    time::{Duration, Instant},
};
use tracing::info;

/// Over how long the highest use of a pool counts: half a run of the usual kind. Over 1.5 s, pools kept VMs of a
/// peak that was past.
const PEAK: Duration = Duration::from_millis(800);

/// How long a VM may take to be emptied, as foreseen and in fact: a VM's way to another pool takes 1.5 s,
/// and room that stands empty for longer does more good where it is.
const EMPTYING: Duration = Duration::from_millis(2_000);

/// How long a VM that took longer is left alone.
const UNSTUCK: Duration = Duration::from_millis(4_000);

/// Time between two logs of what the pools have and need.
const TELLING: Duration = Duration::from_millis(1_000);

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
    fn worker(&self, name: &str) -> Option<&str> {
        self.list.get(name).and_then(|vm| vm.worker.as_deref())
    }
}

/// A VM on its way.
struct Moving {
    /// The pool that it is to be in.
    to: String,
    /// The worker that it had.
    worker: Option<String>,
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
            let left = vm.state != VmState::Up || vm.worker != moving.worker;
            if left && !moving.confirmed {
                moving.confirmed = true;
                if let Some(id) = &moving.worker {
                    owner.cell.borrow_mut().lose_worker(id);
                    owner.wake();
                }
            }
        }
        self.moving.retain(|name, moving| {
            let Some(vm) = list.get(name) else {
                return false;
            };
            let there = vm.state == VmState::Up && vm.worker != moving.worker;
            let lost = !moving.confirmed && moving.since.elapsed() >= LOST;
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
        wanted.retain(|shift| !owner.must_spare(&shift.vm) && !self.is_barred(shift));
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
        if self.told.is_some_and(|at| now < at + TELLING) {
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

    /// What each pool needs, and which of its VMs are idle.
    fn demands(&mut self, round: Round<'_>) -> Vec<PoolDemand> {
        let Some(config) = round.owner.node.config() else {
            return Vec::new();
        };
        let mut pools = Vec::new();
        for service in &config.services {
            let asked = round.owner.cell.borrow().demand(&service.name);
            let mut pool = PoolDemand {
                pool: service.name.clone(),
                reserve: service.reserve,
                unknown: !asked.begun,
                ..PoolDemand::default()
            };
            let mut there = There::default();
            for vm in round.list.values() {
                self.count(round, &mut pool, &mut there, vm);
            }
            let peak = self.peak(&service.name, asked.busy, round.now);
            measure(&mut pool, &asked, peak, &there);
            pool.idle.sort_by_key(|vm| vm.since);
            pools.push(pool);
        }
        pools
    }

    /// The highest use of a pool of late.
    fn peak(&mut self, pool: &str, busy: Need, now: Instant) -> Need {
        let used = self.used.entry(pool.to_owned()).or_default();
        used.push_back((now, busy));
        while used.front().is_some_and(|(at, _)| *at + PEAK < now) {
            used.pop_front();
        }
        used.iter()
            .fold(Need::default(), |peak, (_, busy)| peak.max(*busy))
    }

    /// Counts a VM for a pool, if it is there or on its way to it.
    fn count(&mut self, round: Round<'_>, pool: &mut PoolDemand, there: &mut There, vm: &Vm) {
        if let Some(moving) = self.moving.get(&vm.name) {
            pool.vms += usize::from(moving.to == pool.pool);
            return;
        }
        if vm.pool != pool.pool {
            return;
        }
        pool.vms += 1;
        there.room = there.room.max(vm.capacity);
        if vm.state != VmState::Up || round.waves.holds(&vm.name) {
            return;
        }
        there.up += 1;
        let since = if pool.reserve {
            Some(round.now)
        } else {
            self.idle_since(round.owner, vm, round.now)
        };
        pool.idle.extend(since.map(|since| IdleVm {
            vm: vm.name.clone(),
            since,
        }));
    }

    /// Finds the VMs that could be emptied. This looks at every run, and is only done where a pool lacks VMs.
    fn find_loose(&self, round: Round<'_>, pools: &mut [PoolDemand]) {
        for pool in pools.iter_mut().filter(|pool| !pool.reserve) {
            let of_pool = |vm: &&Vm| {
                let may_go = vm.state == VmState::Up && !self.moving.contains_key(&vm.name);
                may_go && vm.pool == pool.pool && !round.waves.holds(&vm.name)
            };
            let is_idle = |vm: &&Vm| self.idle.contains_key(&vm.name);
            let busy = round
                .list
                .values()
                .filter(of_pool)
                .filter(|vm| !is_idle(vm));
            pool.loose = busy
                .filter_map(|vm| self.loose(round.owner, vm, round.now))
                .collect();
        }
    }

    /// What a VM carries, if all of it ends by itself and the VM may be emptied.
    fn loose(&self, owner: &Owner, vm: &Vm, now: Instant) -> Option<LooseVm> {
        if self.stuck.get(&vm.name).is_some_and(|until| now < *until) {
            return None;
        }
        let cell = owner.cell.borrow();
        let worker = cell.workers.get(vm.worker.as_ref()?)?;
        let draining = self.draining.contains_key(&vm.name);
        if worker.anchors > 0 || !(draining || worker.is_open(now)) {
            return None;
        }
        let free = now + cell.time_left(&worker.info.id, now);
        (draining || free <= now + EMPTYING).then(|| LooseVm {
            vm: vm.name.clone(),
            free,
            draining,
        })
    }

    /// Keeps new runs off the VMs that are to be emptied, and off those that have been and are to go now;
    /// lets them come again to the others.
    fn drain(&mut self, round: Round<'_>, plan: &Resize) {
        let late = self.leave_late(round.now);
        let going = plan.shifts.iter().map(|shift| &shift.vm);
        let emptied = going.filter(|name| self.draining.contains_key(*name));
        let emptying = plan.drains.iter().filter(|name| !late.contains(name));
        let wanted: Vec<&String> = emptying.chain(emptied).collect();
        self.reopen_others(round, &wanted);
        self.empty(round, &wanted);
    }

    /// Leaves the VMs alone for a while that took too long to be emptied, and returns them.
    fn leave_late(&mut self, now: Instant) -> Vec<String> {
        let stuck = |since: &Instant| now >= *since + EMPTYING;
        let late = self.draining.iter().filter(|(_, since)| stuck(since));
        let late: Vec<String> = late.map(|(vm, _)| vm.clone()).collect();
        self.stuck.retain(|_, until| now < *until);
        self.stuck
            .extend(late.iter().map(|vm| (vm.clone(), now + UNSTUCK)));
        late
    }

    /// Lets runs come again to the VMs that are not to be emptied any more; those of a wave stay closed.
    fn reopen_others(&mut self, round: Round<'_>, wanted: &[&String]) {
        let mut cell = round.owner.cell.borrow_mut();
        let others = self.draining.keys().filter(|name| !wanted.contains(name));
        let ended: Vec<String> = others.cloned().collect();
        for name in ended {
            self.draining.remove(&name);
            if let Some(id) = round.worker(&name).filter(|_| !round.waves.holds(&name)) {
                cell.close_worker(id, false);
            }
        }
    }

    /// Begins to empty the VMs among these that are not being emptied yet.
    fn empty(&mut self, round: Round<'_>, wanted: &[&String]) {
        let mut cell = round.owner.cell.borrow_mut();
        for &name in wanted {
            let id = round.worker(name);
            if let Some(id) = id.filter(|_| !self.draining.contains_key(name)) {
                cell.close_worker(id, true);
                let moved = cell.evacuate(id, round.now);
                info!(vm = name, worker = id, moved, "VM is emptied");
                self.draining.insert(name.clone(), round.now);
            }
        }
    }

    /// Since when a VM has been idle; none if it is not.
    fn idle_since(&mut self, owner: &Owner, vm: &Vm, now: Instant) -> Option<Instant> {
        let id = vm.worker.as_ref()?;
        let cell = owner.cell.borrow();
        let draining = self.draining.contains_key(&vm.name);
        let idle = cell.workers.get(id).is_some_and(|w| {
            let emptied = draining && w.known && !w.taken && !w.info.draining;
            w.runs.is_empty() && (emptied || w.is_open(now))
        });
        if !idle {
            self.idle.remove(&vm.name);
            return None;
        }
        Some(*self.idle.entry(vm.name.clone()).or_insert(now))
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
    fn settle(&mut self, owner: &Owner, vm: &Vm, outcome: Option<Ordered>) {
        match outcome {
            // Without an answer, it may be carried out at any moment; the list tells.
            Some(Ordered::Done) | None => {}
            Some(Ordered::Fenced) => owner.end("a newer owner gave orders for a VM"),
            Some(refused @ (Ordered::Busy | Ordered::Later | Ordered::Rejected)) => {
                let moving = self.moving.remove(&vm.name);
                if refused == Ordered::Rejected {
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

/// What a pool has in the list of VMs.
#[derive(Default)]
struct There {
    /// How many VMs are up.
    up: usize,
    /// The room of the largest VM.
    room: Need,
}

/// Sets what a pool's jobs ask for, in the resource of which they fill the most VMs: in thousandths of a core,
/// or in what is as large a part of a VM's memory or accelerators. Lasting tasks that find no room get VMs of
/// their own, however much is free in sum; VMs on their way are for them.
fn measure(pool: &mut PoolDemand, asked: &Demand, peak: Need, there: &There) {
    let mut all = peak;
    all.add(asked.waiting);
    let scarcest = all.max(asked.inflow).scarcest(there.room);
    let cores = |need: Need| match there.room.of(scarcest) {
        0 => need.cpu,
        whole => need.of(scarcest) * there.room.cpu / whole,
    };
    pool.room = there.room.cpu;
    pool.busy = cores(peak);
    pool.running = cores(asked.busy);
    pool.waiting = cores(asked.waiting);
    pool.late = cores(asked.late);
    pool.inflow = cores(asked.inflow);
    pool.least = match asked.roomless.workers(there.room) {
        0 => asked.spread,
        more => asked.spread.max(there.up + more),
    };
}
