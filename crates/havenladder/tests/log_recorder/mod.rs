//! The log output of an entry, written to a recorder, for tests.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]
#![allow(
    dead_code,
    clippy::allow_attributes,
    reason = "not every test needs all of it, and none logs to the output of its process"
)]

#[path = "../../src/entry/logs/mod.rs"]
pub mod logs;

use logs::{
    DRAIN_TIME,
    kind::{JOB, REQUEST, RUN, WORKER},
    queue::LogQueue,
    start_writer, subscriber,
};
use serde_json::Value;
use std::{
    collections::BTreeMap,
    io::{self, Write},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};
use tracing::info;
use tracing_subscriber::EnvFilter;

/// Duration of a peak.
pub const PEAK_TIME: Duration = Duration::from_secs(3);

/// Maximum time to wait for the writer; longer than that of an entry, so that no test fails because the machine is busy.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval between two bursts of lines, and the number of lines of runs in a burst: 2,000 lines a second.
pub const BURST_INTERVAL: Duration = Duration::from_millis(20);
pub const BURST_LINES: u64 = 40;

/// Texts that were written, each with its time.
pub type Writes = Vec<(Instant, Vec<u8>)>;

/// Output that keeps what was written, and when.
#[derive(Clone, Default)]
pub struct Recorder(pub Arc<Mutex<Writes>>);

impl Write for Recorder {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut writes = self.0.lock().unwrap();
        writes.push((Instant::now(), bytes.to_vec()));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Recorder {
    /// Returns everything that was written.
    pub fn text(&self) -> Vec<u8> {
        let writes = self.0.lock().unwrap();
        writes.iter().flat_map(|(_, text)| text.clone()).collect()
    }

    /// Returns all lines, each with the time at which it was written.
    pub fn lines(&self) -> Vec<(Instant, Value)> {
        let writes = self.0.lock().unwrap();
        let lines = writes.iter().flat_map(|(time, text)| {
            let lines = text.split_inclusive(|byte| *byte == b'\n');
            lines.map(|line| (*time, parse(line)))
        });
        lines.collect()
    }

    /// Returns the largest number of lines that were written within a time.
    pub fn max_lines_within(&self, span: Duration) -> usize {
        let lines = self.lines();
        let count = |(begin, _): &(Instant, Value)| {
            let within = lines
                .iter()
                .filter(|(time, _)| time >= begin && *time < *begin + span);
            within.count()
        };
        lines.iter().map(count).max().unwrap_or(0)
    }
}

/// Parses a line, which must be whole.
pub fn parse(line: &[u8]) -> Value {
    assert!(line.ends_with(b"\n"), "{}", String::from_utf8_lossy(line));
    serde_json::from_slice(line).unwrap_or_else(|error| {
        panic!("{error}: {}", String::from_utf8_lossy(line));
    })
}

/// Runs `log` with its lines going to `out`, then closes the queue.
pub fn log_to(out: impl Write + Send + 'static, log: impl FnOnce()) -> LogQueue {
    let queue = LogQueue::default();
    start_writer(&queue, out);
    tracing::subscriber::with_default(subscriber(&queue, EnvFilter::new("info")), log);
    queue.close(DRAIN_TIME, CLOSE_TIMEOUT);
    queue
}

/// Logs what an owner logs at a peak, and returns when it logged each summary line.
pub fn log_peak() -> Vec<Instant> {
    let begin = Instant::now();
    let mut summaries = Vec::new();
    let mut number = 0;
    while begin.elapsed() < PEAK_TIME {
        for _ in 0..BURST_LINES {
            number += 1;
            info!(target: RUN, number, "started");
        }
        info!(target: JOB, number, "accepted");
        info!(target: REQUEST, number, "append");
        info!(target: WORKER, number, "VM order sent");
        if number % (10 * BURST_LINES) == 0 {
            summaries.push(Instant::now());
            info!(number = summaries.len() - 1, "pool");
        }
        thread::sleep(BURST_INTERVAL);
    }
    summaries
}

/// Counts lines by message.
pub fn count_messages(lines: &[(Instant, Value)]) -> BTreeMap<&str, u64> {
    let mut counts = BTreeMap::new();
    for (_, line) in lines {
        *counts.entry(line["message"].as_str().unwrap()).or_default() += 1;
    }
    counts
}
