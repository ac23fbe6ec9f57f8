//! Tests of draining a worker before its VM is released: which runs are moved to other workers.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

mod fixture;
mod harness;

use fixture::{job, step};
use harness::{Harness, row, task};
use havenladder_jobs::{EndRow, Report, RunOutcome, Step};
use std::time::Duration;
use yare::parameterized;

/// Returns a harness with the given step running on `a1` and one task running on `b1`.
fn partly_loaded(first: Step) -> Harness {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.accept(job(1, vec![first]));
    harness.start_tasks();
    harness.add_worker("b1");
    harness.cell.set_closed("a1", true);
    harness.cell.accept(job(2, vec![step(1)]));
    harness.start_tasks();
    harness.cell.set_closed("a1", false);
    harness
}

fn resumable(count: u32) -> Step {
    Step {
        estimate_ms: 5_000,
        saves_progress: true,
        ..step(count)
    }
}

#[test]
fn runs_that_save_their_progress_resume_on_another_worker() {
    let mut harness = partly_loaded(resumable(2));
    harness.report(
        "a1",
        Report {
            running: vec![row(task(1, 0, 0), 1, 0), row(task(1, 0, 1), 1, 0)],
            ended: Vec::new(),
            ..Report::default()
        },
    );
    assert!(harness.cell.time_to_drain("a1", harness.now) < Duration::from_secs(1));
    harness.cell.set_closed("a1", true);
    assert_eq!(harness.cell.drain_worker("a1", harness.now), 2);
    assert_eq!(harness.take_stops().len(), 2);
    harness.report_end("a1", 1, task(1, 0, 0), 1, RunOutcome::Stopped);
    let started = harness.start_tasks();
    assert_eq!(started, [("b1".into(), task(1, 0, 0), 2)]);
}

#[parameterized(
    without_saved_progress = { Step { saves_progress: false, ..resumable(1) } },
    gang = { Step { gang: true, ..resumable(1) } },
    ending_soon = { Step { estimate_ms: 300, ..resumable(1) } },
)]
fn other_runs_are_not_drained(step: Step) {
    let mut harness = partly_loaded(step);
    harness.cell.set_closed("a1", true);
    assert_eq!(harness.cell.drain_worker("a1", harness.now), 0);
    assert!(harness.take_stops().is_empty());
}

#[test]
fn a_run_without_capacity_elsewhere_stays() {
    // `b1` has free capacity for three more tasks of one core.
    let mut harness = partly_loaded(resumable(4));
    harness.cell.set_closed("a1", true);
    assert_eq!(harness.cell.drain_worker("a1", harness.now), 3);
    assert!(harness.cell.time_to_drain("a1", harness.now) > Duration::from_secs(4));
}

#[test]
fn a_new_owner_continues_a_drain_of_the_earlier_owner() {
    let mut harness = partly_loaded(resumable(1));
    let moved = task(1, 0, 0);
    harness.cell.set_closed("a1", true);
    assert_eq!(harness.cell.drain_worker("a1", harness.now), 1);
    harness.start_tasks();
    harness.take_over();
    harness.add_worker("b1");
    harness
        .cell
        .upsert_worker(fixture::worker("a1"), harness.now);
    let mut stopped = Report::default();
    stopped.ended.push(EndRow {
        number: 1,
        task: moved,
        run: 1,
        how: RunOutcome::Stopped,
        saved: "half".to_owned(),
    });
    harness.report("a1", stopped);
    assert_eq!(harness.cell.jobs[&1].task(0, 0, 0).unwrap().saved, "half");
    let started = harness.start_tasks();
    assert!(started.iter().any(|(_, id, run)| (*id, *run) == (moved, 2)));
}
