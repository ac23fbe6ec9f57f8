//! The order in which waiting tasks are placed.

use crate::{Job, JobId, TaskId};

/// The rank of a waiting task, or of a whole gang by its first task; the smallest is placed first.
///
/// Long-running tasks come first, since a service is unavailable while one of them waits. Then come tasks
/// that can still be in time, then those within their workspace's share, then the queue's priority, then the
/// order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    finite: bool,
    late: bool,
    over_share: bool,
    priority: u32,
    order: u64,
    round: u32,
    step: u32,
    index: u32,
    job: JobId,
}

impl Rank {
    /// Creates the rank of a task of a job.
    pub fn new(task: TaskId, long_running: bool, job: &Job) -> Self {
        let TaskId {
            job: id,
            round,
            step,
            index,
        } = task;
        Rank {
            finite: !long_running,
            late: false,
            over_share: job.over_share,
            priority: job.submission.priority,
            order: job.order,
            round,
            step,
            index,
            job: id,
        }
    }

    /// Returns whether the task runs until its job is cancelled.
    pub fn is_long_running(&self) -> bool {
        !self.finite
    }

    /// Returns the position of the job in the order of arrival.
    pub fn order(&self) -> u64 {
        self.order
    }

    /// Returns whether the task is known to miss its target time.
    pub fn is_late(&self) -> bool {
        self.late
    }

    /// Returns the rank of the same task among those that miss their target time.
    pub fn to_late(self) -> Self {
        Rank { late: true, ..self }
    }

    /// Returns the last rank that a task of the same step can have.
    pub fn end_of_step(self) -> Self {
        Rank {
            index: u32::MAX,
            ..self
        }
    }

    /// Returns the task that has this rank.
    pub fn task(&self) -> TaskId {
        TaskId {
            job: self.job,
            round: self.round,
            step: self.step,
            index: self.index,
        }
    }
}
