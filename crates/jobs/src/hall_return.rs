//! The gradual return of a data centre to service.
//!
//! Its workers may be cold, and thus slow at first. They get work for a part of their capacity that grows faster or
//! slower by the duration of runs there compared with runs elsewhere since the return began.

use crate::{Cell, HallChange, HallId, HallState, MAX_RETURN_TIME, Need, Worker, WorkerInfo};
use clock::Instant;
use std::{collections::BTreeMap, time::Duration};

/// The time after which it is back in full if runs there take as long as elsewhere.
const USUAL_RETURN_TIME: Duration = Duration::from_millis(5_000);

/// The part of the capacity that gets work when the return begins.
const FIRST_SHARE: f64 = 0.2;

/// The part of the capacity from which on the rest is released as well.
const FULL_SHARE: f64 = 0.99;

/// The number of runs, there and elsewhere, that have to end before their durations are compared. A run may take
/// twice its estimate or half of it.
const MIN_COMPARED: u32 = 8;

/// The bounds of the speed of the return in relation to the usual one.
const MIN_SPEED: f64 = 0.25;
const MAX_SPEED: f64 = 2.0;

/// The durations of runs in relation to what was expected.
#[derive(Clone, Copy, Debug, Default)]
struct Durations {
    sum: f64,
    count: u32,
}

impl Durations {
    /// Adds a run.
    fn add(&mut self, ratio: f64) {
        self.sum += ratio;
        self.count += 1;
    }

    /// Returns the mean; `None` if there are too few runs.
    fn mean(self) -> Option<f64> {
        (self.count >= MIN_COMPARED).then(|| self.sum / f64::from(self.count))
    }
}

/// The usage up to which a worker gets work while its data centre returns to service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReturnLimit {
    /// The usage.
    pub usage: Need,
    /// Until when the limit holds, even if it is not updated any more.
    pub until: Instant,
}

/// A return of a data centre to service.
#[derive(Clone, Debug)]
pub struct Return {
    /// When it is over at the latest.
    until: Instant,
    /// The part of the capacity that gets work, as of `updated`.
    share: f64,
    /// When the share was last updated.
    updated: Instant,
    /// The durations of runs there.
    here: Durations,
    /// The durations of runs elsewhere.
    elsewhere: Durations,
}

impl Return {
    /// Begins a return.
    pub fn new(now: Instant) -> Self {
        Return {
            until: now + MAX_RETURN_TIME,
            share: FIRST_SHARE,
            updated: now,
            here: Durations::default(),
            elsewhere: Durations::default(),
        }
    }

    /// Records the duration of a run that has ended, in relation to what was expected.
    pub fn record(&mut self, here: bool, ratio: f64) {
        if !ratio.is_finite() || ratio <= 0.0 {
            return;
        }
        if here {
            self.here.add(ratio);
        } else {
            self.elsewhere.add(ratio);
        }
    }

    /// Returns the speed of the return in relation to the usual one.
    fn speed(&self) -> f64 {
        match (self.elsewhere.mean(), self.here.mean()) {
            (Some(elsewhere), Some(here)) => (elsewhere / here).clamp(MIN_SPEED, MAX_SPEED),
            _ => 1.0,
        }
    }

    /// Updates the part of the capacity that gets work, and returns it; 1 once the return is over.
    pub fn update(&mut self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.updated).as_secs_f64();
        let usual = (1.0 - FIRST_SHARE) / USUAL_RETURN_TIME.as_secs_f64();
        self.updated = now;
        let share = self.share + passed * usual * self.speed();
        self.share = if now < self.until && share < FULL_SHARE {
            share
        } else {
            1.0
        };
        self.share
    }

    /// Returns whether the data centre is back in full, as of the last update.
    pub fn is_over(&self) -> bool {
        self.share >= 1.0
    }

    /// Returns the limit of a worker with this capacity, as of the last update.
    fn limit(&self, capacity: Need) -> ReturnLimit {
        ReturnLimit {
            usage: capacity.times(self.share),
            until: self.until,
        }
    }
}

/// The returns that are in progress.
#[derive(Clone, Debug, Default)]
pub(crate) struct Returns {
    halls: BTreeMap<HallId, Return>,
    /// Whether limits are ignored at present, for work that would otherwise wait without any run.
    lifted: bool,
}

impl Returns {
    /// Returns whether no data centre returns to service.
    pub(crate) fn is_empty(&self) -> bool {
        self.halls.is_empty()
    }

    /// Returns the limit of a worker.
    pub(crate) fn limit(&self, info: &WorkerInfo) -> Option<ReturnLimit> {
        let back = self.halls.get(&info.hall)?;
        Some(back.limit(info.capacity))
    }
}

impl Cell {
    /// Updates which part of their capacity the workers of returning data centres get work for.
    pub(crate) fn advance_returns(&mut self, now: Instant) {
        for (hall, back) in &mut self.returns.halls {
            back.update(now);
            if back.is_over() {
                self.hall_states.end_return(hall, now);
            }
        }
    }

    /// Begins and ends returns as the states of data centres have changed, and sets the limits of all workers
    /// there.
    pub(crate) fn apply_returns(&mut self, changes: &[HallChange], now: Instant) {
        let had_returns = !self.returns.is_empty();
        for change in changes {
            match change.to.state {
                HallState::Returning { .. } => {
                    let back = Return::new(now);
                    self.returns.halls.insert(change.hall.clone(), back);
                }
                HallState::Serving | HallState::Draining | HallState::Drained => {
                    self.returns.halls.remove(&change.hall);
                }
            }
        }
        if had_returns || !self.returns.is_empty() {
            for worker in self.workers.values_mut() {
                worker.return_limit = self.returns.limit(&worker.info);
            }
        }
    }

    /// Records how long a run took in relation to what was expected.
    pub(crate) fn record_duration(&mut self, worker: &str, ratio: f64) {
        if self.returns.is_empty() {
            return;
        }
        let Some(host) = self.workers.get(worker) else {
            return;
        };
        let hall = &host.info.hall;
        let is_returning = self.returns.halls.contains_key(hall);
        for (other, back) in &mut self.returns.halls {
            // Runs in another data centre that returns show nothing about usual durations.
            if other == hall || !is_returning {
                back.record(other == hall, ratio);
            }
        }
    }

    /// Does something without the limits of returning data centres.
    pub(crate) fn with_limits_lifted<T>(&mut self, act: impl FnOnce(&mut Cell) -> T) -> T {
        let before = self.returns.lifted;
        self.returns.lifted = true;
        let result = act(self);
        self.returns.lifted = before;
        result
    }

    /// Returns the usage up to which a worker gets work.
    pub(crate) fn limit_of(&self, worker: &Worker, now: Instant) -> Need {
        match worker.return_limit {
            Some(limit) if !self.returns.lifted && now < limit.until => limit.usage,
            _ => worker.info.capacity,
        }
    }

    /// Returns whether a run fits on a worker within the limit of its data centre's return.
    pub(crate) fn has_capacity(&self, worker: &Worker, need: Need, now: Instant) -> bool {
        need.fits(worker.used, worker.info.capacity)
            && (worker.return_limit.is_none()
                || is_within_limit(need, worker.used, self.limit_of(worker, now)))
    }
}

/// Returns whether a run fits within a limit. The first run on a worker always does, since the durations of runs
/// there could not be compared otherwise.
pub(crate) fn is_within_limit(need: Need, used: Need, limit: Need) -> bool {
    used == Need::default() || need.fits(used, limit)
}
