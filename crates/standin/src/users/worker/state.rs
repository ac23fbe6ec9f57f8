//! The state of one incarnation of a worker: its clock, its lease and its runs.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// The maximum duration of a lease in milliseconds; a longer one is cut to it.
pub const MAX_HOLD_MS: u64 = 10_000;

/// A run that is in progress.
pub struct Run {
    pub number: u64,
    pub began_at: Instant,
    pub ends_at: Instant,
    /// Whether the worker ends when the run does.
    pub fatal: bool,
    /// Whether its task is small.
    pub small: bool,
}

/// A run that has ended and is not acknowledged.
pub struct EndedRun {
    pub number: u64,
    pub task: String,
    pub run: u64,
    pub outcome: &'static str,
}

/// The state of one incarnation of a worker.
pub struct State {
    /// Start of this incarnation; it may lie in the future, and requests get no response before it.
    pub starts_at: Instant,
    /// The same start time in milliseconds since 1970.
    pub started_at_ms: u64,
    /// The worker's clock at the start of this incarnation.
    pub clock_start_ms: u64,
    pub fence: u64,
    pub deadline: u64,
    pub runs: BTreeMap<String, Run>,
    pub ended: Vec<EndedRun>,
    pub last_end: u64,
    /// Highest run of each task that was stopped or has ended.
    pub closed: HashMap<String, u64>,
}

impl State {
    /// Returns the empty state of an incarnation that starts after `delay` and knows nothing of
    /// earlier ones.
    pub fn starting_in(delay: Duration, clock_start_ms: u64) -> Self {
        State {
            starts_at: Instant::now() + delay,
            started_at_ms: unix_ms(SystemTime::now() + delay),
            clock_start_ms,
            fence: 0,
            deadline: 0,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            closed: HashMap::new(),
        }
    }

    /// Returns the reading of the worker's clock in milliseconds.
    pub fn clock_ms(&self) -> u64 {
        self.clock_start_ms + self.starts_at.elapsed().as_millis() as u64
    }

    /// Extends the lease to a deadline on the worker's clock.
    pub fn extend_lease(&mut self, deadline: u64) {
        let latest = self.clock_ms() + MAX_HOLD_MS;
        self.deadline = self.deadline.max(deadline.min(latest));
    }

    /// Records the fencing token of a request; returns false if a higher one was seen before.
    pub fn observe_fence(&mut self, fence: u64) -> bool {
        let admitted = fence >= self.fence;
        self.fence = self.fence.max(fence);
        admitted
    }

    /// Returns whether this run of the task is in progress here.
    pub fn has_run(&self, task: &str, run: u64) -> bool {
        self.runs.get(task).is_some_and(|known| known.number == run)
    }

    /// Returns the number of runs of small tasks, or of all others.
    pub fn count_like(&self, small: bool) -> usize {
        self.runs.values().filter(|run| run.small == small).count()
    }

    /// Returns whether this run of the task, or a higher one, was stopped or has ended.
    pub fn has_closed(&self, task: &str, run: u64) -> bool {
        self.closed.get(task).is_some_and(|highest| run <= *highest)
    }

    /// Records that the task's runs up to this one must not start again.
    pub fn close(&mut self, task: &str, run: u64) {
        let highest = self.closed.entry(task.to_owned()).or_insert(0);
        *highest = (*highest).max(run);
    }
}

/// Returns a time of day in milliseconds since 1970.
fn unix_ms(at: SystemTime) -> u64 {
    let since = at.duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
