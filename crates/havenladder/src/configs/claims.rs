//! Settings of claims on idempotency keys.

use super::millis;
use serde::Serialize;
use settings::Fields;
use std::time::Duration;

/// Settings of claims on idempotency keys.
#[derive(Clone, Debug, Serialize)]
pub struct ClaimsConfig {
    /// Time limit for deciding a claim; after it the request is refused.
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
