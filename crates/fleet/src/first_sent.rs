//! The earliest time at which a record of the lease may have entered the log, for the case that responses
//! to appends are lost.
//!
//! An owner counts its lease from a time before others can have read its record. A record that is appended
//! on condition of the log's end is accepted once, by any of the calls that were made for that position,
//! including a call that was abandoned.

use clock::Instant;

/// The position of a record in a log.
pub type LogPosition = u64;

/// The time at which a record was first sent for the latest position for which one was sent.
#[derive(Clone, Copy, Debug)]
pub struct FirstSent {
    position: LogPosition,
    sent_at: Instant,
}

impl FirstSent {
    /// Records that a record is sent for `position` and returns the new state. A repetition for the same
    /// position keeps the time of the first call.
    pub fn record(known: Option<FirstSent>, position: LogPosition, now: Instant) -> Self {
        match known {
            Some(sent) if sent.position == position => sent,
            Some(_) | None => FirstSent {
                position,
                sent_at: now,
            },
        }
    }

    /// Returns the earliest time at which the log can have accepted this process's record at `position`, or
    /// `None` if this process did not send one for that position last.
    pub fn earliest(self, position: LogPosition) -> Option<Instant> {
        (self.position == position).then_some(self.sent_at)
    }
}
