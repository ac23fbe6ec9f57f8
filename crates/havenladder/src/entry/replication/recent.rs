//! The records of operators that an entry has applied, kept for its followers.

use crate::record::Record;
use adapter::store::Offset;
use clock::Instant;
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

/// Maximum size of the consecutive records that are kept. It holds a few configurations. A follower
/// that lags further behind gets the newest record of each key.
const MAX_BYTES: usize = 512 << 10;

/// Records that a follower is missing.
#[derive(Debug)]
pub enum Missing {
    /// The consecutive records after those that the follower has.
    Records(Vec<Record>),
    /// The newest record of each key, since all that the follower knows may be outdated, or since this is less.
    Newest(Vec<Record>),
}

/// Records of one topic: the most recent ones without gaps, and the newest one of each key.
#[derive(Debug, Default)]
pub struct Recent {
    /// Offset after the last applied record. `None` if it is not known.
    end: Option<Offset>,
    records: VecDeque<Record>,
    bytes: usize,
    newest: BTreeMap<String, Record>,
    /// Last time at which there was certainly no further record. A configuration that peers send
    /// outside of replication does not count.
    confirmed: Option<Instant>,
}

impl Recent {
    /// Returns the offset after the last applied record, or `None` if it is not known.
    pub fn end(&self) -> Option<Offset> {
        self.end
    }

    /// Records that there was no further record at a time.
    pub fn confirm(&mut self, at: Instant) {
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// Returns how long ago there was certainly no further record, or `None` if that was never
    /// certain.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let confirmed = self.confirmed.filter(|_| self.end.is_some())?;
        Some(now.saturating_duration_since(confirmed))
    }

    /// Starts over with the newest record of each key of a topic that ended at `end`.
    pub fn restart(&mut self, newest: &[Record], end: Offset) {
        let keyed = newest
            .iter()
            .filter_map(|record| Some((record.decode()?.key, record.clone())));
        *self = Recent {
            end: Some(end),
            newest: keyed.collect(),
            ..Recent::default()
        };
    }

    /// Discards all records.
    pub fn clear(&mut self) {
        *self = Recent::default();
    }

    /// Appends the record at an offset, unless it is known already.
    pub fn append(&mut self, offset: Offset, record: &Record) {
        match self.end {
            Some(end) if offset < end => return,
            Some(end) if offset == end => {}
            // The records in between are missing, so that the newest ones have to be read again.
            Some(_) => return self.clear(),
            None => return,
        }
        if let Some(keyed) = record.decode() {
            match keyed.value {
                Some(_) => self.newest.insert(keyed.key, record.clone()),
                None => self.newest.remove(&keyed.key),
            };
        }
        self.end = Some(offset + 1);
        self.bytes += record.plain().len();
        self.records.push_back(record.clone());
        while self.bytes > MAX_BYTES
            && let Some(oldest) = self.records.pop_front()
        {
            self.bytes -= oldest.plain().len();
        }
    }

    /// Returns what a follower is missing. It has all records before `from`, or no records if `from`
    /// is `None`. Returns `None` if this entry knows nothing itself, or less than the follower.
    pub fn missing_since(&self, from: Option<Offset>) -> Option<Missing> {
        let end = self.end?;
        let missing = end.checked_sub(from.unwrap_or_default())? as usize;
        let known = from.and_then(|_| self.records.len().checked_sub(missing));
        let newest = || self.newest.values();
        Some(match known {
            // Of several configurations, a follower needs only the newest one.
            Some(known) if total_bytes(self.records.range(known..)) <= total_bytes(newest()) => {
                Missing::Records(self.records.range(known..).cloned().collect())
            }
            Some(_) | None => Missing::Newest(newest().cloned().collect()),
        })
    }
}

/// Returns the size of some records.
fn total_bytes<'r>(records: impl Iterator<Item = &'r Record>) -> usize {
    records.map(|record| record.plain().len()).sum()
}
