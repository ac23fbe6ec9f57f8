//! Which VMs change their pool, by what the pools' jobs ask for.
//!
//! A VM in a pool costs money each second, and so does each move; a VM that is on its way does no
//! work. A pool whose jobs wait gets idle VMs of pools that have more than they are likely to need, then
//! VMs of the reserve, then idle VMs of pools that have more than their part of what all need. Where that
//! does not do, VMs of such pools are emptied. An idle VM that nobody needs goes to the reserve once it
//! has cost as much as the way there and back.

mod ledger;

use clock::Instant;
use ledger::{SizingLedger, Source};
use std::time::Duration;

/// The figures that sizing depends on.
#[derive(Clone, Debug)]
pub struct SizingLimits {
    /// The part of a pool's room that its jobs can fill: sizes of tasks leave gaps.
    pub max_fill: f64,
    /// The part of its room that a pool's jobs may fill before it gives VMs away.
    pub max_fill_to_give: f64,
    /// How long a VM must have been idle before it goes to the reserve: one that is idle for so long stays so for far longer
    /// as a rule, and is back in time where the growth of what comes is foreseen.
    pub reserve_idle_age: Duration,
    /// What a pool keeps whose demand is not known, as a part of an equal share of all VMs: enough for
    /// the first second of a peak, after which VMs of the reserve come.
    pub initial_share: f64,
    /// How long a VM must have been idle before another pool gets it: runs come in bursts.
    pub min_idle: Duration,
}

impl Default for SizingLimits {
    fn default() -> Self {
        SizingLimits {
            max_fill: 0.9,
            max_fill_to_give: 0.85,
            reserve_idle_age: Duration::from_millis(1_500),
            initial_share: 0.7,
            min_idle: Duration::from_millis(150),
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

/// A VM that carries only work that ends by itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainableVm {
    /// The VM.
    pub vm: String,
    /// When its runs will have ended, as far as can be foreseen.
    pub free: Instant,
    /// Whether it is being emptied.
    pub draining: bool,
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
    pub vm_capacity: u64,
    /// What runs, at its highest of late, in thousandths of a core.
    pub peak_running: u64,
    /// What runs now, in thousandths of a core.
    pub running: u64,
    /// What waits for room, in thousandths of a core.
    pub waiting: u64,
    /// The part of it that cannot be in time any more.
    pub late: u64,
    /// What the jobs that come will use as long as as many come, in thousandths of a core.
    pub inflow: u64,
    /// The same once a VM that is ordered now is there, if what comes goes on growing as it does.
    pub forecast_inflow: u64,
    /// Whether it has had no jobs yet that tell what it needs: it keeps [`SizingLimits::initial_share`].
    pub demand_unknown: bool,
    /// How many VMs it needs whatever its jobs use: tasks that must be apart, and a spare one.
    pub min_vms: usize,
    /// Its idle VMs, those idle for the longest time first.
    pub idle: Vec<IdleVm>,
    /// Its VMs that carry only work that ends by itself.
    pub drainable: Vec<DrainableVm>,
}

/// A VM that is to change its pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmMove {
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
        (cpu as f64 / (self.vm_capacity.max(1) as f64 * part)).ceil() as usize
    }

    /// How many more VMs its jobs could fill.
    fn short(&self, limits: &SizingLimits) -> usize {
        if self.reserve {
            return 0;
        }
        let coming = self.inflow.max(self.forecast_inflow);
        let wanted = match self.waiting {
            0 => self.vms_for(coming, limits.max_fill),
            waiting => self.vms_for(coming.max(self.peak_running + waiting), limits.max_fill),
        };
        wanted.max(self.min_vms).saturating_sub(self.vms)
    }

    /// How many VMs its jobs can use now. What can only come too late does not count, nor what is
    /// merely expected: VMs are taken from other pools for this.
    fn needed(&self, limits: &SizingLimits) -> usize {
        if self.reserve {
            return 0;
        }
        let timely = self.waiting.saturating_sub(self.late);
        self.vms_for(self.running + timely, limits.max_fill)
            .max(self.min_vms)
    }

    /// How many VMs it can do without.
    fn surplus(&self, limits: &SizingLimits) -> usize {
        if self.reserve {
            return self.vms;
        }
        let asked = self
            .inflow
            .max(self.forecast_inflow)
            .max(self.peak_running + self.waiting);
        let used = self.vms_for(asked, limits.max_fill_to_give);
        self.vms.saturating_sub(used.max(self.min_vms).max(1))
    }
}

