//! Tests of stopping unwanted runs: any owner that sees such a run in a report stops it until a report no longer
//! lists it.

mod fixture;
#[expect(dead_code, reason = "ends are not tested here")]
mod harness;

use fixture::{job, step, worker};
use harness::{Harness, row, task};
use havenladder_jobs::{Cell, Limits, Report, RunId, TaskId};

/// Returns a report of one run that is still running.
fn running(first: TaskId, run: RunId) -> Report {
    Report {
        running: vec![row(first, run, 40)],
        ended: vec![],
        ..Report::default()
    }
}

/// Returns a harness in which a job was cancelled after its start had been sent, and the task and run of that start.
fn harness_with_cancelled_job() -> (Harness, TaskId, RunId) {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.accept(job(1, vec![step(1)]));
    let (_, first, run) = harness.start_tasks().remove(0);
    harness.cell.cancel(1);
    (harness, first, run)
}

#[test]
fn a_run_that_continues_after_its_stop_is_stopped_again() {
    let (mut harness, first, run) = harness_with_cancelled_job();
    assert_eq!(harness.take_stops(), [("a1".into(), first, run)]);
    harness.cell.stop_accepted("a1", first, run, harness.now);
    harness.report("a1", running(first, run));
    assert!(
        harness.take_stops().is_empty(),
        "the stop has not timed out yet"
    );
    harness.advance(1_000);
    harness.report("a1", running(first, run));
    assert_eq!(harness.take_stops(), [("a1".into(), first, run)]);
    harness.cell.stop_accepted("a1", first, run, harness.now);
    harness.advance(1_000);
    harness.report("a1", Report::default());
    harness.report("a1", running(task(2, 0, 0), 1));
    assert_eq!(harness.take_stops(), [("a1".into(), task(2, 0, 0), 1)]);
}

#[test]
fn an_owner_without_a_record_of_a_job_stops_its_runs() {
    let (mut harness, first, run) = harness_with_cancelled_job();
    harness.cell = Cell::new(Limits::default());
    harness.cell.upsert_worker(worker("a1"), harness.now);
    harness.report("a1", running(first, run));
    assert_eq!(harness.take_stops(), [("a1".into(), first, run)]);
    harness.cell.stop_accepted("a1", first, run, harness.now);
    harness.advance(1_000);
    harness.report("a1", running(first, run));
    assert_eq!(harness.take_stops(), [("a1".into(), first, run)]);
}
