//! The VMs that pools can still give away, and still lack, while moves are chosen.

use super::{IdleVm, PoolDemand, SizingLimits, equal_share};
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

/// What a pool in need can claim, in the order in which claims are met.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Claim {
    /// VMs for work that can still be in time, up to the pool's fair share.
    Share,
    /// VMs for all work that can still be in time, expected work included.
    InTime,
    /// VMs for all work.
    All,
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
    /// The number of VMs that each pool has received.
    pub(super) received: Vec<usize>,
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
            received: vec![0; pools.len()],
        }
    }

    /// Returns how many more VMs a pool can give to pools in need.
    pub(super) fn available(&self, index: usize, source: Source) -> usize {
        let pool = &self.pools[index];
        let max = match source {
            Source::Surplus if !pool.reserve => pool.surplus(self.limits),
            Source::Reserve if pool.reserve => pool.vms,
            Source::Fair if !pool.reserve => pool.vms.saturating_sub(self.kept(index)),
            Source::Surplus | Source::Reserve | Source::Fair => 0,
        };
        max.saturating_sub(self.given_away[index])
    }

    /// Returns how many VMs a pool keeps while others have less than their fair share.
    fn kept(&self, index: usize) -> usize {
        let pool = &self.pools[index];
        let fair = self.fair[index];
        match pool.needed(self.limits) <= pool.vms {
            true => fair,
            false => (fair as f64 * self.limits.max_share_ratio).ceil() as usize,
        }
    }

    /// Takes an idle VM for a pool in need. Returns the index of its pool and the VM, or `None` if there is
    /// none.
    pub(super) fn take(&mut self, source: Source, now: Instant) -> Option<(usize, &'p IdleVm)> {
        for index in 0..self.pools.len() {
            if self.available(index, source) == 0 {
                continue;
            }
            let ready = |vm: &&IdleVm| {
                let is_idle = now >= vm.since + self.limits.min_idle;
                source == Source::Reserve || vm.drained || is_idle
            };
            let found = self.idle[index].iter().position(ready);
            if let Some(vm) = found.and_then(|position| self.idle[index].remove(position)) {
                self.given_away[index] += 1;
                return Some((index, vm));
            }
        }
        None
    }

    /// Returns how many more VMs a pool claims.
    fn shortage(&self, index: usize, claim: Claim) -> usize {
        let pool = &self.pools[index];
        let wanted = match claim {
            Claim::Share => pool.wanted(false, self.limits).min(self.fair[index]),
            Claim::InTime => pool.wanted(false, self.limits),
            Claim::All => pool.wanted(true, self.limits),
        };
        wanted.saturating_sub(pool.vms + self.received[index])
    }

    /// Returns the pools whose claims are not met and the number of VMs that each lacks, largest shortage first.
    pub(super) fn pools_in_need(&self, claim: Claim) -> Vec<(usize, usize)> {
        let mut pools_in_need: Vec<(usize, usize)> = (0..self.pools.len())
            .map(|index| (index, self.shortage(index, claim)))
            .filter(|(_, shortage)| *shortage > 0)
            .collect();
        pools_in_need.sort_by_key(|(_, shortage)| Reverse(*shortage));
        pools_in_need
    }
}

/// Returns how many VMs each pool should have: as many as its work in time can use now, or a proportional share
/// if all pools together need more than there are, but no less than its lower bound.
fn fair_shares(pools: &[PoolDemand], limits: &SizingLimits) -> Vec<usize> {
    let late_vms = equal_share(pools, limits.late_share);
    let needs: Vec<(usize, usize)> = pools
        .iter()
        .map(|pool| (pool.needed(limits), pool.lower_bound(late_vms, limits)))
        .collect();
    let total: usize = pools.iter().map(|pool| pool.vms).sum();
    let share = |need: usize, ratio: f64| (need as f64 * ratio).ceil() as usize;
    // A pool that gets its lower bound leaves less for the others, so that more pools may get theirs.
    let mut ratio = 1.0_f64;
    for _ in pools {
        let (mut left, mut needed) = (total, 0);
        for (need, bound) in &needs {
            match share(*need, ratio) <= *bound {
                true => left = left.saturating_sub(*bound),
                false => needed += need,
            }
        }
        ratio = ratio.min(left as f64 / needed.max(1) as f64);
    }
    let fair = needs
        .iter()
        .map(|(need, bound)| share(*need, ratio).max(*bound));
    fair.collect()
}
