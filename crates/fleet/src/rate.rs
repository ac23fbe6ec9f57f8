//! A rate limit for calls to a service that accepts only a given number of them per second.

use clock::Instant;

/// The share of the allowed rate that is used. The rest is a reserve: the platform counts by its own clock,
/// and an earlier owner may have made calls within the same second.
const USED_SHARE: f64 = 0.75;

/// The share of one second's calls that may be made at once after a pause. Together with [`USED_SHARE`], it
/// keeps the first second within the allowed rate.
const BURST_SHARE: f64 = 0.25;

/// A token bucket.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    /// The number of calls added per second.
    rate: f64,
    /// The maximum number of calls at once.
    burst: f64,
    /// The number of calls that could be made at [`RateLimit::updated_at`].
    tokens: f64,
    updated_at: Instant,
}

impl RateLimit {
    /// Creates a limit for a service that accepts `allowed` calls per second.
    pub fn new(allowed: f64, now: Instant) -> Self {
        let burst = (allowed * BURST_SHARE).max(1.0);
        RateLimit {
            rate: allowed * USED_SHARE,
            burst,
            tokens: burst,
            updated_at: now,
        }
    }

    /// Returns how many calls may be made now.
    pub fn available(&mut self, now: Instant) -> usize {
        let passed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.tokens = (self.tokens + passed * self.rate).min(self.burst);
        self.updated_at = now;
        self.tokens as usize
    }

    /// Counts a call against the limit.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }
}
