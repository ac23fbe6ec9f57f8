//! Data centres that operators want emptied: nothing begins there, and what can go on elsewhere leaves.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

mod fixture;
mod harness;

use fixture::{job, step, worker};
use harness::{Harness, row, task};
use havenladder_jobs::{Obstacle, Report, RunOutcome, Step, WorkerInfo};
use std::collections::BTreeSet;

/// A worker in the data centre `z-` and its first letter.
fn in_hall(id: &str) -> WorkerInfo {
    WorkerInfo {
        hall: format!("z-{}", &id[..1]),
        ..worker(id)
    }
}

/// A world whose workers are in the data centres that their names begin with.
fn halls(workers: &[&str]) -> Harness {
    let mut harness = Harness::new(&[]);
    for id in workers {
        harness.cell.upsert_worker(in_hall(id), harness.now);
        harness.report(id, Report::default());
    }
    harness
}

fn empty(harness: &mut Harness, hall: &str) {
    harness
        .cell
        .set_drained_halls(BTreeSet::from([format!("z-{hall}")]));
}

fn lasting(count: u32, disruption_budget: Option<u32>) -> Step {
    Step {
        long_running: true,
        disruption_budget,
        ..step(count)
    }
}

/// The workers on which tasks of the first job started.
fn started(harness: &mut Harness) -> Vec<String> {
    let started = harness.start_tasks().into_iter();
    started.map(|(worker, ..)| worker.to_string()).collect()
}

#[test]
fn nothing_begins_in_a_data_centre_that_is_to_be_emptied_until_it_is_taken_back() {
    let mut harness = halls(&["a1", "b1"]);
    empty(&mut harness, "a");
    harness.cell.accept(job(1, vec![step(6)]));
    assert_eq!(started(&mut harness), ["b1"; 4]);
    let waiting = harness.cell.obstacles(task(1, 0, 5), harness.now);
    assert_eq!(waiting[&Obstacle::Emptied], 1);
    harness.cell.set_drained_halls(BTreeSet::new());
    assert_eq!(started(&mut harness), ["a1"; 2]);
}

#[test]
fn a_start_that_was_decided_before_the_order_is_not_sent_after_it() {
    let mut harness = halls(&["a1", "b1"]);
    harness.cell.set_closed("b1", true);
    harness.cell.accept(job(1, vec![step(1)]));
    harness.cell.schedule(harness.now);
    let batch = harness.cell.take_batch();
    harness.cell.confirm(&batch);
    assert_eq!(batch.starts.len(), 1);
    empty(&mut harness, "a");
    let confirmed = harness
        .cell
        .prepare_start("a1", task(1, 0, 0), 1, harness.now);
    assert!(!confirmed);
    harness.cell.set_closed("b1", false);
    assert_eq!(started(&mut harness), ["b1"]);
}

#[test]
fn a_worker_that_is_listed_after_the_order_gets_nothing_either() {
    let mut harness = halls(&["b1"]);
    empty(&mut harness, "a");
    harness.cell.upsert_worker(in_hall("a1"), harness.now);
    harness.report("a1", Report::default());
    harness.cell.accept(job(1, vec![step(8)]));
    assert_eq!(started(&mut harness), ["b1"; 4]);
}

#[test]
fn gangs_find_their_places_elsewhere_or_wait() {
    let mut harness = halls(&["a1", "b1"]);
    empty(&mut harness, "a");
    let gang = |count| Step {
        gang: true,
        ..step(count)
    };
    harness.cell.accept(job(1, vec![gang(5)]));
    assert!(started(&mut harness).is_empty());
    harness.cell.accept(job(2, vec![gang(4)]));
    assert_eq!(started(&mut harness), ["b1"; 4]);
}

/// Starts a lasting step on `a1` and `a2`, adds `b1` and `b2`, and empties the first data centre.
fn leaving(budget: Option<u32>) -> Harness {
    let mut harness = halls(&["a1", "a2"]);
    harness.cell.accept(job(1, vec![lasting(4, budget)]));
    for (worker, task, run) in harness.start_tasks() {
        let running = harness.cell.workers.get(&worker).unwrap().runs.keys();
        let running = running.map(|(task, run)| row(*task, *run, 100)).collect();
        let ended = Vec::new();
        harness.report(&worker, Report { running, ended });
        assert_eq!((task.job, run), (1, 1));
    }
    for id in ["b1", "b2"] {
        harness.cell.upsert_worker(in_hall(id), harness.now);
        harness.report(id, Report::default());
    }
    empty(&mut harness, "a");
    harness
}

#[test]
fn lasting_tasks_leave_within_their_budget() {
    for (budget, away) in [(None, 1), (Some(0), 0), (Some(2), 2)] {
        let mut harness = leaving(budget);
        assert_eq!(harness.cell.drain_halls(harness.now), away, "{budget:?}");
        assert_eq!(
            harness.cell.drain_halls(harness.now),
            0,
            "no more before these are back"
        );
    }
}

#[test]
fn all_lasting_tasks_have_left_in_the_end() {
    let mut harness = leaving(Some(1));
    for _ in 0..4 {
        assert_eq!(harness.cell.drain_halls(harness.now), 1);
        let (worker, task, run) = harness.take_stops().pop().unwrap();
        let number = harness.cell.workers.get(&worker).unwrap().acknowledged + 1;
        harness.report_end(&worker, number, task, run, RunOutcome::Stopped);
        let (to, task, run) = harness.start_tasks().pop().unwrap();
        assert!(to.starts_with('b'), "{to}");
        let mut running: Vec<_> = harness.cell.workers.get(&to).unwrap().runs.keys().collect();
        running.sort();
        let running = running.into_iter().map(|(t, r)| row(*t, *r, 100)).collect();
        harness.report(
            &to,
            Report {
                running,
                ended: Vec::new(),
            },
        );
        assert_eq!((task.job, run), (1, 2));
    }
    assert_eq!(harness.cell.count_runs_in_drained_halls(), 0);
    assert_eq!(harness.cell.drain_halls(harness.now), 0);
}

#[test]
fn lasting_tasks_stay_where_there_is_no_room_elsewhere() {
    let mut harness = halls(&["a1"]);
    harness.cell.accept(job(1, vec![lasting(2, None)]));
    let started = harness.start_tasks().into_iter();
    let running = started.map(|(_, task, run)| row(task, run, 100)).collect();
    let ended = Vec::new();
    harness.report("a1", Report { running, ended });
    empty(&mut harness, "a");
    assert_eq!(harness.cell.drain_halls(harness.now), 0);
    assert_eq!(harness.cell.count_runs_in_drained_halls(), 2);
}

#[test]
fn an_owner_that_takes_over_knows_the_order_before_it_meets_workers() {
    let mut harness = halls(&["a1", "b1"]);
    harness.cell.accept(job(1, vec![step(8)]));
    assert_eq!(harness.start_tasks().len(), 8);
    harness.take_over();
    empty(&mut harness, "a");
    for id in ["a1", "b1"] {
        harness.cell.upsert_worker(in_hall(id), harness.now);
        harness.report(id, Report::default());
    }
    // None of the runs is there: all tasks are tried again, in the data centre that is left.
    assert_eq!(started(&mut harness), ["b1"; 4]);
}
