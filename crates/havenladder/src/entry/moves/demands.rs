//! Computes what each pool needs and which of its VMs can be moved.

use super::{Moves, Round, drain::MAX_DRAIN_TIME};
use crate::entry::{fleet::Vm, owner::Owner};
use adapter::cloud::VmState;
use clock::Instant;
use fleet::{DrainableVm, IdleVm, PoolDemand};
use jobs::{Demand, Need};
use std::time::Duration;

/// Time window in which the peak usage of a pool counts: half the duration of a typical run. With 1.5 s, pools kept
/// VMs for a peak that was over.
const PEAK_WINDOW: Duration = Duration::from_millis(800);

impl Moves {
    /// Returns the demand of each pool, with its idle VMs.
    pub(super) fn demands(&mut self, round: Round<'_>) -> Vec<PoolDemand> {
        let Some(config) = round.owner.node.config() else {
            return Vec::new();
        };
        let sizes = round.list.values().map(|vm| vm.capacity);
        let largest = sizes.fold(Need::default(), Need::max);
        let mut pools = Vec::new();
        for service in &config.services {
            let (demand, late_running) = {
                let cell = round.owner.cell.borrow();
                let late_running = cell.late_running(&service.name, round.now);
                (cell.demand(&service.name), late_running)
            };
            let mut pool = PoolDemand {
                pool: service.name.clone(),
                reserve: service.reserve,
                demand_unknown: !demand.has_finite_jobs,
                ..PoolDemand::default()
            };
            let mut present = PoolVms::default();
            for vm in round.list.values() {
                self.count(round, &mut pool, &mut present, vm);
            }
            if present.largest == Need::default() {
                // A pool that has lost all its VMs is measured in VMs of the size that other pools have.
                present.largest = largest;
            }
            let peak = self.peak(&service.name, demand.busy, round.now);
            set_demand(&mut pool, &demand, late_running, peak, &present);
            pool.idle.sort_by_key(|vm| vm.since);
            pools.push(pool);
        }
        report_capacity(round.owner, &pools);
        pools
    }

    /// Returns the recent peak usage of a pool.
    fn peak(&mut self, pool: &str, busy: Need, now: Instant) -> Need {
        let usage = self.usage.entry(pool.to_owned()).or_default();
        usage.push_back((now, busy));
        while usage.front().is_some_and(|(at, _)| *at + PEAK_WINDOW < now) {
            usage.pop_front();
        }
        usage
            .iter()
            .fold(Need::default(), |peak, (_, busy)| peak.max(*busy))
    }

    /// Adds a VM to the pool's figures if it is in the pool or is being moved to it.
    fn count(&mut self, round: Round<'_>, pool: &mut PoolDemand, present: &mut PoolVms, vm: &Vm) {
        if let Some(moving) = self.moving.get(&vm.name) {
            pool.vms += usize::from(moving.to == pool.pool);
            return;
        }
        if vm.pool != pool.pool || round.owner.cell.borrow().is_hall_drained(&vm.hall) {
            return;
        }
        pool.vms += 1;
        present.largest = present.largest.max(capacity_of(round.owner, vm));
        if vm.state != VmState::Up || round.waves.is_disrupting(&vm.name) {
            return;
        }
        present.up += 1;
        let since = if pool.reserve {
            Some(round.now)
        } else {
            self.idle_since(round.owner, vm, round.now)
        };
        pool.idle.extend(since.map(|since| IdleVm {
            vm: vm.name.clone(),
            since,
            drained: self.draining.contains_key(&vm.name),
        }));
    }

    /// Finds the VMs that could be drained. This iterates over all runs, so it is only done if a pool lacks VMs.
    pub(super) fn find_drainable(&self, round: Round<'_>, pools: &mut [PoolDemand]) {
        for pool in pools.iter_mut().filter(|pool| !pool.reserve) {
            let of_pool = |vm: &&Vm| {
                let may_go = vm.state == VmState::Up
                    && !self.moving.contains_key(&vm.name)
                    && !round.owner.cell.borrow().is_hall_drained(&vm.hall);
                may_go && vm.pool == pool.pool && !round.waves.is_disrupting(&vm.name)
            };
            let is_idle = |vm: &&Vm| self.idle.contains_key(&vm.name);
            let busy = round
                .list
                .values()
                .filter(of_pool)
                .filter(|vm| !is_idle(vm));
            pool.drainable = busy
                .filter_map(|vm| self.drainable(round.owner, vm, round.now))
                .collect();
        }
    }

