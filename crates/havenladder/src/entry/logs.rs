//! Logs to standard output that never hold up a decision.
//!
//! Lines go through a bounded queue to a thread of their own. Where nobody reads them, the queue fills
//! and lines are left out; the next line that finds room tells how many.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::Duration,
};
use tracing_subscriber::{EnvFilter, fmt::MakeWriter};

/// How many lines may wait. A peak writes 1,000 a second; at 300 bytes each this takes 1.2 MB.
const MAX_QUEUED_LINES: usize = 4_096;

/// How long lines are gathered before they are written: a wake-up for each would cost more than the
/// line.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);

/// Which lines are written, unless the environment says otherwise.
const DEFAULT_FILTER: &str = "info";

/// Where lines go.
#[derive(Clone)]
pub struct LogQueue {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

/// One line that is being written.
pub struct LogLine {
    queue: LogQueue,
    bytes: Vec<u8>,
}

impl LogQueue {
    /// A queue whose lines go to `out`, by a thread that this starts.
    pub fn new(out: impl Write + Send + 'static) -> Self {
        let (lines, queued) = sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&dropped);
        thread::spawn(move || write_all(&queued, &counter, out));
        LogQueue { lines, dropped }
    }
}

impl<'a> MakeWriter<'a> for LogQueue {
    type Writer = LogLine;

    fn make_writer(&'a self) -> LogLine {
        LogLine {
            queue: self.clone(),
            bytes: Vec::new(),
        }
    }
}

impl Write for LogLine {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.bytes.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for LogLine {
    fn drop(&mut self) {
        let bytes = std::mem::take(&mut self.bytes);
        if !bytes.is_empty() && self.queue.lines.try_send(bytes).is_err() {
            self.queue.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Writes the lines that wait, gathered, until nobody can send any more or `out` is closed.
fn write_all(queued: &Receiver<Vec<u8>>, dropped: &AtomicU64, mut out: impl Write) {
    while let Ok(mut text) = queued.recv() {
        thread::sleep(FLUSH_INTERVAL);
        while let Ok(line) = queued.try_recv() {
            text.extend_from_slice(&line);
        }
        let dropped_lines = dropped.swap(0, Ordering::Relaxed);
        if dropped_lines > 0 {
            let line = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"count\":{dropped_lines}}}\n"
            );
            text.extend_from_slice(line.as_bytes());
        }
        // There is no other place to tell that standard output is closed.
        if out.write_all(&text).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}

/// Starts logging to standard output, as JSON.
pub fn start() {
    let filter =
        EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(DEFAULT_FILTER));
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_env_filter(filter)
        .with_writer(LogQueue::new(io::stdout()))
        .init();
}
