//! Tests of the capacity on which a drain of a data centre counts.
//!
//! Guards against a burst at the begin of a drain: the runs of each VM were compared with the free capacity by
//! themselves, so that several VMs counted on the same capacity and more runs were stopped than could start
//! elsewhere.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

mod fixture;
mod harness;

use fixture::{job, step, worker};
use harness::{Harness, row, task};
use havenladder_jobs::{Need, Report, RunOutcome, Step, WorkerInfo};
use std::collections::BTreeSet;

/// Lists a worker with this number of cores in the data centre `z-` followed by the first letter of its id.
fn add_large(harness: &mut Harness, id: &str, cores: u64) {
    let info = WorkerInfo {
        hall: format!("z-{}", &id[..1]),
        capacity: Need {
            cpu: cores * 1_000,
            memory: cores * 1_000,
            gpu: 0,
        },
        ..worker(id)
    };
    harness.cell.upsert_worker(info, harness.now);
    harness.report(id, Report::default());
}

/// Lists a worker with four cores.
fn add_in_hall(harness: &mut Harness, id: &str) {
    add_large(harness, id, 4);
}

/// Starts all waiting tasks and lets the workers report their runs with this progress.
fn start_and_report(harness: &mut Harness, percent: u64) -> usize {
    let started = harness.start_tasks();
    let workers: BTreeSet<_> = started.iter().map(|(worker, ..)| worker.clone()).collect();
    for worker in workers {
        report_running(harness, &worker, percent);
    }
    started.len()
}

/// Lets a worker report all its runs with this progress.
fn report_running(harness: &mut Harness, worker: &str, percent: u64) {
    let runs = harness.cell.workers.get(worker).unwrap().runs.keys();
    let running = runs.map(|(task, run)| row(*task, *run, percent)).collect();
    let ended = Vec::new();
    harness.report(
        worker,
        Report {
            running,
            ended,
            ..Report::default()
        },
    );
}

/// Ends all runs that have been ordered to stop.
fn end_stopped(harness: &mut Harness) {
    for (worker, task, run) in harness.take_stops() {
        let number = harness.cell.workers.get(&worker).unwrap().acknowledged + 1;
        harness.report_end(&worker, number, task, run, RunOutcome::Stopped);
    }
}

/// Returns a harness with four VMs full of runs in data centre `z-a`, which is drained, and one VM in `z-b` with
/// capacity for four of them.
fn drained(first: Step) -> Harness {
    let mut harness = Harness::new(&[]);
    for id in ["a1", "a2", "a3", "a4"] {
        add_in_hall(&mut harness, id);
    }
    harness.cell.accept(job(1, vec![first]));
    assert_eq!(start_and_report(&mut harness, 0), 16);
    add_large(&mut harness, "b1", 5);
    // Runs that end by themselves are not moved to idle VMs.
    let halls = BTreeSet::from(["z-a".to_owned()]);
    harness.cell.set_drained_halls(halls);
    harness.cell.accept(job(2, vec![step(1)]));
    assert_eq!(start_and_report(&mut harness, 0), 1);
    assert!(harness.cell.is_current("b1", task(2, 0, 0), 1));
    harness
}

fn resumable() -> Step {
    Step {
        estimate_ms: 60_000,
        saves_progress: true,
        ..step(16)
    }
}

fn long_running(budget: u32) -> Step {
    Step {
        long_running: true,
        disruption_budget: Some(budget),
        ..step(16)
    }
}

#[test]
fn vms_that_drain_do_not_count_on_the_same_capacity() {
    let mut harness = drained(resumable());
    assert_eq!(harness.cell.drain_halls(harness.now), 4);
    end_stopped(&mut harness);
    assert_eq!(start_and_report(&mut harness, 0), 4);
    assert_eq!(harness.cell.count_runs_in_drained_halls(), 12);
}

