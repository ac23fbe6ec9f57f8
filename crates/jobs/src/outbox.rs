//! What a cell wants done, and what must be durable before it is.

use crate::{Entry, JobId, RunId, TaskId, WorkerId};

/// Something to tell a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Start a run.
    Start {
        /// Where.
        worker: WorkerId,
        /// Which task.
        task: TaskId,
        /// Which run of it.
        run: RunId,
    },
    /// Stop a run.
    Stop {
        /// Where.
        worker: WorkerId,
        /// Which task.
        task: TaskId,
        /// Which run of it.
        run: RunId,
    },
    /// Ask which workers may run a step.
    RequestPermits {
        /// A task of the step.
        task: TaskId,
        /// The workers.
        workers: Vec<WorkerId>,
    },
    /// Change the share at which a run works.
    Pace {
        /// Where.
        worker: WorkerId,
        /// Which task.
        task: TaskId,
        /// Which run of it.
        run: RunId,
        /// The share, 0 to 100.
        percent: u64,
    },
}

/// Records, and what may be done once they are durable.
#[derive(Debug, Default)]
pub struct Batch {
    /// What must be kept, by key.
    pub entries: Vec<Entry>,
    /// What may then be started.
    pub starts: Vec<Order>,
    /// Up to which number the ends of each worker are then noted.
    pub acknowledged: Vec<(WorkerId, u64)>,
    /// Up to which version the VMs that orders are given about are then durable.
    pub vm_orders: u64,
    /// The jobs whose state may then be shown, with the state.
    pub phases: Vec<(JobId, crate::Phase)>,
}

impl Batch {
    /// Whether there is nothing in it.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty() && self.starts.is_empty() && self.acknowledged.is_empty()
    }
}
