//! Decides which VMs move to another pool, according to the demand of the pools' jobs.
//!
//! A VM in a pool costs money each second, and so does each move; a VM that is being moved does no work. A
//! pool whose jobs wait gets idle VMs of pools that have more than they are likely to need, then VMs of the
//! reserve, then idle VMs of pools that have more than their fair share. If that is not enough, VMs of such
//! pools are drained, even if late work waits there. An idle VM that no pool needs goes to the reserve once
//! it has cost as much as the move there and back.
//!
//! Fair shares follow the work that can still be in time, waiting, running and arriving. Late work gets VMs
//! that no work in time needs, and a small lower bound so that no service starves. A pool above its share gives
//! VMs up once its work in time is covered, and before that if it is far above its share.

mod ledger;

use clock::Instant;
use ledger::{Claim, SizingLedger, Source};
use std::time::Duration;

/// The limits that sizing uses.
#[derive(Clone, Debug)]
pub struct SizingLimits {
    /// The share of a pool's capacity that its jobs can fill: the sizes of tasks leave gaps.
    pub max_fill: f64,
    /// The share of its capacity up to which a pool's jobs may fill it while it still gives VMs away.
    pub max_fill_to_give: f64,
    /// The time for which a VM must have been idle before it goes to the reserve. A VM that has been idle
    /// for this long usually stays idle for far longer, and returns in time if the growth of the demand is
    /// forecast.
    pub reserve_idle_age: Duration,
    /// The size of a pool whose demand is not known, as a share of an equal division of all VMs: enough for
    /// the first second of a peak, after which VMs of the reserve arrive.
    pub initial_share: f64,
    /// The number of VMs that a pool keeps for late work while other pools need VMs, as a share of an equal
    /// division of all VMs. Its jobs must end even if all of them are late.
    pub late_share: f64,
    /// The size above which a pool gives VMs up although it could use them for work in time, as a multiple of its
    /// fair share. In an overload of two pools (tests/pools_overload.rs), 0.41 of the work of the worst class ended in
    /// time with 1.3, 0.37 with 1.5, and 0.32 if such pools gave none up; below 1.3, more of the VMs of pools with
    /// their usual load leave, and less work ends in time in all.
    pub max_share_ratio: f64,
    /// The time for which a VM must have been idle before another pool gets it, because runs come in
    /// bursts.
    pub min_idle: Duration,
}

impl Default for SizingLimits {
    fn default() -> Self {
        SizingLimits {
            max_fill: 0.9,
            max_fill_to_give: 0.85,
            reserve_idle_age: Duration::from_millis(1_500),
            initial_share: 0.7,
            late_share: 0.1,
            max_share_ratio: 1.3,
            min_idle: Duration::from_millis(150),
        }
    }
}

/// An idle VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdleVm {
    /// The VM.
    pub vm: String,
    /// The time since which the VM has been idle.
    pub since: Instant,
    /// Whether the VM has been drained. It moves at once, since nothing has started on it that would show how
    /// long it stays idle.
    pub drained: bool,
}

/// A VM that runs only work that ends by itself, so that it can be drained.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainableVm {
    /// The VM.
    pub vm: String,
    /// The time at which its runs are expected to have ended.
    pub free: Instant,
    /// Whether the VM is being drained already.
    pub draining: bool,
}

