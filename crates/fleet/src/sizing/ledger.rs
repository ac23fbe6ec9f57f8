//! What pools have left to give, and still lack, while moves are chosen.

use super::{IdleVm, PoolDemand, SizingLimits};
use clock::Instant;
use std::{cmp::Reverse, collections::VecDeque};

/// Where a pool in need gets VMs from, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// Pools that have more than they are likely to need.
    Surplus,
    /// The reserve.
    Reserve,
    /// Pools that have more than their part of what all need.
    Fair,
}

/// The pools, and how many VMs each has left to give while moves are chosen.
pub(super) struct SizingLedger<'p> {
    pub(super) pools: &'p [PoolDemand],
    pub(super) limits: &'p SizingLimits,
    /// How many VMs each pool should have if all share what there is by what they need now.
    fair: Vec<usize>,
    /// The idle VMs that are left, those idle for the longest time first.
    pub(super) idle: Vec<VecDeque<&'p IdleVm>>,
    /// How many VMs each pool has given away.
    given: Vec<usize>,
    /// How many VMs each pool still lacks.
    pub(super) short: Vec<usize>,
}

impl<'p> SizingLedger<'p> {
    pub(super) fn new(pools: &'p [PoolDemand], limits: &'p SizingLimits) -> Self {
        SizingLedger {
            pools,
            limits,
            fair: fair_shares(pools, limits),
            idle: pools
                .iter()
                .map(|pool| pool.idle.iter().collect())
                .collect(),
            given: vec![0; pools.len()],
            short: pools.iter().map(|pool| pool.short(limits)).collect(),
        }
    }

    /// How many more VMs a pool can give to those in need.
    pub(super) fn can_give(&self, place: usize, source: Source) -> usize {
        let pool = &self.pools[place];
        let most = match source {
            Source::Surplus if !pool.reserve => pool.surplus(self.limits),
            Source::Reserve if pool.reserve => pool.vms,
            Source::Fair if !pool.reserve && self.short[place] == 0 => {
                pool.vms.saturating_sub(self.fair[place])
            }
            Source::Surplus | Source::Reserve | Source::Fair => 0,
        };
        most.saturating_sub(self.given[place])
    }

    /// An idle VM for a pool in need.
    pub(super) fn take(&mut self, source: Source, now: Instant) -> Option<(usize, &'p IdleVm)> {
        for place in 0..self.pools.len() {
            if self.can_give(place, source) == 0 {
                continue;
            }
            let ready =
                |vm: &&IdleVm| source == Source::Reserve || now >= vm.since + self.limits.min_idle;
            let found = self.idle[place].iter().position(ready);
            if let Some(vm) = found.and_then(|index| self.idle[place].remove(index)) {
                self.given[place] += 1;
                return Some((place, vm));
            }
        }
        None
    }

    /// The pools in need, the neediest first. What is taken from pools that use it goes only to pools
    /// that have less than their part.
    pub(super) fn needy(&self, source: Source) -> Vec<(usize, usize)> {
        let lacks = |place: usize| match source {
            Source::Surplus | Source::Reserve => self.short[place],
            Source::Fair => {
                let pool = &self.pools[place];
                self.short[place].min(self.fair[place].saturating_sub(pool.vms))
            }
        };
        let mut needy: Vec<(usize, usize)> = (0..self.pools.len())
            .map(|place| (place, lacks(place)))
            .filter(|(_, lacks)| *lacks > 0)
            .collect();
        needy.sort_by_key(|(_, lacks)| Reverse(*lacks));
        needy
    }
}

/// How many VMs each pool should have: what its jobs can use now, or a proportional part of it where all
/// together need more than there is.
fn fair_shares(pools: &[PoolDemand], limits: &SizingLimits) -> Vec<usize> {
    let needs: Vec<usize> = pools.iter().map(|pool| pool.needed(limits)).collect();
    let needed: usize = needs.iter().sum();
    let there: usize = pools.iter().map(|pool| pool.vms).sum();
    let part = (there as f64 / needed.max(1) as f64).min(1.0);
    let share = |(pool, need): (&PoolDemand, usize)| {
        let fair = (need as f64 * part).ceil() as usize;
        fair.max(pool.min_vms).max(usize::from(!pool.reserve))
    };
    pools.iter().zip(needs).map(share).collect()
}
