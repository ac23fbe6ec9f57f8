//! Moves between pools: the fewest that reach the desired sizes, without exceeding a budget.

use crate::{
    record::GrantPurpose,
    state::{Fleet, SPARE_POOL, Step, Vm},
};
use protocol::{Offset, PoolId, VmId};
use settings::admits_hall;
use std::{cmp::Reverse, collections::BTreeMap};

/// A proposal to take a VM out of service for an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProposedGrant {
    /// The VM.
    pub vm: VmId,
    /// The version of the VM on which the proposal is based.
    pub base: Offset,
    /// The operation.
    pub purpose: GrantPurpose,
}

/// The headroom that is left in the budgets while a plan is made.
pub struct BudgetHeadroom<'f> {
    fleet: &'f Fleet,
    remaining: BTreeMap<&'f str, u32>,
}

impl<'f> BudgetHeadroom<'f> {
    /// Creates the headroom from the current state of the fleet.
    pub fn new(fleet: &'f Fleet) -> Self {
        Self {
            fleet,
            remaining: BTreeMap::new(),
        }
    }

    /// Reserves the slots of a VM if the headroom of its pool suffices. Returns whether it did.
    pub fn take(&mut self, vm: &'f Vm) -> bool {
        let fleet = self.fleet;
        let remaining = self
            .remaining
            .entry(&vm.pool)
            .or_insert_with(|| fleet.headroom(&vm.pool).unwrap_or_default());
        match remaining.checked_sub(vm.slots) {
            Some(rest) => {
                *remaining = rest;
                true
            }
            None => false,
        }
    }
}

/// The sizes of the pools once all moves in progress have been completed.
struct Sizes {
    planned: BTreeMap<PoolId, u32>,
}

impl Sizes {
    fn new(fleet: &Fleet) -> Self {
        let mut planned: BTreeMap<PoolId, u32> = fleet
            .tree
            .pools()
            .chain(fleet.counts.keys())
            .map(|pool| (pool.clone(), fleet.expected(pool)))
            .collect();
        for (_, vm, grant) in fleet
            .grants()
            .filter(|(_, _, grant)| grant.step != Step::Returning)
        {
            match &grant.purpose {
                GrantPurpose::Move { .. } | GrantPurpose::Release => lower(&mut planned, &vm.pool),
                GrantPurpose::Reboot | GrantPurpose::Drain => {}
            }
        }
        Self { planned }
    }

    fn shortage(&self, fleet: &Fleet, pool: &str) -> u32 {
        fleet.desired(pool).saturating_sub(self.planned[pool])
    }

    fn has_surplus(&self, fleet: &Fleet) -> bool {
        let mut pools = self.planned.keys();
        pools.any(|pool| self.surplus(fleet, pool) > 0)
    }

    /// Returns by how many VMs a pool exceeds its desired size. A pool without a desired size keeps its
    /// VMs.
    fn surplus(&self, fleet: &Fleet, pool: &str) -> u32 {
        let planned = self.planned.get(pool).copied().unwrap_or_default();
        if pool == SPARE_POOL {
            return planned;
        }
        let desired = fleet.tree.nodes.get(pool).and_then(|node| node.vms);
        desired.map_or(0, |desired| planned.saturating_sub(desired))
    }
}

fn lower(planned: &mut BTreeMap<PoolId, u32>, pool: &str) {
    if let Some(size) = planned.get_mut(pool) {
        *size = size.saturating_sub(1);
    }
}

fn transfer(planned: &mut BTreeMap<PoolId, u32>, from: &str, to: &str) {
    lower(planned, from);
    *planned.entry(to.to_owned()).or_default() += 1;
}

/// Returns the moves that may begin now, as far as `headroom` allows.
///
/// A VM moves directly from a pool with a surplus to one with a shortage. Pools that admit the fewest VMs
/// choose first. Spare VMs are taken before those of other pools, and VMs of data centres in which the pool
/// has few VMs before those in which it has many.
pub fn next_moves<'f>(fleet: &'f Fleet, headroom: &mut BudgetHeadroom<'f>) -> Vec<ProposedGrant> {
    let mut sizes = Sizes::new(fleet);
    if !sizes.has_surplus(fleet) {
        return Vec::new();
    }
    let mut proposed = Vec::new();
    let mut taken: Vec<&VmId> = Vec::new();
    for pool in pools_by_priority(fleet, &sizes) {
        let mut spread = vms_by_hall(fleet, pool);
        while sizes.shortage(fleet, pool) > 0 {
            let candidates = candidates(fleet, &sizes, pool, &spread);
            let next = candidates
                .into_iter()
                .filter(|(id, _)| !taken.contains(id))
                .find(|(_, vm)| headroom.take(vm));
            let Some((id, vm)) = next else {
                break;
            };
            taken.push(id);
            *spread.entry(&vm.hall).or_default() += 1;
            transfer(&mut sizes.planned, &vm.pool, pool);
            proposed.push(ProposedGrant {
                vm: id.clone(),
                base: vm.version,
                purpose: GrantPurpose::Move { to: pool.clone() },
            });
        }
    }
    proposed
}

/// Returns the minimum number of moves that reaches the desired sizes as far as there are enough VMs.
pub fn min_moves(fleet: &Fleet) -> u32 {
    let sizes = Sizes::new(fleet);
    let shortage: u32 = fleet
        .tree
        .pools()
        .map(|pool| sizes.shortage(fleet, pool))
        .sum();
    let surplus: u32 = sizes
        .planned
        .keys()
        .map(|pool| sizes.surplus(fleet, pool))
        .sum();
    shortage.min(surplus)
}

fn pools_by_priority<'f>(fleet: &'f Fleet, sizes: &Sizes) -> Vec<&'f PoolId> {
    let mut pools: Vec<&PoolId> = fleet
        .tree
        .pools()
        .filter(|pool| sizes.shortage(fleet, pool) > 0)
        .collect();
    pools.sort_by_cached_key(|pool| {
        let admitted = fleet
            .vms
            .values()
            .filter(|vm| admits_hall(&fleet.tree, pool, &vm.hall))
            .count();
        (admitted, Reverse(sizes.shortage(fleet, pool)), *pool)
    });
    pools
}

/// Returns the number of VMs of a pool in each data centre.
fn vms_by_hall<'f>(fleet: &'f Fleet, pool: &str) -> BTreeMap<&'f str, u32> {
    let mut spread = BTreeMap::new();
    for vm in fleet.vms.values().filter(|vm| vm.pool == pool) {
        *spread.entry(vm.hall.as_str()).or_default() += 1;
    }
    spread
}

fn candidates<'f>(
    fleet: &'f Fleet,
    sizes: &Sizes,
    pool: &str,
    spread: &BTreeMap<&str, u32>,
) -> Vec<(&'f VmId, &'f Vm)> {
    let mut found: Vec<(&VmId, &Vm)> = fleet
        .vms
        .iter()
        .filter(|(_, vm)| vm.is_available())
        .filter(|(_, vm)| sizes.surplus(fleet, &vm.pool) > 0)
        .filter(|(_, vm)| fleet.admits(pool, vm))
        .collect();
    found.sort_by_key(|(id, vm)| {
        let in_hall = spread.get(vm.hall.as_str()).copied().unwrap_or_default();
        (vm.pool != SPARE_POOL, in_hall, &vm.pool, *id)
    });
    found
}
