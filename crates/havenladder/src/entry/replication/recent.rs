//! The records of operators that an entry has taken in, for those that follow it.

use adapter::store::{Keyed, Offset, join_keyed, split_keyed};
use bytes::Bytes;
use clock::Instant;
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

/// How many bytes of records in their order are kept: some configurations. A follower that lags by more gets the newest
/// record of each key.
const MAX_BYTES: usize = 512 << 10;

/// What a follower lacks.
#[derive(Debug, PartialEq, Eq)]
pub enum Missing {
    /// These records, in their order.
    Records(Vec<Bytes>),
    /// All it knows may be old: these are the newest records of each key.
    Newest(Vec<Bytes>),
}

/// Records of one topic: the last ones without gaps, and the newest of each key.
#[derive(Debug, Default)]
pub struct Recent {
    /// The offset behind the last record that was taken in; none where it is not known.
    end: Option<Offset>,
    records: VecDeque<Bytes>,
    bytes: usize,
    newest: BTreeMap<String, Bytes>,
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

    /// Begins anew with the newest record of each key of a topic that ended at `end`.
    pub fn restart(&mut self, newest: &[Keyed], end: Offset) {
        let newest = newest.iter();
        *self = Recent {
            end: Some(end),
            newest: newest
                .map(|record| (record.key.clone(), join_keyed(record)))
                .collect(),
            ..Recent::default()
        };
    }

    /// Nothing is known any more.
    pub fn clear(&mut self) {
        *self = Recent::default();
    }

    /// Takes in the record at an offset, unless it is known.
    pub fn append(&mut self, offset: Offset, record: &Bytes) {
        match self.end {
            Some(end) if offset < end => return,
            Some(end) if offset == end => {}
            // Records in between are missing: the newest are to be read again.
            Some(_) => return self.clear(),
            None => return,
        }
        if let Some(Keyed { key, value }) = split_keyed(record.clone()) {
            match value {
                Some(_) => self.newest.insert(key, record.clone()),
                None => self.newest.remove(&key),
            };
        }
        self.end = Some(offset + 1);
        self.bytes += record.len();
        self.records.push_back(record.clone());
        while self.bytes > MAX_BYTES
            && let Some(oldest) = self.records.pop_front()
        {
            self.bytes -= oldest.len();
        }
    }

    /// What a follower lacks that knows all records before an offset, or none; none where this entry knows nothing itself,
    /// or less.
    pub fn missing_since(&self, from: Option<Offset>) -> Option<Missing> {
        let end = self.end?;
        let missing = end.checked_sub(from.unwrap_or_default())? as usize;
        let known = from.and_then(|_| self.records.len().checked_sub(missing));
        Some(match known {
            Some(known) => Missing::Records(self.records.range(known..).cloned().collect()),
            None => Missing::Newest(self.newest.values().cloned().collect()),
        })
    }
}
