//! Moves between pools: the fewest that reach the asked-for sizes, never below a budget.

use crate::{
    record::GrantPurpose,
    state::{Fleet, SPARE_POOL, Step, Vm},
};
use protocol::{Offset, PoolId, VmId};
use settings::admits_hall;
use std::{cmp::Reverse, collections::BTreeMap};

/// A VM that should be taken out of service, and what for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProposedGrant {
    /// The VM.
    pub vm: VmId,
    /// Its version that the wish is based on.
    pub base: Offset,
    /// What for.
    pub purpose: GrantPurpose,
}

/// Room in the budgets, used up as a plan grows.
pub struct BudgetHeadroom<'f> {
    fleet: &'f Fleet,
    left: BTreeMap<&'f str, u32>,
}

impl<'f> BudgetHeadroom<'f> {
    /// Begins with the room that the fleet has.
    pub fn new(fleet: &'f Fleet) -> Self {
        Self {
            fleet,
            left: BTreeMap::new(),
        }
    }

    /// Takes a VM's slots if its pool has room for them.
    pub fn take(&mut self, vm: &'f Vm) -> bool {
        let fleet = self.fleet;
        let left = self
            .left
            .entry(&vm.pool)
            .or_insert_with(|| fleet.headroom(&vm.pool).unwrap_or_default());
        match left.checked_sub(vm.slots) {
            Some(rest) => {
                *left = rest;
                true
            }
            None => false,
        }
    }
}

/// Sizes that the pools will have once every move on the way has arrived.
struct Sizes {
    will: BTreeMap<PoolId, u32>,
}

impl Sizes {
    fn new(fleet: &Fleet) -> Self {
        let mut will: BTreeMap<PoolId, u32> = fleet
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
                GrantPurpose::Move { .. } | GrantPurpose::Release => lower(&mut will, &vm.pool),
                GrantPurpose::Reboot | GrantPurpose::Drain => {}
            }
        }
        Self { will }
    }

    fn lack(&self, fleet: &Fleet, pool: &str) -> u32 {
        fleet.desired(pool).saturating_sub(self.will[pool])
    }

    fn has_surplus(&self, fleet: &Fleet) -> bool {
        let mut pools = self.will.keys();
        pools.any(|pool| self.surplus(fleet, pool) > 0)
    }

    /// VMs that a pool has over what it asks for; a pool that asks for nothing keeps its VMs.
    fn surplus(&self, fleet: &Fleet, pool: &str) -> u32 {
        let will = self.will.get(pool).copied().unwrap_or_default();
        if pool == SPARE_POOL {
            return will;
        }
        let asked = fleet.tree.nodes.get(pool).and_then(|node| node.vms);
        asked.map_or(0, |asked| will.saturating_sub(asked))
    }
}

fn lower(will: &mut BTreeMap<PoolId, u32>, pool: &str) {
    if let Some(size) = will.get_mut(pool) {
        *size = size.saturating_sub(1);
    }
}

fn shift(will: &mut BTreeMap<PoolId, u32>, from: &str, to: &str) {
    lower(will, from);
    *will.entry(to.to_owned()).or_default() += 1;
}

/// Returns the moves that may begin now, as `room` allows.
///
/// A VM goes straight from a pool with too many to one with too few. Pools that admit the fewest
/// halls choose first, spare VMs go before those of other pools, and a hall where the pool has
/// the fewest VMs goes before one where it has many.
pub fn next_moves<'f>(fleet: &'f Fleet, headroom: &mut BudgetHeadroom<'f>) -> Vec<ProposedGrant> {
    let mut sizes = Sizes::new(fleet);
    if !sizes.has_surplus(fleet) {
        return Vec::new();
    }
    let mut wanted = Vec::new();
    let mut taken: Vec<&VmId> = Vec::new();
    for pool in choosing_order(fleet, &sizes) {
        let mut spread = spread_of(fleet, pool);
        while sizes.lack(fleet, pool) > 0 {
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
            shift(&mut sizes.will, &vm.pool, pool);
            wanted.push(ProposedGrant {
                vm: id.clone(),
                base: vm.version,
                purpose: GrantPurpose::Move { to: pool.clone() },
            });
        }
    }
    wanted
}

/// Returns the least number of moves that reaches the asked-for sizes as far as VMs allow.
pub fn min_moves(fleet: &Fleet) -> u32 {
    let sizes = Sizes::new(fleet);
    let lack: u32 = fleet.tree.pools().map(|pool| sizes.lack(fleet, pool)).sum();
    let surplus: u32 = sizes
        .will
        .keys()
        .map(|pool| sizes.surplus(fleet, pool))
        .sum();
    lack.min(surplus)
}

fn choosing_order<'f>(fleet: &'f Fleet, sizes: &Sizes) -> Vec<&'f PoolId> {
    let mut pools: Vec<&PoolId> = fleet
        .tree
        .pools()
        .filter(|pool| sizes.lack(fleet, pool) > 0)
        .collect();
    pools.sort_by_cached_key(|pool| {
        let admitted = fleet
            .vms
            .values()
            .filter(|vm| admits_hall(&fleet.tree, pool, &vm.hall))
            .count();
        (admitted, Reverse(sizes.lack(fleet, pool)), *pool)
    });
    pools
}

/// VMs of a pool, by hall.
fn spread_of<'f>(fleet: &'f Fleet, pool: &str) -> BTreeMap<&'f str, u32> {
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
