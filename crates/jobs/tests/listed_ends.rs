//! Tests of workers that have more ends than one report lists.
//!
//! Guards against starting tasks again that have succeeded. A worker lists its oldest unacknowledged ends, 500 at
//! once. The owner took a run that such a report listed neither as running nor as ended for one that did not exist,
//! and started its task again, although the run had ended as well and its end was on a later page.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

mod fixture;
#[expect(dead_code, reason = "stops are not tested here")]
mod harness;

use fixture::{job, step, worker};
use harness::{Harness, row, task};
use havenladder_jobs::{
    EarlierRuns, EndRow, Phase, Report, ResponseOutcome, RunId, RunOutcome, TaskId, WorkerId,
    WorkerInfo,
};
use std::{ops::Range, time::Duration};

/// Time until the leases that an earlier owner has extended have expired.
const LEASE: Duration = Duration::from_millis(10_000);

/// Number of tasks of the job, which fill a worker.
const TASKS: u32 = 4;

/// Returns a report of successful first runs of the job's tasks. Their ends are numbered from 1 in the order of the
/// tasks, and `numbers` are listed.
fn page(numbers: Range<u64>, more_ends: bool) -> Report {
    let end = |number: u64| EndRow {
        number,
        task: task(1, 0, number as u32 - 1),
        run: 1,
        how: RunOutcome::Done,
        saved: String::new(),
    };
    Report {
        ended: numbers.map(end).collect(),
        more_ends,
        ..Report::default()
    }
}

/// Starts the job on the only worker.
fn started() -> Harness {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.accept(job(1, vec![step(TASKS)]));
    assert_eq!(harness.start_tasks().len(), TASKS as usize);
    harness
}

/// Replaces the owner by one that has read both lists, which name the workers `a1` and `b1`.
fn take_over(harness: &mut Harness) {
    harness.take_over();
    let expires = harness.now + LEASE;
    harness.cell.raise_takeover_barrier(expires, false);
    harness.cell.upsert_worker(worker("a1"), harness.now);
    harness.cell.upsert_worker(worker("b1"), harness.now);
    harness.cell.mark_listed();
    harness.report("b1", Report::default());
}

#[test]
fn runs_with_ends_on_later_pages_are_kept() {
    let mut harness = started();
    harness.report("a1", page(1..3, true));
    assert!(harness.start_tasks().is_empty());
    harness.report("a1", page(3..4, true));
    assert!(harness.start_tasks().is_empty());
    harness.report("a1", page(4..5, false));
    assert_eq!(harness.cell.jobs[&1].phase, Phase::Succeeded);
}

#[test]
fn runs_without_an_end_start_again_after_the_last_page() {
    let mut harness = started();
    harness.report("a1", page(1..3, true));
    harness.report("a1", page(3..4, false));
    assert_eq!(harness.start_tasks(), [("a1".into(), task(1, 0, 3), 2)]);
}

#[test]
fn a_new_owner_keeps_runs_with_ends_on_later_pages() {
    let mut harness = started();
    take_over(&mut harness);
    harness.report("a1", page(1..3, true));
    assert!(harness.start_tasks().is_empty());
    harness.report("a1", page(3..5, false));
    assert_eq!(harness.cell.jobs[&1].phase, Phase::Succeeded);
}

/// The earlier owner had started the tasks while its log was unavailable, so that no record names their runs.
#[test]
fn unrecorded_runs_may_have_ends_on_later_pages() {
    let mut harness = Harness::new(&[]);
    harness.cell.accept(job(1, vec![step(TASKS)]));
    assert!(harness.start_tasks().is_empty());
    take_over(&mut harness);
    harness.report("a1", page(1..3, true));
    assert!(
        harness.start_tasks().is_empty(),
        "tasks 2 and 3 may have ended on a1"
    );
    assert!(
        harness.cell.hall_runs(EarlierRuns::Possible)["z"].unknown_workers > 0,
        "a1 may have more runs than are known"
    );
    // The polls of the new owner extend the lease, so that the ends count however late they are listed.
    harness.advance(LEASE.as_millis() as u64);
    harness.report("a1", page(1..3, true));
    assert!(
        harness.start_tasks().is_empty(),
        "tasks 2 and 3 may have ended on a1, whose lease has not expired"
    );
    harness.report("a1", page(3..5, false));
    assert_eq!(harness.cell.jobs[&1].phase, Phase::Succeeded);
}

/// A worker that stops responding between two pages is waited for until its lease has expired, and no longer.
#[test]
fn a_worker_lost_between_two_pages_holds_back_no_tasks() {
    let mut harness = Harness::new(&[]);
    harness.cell.accept(job(1, vec![step(TASKS)]));
    harness.start_tasks();
    take_over(&mut harness);
    harness.report("a1", page(1..3, true));
    harness.advance(LEASE.as_millis() as u64);
    harness
        .cell
        .abandon_worker("a1", havenladder_jobs::Loss::Lapsed, harness.now);
    let started = harness.start_tasks();
    assert_eq!(started.len(), 2, "{started:?}");
}

/// Starts that were on their way to an earlier incarnation may have been carried out by the next one, which lists their
/// ends with its own.
#[test]
fn runs_of_an_earlier_incarnation_may_have_ends_on_later_pages() {
    let (first, second) = (WorkerId::new("a1", Some(5)), WorkerId::new("a1", Some(9)));
    let list = |harness: &mut Harness, id: &WorkerId| {
        let info = WorkerInfo {
            id: id.clone(),
            ..worker("a1")
        };
        harness.cell.list_worker(info, harness.now);
    };
    let mut harness = Harness::new(&[]);
    list(&mut harness, &first);
    respond(&mut harness, &first, &Report::default());
    harness.cell.accept(job(1, vec![step(TASKS)]));
    assert_eq!(harness.start_tasks().len(), TASKS as usize);
    harness.advance(1);
    list(&mut harness, &second);
    assert!(respond(&mut harness, &second, &page(1..3, true)).is_empty());
    assert_eq!(respond(&mut harness, &second, &page(3..5, false)), [first]);
    assert_eq!(harness.cell.jobs[&1].phase, Phase::Succeeded);
}

/// Applies the response of an incarnation to a poll, and returns the incarnations that it shows to have ended.
fn respond(harness: &mut Harness, id: &WorkerId, report: &Report) -> Vec<WorkerId> {
    harness.advance(1);
    let now = harness.now;
    let outcome = harness.cell.record_response(id, id.started_at(), now, now);
    assert!(matches!(outcome, ResponseOutcome::Same { .. }));
    // The second poll carries a fencing token that shuts out calls to the earlier incarnation.
    harness.advance(1);
    harness.report(id, report.clone());
    harness.cell.outlived_incarnations(id, harness.now)
}

/// A run that is listed as running stays as it is, whichever page of ends it is listed with.
#[test]
fn running_runs_are_kept_on_every_page() {
    let mut harness = started();
    let running = |index: u32| -> (TaskId, RunId) { (task(1, 0, index), 1) };
    let mut first = page(1..2, true);
    let (id, run) = running(3);
    first.running = vec![row(id, run, 50)];
    harness.report("a1", first);
    assert!(harness.start_tasks().is_empty());
    let mut last = page(2..4, false);
    last.running = vec![row(id, run, 60)];
    harness.report("a1", last);
    assert!(harness.start_tasks().is_empty());
    assert_eq!(harness.cell.workers.get("a1").unwrap().runs.len(), 1);
}
