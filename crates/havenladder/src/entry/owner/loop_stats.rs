//! Load of the owner: how late its rounds of decisions start, and how long they take.
//!
//! An owner that has more to do than its share of a CPU core allows is late everywhere at once:
//! with polls, renewals, moves and starts. The delay of its wake-up from a short sleep shows that
//! before anything fails.

use super::Owner;
use clock::Instant;
use std::time::Duration;
use tracing::info;

/// Interval between two log lines. One line a second shows in which second an owner was overloaded.
pub const LOG_INTERVAL: Duration = Duration::from_millis(1_000);

/// Statistics of the rounds since the last log line.
pub struct LoopStats {
    /// Time at which the next line is due.
    due: Instant,
    /// Number of rounds.
    rounds: u32,
    /// Maximum duration of a round's decisions.
    max_duration: Duration,
    /// Maximum delay of a wake-up from the sleep between two rounds.
    max_delay: Duration,
}

impl LoopStats {
    /// Starts new statistics.
    pub fn new(now: Instant) -> Self {
        LoopStats {
            due: now + LOG_INTERVAL,
            rounds: 0,
            max_duration: Duration::ZERO,
            max_delay: Duration::ZERO,
        }
    }

    /// Records how long the decisions of a round took.
    pub fn record_round(&mut self, owner: &Owner, took: Duration) {
        owner.node.metrics.decided(took);
        self.rounds += 1;
        self.max_duration = self.max_duration.max(took);
    }

    /// Records by how much the wake-up from the sleep after a round was late, and logs the
    /// statistics once they are due.
    pub fn record_sleep(&mut self, owner: &Owner, late: Duration) {
        owner.node.metrics.woke_late(late);
        self.max_delay = self.max_delay.max(late);
        let now = Instant::now();
        if now < self.due {
            return;
        }
        info!(
            rounds = self.rounds,
            longest = self.max_duration.as_millis() as u64,
            latest = self.max_delay.as_millis() as u64,
            "owner's rounds"
        );
        *self = LoopStats::new(now);
    }
}
