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
const LEARNING_STEP: f64 = 0.02;

/// The most that is asked for, as a part of the work that is left. More would give up what can still be in time.
const MAX_SLACK_RATIO: f64 = 0.6;

/// What is learned, by queue: the time in hand as a part of the work that is left.
#[derive(Debug, Default)]
pub(super) struct SlackTargets(HashMap<QueueId, f64>);

impl SlackTargets {
    fn of(&self, queue: &str) -> f64 {
        self.0.get(queue).copied().unwrap_or(0.0)
    }

    /// Learns from a job that began with so much in hand.
    fn learn(&mut self, queue: &str, slack: f64, in_time: bool) {
        let target = self.of(queue);
        let change = match in_time {
            false if slack >= target => LEARNING_STEP,
            true if slack < target => -LEARNING_STEP,
            _ => return,
        };
        self.0.insert(
            queue.to_owned(),
            (target + change).clamp(0.0, MAX_SLACK_RATIO),
        );
    }
}

impl Cell {
    /// The part of its work that a job must have in hand to be begun: none once it has begun.
    pub(super) fn required_slack(&self, job: &Job) -> f64 {
        match job.in_hand {
            None => self.slack_targets.of(&job.given.queue),
            Some(_) => 0.0,
        }
    }

    /// Notes how much a job has in hand as its first run is ordered.
    pub(crate) fn record_slack(&mut self, id: JobId) {
        let wall_ms = self.wall_ms as f64;
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.in_hand.is_some() || job.given.spec.schedule.is_some() || job.given.spec.lasts() {
            return;
        }
        let factor = self.estimate_factor(&job.given.queue);
        let left = job.tails.iter().max().copied().unwrap_or(0) as f64 * factor;
        if left <= 0.0 {
            return;
        }
        let slack = (job.goal(0, factor) - wall_ms - left) / left;
        if let Some(job) = self.jobs.get_mut(&id) {
            job.in_hand = Some(slack);
        }
    }

    /// Learns from a job that is done.
    pub(super) fn learn_slack(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let Some(slack) = job.in_hand else {
            return;
        };
        let queue = job.given.queue.clone();
        let in_time = self.wall_ms as f64 <= job.goal(0, self.estimate_factor(&queue));
        self.slack_targets.learn(&queue, slack, in_time);
    }
}
