//! Settings of the probes of the hall's workers.

use super::{count, millis};
use serde::Serialize;
use settings::Fields;
use std::time::Duration;

/// Probes of the hall's workers.
#[derive(Clone, Debug, Serialize)]
pub struct WatchConfig {
    /// Time between two probes of a worker.
    pub interval: Duration,
    /// Time in which a worker must answer a probe.
    pub patience: Duration,
    /// Probes in a second at the most: a larger hall is probed in turn, suspects first.
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
