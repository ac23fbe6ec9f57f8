//! Which runs leave a worker whose VM is to go.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

mod fixture;
mod harness;

use fixture::{job, step};
use harness::{Harness, row, task};
use havenladder_jobs::{EndRow, Report, RunOutcome, Step};
use std::time::Duration;
use yare::parameterized;

/// A world with work on `a1` and a little on `b1`.
fn busy(first: Step) -> Harness {
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

fn long(count: u32) -> Step {
    Step {
        estimate_ms: 5_000,
        saves_progress: true,
        ..step(count)
    }
}

#[test]
fn runs_that_save_their_progress_go_on_elsewhere_from_there() {
    let mut harness = busy(long(2));
    harness.report(
        "a1",
        Report {
            running: vec![row(task(1, 0, 0), 1, 0), row(task(1, 0, 1), 1, 0)],
            ended: Vec::new(),
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
    saves_nothing = { Step { saves_progress: false, ..long(1) } },
    gang = { Step { gang: true, ..long(1) } },
    about_to_end = { Step { estimate_ms: 300, ..long(1) } },
)]
fn other_runs_are_left_to_end(step: Step) {
    let mut harness = busy(step);
    harness.cell.set_closed("a1", true);
    assert_eq!(harness.cell.drain_worker("a1", harness.now), 0);
    assert!(harness.take_stops().is_empty());
}

#[test]
fn a_run_that_finds_no_room_elsewhere_stays() {
    // The other worker has room for three more tasks of one core.
    let mut harness = busy(long(4));
    harness.cell.set_closed("a1", true);
    assert_eq!(harness.cell.drain_worker("a1", harness.now), 3);
    assert!(harness.cell.time_to_drain("a1", harness.now) > Duration::from_secs(4));
}

#[test]
fn a_new_owner_goes_on_with_a_move_that_the_earlier_one_began() {
    let mut harness = busy(long(1));
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
