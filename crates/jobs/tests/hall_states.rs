//! Tests of the state of each data centre: serving, draining, drained or returning.
//!
//! Guards against a data centre that is reported as safe to switch off while something may still run there, and
//! against states that a change of owner loses.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

mod fixture;
mod harness;

use clock::Instant;
use fixture::{job, step, worker};
use harness::{Harness, row, task};
use havenladder_jobs::{
    EarlierRuns, HallChange, HallRuns, HallState, HallStates, MAX_RETURN_TIME, Report, RunOutcome,
    Step, WorkerInfo,
};
use std::{collections::BTreeMap, time::Duration};

/// What runs in the only data centre.
fn runs(finite: usize, long_running: usize) -> BTreeMap<String, HallRuns> {
    let runs = HallRuns {
        finite,
        long_running,
        unknown_workers: 0,
    };
    BTreeMap::from([("z".to_owned(), runs)])
}

/// Returns the names of the states of the changes.
fn names(changes: &[HallChange]) -> Vec<&'static str> {
    let states = changes.iter().map(|change| change.to.state.name());
    states.collect()
}

#[test]
fn a_data_centre_goes_through_all_states() {
    let now = Instant::now();
    let mut states = HallStates::default();
    let mut update = |runs, ordered: bool, after: Duration| {
        let changes = states.update(runs, |_| ordered, now + after);
        let status = states.halls()["z"];
        assert!(changes.iter().all(|change| change.to == status));
        names(&changes)
    };
    let at = Duration::from_millis;
    let none = Vec::<&str>::new();
    assert_eq!(update(runs(2, 1), false, at(0)), none);
    assert_eq!(update(runs(2, 1), true, at(100)), ["draining"]);
    assert_eq!(
        update(runs(1, 0), true, at(200)),
        none,
        "fewer runs are no change of state"
    );
    assert_eq!(update(runs(0, 0), true, at(300)), ["drained"]);
    assert_eq!(update(runs(0, 0), true, at(400)), none);
    assert_eq!(update(runs(0, 0), false, at(500)), ["returning"]);
    assert_eq!(update(runs(5, 0), false, at(600)), none);
    let back = at(500) + MAX_RETURN_TIME;
    assert_eq!(update(runs(5, 0), false, back), ["serving"]);
}

#[test]
fn an_order_that_is_revoked_midway_takes_effect_at_once() {
    let now = Instant::now();
    let mut states = HallStates::default();
    states.update(runs(2, 0), |_| true, now);
    let changes = states.update(runs(1, 0), |_| false, now);
    assert_eq!(names(&changes), ["serving"]);
}

#[test]
fn a_second_order_ends_a_return() {
    let now = Instant::now();
    let mut states = HallStates::default();
    states.update(runs(0, 0), |_| true, now);
    states.update(runs(0, 0), |_| false, now);
    let changes = states.update(runs(3, 0), |_| true, now);
    assert_eq!(names(&changes), ["draining"]);
    let status = states.halls()["z"];
    assert_eq!(status.runs.finite, 3);
}

#[test]
fn a_run_that_appears_in_a_drained_data_centre_is_a_change() {
    let now = Instant::now();
    let mut states = HallStates::default();
    states.update(runs(0, 0), |_| true, now);
    let changes = states.update(runs(0, 1), |_| true, now);
    assert_eq!(changes[0].from, Some(HallState::Drained));
    assert_eq!(names(&changes), ["draining"]);
}

#[test]
fn a_data_centre_whose_last_vm_is_gone_keeps_its_state() {
    let now = Instant::now();
    let mut states = HallStates::default();
    states.update(runs(1, 0), |_| true, now);
    let changes = states.update(BTreeMap::new(), |_| true, now);
    assert_eq!(names(&changes), ["drained"]);
    assert_eq!(states.state("z"), HallState::Drained);
}

/// Updates the states of a cell and returns the names of the new ones.
fn update(harness: &mut Harness, earlier: EarlierRuns) -> Vec<&'static str> {
    names(&harness.cell.update_hall_states(earlier, harness.now))
}

/// Returns a harness with a finite and a long-running task on `a1`, whose data centre is then drained.
fn draining() -> Harness {
    let mut harness = Harness::new(&["a1"]);
    let long_running = Step {
        long_running: true,
        ..step(1)
    };
    harness.cell.accept(job(1, vec![step(1)]));
    harness.cell.accept(job(2, vec![long_running]));
    assert_eq!(harness.start_tasks().len(), 2);
    assert!(update(&mut harness, EarlierRuns::Excluded).is_empty());
    harness.cell.set_drained_halls(["z".to_owned()].into());
    harness
}

