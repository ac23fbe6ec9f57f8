//! Workers that fail every task: set aside on evidence, and tried again later.

use std::time::{Duration, Instant};

/// Failures in a row after which a worker is set aside.
const STREAK: u32 = 3;

/// First time for which a worker is set aside; it doubles each time.
const FIRST_PAUSE: Duration = Duration::from_secs(1);

/// The longest time for which a worker is set aside.
const LONGEST_PAUSE: Duration = Duration::from_secs(60);

/// One worker's record of failures.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    streak: u32,
    pauses: u32,
    aside: Option<Instant>,
}

impl Health {
    /// Tells whether the worker is set aside at `now`.
    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.aside.is_some_and(|until| now < until)
    }

    /// Tells whether the worker was set aside and has not proved itself since: it gets one task.
    pub(crate) fn is_on_trial(&self, now: Instant) -> bool {
        self.aside.is_some_and(|until| now >= until)
    }

    /// Takes in a success.
    pub(crate) fn succeed(&mut self) {
        *self = Self::default();
    }

    /// Takes in a failure; `may_eject` tells whether one more worker may be set aside. Returns until
    /// when the worker is set aside, if it is now.
    pub(crate) fn fail(&mut self, now: Instant, may_eject: bool) -> Option<Instant> {
        self.streak += 1;
        let is_trial = self.is_on_trial(now);
        if !may_eject || (self.streak < STREAK && !is_trial) {
            return None;
        }
        let pause = FIRST_PAUSE * 2_u32.saturating_pow(self.pauses.min(6));
        self.aside = Some(now + pause.min(LONGEST_PAUSE));
        self.pauses += 1;
        self.streak = 0;
        self.aside
    }
}
