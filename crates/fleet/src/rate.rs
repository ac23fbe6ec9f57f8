//! How many calls may be made now where only so many a second are taken.

use clock::Instant;

/// The part of the allowed rate that is used: the platform counts by its own clock, and an earlier owner
/// may have made calls within the same second.
const USED: f64 = 0.75;

/// How much of a second's calls may be made at once after a pause; with [`USED`] the first second stays
/// within what is allowed.
const BURST: f64 = 0.25;

/// A token bucket.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    /// Calls a second.
    rate: f64,
    /// The most calls at once.
    burst: f64,
    /// The calls that may be made at [`RateLimit::at`].
    level: f64,
    at: Instant,
}

impl RateLimit {
    /// A limit for a service that takes `allowed` calls a second.
    pub fn new(allowed: f64, now: Instant) -> Self {
        let burst = (allowed * BURST).max(1.0);
        RateLimit {
            rate: allowed * USED,
            burst,
            level: burst,
            at: now,
        }
    }

    /// How many calls may be made now.
    pub fn available(&mut self, now: Instant) -> usize {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.level = (self.level + passed * self.rate).min(self.burst);
        self.at = now;
        self.level as usize
    }

    /// A call is made.
    pub fn take(&mut self) {
        self.level -= 1.0;
    }
}
