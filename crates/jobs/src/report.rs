//! The reports of workers: running runs, ended runs, and reasons for refused orders.

use crate::{RunId, TaskId};

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The run succeeded.
    Done,
    /// The run failed, by its own fault or the worker's.
    Failed,
    /// An order stopped the run.
    Stopped,
    /// The run's lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not arrive in time.
    Alone,
}

/// A running run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunRow {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunId,
    /// The latest saved progress; empty if there is none.
    pub saved: String,
    /// How much of the work is done, in percent; for a long-running task 100 once it is operational.
    pub percent: u64,
    /// The tail latency in ms for a serving task, else the processor time in use.
    pub measurement: u64,
}

/// A run that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndRow {
    /// The number of the end, counted per incarnation of the worker.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunId,
    /// How the run ended.
    pub how: RunOutcome,
    /// The last saved progress; empty if there is none.
    pub saved: String,
}

/// The runs of a worker and the ends that it lists.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// The running runs.
    pub running: Vec<RunRow>,
    /// The ends that are not yet acknowledged, oldest first; at most one page.
    pub ended: Vec<EndRow>,
    /// Whether the worker may have further ends than those listed. A run that is listed nowhere may then have
    /// ended, with any outcome.
    pub more_ends: bool,
}

/// The reason why a worker refused to start a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The worker has seen an order of a newer owner.
    Fenced,
    /// The worker has already seen this run or a later one.
    Old,
    /// The order's deadline has passed.
    Late,
    /// The run does not fit on the worker.
    Room,
    /// The permit to run on this worker is missing or has expired.
    Ticket,
    /// The worker is unhealthy; nothing was done.
    Unwell,
    /// The worker considers the order invalid.
    Invalid,
}
