//! Logs and counts the ends of runs that workers report, and reports that contradict the known state.

use super::{logs::kind, owner::Owner};
use jobs::{EndRow, Report, RunId, RunOutcome, TaskId, TaskPhase};
use tracing::{info, warn};

/// Logs and counts the ends that a worker reports for the first time, and ends that are skipped. An end whose number
/// has been acknowledged was processed before, so its run should no longer be known.
pub fn log_listed(owner: &Owner, worker: &str, report: &Report) {
    let cell = owner.cell.borrow();
    let Some(host) = cell.workers.get(worker) else {
        return;
    };
    let is_known = |end: &&EndRow| host.runs.contains_key(&(end.task, end.run));
    let is_new = |end: &&EndRow| end.number > host.acknowledged;
    let new: Vec<&EndRow> = report.ended.iter().filter(is_new).collect();
    let unexpected = new.iter().filter(|end| !is_known(end)).count();
    if unexpected > 0 {
        let (ends, first) = (new.len(), new[0].number);
        info!(target: kind::WORKER, worker, ends, first, unexpected, "ends of runs that are not known here");
        owner.node.metrics.inconsistent_end("unexpected");
    }
    for end in &report.ended {
        let (task, run, number, how) = (end.task, end.run, end.number, end.how);
        if number > host.acknowledged {
            info!(target: kind::RUN, %task, run, worker, number, ?how, "ended");
            owner.node.metrics.ended(end_name(how));
        } else if host.runs.contains_key(&(task, run)) {
            let noted = host.acknowledged;
            warn!(%task, run, worker, number, noted, ?how, "end of a run that goes on is passed over");
            owner.node.metrics.inconsistent_end("passed-over");
        }
    }
}

/// Logs and counts runs that a worker reports although a later run of their task has been placed elsewhere.
pub fn log_superseded(owner: &Owner, worker: &str, report: &Report) {
    let cell = owner.cell.borrow();
    for row in &report.running {
        let (task, run) = (row.task, row.run);
        let job = cell.jobs.get(&task.job);
        let state = job.and_then(|job| job.task(task.round, task.step, task.index));
        let Some(state) = state.filter(|state| state.run > run) else {
            continue;
        };
        if let TaskPhase::Placed(elsewhere) = &state.phase {
            let later = state.run;
            warn!(%task, run, worker, later, %elsewhere, "run goes on beside a later one of its task");
            owner.node.metrics.inconsistent_end("superseded");
        }
    }
}

/// Logs and counts runs that a worker had and now reports neither as running nor as ended.
pub fn log_missing(owner: &Owner, worker: &str, runs: &[(TaskId, RunId)]) {
    for (task, run) in runs {
        warn!(%task, run, worker, "run is gone without an end");
        owner.node.metrics.inconsistent_end("vanished");
    }
}

/// Returns the name of an end in the metrics.
fn end_name(how: RunOutcome) -> &'static str {
    match how {
        RunOutcome::Done => "done",
        RunOutcome::Failed => "failed",
        RunOutcome::Stopped => "stopped",
        RunOutcome::Lapsed => "lapsed",
        RunOutcome::Broken => "broken",
        RunOutcome::Alone => "alone",
    }
}
