//! How full the owner is: how late its rounds of decisions come, and how long they take.
//!
//! An owner that has more to do than its part of a core allows is late everywhere at once: with questions,
//! renewals, moves and starts. How late it wakes from a short sleep shows that before anything breaks.

use super::Owner;
use clock::Instant;
use std::time::Duration;
use tracing::info;

/// Time between two lines about the rounds: one a second tells in which second an owner was full.
const LOG_INTERVAL: Duration = Duration::from_millis(1_000);

/// The rounds since the last line.
pub struct LoopStats {
    /// When the next line is due.
    due: Instant,
    /// How many rounds there were.
    rounds: u32,
    /// The longest that a round's decisions took.
    max_duration: Duration,
    /// By how much the owner woke too late from a sleep between rounds, at the most.
    max_delay: Duration,
}

impl LoopStats {
    /// Begins to count.
    pub fn new(now: Instant) -> Self {
        LoopStats {
            due: now + LOG_INTERVAL,
            rounds: 0,
            max_duration: Duration::ZERO,
            max_delay: Duration::ZERO,
        }
    }

    /// Notes how long the decisions of a round took.
    pub fn record_round(&mut self, owner: &Owner, took: Duration) {
        owner.node.metrics.decided(took);
        self.rounds += 1;
        self.max_duration = self.max_duration.max(took);
    }

    /// Notes by how much the owner woke too late from the sleep after a round, and logs what a second showed.
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