#[test]
fn remaining_runs_are_counted_by_kind() {
    let mut harness = draining();
    assert_eq!(update(&mut harness, EarlierRuns::Excluded), ["draining"]);
    let runs = harness.cell.hall_states().halls()["z"].runs;
    assert_eq!(runs.by_kind(), [("finite", 1), ("long-running", 1)]);
    harness.report_end("a1", 1, task(1, 0, 0), 1, RunOutcome::Done);
    assert!(update(&mut harness, EarlierRuns::Excluded).is_empty());
    let runs = harness.cell.hall_states().halls()["z"].runs;
    assert_eq!(runs.by_kind(), [("finite", 0), ("long-running", 1)]);
    harness.cell.cancel(2);
    assert!(update(&mut harness, EarlierRuns::Excluded).is_empty());
    assert_eq!(harness.take_stops().len(), 1);
    harness.report_end("a1", 2, task(2, 0, 0), 1, RunOutcome::Stopped);
    assert_eq!(update(&mut harness, EarlierRuns::Excluded), ["drained"]);
}

#[test]
fn a_long_running_best_effort_run_counts_as_long_running() {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.accept(job(
        1,
        vec![Step {
            long_running: true,
            best_effort: true,
            ..step(1)
        }],
    ));
    assert_eq!(harness.start_tasks().len(), 1);
    let runs = harness.cell.hall_runs(EarlierRuns::Excluded)["z"];
    assert_eq!(runs.by_kind(), [("finite", 0), ("long-running", 1)]);
}

#[test]
fn a_new_owner_rebuilds_the_state() {
    let mut harness = draining();
    harness.take_over();
    harness.cell.set_drained_halls(["z".to_owned()].into());
    assert_eq!(
        update(&mut harness, EarlierRuns::Possible),
        ["draining"],
        "no list has been read"
    );
    harness.cell.upsert_worker(worker("a1"), harness.now);
    harness.cell.mark_listed();
    let runs = harness.cell.hall_runs(EarlierRuns::Possible)["z"];
    assert_eq!((runs.finite, runs.long_running), (1, 1));
    assert_eq!(runs.unknown_workers, 1, "it has not answered");
    harness.report(
        "a1",
        Report {
            running: vec![row(task(2, 0, 0), 1, 0)],
            ended: Vec::new(),
            ..Report::default()
        },
    );
    let runs = harness.cell.hall_runs(EarlierRuns::Possible)["z"];
    assert_eq!(runs.unknown_workers, 0);
    assert_eq!(runs.long_running, 1);
}

#[test]
fn a_new_owner_finds_a_drained_data_centre_drained() {
    let mut harness = Harness::new(&[]);
    harness.cell.mark_listed();
    harness.cell.set_drained_halls(["z".to_owned()].into());
    let changes = harness
        .cell
        .update_hall_states(EarlierRuns::Possible, harness.now);
    assert_eq!(names(&changes), ["drained"]);
    assert_eq!(changes[0].from, None);
}

#[test]
fn a_worker_that_may_have_runs_keeps_its_data_centre_from_being_drained() {
    let mut harness = Harness::new(&["a1"]);
    let silent = WorkerInfo {
        hall: "y".to_owned(),
        ..worker("b1")
    };
    harness.cell.upsert_worker(silent, harness.now);
    harness.cell.mark_listed();
    let halls = ["z".to_owned(), "y".to_owned()];
    harness.cell.set_drained_halls(halls.into());
    let changes = harness
        .cell
        .update_hall_states(EarlierRuns::Possible, harness.now);
    assert_eq!(names(&changes), ["draining", "drained"]);
    assert_eq!(changes[0].hall, "y");
    assert_eq!(update(&mut harness, EarlierRuns::Excluded), ["drained"]);
}

#[test]
fn a_worker_that_no_list_names_keeps_all_data_centres_from_being_drained() {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.mark_listed();
    let vms = [("c1".to_owned(), "s".to_owned())];
    harness.cell.expect_workers(vms);
    harness.cell.set_drained_halls(["z".to_owned()].into());
    assert_eq!(update(&mut harness, EarlierRuns::Possible), ["draining"]);
    harness.add_worker("c1");
    assert_eq!(update(&mut harness, EarlierRuns::Possible), ["drained"]);
}

#[test]
fn a_worker_that_is_lost_keeps_its_data_centre_from_being_drained_until_its_lease_has_expired() {
    let mut harness = draining();
    harness.cell.mark_silent("a1", harness.now);
    assert_eq!(update(&mut harness, EarlierRuns::Excluded), ["draining"]);
    harness.advance(60_000);
    harness.cell.expire_lease("a1", harness.now).unwrap();
    assert_eq!(update(&mut harness, EarlierRuns::Excluded), ["drained"]);
}

#[test]
fn nothing_changes_without_an_order() {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.accept(job(1, vec![step(1)]));
    harness.start_tasks();
    assert!(update(&mut harness, EarlierRuns::Possible).is_empty());
    harness.take_over();
    assert!(update(&mut harness, EarlierRuns::Possible).is_empty());
}
