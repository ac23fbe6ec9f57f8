//! Tests of the gradual return of a data centre to service.
//!
//! Guards against cold workers that get as much work as warm ones at once, and against a return that holds work back
//! which could run nowhere else.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

mod fixture;
mod harness;

use clock::Instant;
use fixture::{job, step, worker};
use harness::{Harness, row, task};
use havenladder_jobs::{
    EarlierRuns, HallState, MAX_RETURN_TIME, Need, Report, Return, RunOutcome, Step, WorkerInfo,
};
use std::{collections::BTreeSet, time::Duration};
use yare::parameterized;

/// Updates a return every 500 ms and returns its share after this time.
fn share_after(back: &mut Return, began: Instant, ms: u64) -> f64 {
    let mut share = 0.0;
    for at in (0..=ms).step_by(500) {
        share = back.update(began + Duration::from_millis(at));
    }
    share
}

#[parameterized(
    no_run_has_ended = { 0, 1.0, 5_000 },
    too_few_runs_to_compare = { 3, 8.0, 5_000 },
    as_fast_as_elsewhere = { 20, 1.0, 5_000 },
    half_as_fast = { 20, 2.0, 10_000 },
    much_slower = { 20, 50.0, 10_000 },
    faster = { 20, 0.5, 2_500 },
)]
fn a_return_takes_longer_where_runs_take_longer(runs: u32, ratio: f64, full_ms: u64) {
    let began = Instant::now();
    let mut back = Return::new(began);
    for _ in 0..runs {
        back.record(true, ratio);
        back.record(false, 1.0);
    }
    let mut before = 0.0;
    for ms in (0..full_ms).step_by(500) {
        let share = back.update(began + Duration::from_millis(ms));
        assert!(share >= before && share < 1.0, "{share} after {ms} ms");
        before = share;
    }
    back.update(began + Duration::from_millis(full_ms));
    assert!(back.is_over());
}

#[test]
fn slow_runs_keep_the_share_small_until_the_longest_return_is_over() {
    let began = Instant::now();
    let mut back = Return::new(began);
    for _ in 0..20 {
        back.record(true, 10.0);
        back.record(false, 1.0);
    }
    let share = share_after(&mut back, began, 9_500);
    assert!(share < 0.7, "{share}");
    assert!((back.update(began + MAX_RETURN_TIME) - 1.0).abs() < f64::EPSILON);
}

#[parameterized(
    not_a_number = { f64::NAN },
    infinite = { f64::INFINITY },
    zero = { 0.0 },
    negative = { -1.0 },
)]
fn durations_that_cannot_be_are_ignored(ratio: f64) {
    let began = Instant::now();
    let mut back = Return::new(began);
    for _ in 0..20 {
        back.record(true, ratio);
        back.record(false, ratio);
    }
    let share = share_after(&mut back, began, 2_000);
    assert!((0.2..0.6).contains(&share), "{share}");
}

/// Lists a worker with ten cores in the data centre `z-` followed by the first letter of its id.
fn add_worker(harness: &mut Harness, id: &str) {
    let info = WorkerInfo {
        hall: format!("z-{}", &id[..1]),
        capacity: Need {
            cpu: 10_000,
            memory: 10_000,
            gpu: 0,
        },
        ..worker(id)
    };
    harness.cell.upsert_worker(info, harness.now);
    harness.report(id, Report::default());
}

/// Updates the states of all data centres.
fn update(harness: &mut Harness) {
    let now = harness.now;
    harness.cell.update_hall_states(EarlierRuns::Excluded, now);
}

fn set_drained(harness: &mut Harness, drained: bool) {
    let halls = drained.then(|| "z-a".to_owned());
    harness
        .cell
        .set_drained_halls(halls.into_iter().collect::<BTreeSet<_>>());
    update(harness);
}

/// Returns a harness with the workers `a1` and `b1`, of which the data centre of `a1` returns to service.
fn returning() -> Harness {
    let mut harness = Harness::new(&[]);
    add_worker(&mut harness, "a1");
    add_worker(&mut harness, "b1");
    set_drained(&mut harness, true);
    set_drained(&mut harness, false);
    let state = harness.cell.hall_states().state("z-a");
    assert!(matches!(state, HallState::Returning { .. }));
    harness
}

/// Starts tasks and returns how many were started on a worker.
fn started_on(harness: &mut Harness, id: &str) -> usize {
    let started = harness.start_tasks();
    started.iter().filter(|(on, ..)| **on == *id).count()
}

#[test]
fn workers_get_work_for_a_growing_part_of_their_capacity() {
    let mut harness = returning();
    harness.cell.accept(job(1, vec![step(40)]));
    assert_eq!(started_on(&mut harness, "a1"), 2);
    let mut started = 2;
    for _ in 0..5 {
        harness.advance(1_000);
        update(&mut harness);
        let more = started_on(&mut harness, "a1");
        assert!((1..=2).contains(&more), "{more}");
        started += more;
    }
    assert_eq!(started, 10);
    assert_eq!(harness.cell.hall_states().state("z-a"), HallState::Serving);
}

#[test]
fn the_other_data_centre_gets_all_the_work_it_can() {
    let mut harness = returning();
    harness.cell.accept(job(1, vec![step(40)]));
    assert_eq!(started_on(&mut harness, "b1"), 10);
}

#[test]
fn a_limit_ends_in_time_even_if_nobody_updates_it() {
    let mut harness = returning();
    harness.cell.accept(job(1, vec![step(40)]));
    assert_eq!(started_on(&mut harness, "a1"), 2);
    harness.now += MAX_RETURN_TIME;
    assert_eq!(started_on(&mut harness, "a1"), 8);
}

