//! The VMs that pools can still give away, and still lack, while moves are chosen.

use super::{IdleVm, PoolDemand, SizingLimits};
use clock::Instant;
use std::{cmp::Reverse, collections::VecDeque};

/// The sources of VMs for a pool in need, in the order in which they are used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// Pools that have more VMs than they are likely to need.
    Surplus,
    /// The reserve.
    Reserve,
    /// Pools that have more VMs than their fair share.
    Fair,
}

/// The pools, with the VMs that each can still give away or still lacks while moves are chosen.
pub(super) struct SizingLedger<'p> {
    pub(super) pools: &'p [PoolDemand],
    pub(super) limits: &'p SizingLimits,
    /// The number of VMs that each pool should have if all VMs are shared according to current needs.
    fair: Vec<usize>,
    /// The idle VMs that have not been moved, longest idle first.
    pub(super) idle: Vec<VecDeque<&'p IdleVm>>,
    /// The number of VMs that each pool has given away.
    given_away: Vec<usize>,
    /// The number of VMs that each pool still lacks.
    pub(super) shortage: Vec<usize>,
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
            given_away: vec![0; pools.len()],
            shortage: pools.iter().map(|pool| pool.shortage(limits)).collect(),
        }
    }

    /// Returns how many more VMs a pool can give to pools in need.
    pub(super) fn available(&self, index: usize, source: Source) -> usize {
        let pool = &self.pools[index];
        let max = match source {
            Source::Surplus if !pool.reserve => pool.surplus(self.limits),
            Source::Reserve if pool.reserve => pool.vms,
            Source::Fair if !pool.reserve && self.shortage[index] == 0 => {
                pool.vms.saturating_sub(self.fair[index])
            }
            Source::Surplus | Source::Reserve | Source::Fair => 0,
        };
        max.saturating_sub(self.given_away[index])
    }

    /// Takes an idle VM for a pool in need. Returns the index of its pool and the VM, or `None` if there is
    /// none.
    pub(super) fn take(&mut self, source: Source, now: Instant) -> Option<(usize, &'p IdleVm)> {
        for index in 0..self.pools.len() {
            if self.available(index, source) == 0 {
                continue;
            }
            let ready =
                |vm: &&IdleVm| source == Source::Reserve || now >= vm.since + self.limits.min_idle;
            let found = self.idle[index].iter().position(ready);
            if let Some(vm) = found.and_then(|position| self.idle[index].remove(position)) {
                self.given_away[index] += 1;
                return Some((index, vm));
            }
        }
        None
    }

    /// Returns the pools in need and the number of VMs that each lacks, largest shortage first. VMs from
    /// pools that could use them themselves only go to pools that have less than their fair share.
    pub(super) fn pools_in_need(&self, source: Source) -> Vec<(usize, usize)> {
        let shortage = |index: usize| match source {
            Source::Surplus | Source::Reserve => self.shortage[index],
            Source::Fair => {
                let pool = &self.pools[index];
                self.shortage[index].min(self.fair[index].saturating_sub(pool.vms))
            }
        };
        let mut pools_in_need: Vec<(usize, usize)> = (0..self.pools.len())
            .map(|index| (index, shortage(index)))
            .filter(|(_, shortage)| *shortage > 0)
            .collect();
        pools_in_need.sort_by_key(|(_, shortage)| Reverse(*shortage));
        pools_in_need
    }
}

/// Returns how many VMs each pool should have: as many as its jobs can use now, or a proportional share if
/// all pools together need more than there are.
fn fair_shares(pools: &[PoolDemand], limits: &SizingLimits) -> Vec<usize> {
    let needs: Vec<usize> = pools.iter().map(|pool| pool.needed(limits)).collect();
    let needed: usize = needs.iter().sum();
    let total: usize = pools.iter().map(|pool| pool.vms).sum();
    let ratio = (total as f64 / needed.max(1) as f64).min(1.0);
    let share = |(pool, need): (&PoolDemand, usize)| {
        let fair = (need as f64 * ratio).ceil() as usize;
        fair.max(pool.min_vms).max(usize::from(!pool.reserve))
    };
    pools.iter().zip(needs).map(share).collect()
}
