//! What each pool needs, and which of its VMs could go.

use super::{Moves, Round, drain::EMPTYING};
use crate::entry::{fleet::Vm, owner::Owner};
use adapter::cloud::VmState;
use clock::Instant;
use fleet::{IdleVm, LooseVm, PoolDemand};
use jobs::{Demand, Need};
use std::time::Duration;

/// Over how long the highest use of a pool counts: half a run of the usual kind. Over 1.5 s, pools kept VMs of a
/// peak that was past.
const PEAK: Duration = Duration::from_millis(800);

impl Moves {
    /// What each pool needs, and which of its VMs are idle.
    pub(super) fn demands(&mut self, round: Round<'_>) -> Vec<PoolDemand> {
        let Some(config) = round.owner.node.config() else {
            return Vec::new();
        };
        let sizes = round.list.values().map(|vm| vm.capacity);
        let largest = sizes.fold(Need::default(), Need::max);
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
            if there.room == Need::default() {
                // A pool that has lost all its VMs gets such as the others have.
                there.room = largest;
            }
            let peak = self.peak(&service.name, asked.busy, round.now);
            measure(&mut pool, &asked, peak, &there);
            pool.idle.sort_by_key(|vm| vm.since);
            pools.push(pool);
        }
        look_ahead(round.owner, &pools);
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
        if vm.pool != pool.pool || round.owner.cell.borrow().is_hall_drained(&vm.hall) {
            return;
        }
        pool.vms += 1;
        there.room = there.room.max(room_of(round.owner, vm));
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
    pub(super) fn find_loose(&self, round: Round<'_>, pools: &mut [PoolDemand]) {
        for pool in pools.iter_mut().filter(|pool| !pool.reserve) {
            let of_pool = |vm: &&Vm| {
                let may_go = vm.state == VmState::Up
                    && !self.moving.contains_key(&vm.name)
                    && !round.owner.cell.borrow().is_hall_drained(&vm.hall);
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
        if worker.long_running_runs > 0 || !(draining || worker.is_open(now)) {
            return None;
        }
        let free = now + cell.time_to_drain(&worker.info.id, now);
        (draining || free <= now + EMPTYING).then(|| LooseVm {
            vm: vm.name.clone(),
            free,
            draining,
        })
    }

    /// Since when a VM has been idle; none if it is not.
    fn idle_since(&mut self, owner: &Owner, vm: &Vm, now: Instant) -> Option<Instant> {
        let id = vm.worker.as_ref()?;
        let cell = owner.cell.borrow();
        let draining = self.draining.contains_key(&vm.name);
        let idle = cell.workers.get(id).is_some_and(|w| {
            let emptied = draining && w.responsive && !w.disrupted && !w.info.draining;
            w.runs.is_empty() && (emptied || w.is_open(now))
        });
        if !idle {
            self.idle.remove(&vm.name);
            return None;
        }
        Some(*self.idle.entry(vm.name.clone()).or_insert(now))
    }
}

/// Tells the cell what each pool can have: its VMs, and those that stand idle elsewhere.
fn look_ahead(owner: &Owner, pools: &[PoolDemand]) {
    let idle: usize = pools.iter().map(|pool| pool.idle.len()).sum();
    let mut cell = owner.cell.borrow_mut();
    for pool in pools.iter().filter(|pool| !pool.reserve) {
        let vms = pool.vms + idle - pool.idle.len();
        cell.look_ahead(&pool.pool, vms as u64 * pool.room);
    }
}

/// The room of a VM: what its worker says of itself goes first, since it may shrink while the worker runs.
fn room_of(owner: &Owner, vm: &Vm) -> Need {
    let cell = owner.cell.borrow();
    let worker = vm.worker.as_ref().and_then(|id| cell.workers.get(id));
    worker.map_or(vm.capacity, |worker| worker.info.capacity)
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
    pool.ahead = cores(asked.ahead);
    pool.least = match asked.roomless.workers(there.room) {
        0 => asked.spread,
        more => asked.spread.max(there.up + more),
    };
}
