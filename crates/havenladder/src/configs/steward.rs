//! Settings of drains, reboots and moves of VMs.

use super::millis;
use serde::Serialize;
use settings::Fields;
use std::time::Duration;

/// Settings of drains, reboots and moves of VMs.
#[derive(Clone, Debug, Serialize)]
pub struct StewardConfig {
    /// Interval between two checks for pending work.
    pub interval: Duration,
    /// Duration of a lease on a VM.
    pub lease: Duration,
}

impl Default for StewardConfig {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(100),
            lease: Duration::from_secs(20),
        }
    }
}

impl StewardConfig {
    /// Reads the section `steward`.
    pub fn read(fields: &Fields<'_>) -> Self {
        let default = Self::default();
        let config = Self {
            interval: millis(fields, "interval_ms", default.interval),
            lease: millis(fields, "lease_ms", default.lease),
        };
        if config.lease > fleet::MAX_LEASE {
            let max = fleet::MAX_LEASE.as_millis();
            fields.report("lease_ms", format!("must be at most {max}"));
        }
        config
    }
}