/// The demand and the VMs of a pool.
#[derive(Clone, Debug, Default)]
pub struct PoolDemand {
    /// The name of the pool.
    pub pool: String,
    /// Whether this is the reserve, whose VMs are off and cost nothing.
    pub reserve: bool,
    /// The number of VMs that the pool has or is about to get.
    pub vms: usize,
    /// The capacity of one of its VMs, in thousandths of a core.
    pub vm_capacity: u64,
    /// The recent maximum of the running work, in thousandths of a core.
    pub peak_running: u64,
    /// The work that runs now, in thousandths of a core.
    pub running: u64,
    /// The work that waits for capacity, in thousandths of a core.
    pub waiting: u64,
    /// The part of the waiting work that can no longer meet its deadline, in thousandths of a core.
    pub late: u64,
    /// The part of the running work whose jobs can no longer be in time, in thousandths of a core.
    pub late_running: u64,
    /// The work that arriving jobs will use if they keep arriving at the current rate, in thousandths of a
    /// core.
    pub inflow: u64,
    /// The inflow at the time when a VM that is ordered now becomes available, if its growth continues, in
    /// thousandths of a core.
    pub forecast_inflow: u64,
    /// Whether the pool has not had enough jobs yet to know its demand. Such a pool keeps
    /// [`SizingLimits::initial_share`].
    pub demand_unknown: bool,
    /// The number of VMs that the pool needs regardless of its load: for tasks that must run apart, and one
    /// spare.
    pub min_vms: usize,
    /// The idle VMs, longest idle first.
    pub idle: Vec<IdleVm>,
    /// The VMs that run only work that ends by itself.
    pub drainable: Vec<DrainableVm>,
}

/// A move of a VM to another pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmMove {
    /// The VM.
    pub vm: String,
    /// The current pool.
    pub from: String,
    /// The new pool.
    pub to: String,
}

impl PoolDemand {
    /// Returns how many VMs are needed for `cpu` thousandths of a core if the given share of their capacity
    /// is used.
    fn vms_for(&self, cpu: u64, share: f64) -> usize {
        (cpu as f64 / (self.vm_capacity.max(1) as f64 * share)).ceil() as usize
    }

    /// Returns how many VMs the pool's jobs could fill, without or with late work.
    fn wanted(&self, with_late: bool, limits: &SizingLimits) -> usize {
        if self.reserve {
            return 0;
        }
        let (waiting, running) = match with_late {
            true => (self.waiting, self.peak_running),
            false => (
                self.waiting.saturating_sub(self.late),
                self.peak_running.saturating_sub(self.late_running),
            ),
        };
        let expected = self.inflow.max(self.forecast_inflow);
        let demand = match waiting {
            0 => expected,
            waiting => expected.max(running + waiting),
        };
        self.vms_for(demand, limits.max_fill).max(self.min_vms)
    }

    /// Returns how many VMs the pool's jobs can use now for work that can still be in time. While such work waits, that
    /// is at least what arriving jobs need, including those that are rejected: a pool with few VMs accepts few
    /// jobs, so that the waiting work alone would not show its need. Work that is merely expected does not count,
    /// because VMs are taken from other pools for this.
    fn needed(&self, limits: &SizingLimits) -> usize {
        let waiting = self.waiting.saturating_sub(self.late);
        let running = self.running.saturating_sub(self.late_running);
        let demand = match waiting {
            0 => running,
            waiting => self.inflow.max(running + waiting),
        };
        self.vms_for(demand, limits.max_fill)
    }

    /// Returns how many VMs the pool keeps whatever other pools need, if `late_vms` are kept for late work.
    fn lower_bound(&self, late_vms: usize, limits: &SizingLimits) -> usize {
        if self.reserve {
            return 0;
        }
        let usable = self.vms_for(self.running + self.waiting, limits.max_fill);
        late_vms.min(usable).max(self.min_vms).max(1)
    }

    /// Returns how many VMs the pool can do without.
    fn surplus(&self, limits: &SizingLimits) -> usize {
        if self.reserve {
            return self.vms;
        }
        let demand = self
            .inflow
            .max(self.forecast_inflow)
            .max(self.peak_running + self.waiting);
        let used = self.vms_for(demand, limits.max_fill_to_give);
        self.vms.saturating_sub(used.max(self.min_vms).max(1))
    }
}

/// The changes that are worth making now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Resize {
    /// The VMs that move to another pool at once.
    pub moves: Vec<VmMove>,
    /// The VMs that get no new runs, so that another pool can have them soon.
    pub drains: Vec<String>,
}

