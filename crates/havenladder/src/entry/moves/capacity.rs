//! Describes the VMs of each pool over time, for the log: how much of them the waiting work can use.

use super::{Moves, Round};
use crate::entry::fleet::{MAX_BUSY_LIST_AGE, Vm};
use adapter::cloud::VmState;
use jobs::{
    Need,
    capacity::{Availability, Timeline, VmCapacity},
};
use std::{collections::BTreeMap, time::Duration};
use tracing::warn;

/// Time that a move of a VM to another pool takes.
const MOVE_TIME: Duration = Duration::from_millis(1_500);

/// Time that a VM is down for maintenance.
const MAINTENANCE_TIME: Duration = Duration::from_millis(2_000);

/// The cores that the waiting work of a pool can use, in thousandths.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct UsableCpu {
    /// The cores that are usable now, including those that runs use which end by themselves.
    pub(super) now: u64,
    /// The cores that are usable once all VMs on their way to the pool have arrived.
    pub(super) later: u64,
}

impl Moves {
    /// Returns the cores that the waiting work of each pool can use: its own VMs as far as they accept runs, less what
    /// long-running tasks use and what the sizes of the waiting tasks leave over, and VMs on their way to it.
    pub(super) fn usable_cpu(&mut self, round: Round<'_>) -> BTreeMap<String, UsableCpu> {
        self.log_invalid(round);
        let mut pools: BTreeMap<&str, Vec<VmCapacity>> = BTreeMap::new();
        for vm in round.list.values() {
            if let Some((pool, capacity)) = self.capacity_of(round, vm) {
                pools.entry(pool).or_default().push(capacity);
            }
        }
        let cell = round.owner.cell.borrow();
        let usable = pools.into_iter().map(|(pool, vms)| {
            let usable = Timeline::new(round.now, &vms).usable(&cell.waiting_mix(pool));
            let thousandths = |cores: f64| (cores * 1_000.0) as u64;
            let later = usable.steps().last().map_or(0.0, |(_, cores)| *cores);
            let cpu = UsableCpu {
                now: thousandths(usable.at(round.now)),
                later: thousandths(later),
            };
            (pool.to_owned(), cpu)
        });
        usable.collect()
    }

    /// Logs once for each VM that its listed capacity cannot be right, so that the VM does not count.
    fn log_invalid(&mut self, round: Round<'_>) {
        let is_invalid = |vm: &&Vm| !VmCapacity::idle(vm.capacity).is_valid();
        for vm in round.list.values().filter(is_invalid) {
            if self.invalid.insert(vm.name.clone()) {
                warn!(vm = vm.name, capacity = ?vm.capacity, "the capacity of the VM cannot be right");
            }
        }
    }

    /// Returns the pool that a VM belongs to or is being moved to, and its capacity there. `None` for a VM that is down
    /// or has no known worker.
    fn capacity_of<'v>(&'v self, round: Round<'v>, vm: &'v Vm) -> Option<(&'v str, VmCapacity)> {
        // The list shows an arrival with a delay, and orders may be carried out late.
        let soonest = round.now + MAX_BUSY_LIST_AGE;
        let later = |at| available(vm.capacity, Availability::From(soonest.max(at)));
        if let Some(moving) = self.moving.get(&vm.name) {
            return Some((&moving.to, later(moving.since + MOVE_TIME)));
        }
        let cell = round.owner.cell.borrow();
        if cell.is_hall_drained(&vm.hall) {
            return None;
        }
        let down_since = round.waves.down_since(&vm.name);
        let capacity = match vm.state {
            VmState::Moving => later(round.now + MOVE_TIME),
            VmState::Upkeep => later(down_since.unwrap_or(round.now) + MAINTENANCE_TIME),
            VmState::Up if down_since.is_some() => later(down_since? + MAINTENANCE_TIME),
            VmState::Up if self.draining.contains_key(&vm.name) => return None,
            VmState::Up => cell.vm_capacity(vm.worker.as_ref()?, round.now)?,
            VmState::Down | VmState::Other => return None,
        };
        Some((&vm.pool, capacity))
    }
}

/// Returns an idle VM that is available from some time on.
fn available(capacity: Need, availability: Availability) -> VmCapacity {
    VmCapacity {
        availability,
        ..VmCapacity::idle(capacity)
    }
}
