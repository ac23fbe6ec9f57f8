//! The actions that a cell requests, and the records that must be durable before them.

use crate::{Entry, JobId, RunId, TaskId, WorkerId};

/// An order to a worker, or a request for permits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Starts a run.
    Start {
        /// The worker.
        worker: WorkerId,
        /// The task.
        task: TaskId,
        /// The run.
        run: RunId,
    },
    /// Stops a run.
    Stop {
        /// The worker.
        worker: WorkerId,
        /// The task.
        task: TaskId,
        /// The run.
        run: RunId,
    },
    /// Asks the permit service which workers may run a step.
    RequestPermits {
        /// A task of the step.
        task: TaskId,
        /// The workers in question.
        workers: Vec<WorkerId>,
    },
    /// Changes the pace of a run, which is the share of the processor that it may use.
    Pace {
        /// The worker.
        worker: WorkerId,
        /// The task.
        task: TaskId,
        /// The run.
        run: RunId,
        /// The share, 0 to 100.
        percent: u64,
    },
}

/// Records, and the actions that are allowed once they are durable.
#[derive(Debug, Default)]
pub struct Batch {
    /// The records to be stored, by key.
    pub entries: Vec<Entry>,
    /// The starts that may then be sent.
    pub starts: Vec<Order>,
    /// The number up to which the ends of each worker are then acknowledged.
    pub acknowledged: Vec<(WorkerId, u64)>,
    /// The version up to which the record of VM orders is then durable.
    pub vm_orders: u64,
    /// The jobs whose phase may then be reported to callers, with the phase.
    pub phases: Vec<(JobId, crate::Phase)>,
}

impl Batch {
    /// Removes the starts and the phase of a job that has been given up.
    pub fn remove_job(&mut self, job: JobId) {
        self.phases.retain(|(id, _)| *id != job);
        let is_of_job =
            |order: &Order| matches!(order, Order::Start { task, .. } if task.job == job);
        self.starts.retain(|order| !is_of_job(order));
    }

    /// Returns whether the batch contains nothing to store, start or acknowledge.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty() && self.starts.is_empty() && self.acknowledged.is_empty()
    }
}
