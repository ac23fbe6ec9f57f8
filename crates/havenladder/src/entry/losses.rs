//! Abandons workers, and logs which runs were lost with each worker and how the worker ended.

use super::{logs::kind, owner::Owner};
use clock::Instant;
use jobs::{Ending, Loss, LostRun, LostWorker};
use std::rc::Rc;
use tracing::info;

/// Maximum number of lost runs that a log line names. The youngest runs are named, because a run that has just
/// started crashes a worker more often than one that has been running for seconds. One line for each of 25 runs would
/// make up most of an owner's log.
const MAX_NAMED_RUNS: usize = 4;

/// Abandons a worker, which frees its runs to be started elsewhere.
pub fn abandon_worker(owner: &Rc<Owner>, id: &str, loss: Loss) {
    let now = Instant::now();
    let lost = owner.cell.borrow_mut().abandon_worker(id, loss, now);
    if let Some(lost) = lost {
        log_loss(owner, id, &lost);
    }
    owner.wake();
}

/// Abandons the runs of a worker whose lease has expired. The worker itself may only be unreachable.
pub fn abandon_runs(owner: &Rc<Owner>, id: &str) {
    let lost = owner.cell.borrow_mut().expire_lease(id, Instant::now());
    if let Some(lost) = lost {
        log_loss(owner, id, &lost);
    }
    owner.wake();
}

/// Logs and counts the loss of a worker.
fn log_loss(owner: &Owner, id: &str, lost: &LostWorker) {
    owner
        .node
        .metrics
        .lost_worker(ending_name(lost.ending), lost.runs.len());
    let youngest: Vec<String> = lost
        .runs
        .iter()
        .take(MAX_NAMED_RUNS)
        .map(describe)
        .collect();
    let contacts = owner.contacts.borrow();
    let contact = contacts.get(id);
    let lease_over = contact.map(|contact| contact.lease_until < Instant::now());
    let contacted = contact.map(|contact| contact.last_answer.is_some());
    info!(
        target: kind::WORKER,
        worker = id,
        ending = ending_name(lost.ending),
        runs = lost.runs.len(),
        ?youngest,
        lease_over,
        contacted,
        "worker lost"
    );
    for task in &lost.failed {
        owner.node.metrics.failed_job();
        info!(target: kind::JOB, %task, worker = id, "task crashes its workers; its job has failed");
    }
}

/// Describes a run and its age in ms at the time when its worker became silent.
fn describe(run: &LostRun) -> String {
    let LostRun {
        task,
        run,
        age,
        involvement,
        ..
    } = run;
    match age {
        Some(age) => format!(
            "{task} run {run} after {} ms, {involvement:?}",
            age.as_millis()
        ),
        None => format!("{task} run {run} of an earlier owner"),
    }
}

/// Returns the name of a worker's ending in logs and metrics.
fn ending_name(ending: Ending) -> &'static str {
    match ending {
        Ending::Ordered => "ordered",
        Ending::Announced => "announced",
        Ending::Crashed => "crashed",
        Ending::Unclear => "unclear",
    }
}
