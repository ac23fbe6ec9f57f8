//! Settings of the snapshots in the log.

use super::{count, millis};
use serde::Serialize;
use settings::Fields;
use std::time::Duration;

/// Settings of the snapshots in the log.
#[derive(Clone, Debug, Serialize)]
pub struct SnapshotsConfig {
    /// Number of new records after which a snapshot is written.
    pub records: usize,
    /// Time after which a snapshot is written if there are any new records. It must be well below
    /// the time for which the log retains records.
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
