//! Budgets: how many slots of a pool are unavailable, and whether more may be.

use crate::{
    record::GrantPurpose,
    state::{Fleet, Grant, Health, Step, Vm},
};
use protocol::{Offset, PoolId, VmId};
use serde::{Deserialize, Serialize};
use settings::{Path, Service};

/// Slots of one pool; each of its services has them all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolCount {
    /// VMs that belong to the pool.
    pub vms: u32,
    /// Slots of all of them.
    pub slots: u32,
    /// Slots that are down, suspected, leaving, granted or draining.
    pub unavailable: u32,
    /// VMs that the platform no longer lists.
    pub gone: u32,
    /// VMs of other pools that are on their way here.
    pub incoming: u32,
}

/// What one VM adds to one pool.
type Part = (PoolId, PoolCount);

/// The budget that leaves least room in a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TightestBudget {
    /// The service that sets it.
    pub service: Path,
    /// The budget, in slots.
    pub budget: u32,
}

/// Returns the tightest budget among the services of `pool`; `None` where it has no service.
pub fn tightest_budget(fleet: &Fleet, pool: &str) -> Option<TightestBudget> {
    let capacity = fleet.count(pool).slots;
    fleet
        .tree
        .services_of(pool)
        .map(|path| TightestBudget {
            service: path.clone(),
            budget: Service::resolve(&fleet.tree, path)
                .unavailable
                .slots(capacity),
        })
        .min_by_key(|hold| hold.budget)
}

impl Fleet {
    /// Returns the slots of `pool`.
    pub fn count(&self, pool: &str) -> PoolCount {
        self.counts.get(pool).copied().unwrap_or_default()
    }

    /// Returns the room that is left in the tightest budget of `pool`, in slots.
    ///
    /// # Errors
    ///
    /// Returns the slots by which the pool is over that budget.
    pub fn headroom(&self, pool: &str) -> Result<u32, u32> {
        let Some(hold) = tightest_budget(self, pool) else {
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
        let before = parts(vm);
        change(vm);
        vm.version = version;
        let after = parts(vm);
        let is_granted = vm.grant.is_some();
        before.iter().for_each(|part| self.discount(part));
        after.iter().for_each(|part| self.charge(part));
        if is_granted {
            self.granted.insert(id.to_owned());
        } else {
            self.granted.remove(id);
        }
    }

    /// Adds a VM.
    pub(crate) fn insert_vm(&mut self, id: VmId, vm: Vm) {
        parts(&vm).iter().for_each(|part| self.charge(part));
        self.vms.insert(id, vm);
    }

    /// Removes a VM.
    pub(crate) fn remove_vm(&mut self, id: &str) {
        if let Some(vm) = self.vms.remove(id) {
            parts(&vm).iter().for_each(|part| self.discount(part));
            self.granted.remove(id);
        }
    }

    fn charge(&mut self, (pool, part): &Part) {
        let count = self.counts.entry(pool.clone()).or_default();
        count.vms += part.vms;
        count.slots += part.slots;
        count.unavailable += part.unavailable;
        count.gone += part.gone;
        count.incoming += part.incoming;
    }

    fn discount(&mut self, (pool, part): &Part) {
        let count = self.counts.entry(pool.clone()).or_default();
        count.vms -= part.vms;
        count.slots -= part.slots;
        count.unavailable -= part.unavailable;
        count.gone -= part.gone;
        count.incoming -= part.incoming;
        if *count == PoolCount::default() {
            self.counts.remove(pool);
        }
    }
}

/// What a VM adds to its own pool and, while it moves, to the one it is on its way to.
fn parts(vm: &Vm) -> Vec<Part> {
    let own = PoolCount {
        vms: 1,
        slots: vm.slots,
        unavailable: if vm.is_available() { 0 } else { vm.slots },
        gone: u32::from(vm.health == Health::Gone),
        incoming: 0,
    };
    let mut parts = vec![(vm.pool.clone(), own)];
    if let Some(Grant {
        purpose: GrantPurpose::Move { to },
        step,
        ..
    }) = &vm.grant
        && *step != Step::Returning
    {
        let coming = PoolCount {
            incoming: 1,
            ..PoolCount::default()
        };
        parts.push((to.clone(), coming));
    }
    parts
}
