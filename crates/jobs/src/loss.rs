//! Why a worker is given up, and what that says of the runs that it had.

use crate::{RunId, TaskId, Worker};
use std::time::Duration;

/// What is known of a worker that is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// This owner had its VM moved or kept up.
    Ordered,
    /// It has ended: another life has its address, or no VM has it any more.
    Ended,
    /// Its lease has run out: it may have ended, or be cut off and have ended its runs only.
    Lapsed,
}

/// How a worker came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// An owner had its VM moved or kept up.
    Ordered,
    /// It had said that it leaves, or answered on after its entry was gone.
    Announced,
    /// It ended without notice.
    Crashed,
    /// It may have ended, or be cut off.
    Unclear,
}

/// A run that a worker had when it was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LostRun {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunId,
    /// How long before the worker fell silent it was ordered; none if that is not known.
    pub age: Option<Duration>,
}

/// A worker that has been given up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostWorker {
    /// How it came to its end.
    pub ending: Ending,
    /// The runs that it may have had, the youngest first.
    pub runs: Vec<LostRun>,
}

impl Ending {
    /// How a worker came to its end that is given up for this reason; none if only records name it.
    pub(crate) fn of(loss: Loss, worker: Option<&Worker>) -> Self {
        let ordered = worker.is_some_and(|worker| worker.taken || worker.doubted);
        let announced = worker.is_some_and(Worker::has_announced);
        match loss {
            Loss::Ordered => Ending::Ordered,
            _ if ordered => Ending::Ordered,
            _ if announced => Ending::Announced,
            Loss::Ended => Ending::Crashed,
            Loss::Lapsed => Ending::Unclear,
        }
    }
}
