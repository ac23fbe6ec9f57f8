//! What workers say: which runs go on, which have ended, why an order was refused.

use crate::{RunId, TaskId};

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// It did its work.
    Done,
    /// It failed, by its own fault or the worker's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come in time.
    Alone,
}

/// A run that goes on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunRow {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunId,
    /// Its newest saved progress; empty if none.
    pub saved: String,
    /// How much of its work is done; for a lasting task, 100 once it is at work.
    pub percent: u64,
    /// For a task that serves, the tail of its answer times in ms; else the processor in use.
    pub figure: u64,
}

/// A run that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndRow {
    /// The end's number within the worker's life.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunId,
    /// How it ended.
    pub how: RunOutcome,
    /// Its last saved progress; empty if none.
    pub saved: String,
}

/// What a worker runs and what has ended there.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// The runs that go on.
    pub running: Vec<RunRow>,
    /// The ends that were not yet noted, oldest first; at most a page of them.
    pub ended: Vec<EndRow>,
}

/// Why a worker refused to start a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It has seen an order of a newer owner.
    Fenced,
    /// It has met this run, or a later one, before.
    Old,
    /// The order's deadline has passed.
    Late,
    /// The run does not fit.
    Room,
    /// The permission to run here is missing or too old.
    Ticket,
    /// The worker is not well; nothing was done.
    Unwell,
    /// The order makes no sense to the worker.
    Invalid,
}
