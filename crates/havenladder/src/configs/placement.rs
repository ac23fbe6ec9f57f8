//! Limits on the requests that an entry has in progress.

use super::count;
use serde::Serialize;
use settings::Fields;

/// Limits on the requests that an entry has in progress.
#[derive(Clone, Debug, Serialize)]
pub struct PlacementConfig {
    /// Maximum number of requests without an outcome; further ones are refused at once.
    pub requests: usize,
    /// Maximum number of bytes that callers' requests hold, whole or not. Beyond it, those that are not whole are refused,
    /// the one that has waited longest first.
    pub bytes: usize,
    /// Seed of the random choices; 0 takes a seed from the system.
    pub seed: u64,
}

impl Default for PlacementConfig {
    fn default() -> Self {
        Self {
            requests: 4_096,
            bytes: 64 << 20,
            seed: 0,
        }
    }
}

impl PlacementConfig {
    /// Reads the section `placement`.
    pub fn read(fields: &Fields<'_>) -> Self {
        let default = Self::default();
        Self {
            requests: count(fields, "requests", 100_000, default.requests),
            bytes: count(fields, "bytes", 1 << 34, default.bytes),
            seed: fields.number("seed", 0..=u64::MAX).unwrap_or(default.seed),
        }
    }
}