    /// Returns when a VM would be free, if the VM may be drained and all of its runs end in time by themselves.
    fn drainable(&self, owner: &Owner, vm: &Vm, now: Instant) -> Option<DrainableVm> {
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
        (draining || free <= now + MAX_DRAIN_TIME).then(|| DrainableVm {
            vm: vm.name.clone(),
            free,
            draining,
        })
    }

    /// Returns the time since which a VM has been idle, or `None` if it is not idle.
    fn idle_since(&mut self, owner: &Owner, vm: &Vm, now: Instant) -> Option<Instant> {
        let id = vm.worker.as_ref()?;
        let cell = owner.cell.borrow();
        let draining = self.draining.contains_key(&vm.name);
        let idle = cell.workers.get(id).is_some_and(|w| {
            let drained = draining && w.responsive && !w.disrupted && !w.info.draining;
            w.runs.is_empty() && (drained || w.is_open(now))
        });
        if !idle {
            self.idle.remove(&vm.name);
            return None;
        }
        Some(*self.idle.entry(vm.name.clone()).or_insert(now))
    }
}

/// Reports to the cell the capacity that each pool can get: its own VMs and those that are idle in other pools.
fn report_capacity(owner: &Owner, pools: &[PoolDemand]) {
    let idle: usize = pools.iter().map(|pool| pool.idle.len()).sum();
    let mut cell = owner.cell.borrow_mut();
    cell.update_start_backlog();
    cell.update_bound_backlogs();
    for pool in pools.iter().filter(|pool| !pool.reserve) {
        let vms = pool.vms + idle - pool.idle.len();
        cell.update_backlog(&pool.pool, vms as u64 * pool.vm_capacity);
    }
}

/// Returns the capacity of a VM. The worker's own figure takes precedence, since it may shrink while the worker runs.
fn capacity_of(owner: &Owner, vm: &Vm) -> Need {
    let cell = owner.cell.borrow();
    let worker = vm.worker.as_ref().and_then(|id| cell.workers.get(id));
    worker.map_or(vm.capacity, |worker| worker.info.capacity)
}

/// What the list of VMs shows of a pool.
#[derive(Default)]
struct PoolVms {
    /// Number of VMs that are up.
    up: usize,
    /// Capacity of the largest VM.
    largest: Need,
}

/// Sets the demand of a pool in the resource that needs the most VMs. Units are thousandths of a core, or an equally
/// large share of a VM's memory or accelerators. Long-running tasks that cannot be scheduled get VMs of their own,
/// regardless of the total free capacity; VMs on their way to the pool are reserved for them.
fn set_demand(
    pool: &mut PoolDemand,
    demand: &Demand,
    late_running: Need,
    peak: Need,
    present: &PoolVms,
) {
    let mut all = peak;
    all.add(demand.waiting);
    let scarcest = all.max(demand.inflow).scarcest(present.largest);
    let cores = |need: Need| match present.largest.of(scarcest) {
        0 => need.cpu,
        capacity => need.of(scarcest) * present.largest.cpu / capacity,
    };
    pool.vm_capacity = present.largest.cpu;
    pool.peak_running = cores(peak);
    pool.running = cores(demand.busy);
    pool.waiting = cores(demand.waiting);
    pool.late = cores(demand.late);
    pool.late_running = cores(late_running);
    pool.inflow = cores(demand.inflow);
    pool.forecast_inflow = cores(demand.forecast_inflow);
    pool.min_vms = match demand.unschedulable.workers(present.largest) {
        0 => demand.anti_affinity_workers,
        more => demand.anti_affinity_workers.max(present.up + more),
    };
}