/// What is worth doing about the pools now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Resize {
    /// VMs that are to change their pool at once.
    pub moves: Vec<VmMove>,
    /// VMs that are to get nothing new, so that another pool can have them soon.
    pub drains: Vec<String>,
}

/// Chooses the moves that are worth making now, and the VMs to be emptied for later ones.
pub fn resize(pools: &[PoolDemand], now: Instant, limits: &SizingLimits) -> Resize {
    let mut ledger = SizingLedger::new(pools, limits);
    let mut resize = Resize::default();
    for source in [Source::Surplus, Source::Reserve, Source::Fair] {
        fill(&mut ledger, source, now, &mut resize);
    }
    resize.drains = drains(&ledger);
    rest(&mut ledger, now, &mut resize);
    resize
}

/// Whether a pool lacks VMs, so that emptying some may be worth looking for: only then does
/// [`PoolDemand::drainable`] matter.
pub fn lacks_vms(pools: &[PoolDemand], limits: &SizingLimits) -> bool {
    !SizingLedger::new(pools, limits)
        .needy(Source::Fair)
        .is_empty()
}

/// Gives idle VMs of one source to the pools in need.
fn fill(ledger: &mut SizingLedger<'_>, source: Source, now: Instant, resize: &mut Resize) {
    for (to, lacks) in ledger.needy(source) {
        for _ in 0..lacks {
            let Some((from, vm)) = ledger.take(source, now) else {
                return;
            };
            ledger.short[to] -= 1;
            resize.moves.push(VmMove {
                vm: vm.vm.clone(),
                from: ledger.pools[from].pool.clone(),
                to: ledger.pools[to].pool.clone(),
            });
        }
    }
}

/// The VMs to be emptied for pools that still lack some: of pools that have more than their part, the VMs
/// that are free first, those that are being emptied already before others.
fn drains(ledger: &SizingLedger<'_>) -> Vec<String> {
    let mut lacks: usize = ledger
        .needy(Source::Fair)
        .iter()
        .map(|(_, lacks)| lacks)
        .sum();
    let mut drainable: Vec<(&DrainableVm, usize)> = Vec::new();
    for (place, pool) in ledger.pools.iter().enumerate() {
        drainable.extend(pool.drainable.iter().map(|vm| (vm, place)));
    }
    drainable.sort_by_key(|(vm, _)| (!vm.draining, vm.free));
    let mut left: Vec<usize> = (0..ledger.pools.len())
        .map(|place| ledger.can_give(place, Source::Fair))
        .collect();
    let mut drains = Vec::new();
    for (vm, place) in drainable {
        if lacks > 0 && left[place] > 0 {
            lacks -= 1;
            left[place] -= 1;
            drains.push(vm.vm.clone());
        }
    }
    drains
}

/// How many VMs a pool keeps whose demand is not known.
fn start_size(pools: &[PoolDemand], limits: &SizingLimits) -> usize {
    let there: usize = pools.iter().map(|pool| pool.vms).sum();
    let served = pools.iter().filter(|pool| !pool.reserve).count();
    (there as f64 / served.max(1) as f64 * limits.initial_share).ceil() as usize
}

/// Sends VMs to the reserve that have been idle for long and that no pool needs.
fn rest(ledger: &mut SizingLedger<'_>, now: Instant, resize: &mut Resize) {
    let Some(reserve) = ledger.pools.iter().find(|pool| pool.reserve) else {
        return;
    };
    let start = start_size(ledger.pools, ledger.limits);
    for (place, pool) in ledger.pools.iter().enumerate() {
        if pool.reserve {
            continue;
        }
        let mut most = ledger.can_give(place, Source::Surplus);
        if pool.demand_unknown {
            most = most.min(pool.vms.saturating_sub(start));
        }
        let rested = ledger.idle[place]
            .iter()
            .take(most)
            .filter(|vm| now >= vm.since + ledger.limits.reserve_idle_age);
        resize.moves.extend(rested.map(|vm| VmMove {
            vm: vm.vm.clone(),
            from: pool.pool.clone(),
            to: reserve.pool.clone(),
        }));
    }
}
