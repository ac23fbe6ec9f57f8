//! The queue of log lines between the threads that log and the thread that writes.

use super::kind::{KIND_COUNT, LogKind, PRIORITIES};
use std::{
    collections::VecDeque,
    iter,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// Number of lines by kind, in the order of [`LogKind::ALL`].
pub type KindCounts = [u64; KIND_COUNT];

/// A formatted line.
pub struct Line {
    /// Number of the line in the order in which lines were queued.
    sequence: u64,
    /// Kind of the line.
    pub kind: LogKind,
    /// Text of the line, with its newline.
    pub text: Vec<u8>,
}

/// Whether lines are still written.
#[derive(Clone, Copy, PartialEq)]
enum Phase {
    /// Lines are queued and written.
    Open,
    /// The process ends: queued lines are written until this time.
    Closing(Instant),
    /// Nothing is written any more.
    Closed,
}

/// State that is protected by the lock.
struct State {
    phase: Phase,
    lines: [VecDeque<Line>; KIND_COUNT],
    next_sequence: u64,
    /// Lines that were left out since the process started.
    dropped: KindCounts,
    /// The part of them that was reported in a line.
    reported: KindCounts,
    /// Whether the writer waits for a line.
    writer_waits: bool,
    /// Whether the writer has ended.
    writer_ended: bool,
}

/// The state, and the conditions on which threads wait.
struct Shared {
    state: Mutex<State>,
    /// Notified when the writer has something to do.
    work: Condvar,
    /// Notified when the writer has ended.
    closed: Condvar,
}

/// The queue of lines to the writer thread. The lock is only held to move lines, never while a line is formatted or
/// written.
#[derive(Clone)]
pub struct LogQueue(Arc<Shared>);

impl Default for LogQueue {
    fn default() -> Self {
        let state = State {
            phase: Phase::Open,
            lines: Default::default(),
            next_sequence: 0,
            dropped: Default::default(),
            reported: Default::default(),
            writer_waits: false,
            writer_ended: false,
        };
        LogQueue(Arc::new(Shared {
            state: Mutex::new(state),
            work: Condvar::new(),
            closed: Condvar::new(),
        }))
    }
}

impl State {
    /// Returns whether there is room for a line of a kind, and counts the line as left out if there is none.
    fn admit(&mut self, kind: LogKind) -> bool {
        let fits =
            self.phase != Phase::Closed && self.lines[kind as usize].len() < kind.max_queued();
        if !fits {
            self.dropped[kind as usize] += 1;
        }
        fits
    }

    fn has_lines(&self) -> bool {
        self.lines.iter().any(|lines| !lines.is_empty())
    }

    /// Returns whether lines were left out that no line has reported.
    fn has_report(&self) -> bool {
        self.dropped != self.reported
    }

    /// Removes the next line by priority. Kinds of the same priority take turns by `turn`.
    fn pop(&mut self, turn: usize) -> Option<Line> {
        PRIORITIES.iter().find_map(|kinds| {
            let in_turn = kinds.iter().cycle().skip(turn % kinds.len());
            in_turn
                .take(kinds.len())
                .find_map(|kind| self.lines[*kind as usize].pop_front())
        })
    }
}

impl LogQueue {
    fn lock(&self) -> MutexGuard<'_, State> {
        // No code that holds the lock leaves the state inconsistent.
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether a line of a kind would be queued now, and counts it as left out otherwise. It is asked before
    /// a line is formatted.
    pub fn admit(&self, kind: LogKind) -> bool {
        self.lock().admit(kind)
    }

    /// Queues a line, or counts it as left out if there is no room for it.
    pub fn push(&self, kind: LogKind, text: Vec<u8>) {
        let mut state = self.lock();
        if !state.admit(kind) {
            return;
        }
        let sequence = state.next_sequence;
        state.next_sequence += 1;
        state.lines[kind as usize].push_back(Line {
            sequence,
            kind,
            text,
        });
        if state.writer_waits {
            self.0.work.notify_one();
        }
    }

    /// Returns how many lines were left out since the process started, by kind.
    pub fn dropped(&self) -> KindCounts {
        self.lock().dropped
    }

    /// Counts lines that could not be written as left out.
    pub fn count_unwritten(&self, lines: &[Line]) {
        let mut state = self.lock();
        for line in lines {
            state.dropped[line.kind as usize] += 1;
        }
    }

    /// Waits until there is something to write: a line, or from `report_due` on the number of lines left out.
    /// Returns whether there is time to write it, which is not so if the process ends.
    pub fn wait_for_work(&self, report_due: Instant, interval: Duration) -> bool {
        let mut state = self.lock();
        loop {
            match state.phase {
                Phase::Closed => return false,
                Phase::Closing(deadline) => {
                    return state.has_lines() && Instant::now() + interval <= deadline;
                }
                Phase::Open if state.has_lines() => return true,
                Phase::Open => {}
            }
            state.writer_waits = true;
            state = if state.has_report() {
                let wait = report_due.saturating_duration_since(Instant::now());
                if wait.is_zero() {
                    state.writer_waits = false;
                    return true;
                }
                let waited = self.0.work.wait_timeout(state, wait);
                waited.unwrap_or_else(PoisonError::into_inner).0
            } else {
                let waited = self.0.work.wait(state);
                waited.unwrap_or_else(PoisonError::into_inner)
            };
            state.writer_waits = false;
        }
    }

    /// Removes up to `max` lines by priority and returns them in the order in which they were queued.
    pub fn take(&self, max: usize) -> Vec<Line> {
        let mut state = self.lock();
        let mut turns = 0..max;
        let mut lines: Vec<Line> =
            iter::from_fn(|| turns.next().and_then(|turn| state.pop(turn))).collect();
        drop(state);
        lines.sort_unstable_by_key(|line| line.sequence);
        lines
    }

    /// Returns the numbers of lines left out that no line has reported, and marks them as reported. Returns nothing
    /// if there are none.
    pub fn take_report(&self) -> Option<KindCounts> {
        let mut state = self.lock();
        if !state.has_report() {
            return None;
        }
        let (dropped, reported) = (state.dropped, state.reported);
        state.reported = dropped;
        Some(std::array::from_fn(|kind| dropped[kind] - reported[kind]))
    }

    /// Marks numbers that could not be written as not reported.
    pub fn return_report(&self, counts: &KindCounts) {
        let mut state = self.lock();
        for (reported, count) in state.reported.iter_mut().zip(counts) {
            *reported -= count;
        }
    }

    /// Counts the queued lines as left out, and from now on every line.
    pub fn discard(&self) {
        let mut state = self.lock();
        state.phase = Phase::Closed;
        for kind in LogKind::ALL {
            let count = std::mem::take(&mut state.lines[kind as usize]).len();
            state.dropped[kind as usize] += count as u64;
        }
    }

    /// Lets the writer write queued lines for `drain` and waits until it has ended, at most for `timeout`. Later lines
    /// are counted as left out.
    pub fn close(&self, drain: Duration, timeout: Duration) {
        let mut state = self.lock();
        if state.phase == Phase::Open {
            state.phase = Phase::Closing(Instant::now() + drain);
        }
        self.0.work.notify_one();
        let has_ended = (self.0.closed).wait_timeout_while(state, timeout, |s| !s.writer_ended);
        // A writer that has not ended in time is held up by the reader, and nothing more can be done.
        drop(has_ended);
    }

    /// Records that the writer has ended.
    pub fn set_ended(&self) {
        self.lock().writer_ended = true;
        self.0.closed.notify_all();
    }
}
