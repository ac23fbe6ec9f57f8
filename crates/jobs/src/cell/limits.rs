//! Thresholds and durations that scheduling decisions depend on.

use std::time::Duration;

/// Thresholds and durations that scheduling decisions depend on.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The time that a worker may take to end a run after a stop order.
    pub stop_timeout: Duration,
    /// The time that a run may go without progress before its task is tried elsewhere.
    pub stall_timeout: Duration,
    /// The longest lease that a worker grants, whatever it is asked for, measured on a clock that is as slow
    /// as allowed.
    pub max_lease: Duration,
    /// The longest time after which a worker carries out a call that it has not answered.
    pub max_call_delay: Duration,
    /// The number of consecutive bad ends after which a worker is excluded from new runs.
    pub max_failures: u32,
    /// The time for which a worker is excluded.
    pub exclusion: Duration,
    /// The factor by which a task takes longer on a worker that is far from its data.
    pub remote_slowdown: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            stop_timeout: Duration::from_millis(400),
            // Runs of the longest usual kind take 4 s. Such a run on a worker 6 times slower than others
            // still progresses by one percent in 250 ms; eight times that leaves slack for late reports.
            stall_timeout: Duration::from_millis(2_000),
            // The platform supplies this value. Without it, leases last as long as they are requested for.
            max_lease: Duration::ZERO,
            // As above: without long leases, a start that is carried out late is refused for its deadline.
            max_call_delay: Duration::ZERO,
            // One run in 500 fails by its own fault, so that three in a row do so once in 10^8.
            max_failures: 3,
            // Twice the mean duration of a run, so that a worker that has recovered is soon used again.
            exclusion: Duration::from_millis(3_000),
            // The platform supplies this value; 2 is the lower of the two that it has supplied so far.
            remote_slowdown: 2.0,
        }
    }
}
