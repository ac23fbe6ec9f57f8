//! Which VMs change their pool, by what the pools' jobs ask for.
//!
//! A VM in a pool costs money each second, and so does each move; a VM that is on its way does no
//! work. A pool whose jobs wait gets idle VMs of pools that have more than they are likely to need, then
//! VMs of the reserve, then idle VMs of pools that have more than their part of what all need. Where that
//! does not do, VMs of such pools are emptied. An idle VM that nobody needs goes to the reserve once it
//! has cost as much as the way there and back.

mod books;

use books::{Books, Source};
use clock::Instant;
use std::time::Duration;

/// The figures that sizing depends on.
#[derive(Clone, Debug)]
pub struct SizingLimits {
    /// The part of a pool's room that its jobs can fill: sizes of tasks leave gaps.
    pub fill: f64,
    /// The part of its room that a pool's jobs may fill before it gives VMs away.
    pub spare: f64,
    /// How long a VM must have been idle before it goes to the reserve: one that is idle for so long stays so for far longer
    /// as a rule, and is back in time where the growth of what comes is foreseen.
    pub rest: Duration,
    /// What a pool keeps whose demand is not known, as a part of an equal share of all VMs: enough for
    /// the first second of a peak, after which VMs of the reserve come.
    pub start: f64,
    /// How long a VM must have been idle before another pool gets it: runs come in bursts.
    pub pause: Duration,
}

impl Default for SizingLimits {
    fn default() -> Self {
        SizingLimits {
            fill: 0.9,
            spare: 0.85,
            rest: Duration::from_millis(1_500),
            start: 0.7,
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

/// A VM that carries only work that ends by itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LooseVm {
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
    pub room: u64,
    /// What runs, at its highest of late, in thousandths of a core.
    pub busy: u64,
    /// What runs now, in thousandths of a core.
    pub running: u64,
    /// What waits for room, in thousandths of a core.
    pub waiting: u64,
    /// The part of it that cannot be in time any more.
    pub late: u64,
    /// What the jobs that come will use as long as as many come, in thousandths of a core.
    pub inflow: u64,
    /// The same once a VM that is ordered now is there, if what comes goes on growing as it does.
    pub ahead: u64,
    /// Whether it has had no jobs yet that tell what it needs: it keeps [`SizingLimits::start`].
    pub unknown: bool,
    /// How many VMs it needs whatever its jobs use: tasks that must be apart, and a spare one.
    pub least: usize,
    /// Its idle VMs, those idle for the longest time first.
    pub idle: Vec<IdleVm>,
    /// Its VMs that carry only work that ends by itself.
    pub loose: Vec<LooseVm>,
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
        let coming = self.inflow.max(self.ahead);
        let wanted = match self.waiting {
            0 => self.vms_for(coming, limits.fill),
            waiting => self.vms_for(coming.max(self.busy + waiting), limits.fill),
        };
        wanted.max(self.least).saturating_sub(self.vms)
    }

    /// How many VMs its jobs can use now. What can only come too late does not count, nor what is
    /// merely expected: VMs are taken from other pools for this.
    fn needed(&self, limits: &SizingLimits) -> usize {
        if self.reserve {
            return 0;
        }
        let timely = self.waiting.saturating_sub(self.late);
        self.vms_for(self.running + timely, limits.fill)
            .max(self.least)
    }

    /// How many VMs it can do without.
    fn surplus(&self, limits: &SizingLimits) -> usize {
        if self.reserve {
            return self.vms;
        }
        let asked = self.inflow.max(self.ahead).max(self.busy + self.waiting);
        let used = self.vms_for(asked, limits.spare);
        self.vms.saturating_sub(used.max(self.least).max(1))
    }
}

/// What is worth doing about the pools now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Resize {
    /// VMs that are to change their pool at once.
    pub shifts: Vec<Shift>,
    /// VMs that are to get nothing new, so that another pool can have them soon.
    pub drains: Vec<String>,
}

/// Chooses the moves that are worth making now, and the VMs to be emptied for later ones.
pub fn resize(pools: &[PoolDemand], now: Instant, limits: &SizingLimits) -> Resize {
    let mut books = Books::new(pools, limits);
    let mut resize = Resize::default();
    for source in [Source::Surplus, Source::Reserve, Source::Fair] {
        fill(&mut books, source, now, &mut resize);
    }
    resize.drains = drains(&books);
    rest(&mut books, now, &mut resize);
    resize
}

/// Whether a pool lacks VMs, so that emptying some may be worth looking for: only then does
/// [`PoolDemand::loose`] matter.
pub fn lacks_vms(pools: &[PoolDemand], limits: &SizingLimits) -> bool {
    !Books::new(pools, limits).needy(Source::Fair).is_empty()
}

/// Gives idle VMs of one source to the pools in need.
fn fill(books: &mut Books<'_>, source: Source, now: Instant, resize: &mut Resize) {
    for (to, lacks) in books.needy(source) {
        for _ in 0..lacks {
            let Some((from, vm)) = books.take(source, now) else {
                return;
            };
            books.short[to] -= 1;
            resize.shifts.push(Shift {
                vm: vm.vm.clone(),
                from: books.pools[from].pool.clone(),
                to: books.pools[to].pool.clone(),
            });
        }
    }
}

/// The VMs to be emptied for pools that still lack some: of pools that have more than their part, the VMs
/// that are free first, those that are being emptied already before others.
fn drains(books: &Books<'_>) -> Vec<String> {
    let mut lacks: usize = books
        .needy(Source::Fair)
        .iter()
        .map(|(_, lacks)| lacks)
        .sum();
    let mut loose: Vec<(&LooseVm, usize)> = Vec::new();
    for (place, pool) in books.pools.iter().enumerate() {
        loose.extend(pool.loose.iter().map(|vm| (vm, place)));
    }
    loose.sort_by_key(|(vm, _)| (!vm.draining, vm.free));
    let mut left: Vec<usize> = (0..books.pools.len())
        .map(|place| books.can_give(place, Source::Fair))
        .collect();
    let mut drains = Vec::new();
    for (vm, place) in loose {
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
    (there as f64 / served.max(1) as f64 * limits.start).ceil() as usize
}

/// Sends VMs to the reserve that have been idle for long and that no pool needs.
fn rest(books: &mut Books<'_>, now: Instant, resize: &mut Resize) {
    let Some(reserve) = books.pools.iter().find(|pool| pool.reserve) else {
        return;
    };
    let start = start_size(books.pools, books.limits);
    for (place, pool) in books.pools.iter().enumerate() {
        if pool.reserve {
            continue;
        }
        let mut most = books.can_give(place, Source::Surplus);
        if pool.unknown {
            most = most.min(pool.vms.saturating_sub(start));
        }
        let rested = books.idle[place]
            .iter()
            .take(most)
            .filter(|vm| now >= vm.since + books.limits.rest);
        resize.shifts.extend(rested.map(|vm| Shift {
            vm: vm.vm.clone(),
            from: pool.pool.clone(),
            to: reserve.pool.clone(),
        }));
    }
}
