//! The stand-in's append-only log.

use protocol::{LogRecord, LogSlice, Offset};
use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant, SystemTime},
};

/// Maximum number of records that one read returns.
const MAX_RECORDS: usize = 1_000;

/// Size after which a read returns no further records.
const MAX_BYTES: usize = 4 << 20;

/// One stream of records.
#[derive(Debug, Default)]
struct Stream {
    oldest: Offset,
    records: VecDeque<LogRecord>,
}

/// All streams of the log. Records expire after a retention time, and the rate of appends is
/// limited.
#[derive(Debug)]
pub struct Streams {
    streams: HashMap<String, Stream>,
    retention: Duration,
    append_interval: Duration,
    next_append: Instant,
    /// Number of appends that were accepted.
    pub appends: u64,
}

impl Streams {
    /// Creates an empty log that keeps records for `retention` and accepts `rate` appends per
    /// second.
    pub fn new(retention: Duration, rate: u32) -> Self {
        Self {
            streams: HashMap::new(),
            retention,
            append_interval: Duration::from_secs(1) / rate.max(1),
            next_append: Instant::now(),
            appends: 0,
        }
    }

    /// Reserves the next time slot for an append and returns when the append may proceed.
    pub fn reserve_append(&mut self) -> Instant {
        self.next_append = self.next_append.max(Instant::now()) + self.append_interval;
        self.next_append
    }

    /// Appends a record and returns its offset.
    pub fn append(&mut self, name: &str, data: Vec<u8>) -> Offset {
        self.appends += 1;
        let retention = self.retention;
        let stream = self.streams.entry(name.to_owned()).or_default();
        let now = SystemTime::now();
        let last = stream.records.back().map_or(now, |record| record.at);
        let offset = stream.next();
        stream.records.push_back(LogRecord {
            offset,
            at: now.max(last),
            data,
        });
        stream.expire(now, retention);
        offset
    }

    /// Reads records from the offset `from` on.
    pub fn read(&mut self, name: &str, from: Offset) -> LogSlice {
        let retention = self.retention;
        let stream = self.streams.entry(name.to_owned()).or_default();
        stream.expire(SystemTime::now(), retention);
        let skip = usize::try_from(from.saturating_sub(stream.oldest)).unwrap_or(usize::MAX);
        let mut bytes = 0;
        let records = stream
            .records
            .iter()
            .skip(skip)
            .take(MAX_RECORDS)
            .take_while(|record| {
                let fits = bytes < MAX_BYTES;
                bytes += record.data.len();
                fits
            })
            .cloned()
            .collect();
        LogSlice {
            oldest: stream.oldest,
            next: stream.next(),
            records,
        }
    }

    /// Returns the offset of the first record that was appended at `at` or later.
    pub fn offset_at(&mut self, name: &str, at: SystemTime) -> Offset {
        let stream = self.streams.entry(name.to_owned()).or_default();
        let index = stream.records.partition_point(|record| record.at < at);
        stream.oldest + index as Offset
    }
}

impl Stream {
    fn next(&self) -> Offset {
        self.oldest + self.records.len() as Offset
    }

    fn expire(&mut self, now: SystemTime, retention: Duration) {
        while let Some(first) = self.records.front() {
            if now.duration_since(first.at).unwrap_or_default() <= retention {
                return;
            }
            self.records.pop_front();
            self.oldest += 1;
        }
    }
}
