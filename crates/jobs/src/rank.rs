//! The order in which waiting tasks get room.

use crate::{Job, JobId, TaskId};

/// The place of a waiting task, or of a whole gang by its first task: the smallest goes first.
///
/// Lasting tasks come first, since a service is away while one of them waits; then those that can
/// still be in time; then what is within its workspace's part; then the queue's priority, then the order of arrival.
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
    /// The place of a task of a job.
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

    /// Whether the task runs until its job is cancelled.
    pub fn is_long_running(&self) -> bool {
        !self.finite
    }

    /// Its job's place in the order of arrival.
    pub fn order(&self) -> u64 {
        self.order
    }

    /// Whether it is known that the task cannot be in time.
    pub fn is_late(&self) -> bool {
        self.late
    }

    /// The place of the same task among those that cannot be in time.
    pub fn to_late(self) -> Self {
        Rank { late: true, ..self }
    }

    /// The task that has this place.
    pub fn task(&self) -> TaskId {
        TaskId {
            job: self.job,
            round: self.round,
            step: self.step,
            index: self.index,
        }
    }
}
