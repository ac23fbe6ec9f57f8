//! When to ask again after a refusal: later each time, and never all at once.

use std::time::Duration;

/// The pause before the next try.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    first: Duration,
    max: Duration,
    next: Duration,
}

impl Backoff {
    /// Pauses from `first` on that double up to `longest`.
    pub fn new(first: Duration, max: Duration) -> Self {
        Backoff {
            first,
            max,
            next: first,
        }
    }

    /// The pause to make now: between a half and all of what the tries so far ask for. `draw` is drawn at random between 0
    /// and 1.
    pub fn next_delay(&mut self, draw: f64) -> Duration {
        let delay = self.next;
        self.next = (delay * 2).min(self.max);
        delay.mul_f64(0.5 + draw.clamp(0.0, 1.0) / 2.0)
    }

    /// A try has succeeded.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}
