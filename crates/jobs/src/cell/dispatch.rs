//! Limits the starts that are ordered to those that the owner can send, and forecasts how long the starts of a job wait.
//!
//! Each start carries the text of its job, so that the link of the owner limits how many starts it sends. More jobs than
//! that would not run sooner on more workers; they would only delay each other. Starts beyond the limit wait in the
//! order of ranks, so that tasks that can still be in time go first, and take no capacity that others could use.

use crate::{Cell, Job, JobId, Submission, TaskId};
use std::collections::BTreeSet;

/// The time for which starts are ordered ahead of those that have been sent: longer than one round of decisions, so
/// that the link is never idle while tasks wait.
const MAX_AHEAD_S: f64 = 0.3;

/// How fast the owner sends starts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Dispatch {
    /// Bytes of the starts that have been ordered and wait to be sent.
    pub waiting: u64,
    /// Bytes of starts that are sent per second; infinite if nothing limits them.
    pub rate: f64,
}

impl Default for Dispatch {
    /// Returns a dispatch without a limit.
    fn default() -> Self {
        Dispatch {
            waiting: 0,
            rate: f64::INFINITY,
        }
    }
}

impl Dispatch {
    /// Returns how many bytes of starts may be ordered now.
    pub(crate) fn budget(self) -> f64 {
        self.rate * MAX_AHEAD_S - self.waiting as f64
    }
}

impl Cell {
    /// Sets how fast the owner sends starts.
    pub fn set_dispatch(&mut self, dispatch: Dispatch) {
        self.dispatch = dispatch;
    }

    /// Returns the bytes of the text that each start of a task carries.
    pub(crate) fn start_bytes(&self, task: TaskId) -> u64 {
        let job = self.jobs.get(&task.job);
        job.map_or(0, |job| job.submission.spec.text.len() as u64)
    }

    /// Sums up the starts that jobs which can still be in time need until their ends. Does nothing where starts are not
    /// limited.
    pub fn update_start_backlog(&mut self) {
        if self.dispatch.rate.is_infinite() {
            return;
        }
        let waiting = self.waiting.values().flatten();
        let waiting = waiting.map(|rank| rank.task().job);
        let begun = self.begun_jobs.iter().copied();
        let live: BTreeSet<JobId> = waiting.chain(begun).collect();
        let jobs = live.iter().filter_map(|id| self.jobs.get(id));
        self.start_backlog = jobs.map(|job| self.remaining_start_bytes(job)).sum();
    }

    /// Returns the bytes of the starts that a job still needs, or 0 if it does not end by itself or cannot be in time
    /// any more, since others then go first.
    fn remaining_start_bytes(&self, job: &Job) -> u64 {
        let factor = self.estimate_factor(&job.submission.queue);
        let spec = &job.submission.spec;
        let [round] = job.rounds.as_slice() else {
            return 0;
        };
        if spec.is_long_running() || job.target_time(0, factor) < self.wall_ms as f64 {
            return 0;
        }
        round.unfinished_count() * spec.text.len() as u64
    }

    /// Returns how long the starts of a new job would wait in all, in ms: behind those of earlier jobs, and behind each
    /// other.
    pub(super) fn dispatch_wait_ms(&self, submission: &Submission) -> f64 {
        let bytes = self.start_backlog + start_bytes(submission);
        bytes as f64 / self.dispatch.rate * 1_000.0
    }
}

/// Returns the bytes of the texts that the starts of a job carry.
pub(super) fn start_bytes(submission: &Submission) -> u64 {
    submission.spec.task_count() * submission.spec.text.len() as u64
}
