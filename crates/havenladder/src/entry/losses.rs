//! Gives workers up, and tells what was lost with each and how it came to its end.

use super::owner::Owner;
use clock::Instant;
use jobs::{Ending, Loss, LostRun, LostWorker};
use std::rc::Rc;
use tracing::info;

/// How many runs of a lost worker a line names: the youngest, since what begins ends a worker more often than what
/// has gone on for seconds. A line for each of 25 runs would be the larger part of an owner's log.
const NAMED: usize = 4;

/// Gives a worker up: its runs are free to be started elsewhere.
pub fn give_up(owner: &Rc<Owner>, id: &str, loss: Loss) {
    let now = Instant::now();
    let lost = owner.cell.borrow_mut().lose_worker(id, loss, now);
    if let Some(lost) = lost {
        tell(owner, id, &lost);
    }
    owner.wake();
}

/// Gives up the runs of a worker whose lease has run out; the worker may only be cut off.
pub fn give_up_runs(owner: &Rc<Owner>, id: &str) {
    let lost = owner.cell.borrow_mut().lapse_worker(id, Instant::now());
    if let Some(lost) = lost {
        tell(owner, id, &lost);
    }
    owner.wake();
}

/// Logs and counts the loss of a worker.
fn tell(owner: &Owner, id: &str, lost: &LostWorker) {
    owner
        .node
        .metrics
        .lost_worker(name(lost.ending), lost.runs.len());
    let youngest: Vec<String> = lost.runs.iter().take(NAMED).map(describe).collect();
    info!(
        worker = id,
        ending = name(lost.ending),
        runs = lost.runs.len(),
        ?youngest,
        "worker lost"
    );
    for task in &lost.failed {
        owner.node.metrics.gave_up();
        info!(%task, worker = id, "task ends its workers; its job is given up");
    }
}

/// A run and its age when its worker fell silent, in ms.
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

/// The name of an ending in logs and metrics.
fn name(ending: Ending) -> &'static str {
    match ending {
        Ending::Ordered => "ordered",
        Ending::Announced => "announced",
        Ending::Crashed => "crashed",
        Ending::Unclear => "unclear",
    }
}
