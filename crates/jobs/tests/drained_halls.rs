//! Tests of data centres that operators drain: no task starts there, and long-running tasks move to other data
//! centres.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

mod fixture;
mod harness;

use fixture::{job, step, worker};
use harness::{Harness, row, task};
use havenladder_jobs::{Obstacle, Report, RunOutcome, Step, WorkerInfo};
use std::collections::BTreeSet;

/// Returns the list entry of a worker in the data centre `z-` followed by the first letter of its id.
fn in_hall(id: &str) -> WorkerInfo {
    WorkerInfo {
        hall: format!("z-{}", &id[..1]),
        ..worker(id)
    }
}

/// Returns a harness whose workers are in the data centres that [`in_hall`] assigns to them.
fn harness_in_halls(workers: &[&str]) -> Harness {
    let mut harness = Harness::new(&[]);
    for id in workers {
        harness.cell.upsert_worker(in_hall(id), harness.now);
        harness.report(id, Report::default());
    }
    harness
}

fn drain(harness: &mut Harness, hall: &str) {
    harness
        .cell
        .set_drained_halls(BTreeSet::from([format!("z-{hall}")]));
}

fn long_running(count: u32, disruption_budget: Option<u32>) -> Step {
    Step {
        long_running: true,
        disruption_budget,
        ..step(count)
    }
}

/// Starts tasks and returns the workers on which they were started.
fn started(harness: &mut Harness) -> Vec<String> {
    let started = harness.start_tasks().into_iter();
    started.map(|(worker, ..)| worker.to_string()).collect()
}

#[test]
fn nothing_starts_in_a_drained_data_centre_until_the_drain_is_undone() {
    let mut harness = harness_in_halls(&["a1", "b1"]);
    drain(&mut harness, "a");
    harness.cell.accept(job(1, vec![step(6)]));
    assert_eq!(started(&mut harness), ["b1"; 4]);
    let waiting = harness.cell.obstacles(task(1, 0, 5), harness.now);
    assert_eq!(waiting[&Obstacle::Emptied], 1);
    harness.cell.set_drained_halls(BTreeSet::new());
    assert_eq!(started(&mut harness), ["a1"; 2]);
}

#[test]
fn a_start_decided_before_a_drain_is_not_sent_after_it() {
    let mut harness = harness_in_halls(&["a1", "b1"]);
    harness.cell.set_closed("b1", true);
    harness.cell.accept(job(1, vec![step(1)]));
    harness.cell.schedule(harness.now);
    let batch = harness.cell.take_batch();
    harness.cell.confirm(&batch);
    assert_eq!(batch.starts.len(), 1);
    drain(&mut harness, "a");
    let confirmed = harness
        .cell
        .prepare_start("a1", task(1, 0, 0), 1, harness.now);
    assert!(!confirmed);
    harness.cell.set_closed("b1", false);
    assert_eq!(started(&mut harness), ["b1"]);
}

#[test]
fn a_worker_listed_after_the_drain_order_gets_no_runs() {
    let mut harness = harness_in_halls(&["b1"]);
    drain(&mut harness, "a");
    harness.cell.upsert_worker(in_hall("a1"), harness.now);
    harness.report("a1", Report::default());
    harness.cell.accept(job(1, vec![step(8)]));
    assert_eq!(started(&mut harness), ["b1"; 4]);
}

#[test]
fn gangs_are_placed_in_other_data_centres_or_wait() {
    let mut harness = harness_in_halls(&["a1", "b1"]);
    drain(&mut harness, "a");
    let gang = |count| Step {
        gang: true,
        ..step(count)
    };
    harness.cell.accept(job(1, vec![gang(5)]));
    assert!(started(&mut harness).is_empty());
    harness.cell.accept(job(2, vec![gang(4)]));
    assert_eq!(started(&mut harness), ["b1"; 4]);
}

/// Starts a long-running step on `a1` and `a2`, adds `b1` and `b2`, and drains the first data centre.
fn draining_harness(budget: Option<u32>) -> Harness {
    let mut harness = harness_in_halls(&["a1", "a2"]);
    harness.cell.accept(job(1, vec![long_running(4, budget)]));
    for (worker, task, run) in harness.start_tasks() {
        let running = harness.cell.workers.get(&worker).unwrap().runs.keys();
        let running = running.map(|(task, run)| row(*task, *run, 100)).collect();
        let ended = Vec::new();
        harness.report(
            &worker,
            Report {
                running,
                ended,
                ..Report::default()
            },
        );
        assert_eq!((task.job, run), (1, 1));
    }
    for id in ["b1", "b2"] {
        harness.cell.upsert_worker(in_hall(id), harness.now);
        harness.report(id, Report::default());
    }
    drain(&mut harness, "a");
    harness
}

#[test]
fn long_running_tasks_are_stopped_within_their_disruption_budget() {
    for (budget, stopped) in [(None, 1), (Some(0), 0), (Some(2), 2)] {
        let mut harness = draining_harness(budget);
        assert_eq!(harness.cell.drain_halls(harness.now), stopped, "{budget:?}");
        assert_eq!(
            harness.cell.drain_halls(harness.now),
            0,
            "no more tasks are stopped before these run again"
        );
    }
}

#[test]
fn all_long_running_tasks_are_eventually_moved() {
    let mut harness = draining_harness(Some(1));
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
                ..Report::default()
            },
        );
        assert_eq!((task.job, run), (1, 2));
    }
    assert_eq!(harness.cell.count_runs_in_drained_halls(), 0);
    assert_eq!(harness.cell.drain_halls(harness.now), 0);
}

#[test]
fn long_running_tasks_stay_if_there_is_no_capacity_elsewhere() {
    let mut harness = harness_in_halls(&["a1"]);
    harness.cell.accept(job(1, vec![long_running(2, None)]));
    let started = harness.start_tasks().into_iter();
    let running = started.map(|(_, task, run)| row(task, run, 100)).collect();
    let ended = Vec::new();
    harness.report(
        "a1",
        Report {
            running,
            ended,
            ..Report::default()
        },
    );
    drain(&mut harness, "a");
    assert_eq!(harness.cell.drain_halls(harness.now), 0);
    assert_eq!(harness.cell.count_runs_in_drained_halls(), 2);
}

#[test]
fn a_new_owner_respects_a_drain_for_tasks_of_earlier_owners() {
    let mut harness = harness_in_halls(&["a1", "b1"]);
    harness.cell.accept(job(1, vec![step(8)]));
    assert_eq!(harness.start_tasks().len(), 8);
    harness.take_over();
    drain(&mut harness, "a");
    for id in ["a1", "b1"] {
        harness.cell.upsert_worker(in_hall(id), harness.now);
        harness.report(id, Report::default());
    }
    // No worker reports any of the runs, so all tasks are retried, in the remaining data centre only.
    assert_eq!(started(&mut harness), ["b1"; 4]);
}
