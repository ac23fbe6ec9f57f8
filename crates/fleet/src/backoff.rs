//! Exponential backoff with jitter, so that callers that were refused together do not retry together.

use std::time::Duration;

/// The state of an exponential backoff.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    first: Duration,
    max: Duration,
    next: Duration,
}

impl Backoff {
    /// Creates a backoff whose delays start at `first` and double up to `max`.
    pub fn new(first: Duration, max: Duration) -> Self {
        Backoff {
            first,
            max,
            next: first,
        }
    }

    /// Returns the delay before the next attempt and doubles the one after it. The result lies between half
    /// of the current delay and all of it, as chosen by `draw`, a random number between 0 and 1.
    pub fn next_delay(&mut self, draw: f64) -> Duration {
        let delay = self.next;
        self.next = (delay * 2).min(self.max);
        delay.mul_f64(0.5 + draw.clamp(0.0, 1.0) / 2.0)
    }

    /// Resets the delay to the first one, after an attempt that succeeded.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}
