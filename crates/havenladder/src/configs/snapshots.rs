//! Settings of the snapshots in the log.

use super::{count, millis};
use serde::Serialize;
use settings::Fields;
use std::time::Duration;

/// Snapshots in the log.
#[derive(Clone, Debug, Serialize)]
pub struct SnapshotsConfig {
    /// Records after which a new snapshot is written.
    pub records: usize,
    /// Time after which a new snapshot is written if there are any new records; well below the
    /// time for which the log keeps records.
    pub interval: Duration,
}

impl Default for SnapshotsConfig {
    fn default() -> Self {
        Self {
            records: 2_000,
            interval: Duration::from_secs(600),
        }
    }
}

impl SnapshotsConfig {
    /// Reads the section `snapshots`.
    pub fn read(fields: &Fields<'_>) -> Self {
        let default = Self::default();
        Self {
            records: count(fields, "records", 1_000_000, default.records),
            interval: millis(fields, "interval_ms", default.interval),
        }
    }
}
