//! The usual response time of a service, and how long a call waits for its response before it is sent
//! again.
//!
//! A response can be lost although the call was carried out. Where calls may be repeated, waiting for the
//! full timeout of a call would turn one lost response into an outage. The timeout is learned from past
//! responses, because a service that is 60 times slower than usual must not receive every call twice.

use std::time::Duration;

/// The minimum time until a call is sent again. The platform's store responds within 4 ms, or 8 to 15 ms
/// including the network and the append, and a busy entry reads the response up to 20 ms later.
const MIN_TIMEOUT: Duration = Duration::from_millis(40);

/// The maximum time until a call is sent again. A store that is 60 times slower than usual responds within
/// 240 to 360 ms.
const MAX_TIMEOUT: Duration = Duration::from_millis(500);

/// The weight of one response in the moving mean and deviation. At this weight, about four responses are
/// enough to adapt to a new response time.
const LEARNING_RATE: f64 = 0.25;

/// The number of deviations above the mean that a call waits, as in TCP's retransmission timeout.
const DEVIATION_FACTOR: f64 = 4.0;

/// The factor by which the timeout grows with each repetition. If a third of the responses are lost, 6
/// calls in 0.5 s leave one request in 500 without a response; a store that is down receives 8 calls in 1.5
/// s.
const TIMEOUT_GROWTH: f64 = 1.5;

/// A moving estimate of the response time of a service.
#[derive(Clone, Copy, Debug)]
pub struct ResponseTime {
    /// The moving mean, in seconds.
    mean: f64,
    /// The moving mean deviation, in seconds.
    deviation: f64,
}

impl ResponseTime {
    /// Creates an estimate without any samples, which yields the minimum timeout.
    pub fn new() -> Self {
        ResponseTime {
            mean: 0.0,
            deviation: 0.0,
        }
    }

    /// Records the time between sending a call and receiving the response to that same call.
    pub fn record(&mut self, elapsed: Duration) {
        let difference = elapsed.as_secs_f64() - self.mean;
        self.mean += difference * LEARNING_RATE;
        self.deviation += (difference.abs() - self.deviation) * LEARNING_RATE;
    }

    /// Returns how long to wait for the response to the first call.
    pub fn initial_timeout(&self) -> Duration {
        let timeout = Duration::from_secs_f64(self.mean + self.deviation * DEVIATION_FACTOR);
        timeout.clamp(MIN_TIMEOUT, MAX_TIMEOUT)
    }
}

impl Default for ResponseTime {
    fn default() -> Self {
        ResponseTime::new()
    }
}

/// Returns how long to wait for the response to a repeated call, given the timeout of the call before.
pub fn next_timeout(timeout: Duration) -> Duration {
    timeout.mul_f64(TIMEOUT_GROWTH).min(MAX_TIMEOUT)
}
