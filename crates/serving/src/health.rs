//! Ejection of workers that fail every task. An ejected worker gets no tasks for a time and then one on trial.

use std::time::{Duration, Instant};

/// Number of consecutive failures after which a worker is ejected.
const EJECTION_FAILURES: u32 = 3;

/// Duration of a worker's first ejection. It doubles each time.
const MIN_EJECTION: Duration = Duration::from_secs(1);

/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(60);

/// Failures and ejections of one worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
}

impl Health {
    /// Returns whether the worker is ejected at `now`.
    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns whether the worker's ejection is over and no task has succeeded since. Such a worker gets one
    /// task at a time.
    pub(crate) fn is_on_trial(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now >= until)
    }

    /// Records a success, which clears all failures.
    pub(crate) fn succeed(&mut self) {
        *self = Self::default();
    }

    /// Records a failure. `may_eject` states whether one more worker may be ejected. Returns the end of the
    /// ejection if the failure causes one.
    pub(crate) fn fail(&mut self, now: Instant, may_eject: bool) -> Option<Instant> {
        self.failures += 1;
        let is_trial = self.is_on_trial(now);
        if !may_eject || (self.failures < EJECTION_FAILURES && !is_trial) {
            return None;
        }
        let duration = MIN_EJECTION * 2_u32.saturating_pow(self.ejections.min(6));
        self.ejected_until = Some(now + duration.min(MAX_EJECTION));
        self.ejections += 1;
        self.failures = 0;
        self.ejected_until
    }
}
