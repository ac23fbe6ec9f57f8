//! Logging to standard output that never blocks a decision.
//!
//! Lines go through a bounded queue to a writer thread. If nothing reads the output, the queue fills up and further
//! lines are dropped; the writer then logs how many.

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

/// Maximum number of queued lines. A peak writes 1,000 lines a second; 4,096 lines of 300 bytes take 1.2 MB.
const MAX_QUEUED_LINES: usize = 4_096;

/// Time for which lines are gathered before they are written, since waking the thread for each line would cost more
/// than the line itself.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);

/// The log filter that applies unless the environment sets another one.
const DEFAULT_FILTER: &str = "info";

/// The queue of lines to the writer thread.
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
    /// Creates a queue and starts the thread that writes its lines to `out`.
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

/// Writes queued lines in batches until all senders are gone or `out` is closed.
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
        // Standard output is closed, and there is nowhere else to report that.
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
