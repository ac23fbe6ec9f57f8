//! The records of operators that an entry has taken in last, for those that follow it.

use adapter::store::Offset;
use bytes::Bytes;
use clock::Instant;
use std::{collections::VecDeque, time::Duration};

/// How many bytes are kept: some configurations. A follower that lags by more reads from the platform.
const MOST_BYTES: usize = 512 << 10;

/// Records of one topic without gaps.
#[derive(Debug, Default)]
pub struct Recent {
    /// The offset behind the last record that was taken in; none where it is not known.
    end: Option<Offset>,
    records: VecDeque<Bytes>,
    bytes: usize,
    /// Until when there was no other record for certain. What peers tell beside the records does not count.
    confirmed: Option<Instant>,
}

impl Recent {
    /// The offset behind the last record that was taken in; none where it is not known.
    pub fn end(&self) -> Option<Offset> {
        self.end
    }

    /// There was no other record until a moment.
    pub fn confirm(&mut self, at: Instant) {
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// How long ago there was no other record for certain; none where that was never so.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let confirmed = self.confirmed.filter(|_| self.end.is_some())?;
        Some(now.saturating_duration_since(confirmed))
    }

    /// Begins anew: all records before an offset are known, and none of them is kept.
    pub fn restart(&mut self, end: Option<Offset>) {
        *self = Recent {
            end,
            ..Recent::default()
        };
    }

    /// Takes in the record at an offset, unless it is known.
    pub fn note(&mut self, offset: Offset, record: &Bytes) {
        match self.end {
            Some(end) if offset < end => return,
            Some(end) if offset == end => {}
            Some(_) | None => self.restart(None),
        }
        self.end = Some(offset + 1);
        self.bytes += record.len();
        self.records.push_back(record.clone());
        while self.bytes > MOST_BYTES
            && let Some(oldest) = self.records.pop_front()
        {
            self.bytes -= oldest.len();
        }
    }

    /// The records from an offset on; none if some of them are not kept.
    pub fn since(&self, from: Offset) -> Option<Vec<Bytes>> {
        let missing = self.end?.checked_sub(from)? as usize;
        let known = self.records.len().checked_sub(missing)?;
        Some(self.records.range(known..).cloned().collect())
    }
}
