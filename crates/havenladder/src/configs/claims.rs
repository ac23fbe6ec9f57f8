//! Settings of claims on keys.

use super::millis;
use serde::Serialize;
use settings::Fields;
use std::time::Duration;

/// Claims on keys.
#[derive(Clone, Debug, Serialize)]
pub struct ClaimsConfig {
    /// Time in which a claim must be decided, or its request is refused.
    pub patience: Duration,
}

impl Default for ClaimsConfig {
    fn default() -> Self {
        Self {
            patience: Duration::from_secs(3),
        }
    }
}

impl ClaimsConfig {
    /// Reads the section `claims`.
    pub fn read(fields: &Fields<'_>) -> Self {
        let default = Self::default();
        Self {
            patience: millis(fields, "patience_ms", default.patience),
        }
    }
}