#[test]
fn stopped_runs_keep_their_part_of_the_capacity_until_they_start_again() {
    let mut harness = drained(resumable());
    assert_eq!(harness.cell.drain_halls(harness.now), 4);
    assert_eq!(
        harness.cell.drain_halls(harness.now),
        0,
        "while the runs are being stopped"
    );
    end_stopped(&mut harness);
    assert_eq!(
        harness.cell.drain_halls(harness.now),
        0,
        "while the tasks wait for their start"
    );
    assert_eq!(start_and_report(&mut harness, 0), 4);
    assert_eq!(harness.cell.drain_halls(harness.now), 0);
}

#[test]
fn the_rest_leaves_once_there_is_capacity() {
    let mut harness = drained(resumable());
    harness.cell.drain_halls(harness.now);
    end_stopped(&mut harness);
    start_and_report(&mut harness, 0);
    add_in_hall(&mut harness, "b2");
    harness.cell.accept(job(3, vec![step(1)]));
    assert_eq!(start_and_report(&mut harness, 0), 1);
    assert_eq!(harness.cell.drain_halls(harness.now), 3);
}

#[test]
fn long_running_tasks_leave_as_far_as_there_is_capacity() {
    let mut harness = drained(long_running(16));
    for worker in ["a1", "a2", "a3", "a4"] {
        report_running(&mut harness, worker, 100);
    }
    assert_eq!(harness.cell.drain_halls(harness.now), 4);
    assert_eq!(harness.cell.drain_halls(harness.now), 0);
    end_stopped(&mut harness);
    assert_eq!(harness.cell.drain_halls(harness.now), 0);
    assert_eq!(start_and_report(&mut harness, 100), 4);
}

#[test]
fn long_running_tasks_stay_within_their_budget_beside_capacity() {
    let mut harness = drained(long_running(3));
    for worker in ["a1", "a2", "a3", "a4"] {
        report_running(&mut harness, worker, 100);
    }
    assert_eq!(harness.cell.drain_halls(harness.now), 3);
    assert_eq!(harness.cell.drain_halls(harness.now), 0);
}

#[test]
fn a_step_keeps_its_limit_per_worker_when_it_leaves() {
    let mut harness = drained(Step {
        max_per_worker: Some(4),
        ..resumable()
    });
    // `c1` has capacity for seven more runs.
    add_large(&mut harness, "c1", 8);
    harness.cell.set_closed("b1", true);
    harness.cell.accept(job(3, vec![step(1)]));
    assert_eq!(start_and_report(&mut harness, 0), 1);
    harness.cell.set_closed("b1", false);
    assert_eq!(harness.cell.drain_halls(harness.now), 8);
}

#[test]
fn a_new_owner_counts_the_runs_that_the_earlier_one_stopped() {
    let mut harness = drained(resumable());
    assert_eq!(harness.cell.drain_halls(harness.now), 4);
    end_stopped(&mut harness);
    let batch = harness.cell.take_batch();
    harness.cell.confirm(&batch);
    harness.log.extend(batch.entries);
    let runs: Vec<_> = harness
        .cell
        .workers
        .values()
        .map(|worker| (worker.info.clone(), worker.runs.clone()))
        .collect();
    harness.take_over();
    let halls = BTreeSet::from(["z-a".to_owned()]);
    harness.cell.set_drained_halls(halls);
    for (info, runs) in runs {
        harness
            .cell
            .upsert_worker(WorkerInfo::clone(&info), harness.now);
        let running = runs.keys().map(|(task, run)| row(*task, *run, 0)).collect();
        let ended = Vec::new();
        harness.report(
            &info.id,
            Report {
                running,
                ended,
                ..Report::default()
            },
        );
    }
    assert_eq!(harness.cell.drain_halls(harness.now), 0);
    assert_eq!(start_and_report(&mut harness, 0), 4);
}

#[test]
fn vms_that_move_one_after_the_other_do_not_count_on_the_same_capacity() {
    let mut harness = drained(resumable());
    let mut stopped = 0;
    for id in ["a1", "a2", "a3", "a4"] {
        harness.cell.set_closed(id, true);
        stopped += harness.cell.drain_worker(id, harness.now);
    }
    assert_eq!(stopped, 4);
}
