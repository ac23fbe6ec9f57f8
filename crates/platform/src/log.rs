//! The platform's append-only log service.

use crate::error::CallError;
use protocol::{LogSlice, Offset};
use serde::{Deserialize, Serialize};
use std::time::{Duration, SystemTime};

/// Response of the log to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// The record's position in the stream.
    pub offset: Offset,
}

/// The platform's log: streams of records with offsets, kept for a limited time.
pub trait Log: Send + Sync {
    /// Appends one record.
    ///
    /// # Errors
    ///
    /// After [`CallError::ResponseLost`] the record may be in the log, or may still be added later.
    fn append(&self, stream: &str, data: &[u8]) -> Result<Appended, CallError>;

    /// Reads records from `from` on, and waits up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// Fails if the log cannot be reached.
    fn read(&self, stream: &str, from: Offset, wait: Duration) -> Result<LogSlice, CallError>;

    /// Returns the offset of the first record that the log accepted at `at` or later.
    ///
    /// # Errors
    ///
    /// Fails if the log cannot be reached.
    fn offset_at(&self, stream: &str, at: SystemTime) -> Result<Offset, CallError>;
}
