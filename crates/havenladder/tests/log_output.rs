//! The log output of an entry that is read slowly or not at all, that fails, or whose process ends.
//!
//! Guards against a process that blocks or ends because of its output, against lines that are written in part, and
//! against the loss of the last lines of a process.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

mod log_recorder;

use log_recorder::{
    BURST_INTERVAL, Recorder, count_messages, log_peak, log_to,
    logs::{
        CLOSE_TIMEOUT, DRAIN_TIME,
        kind::{LogKind, RUN},
    },
    parse,
};
use std::{
    io::{self, ErrorKind, Write},
    process::{Command, Stdio},
    thread,
    time::{Duration, Instant},
};
use tracing::info;

/// Limit of anything that must not block.
const BLOCK_TIMEOUT: Duration = Duration::from_secs(10);

/// Time that a busy machine may take to end a wait of [`CLOSE_TIMEOUT`].
const MAX_CLOSE_TIME: Duration = Duration::from_secs(2);

#[test]
fn a_reader_that_never_reads_blocks_neither_the_process_nor_its_end() {
    // A pipe takes 64 KB before a write blocks.
    let (unread, pipe) = io::pipe().unwrap();
    let begin = Instant::now();
    let queue = log_to(pipe, || {
        for number in 0..100_000 {
            info!(target: RUN, number, "started");
            info!(number, "pool");
            if number % 1_000 == 0 {
                thread::sleep(BURST_INTERVAL);
            }
        }
    });
    assert!(begin.elapsed() < BLOCK_TIMEOUT, "{:?}", begin.elapsed());
    let ending = Instant::now();
    queue.close(DRAIN_TIME, CLOSE_TIMEOUT);
    assert!(ending.elapsed() < MAX_CLOSE_TIME, "{:?}", ending.elapsed());
    let dropped = queue.dropped();
    assert!(dropped[LogKind::Run as usize] > 90_000, "{dropped:?}");
    assert!(dropped[LogKind::State as usize] > 90_000, "{dropped:?}");
    drop(unread);
}

#[test]
fn a_reader_that_closes_the_output_costs_only_lines() {
    let (reader, pipe) = io::pipe().unwrap();
    drop(reader);
    let begin = Instant::now();
    let queue = log_to(pipe, || {
        info!("pool");
        thread::sleep(Duration::from_millis(300));
        info!("pool");
    });
    assert!(begin.elapsed() < BLOCK_TIMEOUT, "{:?}", begin.elapsed());
    assert_eq!(queue.dropped()[LogKind::State as usize], 2);
}

/// Output that takes few bytes at once, and often none for now.
struct Hesitant {
    recorder: Recorder,
    writes: usize,
}

impl Write for Hesitant {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.writes += 1;
        match self.writes {
            // A call that was interrupted, and a full pipe that another process has made non-blocking.
            writes if writes % 3 == 0 => Err(ErrorKind::Interrupted.into()),
            writes if writes % 40 == 0 => Err(ErrorKind::WouldBlock.into()),
            _ => self.recorder.write(&bytes[..bytes.len().min(100)]),
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_are_whole_if_the_output_takes_them_in_parts() {
    let recorder = Recorder::default();
    let out = Hesitant {
        recorder: recorder.clone(),
        writes: 0,
    };
    log_to(out, || {
        log_peak();
    });
    // A write that is not finished when the process ends is the only one that may be incomplete.
    let text = recorder.text();
    let end = text.iter().rposition(|byte| *byte == b'\n').unwrap() + 1;
    let lines: Vec<_> = text[..end]
        .split_inclusive(|byte| *byte == b'\n')
        .map(parse)
        .collect();
    assert!(lines.len() > 200, "{} lines", lines.len());
}

/// Output that fails in the middle of its first text, as a full disk does, and then works again.
struct Failing {
    recorder: Recorder,
    writes: usize,
}

impl Write for Failing {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.writes += 1;
        match self.writes {
            1 => self.recorder.write(&bytes[..bytes.len() - 10]),
            2 => Err(ErrorKind::StorageFull.into()),
            _ => self.recorder.write(bytes),
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn an_output_that_fails_once_is_used_again_and_the_line_is_counted() {
    let recorder = Recorder::default();
    let out = Failing {
        recorder: recorder.clone(),
        writes: 0,
    };
    let queue = log_to(out, || {
        info!(number = 1, "pool");
        info!(number = 2, "pool");
        thread::sleep(Duration::from_millis(300));
        info!(number = 3, "pool");
    });
    let text = recorder.text();
    let text = String::from_utf8(text).unwrap();
    let whole = text
        .lines()
        .filter(|line| line.starts_with('{') && line.ends_with('}'));
    assert_eq!(
        whole.filter(|line| line.contains("\"pool\"")).count(),
        2,
        "{text}"
    );
    assert_eq!(queue.dropped()[LogKind::State as usize], 1);
    assert!(text.contains("log lines dropped"), "{text}");
}

#[test]
fn queued_lines_are_written_when_the_process_ends() {
    let recorder = Recorder::default();
    log_to(recorder.clone(), || {
        for number in 0..30 {
            info!(target: RUN, number, "ended");
        }
        info!("entry stops");
    });
    let lines = recorder.lines();
    let counts = count_messages(&lines);
    assert_eq!((counts["ended"], counts["entry stops"]), (30, 1));
}

#[test]
fn an_entry_that_ends_at_once_says_why() {
    let output = Command::new(env!("CARGO_BIN_EXE_havenladder"))
        .arg("entry")
        .env_clear()
        .stdin(Stdio::null())
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(3), "{output:?}");
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.contains("cannot use the settings"), "{text}");
}
