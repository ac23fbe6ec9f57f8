//! Learns how much slack a job needs at its start to end in time.
//!
//! Callers' estimates are inaccurate, a step ends with the last of its tasks, and ends are reported some ms
//! late. Under overload, the first job in the queue would always be one that the estimates show to end just
//! in time: most of these end late, and take capacity from jobs that would not. The required slack is
//! therefore learned for each queue from the outcomes of jobs: a late job that started with at least the
//! required slack raises it, and a job that ended in time with less lowers it, so that errors in both
//! directions balance.

use crate::{Cell, Job, JobId, QueueId};
use std::collections::HashMap;

/// The change of the required slack by one job: a peak of 20 late jobs raises it to two fifths.
const LEARNING_STEP: f64 = 0.02;

/// The upper limit of the required slack, as a fraction of the remaining work. A higher one would write off jobs
/// that can still end in time.
const MAX_SLACK_RATIO: f64 = 0.6;

/// The required slack of each queue, as a fraction of the remaining work.
#[derive(Debug, Default)]
pub(super) struct SlackTargets(HashMap<QueueId, f64>);

impl SlackTargets {
    fn of(&self, queue: &str) -> f64 {
        self.0.get(queue).copied().unwrap_or(0.0)
    }

    /// Updates the required slack of a queue with the outcome of a job that started with this slack.
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
    /// Returns the slack that a job needs to start, as a fraction of its remaining work: 0 once the job has
    /// begun.
    pub(super) fn required_slack(&self, job: &Job) -> f64 {
        match job.slack_ratio {
            None => self.slack_targets.of(&job.submission.queue),
            Some(_) => 0.0,
        }
    }

    /// Records the slack of a job when its first run is ordered.
    pub(crate) fn record_slack(&mut self, id: JobId) {
        let wall_ms = self.wall_ms as f64;
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.slack_ratio.is_some()
            || job.submission.spec.schedule.is_some()
            || job.submission.spec.is_long_running()
        {
            return;
        }
        let factor = self.estimate_factor(&job.submission.queue);
        let left = job.critical_paths.iter().max().copied().unwrap_or(0) as f64 * factor;
        if left <= 0.0 {
            return;
        }
        let slack = (job.target_time(0, factor) - wall_ms - left) / left;
        if let Some(job) = self.jobs.get_mut(&id) {
            job.slack_ratio = Some(slack);
        }
    }

    /// Updates the required slack of the queue with the outcome of a job that is done.
    pub(super) fn learn_slack(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let Some(slack) = job.slack_ratio else {
            return;
        };
        let queue = job.submission.queue.clone();
        let in_time = self.wall_ms as f64 <= job.target_time(0, self.estimate_factor(&queue));
        self.slack_targets.learn(&queue, slack, in_time);
    }
}
