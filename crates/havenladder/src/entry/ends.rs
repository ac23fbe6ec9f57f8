//! Logs and counts how runs came to their end, as workers tell it, and what does not fit what is known.

use super::owner::Owner;
use jobs::{Report, RunId, RunOutcome, TaskId};
use tracing::{info, warn};

/// Logs and counts the ends that a worker listed for the first time, and those that are passed over: one whose number
/// is not above what has been dealt with has been dealt with, so that its run must not be known any more.
pub fn log_listed(owner: &Owner, worker: &str, report: &Report) {
    let cell = owner.cell.borrow();
    let Some(host) = cell.workers.get(worker) else {
        return;
    };
    for end in &report.ended {
        let (task, run, number, how) = (end.task, end.run, end.number, end.how);
        if number > host.acknowledged {
            info!(%task, run, worker, number, ?how, "ended");
            owner.node.metrics.ended(name(how));
        } else if host.runs.contains_key(&(task, run)) {
            let noted = host.acknowledged;
            warn!(%task, run, worker, number, noted, ?how, "end of a run that goes on is passed over");
            owner.node.metrics.odd_end("passed-over");
        }
    }
}

/// Logs and counts runs that a worker had, and of which it lists neither a row nor an end.
pub fn log_vanished(owner: &Owner, worker: &str, runs: &[(TaskId, RunId)]) {
    for (task, run) in runs {
        warn!(%task, run, worker, "run is gone without an end");
        owner.node.metrics.odd_end("vanished");
    }
}

/// The name of an end in the metrics.
fn name(how: RunOutcome) -> &'static str {
    match how {
        RunOutcome::Done => "done",
        RunOutcome::Failed => "failed",
        RunOutcome::Stopped => "stopped",
        RunOutcome::Lapsed => "lapsed",
        RunOutcome::Broken => "broken",
        RunOutcome::Alone => "alone",
    }
}
