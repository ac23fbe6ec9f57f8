//! Whether a task waits for room near its data.

mod fixture;
#[expect(dead_code, reason = "stops and takeovers are not looked at here")]
mod harness;

use fixture::{job, step};
use harness::{Harness, task};
use havenladder_jobs::{RunOutcome, Step};
use yare::parameterized;

/// A step whose data lies in the rack of the worker `a1`.
fn near(count: u32, estimate_ms: u64) -> Step {
    Step {
        data_rack: Some("r-a".to_owned()),
        estimate_ms,
        ..step(count)
    }
}

/// A world where four runs of 400 ms fill the worker `a1`, and the others are empty.
fn full_near() -> Harness {
    let mut harness = Harness::new(&["a1", "b1", "c1"]);
    harness.cell.accept(job(1, vec![near(4, 400)]));
    let started = harness.start_tasks();
    assert!(started.iter().all(|(worker, ..)| worker == "a1"));
    harness
}

#[test]
fn a_task_waits_for_room_near_its_data_where_that_is_sooner_done() {
    let mut harness = full_near();
    harness.cell.accept(job(2, vec![near(1, 1_000)]));
    assert!(harness.start_tasks().is_empty());
    harness.report_end("a1", 1, task(1, 0, 0), 1, RunOutcome::Done);
    let started = harness.start_tasks();
    assert_eq!(started, [("a1".into(), task(2, 0, 0), 1)]);
}

#[parameterized(
    quick_task = { 100 },
    no_estimate = { 0 },
)]
fn a_task_runs_elsewhere_where_the_wait_would_cost_more(estimate: u64) {
    let mut harness = full_near();
    harness.cell.accept(job(2, vec![near(1, estimate)]));
    assert_eq!(harness.start_tasks().len(), 1);
}

#[test]
fn tasks_that_wait_for_a_rack_count_in_the_wait_of_the_next() {
    let mut harness = full_near();
    harness.cell.accept(job(2, vec![near(12, 1_000)]));
    // The rack's four cores take 250 ms for each task that waits; far away, it takes 1 s longer.
    let started = harness.start_tasks();
    assert!((1..12).contains(&started.len()), "{started:?}");
}

#[test]
fn no_task_waits_for_long() {
    let mut harness = full_near();
    harness.cell.accept(job(2, vec![near(1, 5_000)]));
    assert!(harness.start_tasks().is_empty());
    harness.advance(1_600);
    assert_eq!(harness.start_tasks().len(), 1);
}

#[test]
fn tasks_that_wait_for_a_rack_hold_up_no_others() {
    let mut harness = full_near();
    harness.cell.accept(job(2, vec![near(1, 5_000)]));
    harness.cell.accept(job(3, vec![step(2)]));
    let started = harness.start_tasks();
    assert!(started.iter().all(|(_, task, _)| task.job == 3));
    assert_eq!(started.len(), 2);
}

#[test]
fn a_task_whose_rack_has_no_worker_runs_elsewhere_at_once() {
    let mut harness = Harness::new(&["b1"]);
    harness.cell.accept(job(1, vec![near(1, 1_000)]));
    assert_eq!(harness.start_tasks().len(), 1);
}
