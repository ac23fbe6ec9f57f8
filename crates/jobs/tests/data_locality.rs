//! Tests of data locality: when a task waits for capacity in the rack of its data.

mod fixture;
#[expect(dead_code, reason = "stops and takeovers are not tested here")]
mod harness;

use fixture::{job, step};
use harness::{Harness, task};
use havenladder_jobs::{RunOutcome, Step};
use yare::parameterized;

/// Returns a step whose data is in the rack of the worker `a1`.
fn near_data(count: u32, estimate_ms: u64) -> Step {
    Step {
        data_rack: Some("r-a".to_owned()),
        estimate_ms,
        ..step(count)
    }
}

/// Returns a harness in which four runs of 400 ms fill the worker `a1` and two workers in other racks are idle.
fn with_full_rack() -> Harness {
    let mut harness = Harness::new(&["a1", "b1", "c1"]);
    harness.cell.accept(job(1, vec![near_data(4, 400)]));
    let started = harness.start_tasks();
    assert!(started.iter().all(|(worker, ..)| worker == "a1"));
    harness
}

#[test]
fn a_task_waits_for_a_worker_near_its_data_if_it_ends_sooner_there() {
    let mut harness = with_full_rack();
    harness.cell.accept(job(2, vec![near_data(1, 1_000)]));
    assert!(harness.start_tasks().is_empty());
    harness.report_end("a1", 1, task(1, 0, 0), 1, RunOutcome::Done);
    let started = harness.start_tasks();
    assert_eq!(started, [("a1".into(), task(2, 0, 0), 1)]);
}

#[parameterized(
    short_task = { 100 },
    no_estimate = { 0 },
)]
fn a_task_runs_elsewhere_if_waiting_would_take_longer(estimate: u64) {
    let mut harness = with_full_rack();
    harness.cell.accept(job(2, vec![near_data(1, estimate)]));
    assert_eq!(harness.start_tasks().len(), 1);
}

#[test]
fn tasks_that_wait_for_a_rack_lengthen_the_expected_wait_of_the_next() {
    let mut harness = with_full_rack();
    harness.cell.accept(job(2, vec![near_data(12, 1_000)]));
    // Each waiting task adds 250 ms on the four cores of the rack; a run in another rack takes 1 s longer.
    let started = harness.start_tasks();
    assert!((1..12).contains(&started.len()), "{started:?}");
}

#[test]
fn the_wait_for_a_rack_is_limited() {
    let mut harness = with_full_rack();
    harness.cell.accept(job(2, vec![near_data(1, 5_000)]));
    assert!(harness.start_tasks().is_empty());
    harness.advance(1_600);
    assert_eq!(harness.start_tasks().len(), 1);
}

#[test]
fn tasks_that_wait_for_a_rack_do_not_block_others() {
    let mut harness = with_full_rack();
    harness.cell.accept(job(2, vec![near_data(1, 5_000)]));
    harness.cell.accept(job(3, vec![step(2)]));
    let started = harness.start_tasks();
    assert!(started.iter().all(|(_, task, _)| task.job == 3));
    assert_eq!(started.len(), 2);
}

#[test]
fn a_task_whose_rack_has_no_worker_runs_elsewhere_immediately() {
    let mut harness = Harness::new(&["b1"]);
    harness.cell.accept(job(1, vec![near_data(1, 1_000)]));
    assert_eq!(harness.start_tasks().len(), 1);
}
