//! Records of the platform's log, as processes exchange them.

use crate::Offset;
use serde::{Deserialize, Serialize};
use std::time::SystemTime;

/// One record of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// The record's position in its stream.
    pub offset: Offset,
    /// When the platform accepted the record, by the platform's clock. Times never decrease along a stream.
    pub at: SystemTime,
    /// The writer's bytes, unchanged.
    #[serde(with = "serde_bytes")]
    pub data: Vec<u8>,
}

/// Consecutive records of a stream, with the bounds by which a reader detects a gap.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogSlice {
    /// The oldest offset that the log still keeps.
    pub oldest: Offset,
    /// The offset that the next appended record will get.
    pub next: Offset,
    /// The requested records, in order and without gaps.
    pub records: Vec<LogRecord>,
}

impl LogSlice {
    /// Returns whether the log has discarded records between `from` and this slice.
    pub fn has_gap(&self, from: Offset) -> bool {
        self.oldest > from
    }
}
