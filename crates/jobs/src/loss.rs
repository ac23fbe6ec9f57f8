//! Why a worker is abandoned, and how its runs may be involved in its end.

use crate::{RunId, TaskId, Worker, suspicion::PROVEN_AGE, worker::RunState};
use clock::Instant;
use std::time::Duration;

/// The reason why a worker is abandoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// This owner had the worker's VM moved or maintained.
    Ordered,
    /// The worker has ended: another incarnation uses its address, or no VM has it any more.
    Ended,
    /// Its lease has expired: it may have ended, or it may be cut off and have ended only its runs.
    Lapsed,
}

/// How a worker ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// An owner had the worker's VM moved or maintained.
    Ordered,
    /// The worker announced that it leaves, or still answered after its entry was gone.
    Announced,
    /// The worker ended without notice.
    Crashed,
    /// The worker may have ended or be cut off.
    Unclear,
}

/// A run that a worker had when it was abandoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LostRun {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunId,
    /// The time from sending the start until the worker fell silent; `None` if it is not known.
    pub age: Option<Duration>,
    /// How long the run is known to have been at work.
    pub known_runtime: Duration,
    /// How the run may be involved in the worker's end.
    pub involvement: Involvement,
}

/// How a run may be involved in the end of its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Involvement {
    /// Not involved: its start was not sent.
    Unsent,
    /// Hardly involved: the worker answered for a while after the start, or an earlier owner may have started
    /// the run long ago.
    Older,
    /// The run had just begun.
    Fresh,
    /// The run was in quarantine, beside none that had just begun but those of its group.
    Quarantined,
}

impl Involvement {
    /// Returns whether the run had just begun.
    pub(crate) fn is_fresh(self) -> bool {
        matches!(self, Involvement::Fresh | Involvement::Quarantined)
    }
}

impl LostRun {
    /// Creates a lost run that only an earlier owner's records name.
    pub(crate) fn of_earlier(task: TaskId, run: RunId) -> Self {
        LostRun {
            task,
            run,
            age: None,
            known_runtime: Duration::ZERO,
            involvement: Involvement::Older,
        }
    }

    /// Creates a lost run of a worker that is being abandoned.
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
        // A start without a response may have been carried out much later than it was sent, or never if the
        // worker had ended before, so it is no proof. A task that crashes its workers before they respond is
        // proven by four such ends.
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

/// A worker that was abandoned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostWorker {
    /// How the worker ended.
    pub ending: Ending,
    /// The runs that it may have had, youngest first.
    pub runs: Vec<LostRun>,
    /// The tasks that fail because of it, and with them their jobs.
    pub failed: Vec<TaskId>,
}

impl Ending {
    /// Returns how a worker ended that is abandoned for this reason. `worker` is `None` if only records name
    /// it.
    pub(crate) fn of(loss: Loss, worker: Option<&Worker>) -> Self {
        // Only confirmed orders count, not those that an earlier owner may have given. After slow calls of
        // the store, orders about all VMs are unconfirmed for seconds; when those counted, tasks that crash
        // their workers were started six times.
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