#[test]
fn slow_runs_slow_the_return_down() {
    let mut harness = returning();
    let estimated = Step {
        estimate_ms: 100,
        ..step(40)
    };
    harness.cell.accept(job(1, vec![estimated]));
    harness.start_tasks();
    let mut number = 0;
    // Runs elsewhere take as long as estimated, runs there four times as long.
    for (id, ms) in [("b1", 100), ("a1", 300)] {
        harness.advance(ms);
        for _ in 0..10 {
            let runs = &harness.cell.workers.get(id).unwrap().runs;
            let Some((task, run)) = runs.keys().next().copied() else {
                break;
            };
            number += 1;
            harness.report_end(id, number, task, run, RunOutcome::Done);
            if id == "a1" {
                harness.start_tasks();
                harness.advance(400);
            }
        }
    }
    harness.advance(600);
    update(&mut harness);
    let limit = harness.cell.workers.get("a1").unwrap().return_limit;
    assert!(limit.unwrap().usage.cpu < 6_000, "{limit:?}");
}

#[test]
fn a_job_with_nothing_running_starts_where_the_limit_is_reached() {
    let mut harness = returning();
    harness.cell.accept(job(1, vec![step(40)]));
    assert_eq!(harness.start_tasks().len(), 12);
    harness.cell.accept(job(2, vec![step(4)]));
    let started = harness.start_tasks();
    assert_eq!(started, [("a1".into(), task(2, 0, 0), 1)]);
    assert!(
        harness.start_tasks().is_empty(),
        "its other tasks can wait, since one runs"
    );
}

#[test]
fn a_job_with_nothing_running_is_found_behind_many_that_wait() {
    let mut harness = returning();
    harness.cell.accept(job(1, vec![step(400)]));
    assert_eq!(harness.start_tasks().len(), 12);
    for id in 2..6 {
        harness.cell.accept(job(id, vec![step(100)]));
    }
    assert_eq!(harness.start_tasks().len(), 4, "one task of each job");
}

/// Jobs whose label no worker has are idle as well, and more of them wait than are tried in one pass.
#[test]
fn idle_jobs_that_fit_nowhere_keep_no_other_waiting() {
    let mut harness = returning();
    harness.cell.accept(job(1, vec![step(40)]));
    assert_eq!(harness.start_tasks().len(), 12);
    for id in 2..302 {
        let misfit = Step {
            label: Some("b".to_owned()),
            ..step(1)
        };
        harness.cell.accept(job(id, vec![misfit]));
    }
    harness.cell.accept(job(302, vec![step(4)]));
    let mut passes = (0..3).map(|_| harness.start_tasks());
    assert!(passes.any(|started| started == [("a1".into(), task(302, 0, 0), 1)]));
}

#[test]
fn a_gang_with_nothing_running_starts_where_the_limit_is_reached() {
    let mut harness = returning();
    harness.cell.accept(job(1, vec![step(40)]));
    assert_eq!(harness.start_tasks().len(), 12);
    let gang = Step {
        gang: true,
        ..step(8)
    };
    harness.cell.accept(job(2, vec![gang]));
    assert_eq!(started_on(&mut harness, "a1"), 8);
}

#[test]
fn long_running_tasks_start_there_if_they_fit_nowhere_else() {
    let mut harness = returning();
    let long_running = Step {
        long_running: true,
        ..step(16)
    };
    harness.cell.accept(job(1, vec![long_running]));
    assert_eq!(harness.start_tasks().len(), 16);
}

#[test]
fn a_vm_that_is_listed_during_the_return_is_limited_as_well() {
    let mut harness = returning();
    add_worker(&mut harness, "a2");
    harness.cell.accept(job(1, vec![step(40)]));
    assert_eq!(started_on(&mut harness, "a2"), 2);
}

#[test]
fn a_new_owner_treats_the_data_centre_as_serving() {
    let mut harness = returning();
    harness.take_over();
    for id in ["a1", "b1"] {
        add_worker(&mut harness, id);
    }
    set_drained(&mut harness, false);
    harness.cell.accept(job(1, vec![step(40)]));
    assert_eq!(harness.start_tasks().len(), 20);
}

#[test]
fn a_second_order_ends_the_return() {
    let mut harness = returning();
    set_drained(&mut harness, true);
    harness.cell.accept(job(1, vec![step(40)]));
    assert_eq!(started_on(&mut harness, "a1"), 0);
    assert!(
        harness
            .cell
            .workers
            .get("a1")
            .unwrap()
            .return_limit
            .is_none()
    );
}

#[test]
fn an_order_that_is_revoked_midway_limits_nothing() {
    let mut harness = Harness::new(&[]);
    add_worker(&mut harness, "a1");
    harness.cell.accept(job(1, vec![step(40)]));
    assert_eq!(harness.start_tasks().len(), 10);
    set_drained(&mut harness, true);
    set_drained(&mut harness, false);
    let running = vec![row(task(1, 0, 0), 1, 10)];
    let ended = Vec::new();
    harness.report(
        "a1",
        Report {
            running,
            ended,
            ..Report::default()
        },
    );
    assert!(harness.take_stops().is_empty());
    assert!(
        harness
            .cell
            .workers
            .get("a1")
            .unwrap()
            .return_limit
            .is_none()
    );
}

#[test]
fn nothing_is_limited_without_an_order() {
    let mut harness = Harness::new(&[]);
    add_worker(&mut harness, "a1");
    update(&mut harness);
    harness.cell.accept(job(1, vec![step(40)]));
    assert_eq!(harness.start_tasks().len(), 10);
}
