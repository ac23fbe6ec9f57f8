//! Which VMs change their pool, by what the pools' jobs ask for.
//!
//! A VM in a pool costs money each second, and so does each move; a VM that is on its way does no
//! work. A pool whose jobs wait gets idle VMs of pools that have more than they need, then VMs of
//! the reserve; an idle VM that nobody needs goes to the reserve once it has cost as much as the way
//! there and back.

use std::time::{Duration, Instant};

/// The figures that sizing depends on.
#[derive(Clone, Debug)]
pub struct SizingLimits {
    /// The part of a pool's room that its jobs can fill: sizes of tasks leave gaps.
    pub fill: f64,
    /// The part of its room that a pool's jobs may fill before it gives VMs away.
    pub spare: f64,
    /// How long a VM must have been idle before it goes to the reserve. Two moves cost as much as a
    /// VM in a pool does in 2.3 s.
    pub rest: Duration,
    /// How long a VM must have been idle before another pool gets it: runs come in bursts.
    pub pause: Duration,
}

impl Default for SizingLimits {
    fn default() -> Self {
        SizingLimits {
            fill: 0.9,
            spare: 0.75,
            rest: Duration::from_millis(2_500),
            pause: Duration::from_millis(150),
        }
    }
}

/// An idle VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdleVm {
    /// The VM.
    pub vm: String,
    /// Since when it has been idle.
    pub since: Instant,
}

/// A pool, as sizing sees it.
#[derive(Clone, Debug, Default)]
pub struct PoolDemand {
    /// Its name.
    pub pool: String,
    /// Whether its VMs are off and cost nothing.
    pub reserve: bool,
    /// How many VMs it has or is about to get.
    pub vms: usize,
    /// The room of one of its VMs, in thousandths of a core.
    pub room: u64,
    /// What runs, at its highest of late, in thousandths of a core.
    pub busy: u64,
    /// What waits for room, in thousandths of a core.
    pub waiting: u64,
    /// What the jobs that come will use as long as as many come, in thousandths of a core.
    pub inflow: u64,
    /// Whether its idle VMs stay out of the reserve: what its jobs ask for is not known yet.
    pub fixed: bool,
    /// How many VMs it needs whatever its jobs use: tasks that must be apart, and a spare one.
    pub least: usize,
    /// Its idle VMs, those idle for the longest time first.
    pub idle: Vec<IdleVm>,
}

/// A VM that is to change its pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shift {
    /// The VM.
    pub vm: String,
    /// Its pool.
    pub from: String,
    /// The pool that it is to be in.
    pub to: String,
}

impl PoolDemand {
    /// How many VMs hold so much, in thousandths of a core, if a part of their room is used.
    fn vms_for(&self, cpu: u64, part: f64) -> usize {
        (cpu as f64 / (self.room.max(1) as f64 * part)).ceil() as usize
    }

    /// How many more VMs its jobs could fill.
    fn short(&self, limits: &SizingLimits) -> usize {
        if self.reserve {
            return 0;
        }
        let wanted = match self.waiting {
            0 => self.vms_for(self.inflow, limits.fill),
            waiting => self.vms_for(self.inflow.max(self.busy + waiting), limits.fill),
        };
        wanted.max(self.least).saturating_sub(self.vms)
    }

    /// How many VMs it can do without.
    fn surplus(&self, limits: &SizingLimits) -> usize {
        if self.reserve {
            return self.vms;
        }
        let asked = self.inflow.max(self.busy + self.waiting);
        let used = self.vms_for(asked, limits.spare);
        self.vms.saturating_sub(used.max(self.least).max(1))
    }
}

/// Chooses the moves that are worth making now.
pub fn shifts(pools: &[PoolDemand], now: Instant, limits: &SizingLimits) -> Vec<Shift> {
    let mut left: Vec<Vec<&IdleVm>> = pools.iter().map(|pool| spare_vms(pool, limits)).collect();
    let mut shifts = Vec::new();
    let mut needy: Vec<&PoolDemand> = pools.iter().filter(|p| p.short(limits) > 0).collect();
    needy.sort_by_key(|pool| std::cmp::Reverse(pool.short(limits)));
    for pool in needy {
        for _ in 0..pool.short(limits) {
            let Some((from, vm)) = take_donor(pools, &mut left, now, limits) else {
                return shifts;
            };
            shifts.push(Shift {
                vm,
                from,
                to: pool.pool.clone(),
            });
        }
    }
    let Some(reserve) = pools.iter().find(|pool| pool.reserve) else {
        return shifts;
    };
    for (pool, idle) in pools
        .iter()
        .zip(left)
        .filter(|(pool, _)| !pool.reserve && !pool.fixed)
    {
        let rested = idle.into_iter().filter(|vm| now >= vm.since + limits.rest);
        shifts.extend(rested.map(|vm| Shift {
            vm: vm.vm.clone(),
            from: pool.pool.clone(),
            to: reserve.pool.clone(),
        }));
    }
    shifts
}

/// The idle VMs that a pool can do without, those idle for the longest time first.
fn spare_vms<'p>(pool: &'p PoolDemand, limits: &SizingLimits) -> Vec<&'p IdleVm> {
    pool.idle.iter().take(pool.surplus(limits)).collect()
}

/// An idle VM for a pool in need: of a pool that pays for it before one of the reserve.
fn take_donor(
    pools: &[PoolDemand],
    left: &mut [Vec<&IdleVm>],
    now: Instant,
    limits: &SizingLimits,
) -> Option<(String, String)> {
    for reserve in [false, true] {
        for (pool, idle) in pools.iter().zip(left.iter_mut()) {
            if pool.reserve != reserve {
                continue;
            }
            let ready = |vm: &&IdleVm| reserve || now >= vm.since + limits.pause;
            if let Some(place) = idle.iter().position(ready) {
                return Some((pool.pool.clone(), idle.remove(place).vm.clone()));
            }
        }
    }
    None
}
