//! From when on a record of the lease may have been in the log, where answers to appends can be lost.
//!
//! An owner counts its lease from before others can have read its record. One that is sent on condition of the
//! log's end is taken once, by any of the calls that were made for that place, also by one that was given up.

use clock::Instant;

/// Where a record is in a log.
pub type LogPosition = u64;

/// When a record was first sent for the place for which one was sent last.
#[derive(Clone, Copy, Debug)]
pub struct FirstSent {
    position: LogPosition,
    sent_at: Instant,
}

impl FirstSent {
    /// A record is sent for a place.
    pub fn record(known: Option<FirstSent>, position: LogPosition, now: Instant) -> Self {
        match known {
            Some(sent) if sent.position == position => sent,
            Some(_) | None => FirstSent {
                position,
                sent_at: now,
            },
        }
    }

    /// The earliest moment at which the log can have taken this process's record that it has at a place; none if
    /// this process has sent none for it.
    pub fn earliest(self, position: LogPosition) -> Option<Instant> {
        (self.position == position).then_some(self.sent_at)
    }
}
