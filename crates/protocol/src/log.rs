//! Records of the platform's log as they travel between processes.

use crate::Offset;
use serde::{Deserialize, Serialize};
use std::time::SystemTime;

/// One record of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// The record's place in its stream.
    pub offset: Offset,
    /// When the platform took the record, by the platform's clock; never falls along a stream.
    pub at: SystemTime,
    /// The appender's bytes, unchanged.
    #[serde(with = "serde_bytes")]
    pub data: Vec<u8>,
}

/// A run of records, with what a reader needs to see a gap.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogSlice {
    /// The oldest offset that is still kept.
    pub oldest: Offset,
    /// The offset that the next append will get.
    pub next: Offset,
    /// The records asked for, in order and without holes.
    pub records: Vec<LogRecord>,
}

impl LogSlice {
    /// Tells whether records between `from` and this slice have been forgotten by the log.
    pub fn has_gap(&self, from: Offset) -> bool {
        self.oldest > from
    }
}
