//! The stand-in's append-only log.

use protocol::{LogRecord, LogSlice, Offset};
use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant, SystemTime},
};

/// Records that one read returns at the most.
const MOST_RECORDS: usize = 1_000;

/// Bytes after which a read ends.
const MOST_BYTES: usize = 4 << 20;

/// One stream.
#[derive(Debug, Default)]
struct Stream {
    oldest: Offset,
    records: VecDeque<LogRecord>,
}

/// All streams, kept for a limited time and written at a limited rate.
#[derive(Debug)]
pub struct Streams {
    streams: HashMap<String, Stream>,
    keep: Duration,
    gap: Duration,
    free: Instant,
    /// Appends that were taken.
    pub appends: u64,
}

impl Streams {
    /// Makes an empty log that keeps records for `keep` and takes `rate` appends a second.
    pub fn new(keep: Duration, rate: u32) -> Self {
        Self {
            streams: HashMap::new(),
            keep,
            gap: Duration::from_secs(1) / rate.max(1),
            free: Instant::now(),
            appends: 0,
        }
    }

    /// Books a place for one append and returns when its turn is.
    pub fn turn(&mut self) -> Instant {
        self.free = self.free.max(Instant::now()) + self.gap;
        self.free
    }

    /// Appends a record and returns its offset.
    pub fn append(&mut self, name: &str, data: Vec<u8>) -> Offset {
        self.appends += 1;
        let keep = self.keep;
        let stream = self.streams.entry(name.to_owned()).or_default();
        let now = SystemTime::now();
        let last = stream.records.back().map_or(now, |record| record.at);
        let offset = stream.next();
        stream.records.push_back(LogRecord {
            offset,
            at: now.max(last),
            data,
        });
        stream.forget(now, keep);
        offset
    }

    /// Reads records from `from` on.
    pub fn read(&mut self, name: &str, from: Offset) -> LogSlice {
        let keep = self.keep;
        let stream = self.streams.entry(name.to_owned()).or_default();
        stream.forget(SystemTime::now(), keep);
        let skip = usize::try_from(from.saturating_sub(stream.oldest)).unwrap_or(usize::MAX);
        let mut bytes = 0;
        let records = stream
            .records
            .iter()
            .skip(skip)
            .take(MOST_RECORDS)
            .take_while(|record| {
                let fits = bytes < MOST_BYTES;
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

    /// Returns the first offset that was taken at `at` or later.
    pub fn offset_at(&mut self, name: &str, at: SystemTime) -> Offset {
        let stream = self.streams.entry(name.to_owned()).or_default();
        let before = stream.records.partition_point(|record| record.at < at);
        stream.oldest + before as Offset
    }
}

impl Stream {
    fn next(&self) -> Offset {
        self.oldest + self.records.len() as Offset
    }

    fn forget(&mut self, now: SystemTime, keep: Duration) {
        while let Some(first) = self.records.front() {
            if now.duration_since(first.at).unwrap_or_default() <= keep {
                return;
            }
            self.records.pop_front();
            self.oldest += 1;
        }
    }
}