/// Returns the moves that are worth making now, and the VMs to drain for later moves.
pub fn resize(pools: &[PoolDemand], now: Instant, limits: &SizingLimits) -> Resize {
    let mut ledger = SizingLedger::new(pools, limits);
    let mut resize = Resize::default();
    for (claim, source) in [
        (Claim::Share, Source::Surplus),
        (Claim::Share, Source::Reserve),
        (Claim::Share, Source::Fair),
        (Claim::InTime, Source::Surplus),
        (Claim::InTime, Source::Reserve),
        (Claim::All, Source::Surplus),
        (Claim::All, Source::Reserve),
    ] {
        fill_shortages(&mut ledger, claim, source, now, &mut resize);
    }
    resize.drains = choose_drains(&ledger);
    return_to_reserve(&mut ledger, now, &mut resize);
    resize
}

/// Returns whether a pool lacks VMs, so that draining may help. Only then is [`PoolDemand::drainable`]
/// used.
pub fn lacks_vms(pools: &[PoolDemand], limits: &SizingLimits) -> bool {
    !SizingLedger::new(pools, limits)
        .pools_in_need(Claim::Share)
        .is_empty()
}

/// Moves idle VMs from one source to the pools whose claims are not met.
fn fill_shortages(
    ledger: &mut SizingLedger<'_>,
    claim: Claim,
    source: Source,
    now: Instant,
    resize: &mut Resize,
) {
    for (to, shortage) in ledger.pools_in_need(claim) {
        for _ in 0..shortage {
            let Some((from, vm)) = ledger.take(source, now) else {
                return;
            };
            ledger.received[to] += 1;
            resize.moves.push(VmMove {
                vm: vm.vm.clone(),
                from: ledger.pools[from].pool.clone(),
                to: ledger.pools[to].pool.clone(),
            });
        }
    }
}

/// Returns the VMs to drain for pools that still lack some. They belong to pools that have more than their
/// fair share. VMs that are being drained already go first, then those that will be free first.
fn choose_drains(ledger: &SizingLedger<'_>) -> Vec<String> {
    let mut shortage: usize = ledger
        .pools_in_need(Claim::Share)
        .iter()
        .map(|(_, shortage)| shortage)
        .sum();
    let mut drainable: Vec<(&DrainableVm, usize)> = Vec::new();
    for (index, pool) in ledger.pools.iter().enumerate() {
        drainable.extend(pool.drainable.iter().map(|vm| (vm, index)));
    }
    drainable.sort_by_key(|(vm, _)| (!vm.draining, vm.free));
    let mut remaining: Vec<usize> = (0..ledger.pools.len())
        .map(|index| ledger.available(index, Source::Fair))
        .collect();
    let mut drains = Vec::new();
    for (vm, index) in drainable {
        if shortage > 0 && remaining[index] > 0 {
            shortage -= 1;
            remaining[index] -= 1;
            drains.push(vm.vm.clone());
        }
    }
    drains
}

/// Returns how many VMs a share of an equal division of all VMs is.
fn equal_share(pools: &[PoolDemand], share: f64) -> usize {
    let total: usize = pools.iter().map(|pool| pool.vms).sum();
    let served = pools.iter().filter(|pool| !pool.reserve).count();
    (total as f64 / served.max(1) as f64 * share).ceil() as usize
}

/// Moves VMs to the reserve that have been idle for long and that no pool needs.
fn return_to_reserve(ledger: &mut SizingLedger<'_>, now: Instant, resize: &mut Resize) {
    let Some(reserve) = ledger.pools.iter().find(|pool| pool.reserve) else {
        return;
    };
    let initial = equal_share(ledger.pools, ledger.limits.initial_share);
    for (index, pool) in ledger.pools.iter().enumerate() {
        if pool.reserve {
            continue;
        }
        let mut max = ledger.available(index, Source::Surplus);
        if pool.demand_unknown {
            max = max.min(pool.vms.saturating_sub(initial));
        }
        let returned = ledger.idle[index]
            .iter()
            .take(max)
            .filter(|vm| now >= vm.since + ledger.limits.reserve_idle_age);
        resize.moves.extend(returned.map(|vm| VmMove {
            vm: vm.vm.clone(),
            from: pool.pool.clone(),
            to: reserve.pool.clone(),
        }));
    }
}
