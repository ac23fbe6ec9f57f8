//! Logging to standard output that never blocks a decision and never writes more lines than the platform keeps.
//!
//! Lines go through a bounded queue for each kind to a writer thread, which writes a bounded number of lines a second,
//! the most important kinds first. Lines that do not fit are left out before they are formatted; the writer logs how
//! many. docs/design/log-volume.md gives the reasons.

pub mod export;
pub mod kind;
pub mod queue;
pub mod writer;

use kind::LogKind;
use queue::LogQueue;
use std::{
    io::{self, Write},
    thread,
    time::Duration,
};
use tracing::{Metadata, Subscriber, subscriber::Interest};
use tracing_subscriber::{
    EnvFilter, Layer,
    fmt::{self, MakeWriter},
    layer::{Context, SubscriberExt},
    registry::Registry,
    util::SubscriberInitExt,
};

/// The log filter that applies unless the environment sets another one.
const DEFAULT_FILTER: &str = "info";

/// Time for which queued lines are written when the process ends: three batches.
pub const DRAIN_TIME: Duration = Duration::from_millis(350);

/// Maximum time for which the end of the process waits for the writer, which may still be writing when
/// [`DRAIN_TIME`] is over. It is below the time that `stop` reserves for the end of the process.
pub const CLOSE_TIMEOUT: Duration = Duration::from_millis(480);

/// Starts the thread that writes the queued lines to `out`.
pub fn start_writer(queue: &LogQueue, out: impl Write + Send + 'static) {
    let queue = queue.clone();
    thread::spawn(move || writer::write_queued(&queue, out));
}

/// One line that is being formatted.
pub struct LogLine<'a> {
    queue: &'a LogQueue,
    kind: LogKind,
    text: Vec<u8>,
}

impl<'a> MakeWriter<'a> for LogQueue {
    type Writer = LogLine<'a>;

    fn make_writer(&'a self) -> LogLine<'a> {
        LogLine {
            queue: self,
            kind: LogKind::State,
            text: Vec::new(),
        }
    }

    fn make_writer_for(&'a self, metadata: &Metadata<'_>) -> LogLine<'a> {
        LogLine {
            queue: self,
            kind: LogKind::of(metadata),
            text: Vec::new(),
        }
    }
}

impl Write for LogLine<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.text.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for LogLine<'_> {
    fn drop(&mut self) {
        let text = std::mem::take(&mut self.text);
        if !text.is_empty() {
            self.queue.push(self.kind, text);
        }
    }
}

/// Disables a line for which there is no room in the queue, so that neither its fields are evaluated nor its text is
/// formatted.
struct Admission(LogQueue);

impl<S: Subscriber> Layer<S> for Admission {
    fn register_callsite(&self, _: &'static Metadata<'static>) -> Interest {
        // The answer of `enabled` changes, so it must not be cached.
        Interest::sometimes()
    }

    fn enabled(&self, metadata: &Metadata<'_>, _: Context<'_, S>) -> bool {
        !metadata.is_event() || self.0.admit(LogKind::of(metadata))
    }
}

/// Returns a subscriber that formats lines as JSON and queues them.
pub fn subscriber(queue: &LogQueue, filter: EnvFilter) -> impl Subscriber + Send + Sync + use<> {
    let format = fmt::layer()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_writer(queue.clone());
    // The filter is the outermost layer, so that a line that it disables is not counted as left out.
    Registry::default()
        .with(format)
        .with(Admission(queue.clone()))
        .with(filter)
}

/// Writes the queued lines when it is dropped, at the end of the process.
pub struct LogGuard(LogQueue);

impl LogGuard {
    /// Returns the queue of lines.
    pub fn queue(&self) -> &LogQueue {
        &self.0
    }
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        self.0.close(DRAIN_TIME, CLOSE_TIMEOUT);
    }
}

/// Starts logging to standard output, as JSON.
pub fn start() -> LogGuard {
    let filter =
        EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(DEFAULT_FILTER));
    let queue = LogQueue::default();
    // The platform captures what is written to standard output itself, not to a copy of its descriptor. A writer that
    // holds its lock does not hold up the end of the process, which only tries to take it.
    start_writer(&queue, io::stdout());
    if let Err(error) = subscriber(&queue, filter).try_init() {
        // Nothing else sets a subscriber, and without one there is nowhere to log this.
        eprintln!("cannot start logging: {error}");
    }
    LogGuard(queue)
}
