//! The thread that writes queued log lines, at a bounded rate.

use super::{
    kind::LogKind,
    queue::{KindCounts, Line, LogQueue},
};
use serde_json::{Map, Value, json};
use std::{
    io::{ErrorKind, Write},
    thread,
    time::{Duration, Instant},
};
use tracing_subscriber::fmt::{
    format::Writer,
    time::{FormatTime, SystemTime},
};

/// Maximum number of lines that a process writes within any second. The platform keeps 500 lines a second of a
/// process, 250 within each half second, and loses or truncates the rest without a trace.
pub const MAX_LINES_PER_SECOND: usize = 400;

/// Interval for which lines are gathered before they are written, since waking the thread for each line would cost
/// more than the line itself.
pub const FLUSH_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum interval between two lines about lines that were left out.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of lines that are written in one interval; one more line is reserved for the number of lines that
/// were left out.
const MAX_BATCH_LINES: usize =
    MAX_LINES_PER_SECOND * FLUSH_INTERVAL.as_millis() as usize / 1_000 - 1;

/// What became of a text that was to be written.
enum Outcome {
    /// All of it was written.
    Written,
    /// Only this number of bytes was written.
    Failed(usize),
    /// The reader has closed the output after this number of bytes.
    Closed(usize),
}

/// The output, and whether its last line is incomplete.
struct Output<W> {
    out: W,
    incomplete: bool,
}

impl<W: Write> Output<W> {
    /// Writes a text as a whole unless the output fails. Waits for as long as the reader takes.
    fn write(&mut self, mut text: Vec<u8>) -> Outcome {
        if self.incomplete {
            text.insert(0, b'\n');
        }
        let mut done = 0;
        while done < text.len() {
            match self.out.write(&text[done..]) {
                Ok(0) => return Outcome::Closed(done),
                Ok(count) => done += count,
                Err(error) => match error.kind() {
                    ErrorKind::Interrupted => {}
                    // The output is a pipe that another process has made non-blocking.
                    ErrorKind::WouldBlock => thread::sleep(FLUSH_INTERVAL),
                    ErrorKind::BrokenPipe => return Outcome::Closed(done),
                    _ => {
                        self.incomplete = match done.checked_sub(1) {
                            Some(last) => text[last] != b'\n',
                            None => self.incomplete,
                        };
                        return Outcome::Failed(done);
                    }
                },
            }
        }
        self.incomplete = false;
        // A partial write may have left the rest of a line in the buffer of standard output; the next write repeats
        // the attempt if this one fails.
        let _ = self.out.flush();
        Outcome::Written
    }
}

/// Writes queued lines until the queue is closed or nothing reads them any more.
pub fn write_queued(queue: &LogQueue, out: impl Write) {
    let mut output = Output {
        out,
        incomplete: false,
    };
    let mut report_due = Instant::now();
    while queue.wait_for_work(report_due, FLUSH_INTERVAL) {
        thread::sleep(FLUSH_INTERVAL);
        let now = Instant::now();
        let lines = queue.take(MAX_BATCH_LINES);
        let report = (now >= report_due).then(|| queue.take_report()).flatten();
        if report.is_some() {
            report_due = now + REPORT_INTERVAL;
        }
        if !write_batch(queue, &mut output, &lines, report) {
            queue.discard();
            return queue.set_ended();
        }
    }
    queue.discard();
    let report = queue.take_report();
    write_batch(queue, &mut output, &[], report);
    queue.set_ended();
}

/// Writes lines and a report in one call. Returns whether the output is still open.
fn write_batch<W: Write>(
    queue: &LogQueue,
    output: &mut Output<W>,
    lines: &[Line],
    report: Option<KindCounts>,
) -> bool {
    let mut text = lines
        .iter()
        .map(|line| &line.text[..])
        .collect::<Vec<_>>()
        .concat();
    if let Some(counts) = &report {
        text.extend(report_line(counts));
    }
    let begin = usize::from(output.incomplete);
    let outcome = output.write(text);
    let (Outcome::Failed(done) | Outcome::Closed(done)) = outcome else {
        return true;
    };
    let mut end = begin;
    let whole = lines.iter().take_while(|line| {
        end += line.text.len();
        end <= done
    });
    queue.count_unwritten(&lines[whole.count()..]);
    // The report is the last line, so it is not complete either.
    if let Some(counts) = &report {
        queue.return_report(counts);
    }
    matches!(outcome, Outcome::Failed(_))
}

/// Returns the line about lines that were left out.
fn report_line(counts: &KindCounts) -> Vec<u8> {
    let mut timestamp = String::new();
    // Writing to a string does not fail.
    let _ = SystemTime.format_time(&mut Writer::new(&mut timestamp));
    let nonzero = LogKind::ALL
        .into_iter()
        .zip(counts)
        .filter(|(_, count)| **count > 0);
    let kinds: Map<String, Value> = nonzero
        .map(|(kind, count)| (kind.name().to_owned(), json!(count)))
        .collect();
    let line = json!({
        "timestamp": timestamp,
        "level": "WARN",
        "message": "log lines dropped",
        "count": counts.iter().sum::<u64>(),
        "kinds": kinds,
    });
    format!("{line}\n").into_bytes()
}
