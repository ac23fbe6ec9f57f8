//! Budgets: how many slots of a pool are unavailable, and whether more may be.

use crate::state::{Fleet, Health, Vm};
use protocol::{Offset, PoolId, VmId};
use serde::{Deserialize, Serialize};
use settings::{Path, Service};

/// Slots of one pool; each of its services has them all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// VMs that belong to the pool.
    pub vms: u32,
    /// Slots of all of them.
    pub slots: u32,
    /// Slots that are down, suspected, leaving, granted or draining.
    pub unavailable: u32,
    /// VMs that the platform no longer lists.
    pub gone: u32,
}

/// The budget that leaves least room in a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    /// The service that sets it.
    pub service: Path,
    /// The budget, in slots.
    pub budget: u32,
}

/// Returns the tightest budget among the services of `pool`; `None` where it has no service.
pub fn holds(fleet: &Fleet, pool: &str) -> Option<Hold> {
    let capacity = fleet.count(pool).slots;
    fleet
        .tree
        .services_of(pool)
        .map(|path| Hold {
            service: path.clone(),
            budget: Service::resolve(&fleet.tree, path)
                .unavailable
                .slots(capacity),
        })
        .min_by_key(|hold| hold.budget)
}

impl Fleet {
    /// Returns the slots of `pool`.
    pub fn count(&self, pool: &str) -> Count {
        self.counts.get(pool).copied().unwrap_or_default()
    }

    /// Returns the room that is left in the tightest budget of `pool`, in slots.
    ///
    /// # Errors
    ///
    /// Returns the slots by which the pool is over that budget.
    pub fn room(&self, pool: &str) -> Result<u32, u32> {
        let Some(hold) = holds(self, pool) else {
            return Ok(u32::MAX);
        };
        let unavailable = self.count(pool).unavailable;
        hold.budget
            .checked_sub(unavailable)
            .ok_or(unavailable.saturating_sub(hold.budget))
    }

    /// Changes one VM and keeps the counts in step; the only way by which a VM changes.
    pub(crate) fn change_vm(&mut self, id: &str, version: Offset, change: impl FnOnce(&mut Vm)) {
        let Some(vm) = self.vms.get_mut(id) else {
            return;
        };
        let before = contribution(vm);
        change(vm);
        vm.version = version;
        let after = contribution(vm);
        self.discount(&before);
        self.charge(&after);
    }

    /// Adds a VM.
    pub(crate) fn insert_vm(&mut self, id: VmId, vm: Vm) {
        self.charge(&contribution(&vm));
        self.vms.insert(id, vm);
    }

    /// Removes a VM.
    pub(crate) fn remove_vm(&mut self, id: &str) {
        if let Some(vm) = self.vms.remove(id) {
            self.discount(&contribution(&vm));
        }
    }

    fn charge(&mut self, (pool, part): &(PoolId, Count)) {
        let count = self.counts.entry(pool.clone()).or_default();
        count.vms += part.vms;
        count.slots += part.slots;
        count.unavailable += part.unavailable;
        count.gone += part.gone;
    }

    fn discount(&mut self, (pool, part): &(PoolId, Count)) {
        let count = self.counts.entry(pool.clone()).or_default();
        count.vms -= part.vms;
        count.slots -= part.slots;
        count.unavailable -= part.unavailable;
        count.gone -= part.gone;
        if count.vms == 0 {
            self.counts.remove(pool);
        }
    }
}

fn contribution(vm: &Vm) -> (PoolId, Count) {
    let unavailable = if vm.is_available() { 0 } else { vm.slots };
    let count = Count {
        vms: 1,
        slots: vm.slots,
        unavailable,
        gone: u32::from(vm.health == Health::Gone),
    };
    (vm.pool.clone(), count)
}
