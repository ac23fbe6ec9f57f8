//! How much time in hand a job needs at its start to end in time.
//!
//! Callers' guesses are far off, a step ends with the last of its tasks, and ends are heard of some ms later. Where more
//! comes than there is room for, the first in the queue would always be the job that can just be in time by the guesses:
//! most of those that start so end late, and keep the room from jobs that would not. How much in hand does is learned for
//! each queue from what became of jobs: a job that ended late though it began with more raises it, one that ended in time
//! though it began with less lowers it, so that as many are misjudged one way as the other.

use crate::{Cell, Job, JobId, QueueId};
use std::collections::HashMap;

/// By how much one job changes what is learned: a peak of 20 late jobs makes it two fifths.
const STEP: f64 = 0.02;

/// The most that is asked for, as a part of the work that is left. More would give up what can still be in time.
const MOST: f64 = 0.6;

/// What is learned, by queue: the time in hand as a part of the work that is left.
#[derive(Debug, Default)]
pub(super) struct Margins(HashMap<QueueId, f64>);

impl Margins {
    fn of(&self, queue: &str) -> f64 {
        self.0.get(queue).copied().unwrap_or(0.0)
    }

    /// Learns from a job that began with so much in hand.
    fn learn(&mut self, queue: &str, began: f64, in_time: bool) {
        let margin = self.of(queue);
        let change = match in_time {
            false if began >= margin => STEP,
            true if began < margin => -STEP,
            _ => return,
        };
        self.0
            .insert(queue.to_owned(), (margin + change).clamp(0.0, MOST));
    }
}

impl Cell {
    /// The part of its work that a job must have in hand to be begun: none once it has begun.
    pub(super) fn margin_of(&self, job: &Job) -> f64 {
        match job.slack_ratio {
            None => self.margins.of(&job.submission.queue),
            Some(_) => 0.0,
        }
    }

    /// Notes how much a job has in hand as its first run is ordered.
    pub(crate) fn note_in_hand(&mut self, id: JobId) {
        let wall = self.wall as f64;
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.slack_ratio.is_some()
            || job.submission.spec.schedule.is_some()
            || job.submission.spec.is_long_running()
        {
            return;
        }
        let pace = self.pace_of(&job.submission.queue);
        let left = job.critical_paths.iter().max().copied().unwrap_or(0) as f64 * pace;
        if left <= 0.0 {
            return;
        }
        let in_hand = (job.target_time(0, pace) - wall - left) / left;
        if let Some(job) = self.jobs.get_mut(&id) {
            job.slack_ratio = Some(in_hand);
        }
    }

    /// Learns from a job that is done.
    pub(super) fn learn_margin(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let Some(in_hand) = job.slack_ratio else {
            return;
        };
        let queue = job.submission.queue.clone();
        let in_time = self.wall as f64 <= job.target_time(0, self.pace_of(&queue));
        self.margins.learn(&queue, in_hand, in_time);
    }
}
