//! The figures that the decisions depend on.

use std::time::Duration;

/// The figures that the decisions depend on.
#[derive(Clone, Debug)]
pub struct Limits {
    /// How long a worker may take to end a run that it was told to stop.
    pub stop_timeout: Duration,
    /// How long a run may show no progress before it is tried elsewhere.
    pub stall_timeout: Duration,
    /// The longest lease that a worker grants, whatever it is asked for, on a clock as slow as they may be.
    pub max_lease: Duration,
    /// How many bad ends in a row set a worker aside.
    pub max_failures: u32,
    /// For how long a worker is set aside.
    pub suspension: Duration,
    /// How many times as long a task takes on a worker that is not near its data.
    pub remote_slowdown: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            stop_timeout: Duration::from_millis(400),
            // A run of the longest usual kind, 4 s, on a worker 6 times slower than others, still
            // moves by one hundredth in 250 ms; eight times that leaves room for late reports.
            stall_timeout: Duration::from_millis(2_000),
            // The platform tells its own figure; without one, leases are as long as they are asked for.
            max_lease: Duration::ZERO,
            // One run in 500 fails by its own fault: three in a row do so once in 10^8.
            max_failures: 3,
            // Twice the mean time of a run, so that a worker that is well again is soon back.
            suspension: Duration::from_millis(3_000),
            // The platform tells its own figure; this is the lower of the two that it has told.
            remote_slowdown: 2.0,
        }
    }
}
