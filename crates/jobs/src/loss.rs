//! Why a worker is given up, and what that says of the runs that it had.

use crate::{RunId, TaskId, Worker, suspicion::PROVEN_AGE, worker::RunState};
use clock::Instant;
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
    /// How long after its start was sent the worker fell silent; none if that is not known.
    pub age: Option<Duration>,
    /// For how long it is known to have been at work.
    pub known_runtime: Duration,
    /// What it may have had to do with the worker's end.
    pub involvement: Involvement,
}

/// What a run may have had to do with the end of its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Involvement {
    /// Nothing: its start was not sent.
    Unsent,
    /// Little: the worker has answered for a while after its start, or an earlier owner may have started it long ago.
    Older,
    /// It had just begun.
    Fresh,
    /// It was in quarantine there, beside none that had just begun.
    Quarantined,
}

impl Involvement {
    /// Whether the run had just begun.
    pub(crate) fn is_fresh(self) -> bool {
        matches!(self, Involvement::Fresh | Involvement::Quarantined)
    }
}

impl LostRun {
    /// A run that only the records of an earlier owner name.
    pub(crate) fn of_earlier(task: TaskId, run: RunId) -> Self {
        LostRun {
            task,
            run,
            age: None,
            known_runtime: Duration::ZERO,
            involvement: Involvement::Older,
        }
    }

    /// A run that is known of a worker that is given up now.
    pub(crate) fn of(
        worker: &Worker,
        key: (TaskId, RunId),
        state: &RunState,
        now: Instant,
    ) -> Self {
        let (task, run) = key;
        let end = worker.silent_since.unwrap_or(now);
        let known_runtime = worker.known_runtime(state);
        let is_quarantined = worker
            .quarantine
            .is_some_and(|quarantine| quarantine.key == key);
        let involvement = match state.sent_at {
            None => Involvement::Unsent,
            Some(_) if is_quarantined => Involvement::Quarantined,
            Some(_) if known_runtime >= PROVEN_AGE || state.inherited => Involvement::Older,
            Some(_) => Involvement::Fresh,
        };
        // A start without an answer may have been carried out much later than it was sent, or never, where its worker had
        // ended before: it is no proof. Of a task that ends its workers before they answer, four ends are.
        let is_known = !state.inherited && state.confirmed;
        let sent = state
            .sent_at
            .map(|sent| end.saturating_duration_since(sent));
        LostRun {
            task,
            run,
            age: sent.filter(|_| is_known),
            known_runtime,
            involvement,
        }
    }
}

/// A worker that has been given up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostWorker {
    /// How it came to its end.
    pub ending: Ending,
    /// The runs that it may have had, the youngest first.
    pub runs: Vec<LostRun>,
    /// The tasks that are given up for it, and their jobs with them.
    pub failed: Vec<TaskId>,
}

impl Ending {
    /// How a worker came to its end that is given up for this reason; there is none where only
    /// records name it.
    pub(crate) fn of(loss: Loss, worker: Option<&Worker>) -> Self {
        // That an earlier owner may have told its VM to go is no order: after a slow store all VMs are doubted for
        // seconds, in which tasks that end their workers were started six times.
        let ordered = worker.is_some_and(|worker| worker.disrupted);
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
