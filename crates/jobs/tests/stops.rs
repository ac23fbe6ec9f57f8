//! Runs that nobody asks for any more are stopped by whatever owner sees them, until a report shows them gone.

mod fixture;
#[expect(dead_code, reason = "ends are not looked at here")]
mod harness;

use fixture::{job, step, worker};
use harness::{Harness, row, task};
use havenladder_jobs::{Cell, Limits, Report, RunId, TaskId};

/// A report of one run that goes on.
fn running(first: TaskId, run: RunId) -> Report {
    Report {
        running: vec![row(first, run, 40)],
        ended: vec![],
    }
}

/// A world where a job was cancelled before its worker carried the start out.
fn started_late() -> (Harness, TaskId, RunId) {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.accept(job(1, vec![step(1)]));
    let (_, first, run) = harness.start_tasks().remove(0);
    harness.cell.cancel(1);
    (harness, first, run)
}

#[test]
fn a_run_that_goes_on_after_its_stop_is_stopped_again() {
    let (mut harness, first, run) = started_late();
    assert_eq!(harness.take_stops(), [("a1".into(), first, run)]);
    harness.cell.stop_accepted("a1", first, run, harness.now);
    harness.report("a1", running(first, run));
    assert!(
        harness.take_stops().is_empty(),
        "the stop has not had its time"
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
fn an_owner_that_never_heard_of_a_job_stops_its_runs() {
    let (mut harness, first, run) = started_late();
    harness.cell = Cell::new(Limits::default());
    harness.cell.upsert_worker(worker("a1"), harness.now);
    harness.report("a1", running(first, run));
    assert_eq!(harness.take_stops(), [("a1".into(), first, run)]);
    harness.cell.stop_accepted("a1", first, run, harness.now);
    harness.advance(1_000);
    harness.report("a1", running(first, run));
    assert_eq!(harness.take_stops(), [("a1".into(), first, run)]);
}
