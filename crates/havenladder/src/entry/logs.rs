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
const WAITING: usize = 4_096;

/// How long lines are gathered before they are written: a wake-up for each would cost more than the
/// line.
const GATHER: Duration = Duration::from_millis(100);

/// Which lines are written, unless the environment says otherwise.
const FILTER: &str = "info";

/// Where lines go.
#[derive(Clone)]
pub struct Queue {
    lines: SyncSender<Vec<u8>>,
    left_out: Arc<AtomicU64>,
}

/// One line that is being written.
pub struct Line {
    queue: Queue,
    bytes: Vec<u8>,
}

impl Queue {
    /// A queue whose lines go to `out`, by a thread that this starts.
    pub fn new(out: impl Write + Send + 'static) -> Self {
        let (lines, waiting) = sync_channel(WAITING);
        let left_out = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&left_out);
        thread::spawn(move || write_all(&waiting, &counter, out));
        Queue { lines, left_out }
    }
}

impl<'a> MakeWriter<'a> for Queue {
    type Writer = Line;

    fn make_writer(&'a self) -> Line {
        Line {
            queue: self.clone(),
            bytes: Vec::new(),
        }
    }
}

impl Write for Line {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.bytes.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        let bytes = std::mem::take(&mut self.bytes);
        if !bytes.is_empty() && self.queue.lines.try_send(bytes).is_err() {
            self.queue.left_out.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Writes the lines that wait, gathered, until nobody can send any more or `out` is closed.
fn write_all(waiting: &Receiver<Vec<u8>>, left_out: &AtomicU64, mut out: impl Write) {
    while let Ok(mut text) = waiting.recv() {
        thread::sleep(GATHER);
        while let Ok(line) = waiting.try_recv() {
            text.extend_from_slice(&line);
        }
        let missing = left_out.swap(0, Ordering::Relaxed);
        if missing > 0 {
            let line = format!(
                "{{\"level\":\"WARN\",\"message\":\"lines left out\",\"count\":{missing}}}\n"
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
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(FILTER));
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_env_filter(filter)
        .with_writer(Queue::new(io::stdout()))
        .init();
}
