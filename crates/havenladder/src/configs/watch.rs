//! Settings of the probes of the workers in this data centre.

use super::{count, millis};
use serde::Serialize;
use settings::Fields;
use std::time::Duration;

/// Settings of the probes of the workers in this data centre.
#[derive(Clone, Debug, Serialize)]
pub struct WatchConfig {
    /// Interval between two rounds of probes.
    pub interval: Duration,
    /// Time limit for a worker to respond to a probe.
    pub patience: Duration,
    /// Maximum number of probes per second. In a larger data centre workers are probed in rotation,
    /// except that those whose last probe failed are probed in every round.
    pub probes: usize,
}

impl Default for WatchConfig {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(300),
            patience: Duration::from_millis(500),
            probes: 50,
        }
    }
}

impl WatchConfig {
    /// Reads the section `watch`.
    pub fn read(fields: &Fields<'_>) -> Self {
        let default = Self::default();
        Self {
            interval: millis(fields, "interval_ms", default.interval),
            patience: millis(fields, "patience_ms", default.patience),
            probes: count(fields, "probes", 100_000, default.probes),
        }
    }
}
