//! How long a service takes to answer as a rule, and so how long a call is waited for until it is sent again.
//!
//! An answer can be lost though the call was carried out. Where calls may be repeated, waiting for the whole
//! time-out of a call makes one lost answer an outage. The time is learned, since a service that is 60 times
//! slower than usual must not be sent everything twice.

use std::time::Duration;

/// The least time until a call is sent again: an answer of the platform's store takes 4 ms, with its way and the
/// append some 8 to 15, and an entry that is busy reads it 20 ms later.
const MIN_TIMEOUT: Duration = Duration::from_millis(40);

/// The most: an answer of a store that is 60 times slower than usual takes 240 to 360 ms.
const MAX_TIMEOUT: Duration = Duration::from_millis(500);

/// The part of the difference by which one answer moves the mean and the deviation: some four answers teach
/// a new rule.
const LEARNING_RATE: f64 = 0.25;

/// How many deviations above the mean an answer is waited for, as in TCP's time-outs.
const DEVIATIONS: f64 = 4.0;

/// By what factor each wait is longer than the one before. With a third of the answers lost, 6 calls in 0.5 s
/// leave one in 500 without an answer; a store that is down gets 8 in 1.5 s.
const TIMEOUT_GROWTH: f64 = 1.5;

/// How long answers take.
#[derive(Clone, Copy, Debug)]
pub struct ResponseTime {
    /// Their mean, in seconds.
    mean: f64,
    /// How far they lie from it on average, in seconds.
    deviation: f64,
}

impl ResponseTime {
    /// Nothing is known yet: the least is waited for.
    pub fn new() -> Self {
        ResponseTime {
            mean: 0.0,
            deviation: 0.0,
        }
    }

    /// Takes in how long an answer took, from when its own call was sent.
    pub fn record(&mut self, elapsed: Duration) {
        let difference = elapsed.as_secs_f64() - self.mean;
        self.mean += difference * LEARNING_RATE;
        self.deviation += (difference.abs() - self.deviation) * LEARNING_RATE;
    }

    /// How long the first call is waited for.
    pub fn initial_timeout(&self) -> Duration {
        let timeout = Duration::from_secs_f64(self.mean + self.deviation * DEVIATIONS);
        timeout.clamp(MIN_TIMEOUT, MAX_TIMEOUT)
    }
}

impl Default for ResponseTime {
    fn default() -> Self {
        ResponseTime::new()
    }
}

/// How long the next call is waited for, after one that was waited for so long.
pub fn next_timeout(timeout: Duration) -> Duration {
    timeout.mul_f64(TIMEOUT_GROWTH).min(MAX_TIMEOUT)
}
