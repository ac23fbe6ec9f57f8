//! Budgets: how many slots of a pool are unavailable, and whether more may become unavailable.

use crate::{
    record::GrantPurpose,
    state::{Fleet, Grant, Health, Step, Vm},
};
use protocol::{Offset, PoolId, VmId};
use serde::{Deserialize, Serialize};
use settings::{Path, Service};

/// The VM and slot counts of one pool. Each service of the pool uses all of its slots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolCount {
    /// The number of VMs that belong to the pool.
    pub vms: u32,
    /// The number of slots of all these VMs.
    pub slots: u32,
    /// The number of slots on VMs that are down, suspected, leaving, granted or draining.
    pub unavailable: u32,
    /// The number of VMs that the platform no longer lists.
    pub gone: u32,
    /// The number of VMs of other pools that are being moved to this pool.
    pub incoming: u32,
}

/// The amount that one VM contributes to the counts of one pool.
type Contribution = (PoolId, PoolCount);

/// The smallest budget among the services of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TightestBudget {
    /// The service that sets the budget.
    pub service: Path,
    /// The budget, in slots.
    pub budget: u32,
}

/// Returns the smallest budget among the services of `pool`, or `None` if the pool has no service.
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
        .min_by_key(|tightest| tightest.budget)
}

impl Fleet {
    /// Returns the counts of `pool`.
    pub fn count(&self, pool: &str) -> PoolCount {
        self.counts.get(pool).copied().unwrap_or_default()
    }

    /// Returns how many more slots of `pool` may become unavailable within its smallest budget.
    ///
    /// # Errors
    ///
    /// Returns the number of slots by which the pool exceeds that budget.
    pub fn headroom(&self, pool: &str) -> Result<u32, u32> {
        let Some(tightest) = tightest_budget(self, pool) else {
            return Ok(u32::MAX);
        };
        let unavailable = self.count(pool).unavailable;
        tightest
            .budget
            .checked_sub(unavailable)
            .ok_or(unavailable.saturating_sub(tightest.budget))
    }

    /// Changes one VM and updates the counts of the pools. Every change of a VM goes through this function.
    pub(crate) fn change_vm(&mut self, id: &str, version: Offset, change: impl FnOnce(&mut Vm)) {
        let Some(vm) = self.vms.get_mut(id) else {
            return;
        };
        let before = contributions(vm);
        change(vm);
        vm.version = version;
        let after = contributions(vm);
        let is_granted = vm.grant.is_some();
        before
            .iter()
            .for_each(|contribution| self.discount(contribution));
        after
            .iter()
            .for_each(|contribution| self.charge(contribution));
        if is_granted {
            self.granted.insert(id.to_owned());
        } else {
            self.granted.remove(id);
        }
    }

    /// Adds a VM and counts it in its pool.
    pub(crate) fn insert_vm(&mut self, id: VmId, vm: Vm) {
        contributions(&vm)
            .iter()
            .for_each(|contribution| self.charge(contribution));
        self.vms.insert(id, vm);
    }

    /// Removes a VM and subtracts it from the counts.
    pub(crate) fn remove_vm(&mut self, id: &str) {
        if let Some(vm) = self.vms.remove(id) {
            contributions(&vm)
                .iter()
                .for_each(|contribution| self.discount(contribution));
            self.granted.remove(id);
        }
    }

    fn charge(&mut self, (pool, contribution): &Contribution) {
        let count = self.counts.entry(pool.clone()).or_default();
        count.vms += contribution.vms;
        count.slots += contribution.slots;
        count.unavailable += contribution.unavailable;
        count.gone += contribution.gone;
        count.incoming += contribution.incoming;
    }

    fn discount(&mut self, (pool, contribution): &Contribution) {
        let count = self.counts.entry(pool.clone()).or_default();
        count.vms -= contribution.vms;
        count.slots -= contribution.slots;
        count.unavailable -= contribution.unavailable;
        count.gone -= contribution.gone;
        count.incoming -= contribution.incoming;
        if *count == PoolCount::default() {
            self.counts.remove(pool);
        }
    }
}

/// Returns what a VM contributes to its own pool and, while it is being moved, to its new pool.
fn contributions(vm: &Vm) -> Vec<Contribution> {
    let own = PoolCount {
        vms: 1,
        slots: vm.slots,
        unavailable: if vm.is_available() { 0 } else { vm.slots },
        gone: u32::from(vm.health == Health::Gone),
        incoming: 0,
    };
    let mut contributions = vec![(vm.pool.clone(), own)];
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
        contributions.push((to.clone(), coming));
    }
    contributions
}
