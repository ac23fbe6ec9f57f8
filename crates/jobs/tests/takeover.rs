//! Tests of a cell that was taken over from another owner, and of a cell whose log is unavailable.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

mod fixture;
mod harness;

use fixture::{job, step, worker};
use harness::{Harness, row, task};
use havenladder_jobs::{Cancelled, Loss, Report, RunOutcome};
use std::time::Duration;

#[test]
fn a_new_owner_waits_for_the_workers_of_the_earlier_owner() {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.accept(job(1, vec![step(1)]));
    let (_, first, run) = harness.start_tasks().remove(0);
    harness.take_over();
    harness.add_worker("b1");
    assert!(
        harness.start_tasks().is_empty(),
        "the task may still run on a1"
    );
    assert_eq!(harness.cell.orphaned_workers(), ["a1"]);
    harness.cell.upsert_worker(worker("a1"), harness.now);
    assert!(harness.start_tasks().is_empty(), "a1 has not responded yet");
    harness.report(
        "a1",
        Report {
            running: vec![row(first, run, 40)],
            ended: vec![],
            ..Report::default()
        },
    );
    assert!(
        harness.start_tasks().is_empty(),
        "the task still runs on a1"
    );
    harness.report("a1", Report::default());
    assert_eq!(harness.start_tasks().len(), 1);
}

#[test]
fn a_job_cancelled_before_its_worker_is_contacted_is_stopped_there() {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.accept(job(1, vec![step(1)]));
    let (_, first, run) = harness.start_tasks().remove(0);
    harness.take_over();
    assert_eq!(harness.cell.cancel(1), Cancelled::Done);
    harness.cell.upsert_worker(worker("a1"), harness.now);
    harness.report(
        "a1",
        Report {
            running: vec![row(first, run, 40)],
            ended: vec![],
            ..Report::default()
        },
    );
    assert_eq!(harness.take_stops(), [("a1".into(), first, run)]);
}

#[test]
fn a_new_owner_knows_the_vms_of_a_wave() {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.record_maintenance(7, "vm-1");
    harness.start_tasks();
    harness.take_over();
    assert!(harness.cell.maintained_vms(7).contains("vm-1"));
}

#[test]
fn only_durable_jobs_start_tasks_while_the_log_is_unavailable() {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.accept(job(1, vec![step(5)]));
    let started = harness.start_tasks();
    assert_eq!(started.len(), 4);
    harness.cell.accept(job(2, vec![step(1)]));
    for (number, (id, task, run)) in (1..).zip(started.into_iter().take(2)) {
        harness.report_end(&id, number, task, run, RunOutcome::Done);
    }
    harness.cell.schedule(harness.now);
    let durable = harness.cell.take_durable_starts();
    assert_eq!(durable.len(), 1, "job 2 is not durable");
    assert_eq!(
        harness.start_tasks().len(),
        1,
        "job 2 starts once it is durable"
    );
}

#[test]
fn waiting_tasks_of_the_earlier_owner_start_once_all_workers_are_contacted() {
    let mut harness = Harness::new(&["a1", "b1"]);
    harness.cell.accept(job(1, vec![step(9)]));
    assert_eq!(harness.start_tasks().len(), 8);
    harness.take_over();
    let expires = harness.now + Duration::from_millis(10_000);
    harness.cell.raise_takeover_barrier(expires, false);
    harness.cell.upsert_worker(worker("a1"), harness.now);
    harness.cell.upsert_worker(worker("b1"), harness.now);
    harness.report("a1", Report::default());
    assert!(
        harness.start_tasks().is_empty(),
        "the list of workers has not been read"
    );
    harness.cell.mark_listed();
    assert!(
        harness.start_tasks().is_empty(),
        "b1 may have unrecorded runs"
    );
    harness.cell.accept(job(2, vec![step(1)]));
    assert_eq!(
        harness.start_tasks()[0].1,
        task(2, 0, 0),
        "a new job cannot have an unrecorded run on b1"
    );
    // The earlier owner had started the last task on b1 after an end that was not recorded.
    let unrecorded = row(task(1, 0, 8), 1, 10);
    harness.report(
        "b1",
        Report {
            running: vec![unrecorded],
            ended: vec![],
            ..Report::default()
        },
    );
    let started: Vec<_> = harness
        .start_tasks()
        .into_iter()
        .map(|(_, task, _)| task.index)
        .collect();
    assert!(
        !started.contains(&8),
        "task 8 already runs on b1: {started:?}"
    );
    assert!(!started.is_empty());
}

#[test]
fn runs_of_a_lost_worker_are_not_retried_while_the_log_is_unavailable() {
    let mut harness = Harness::new(&["a1", "b1"]);
    harness.cell.accept(job(1, vec![step(1)]));
    let (lost, ..) = harness.start_tasks().remove(0);
    harness.cell.abandon_worker(&lost, Loss::Ended, harness.now);
    harness.cell.schedule_unrecorded(harness.now);
    assert!(
        harness.cell.take_durable_starts().is_empty(),
        "a newer owner may have contacted the worker"
    );
    assert_eq!(
        harness.start_tasks().len(),
        1,
        "a successful append proves that there is no newer owner"
    );
}

#[test]
fn run_numbers_exceed_those_of_unrecorded_runs() {
    let mut harness = Harness::new(&[]);
    harness.cell.accept(job(1, vec![step(1)]));
    assert!(harness.start_tasks().is_empty());
    harness.take_over();
    harness.add_worker("a1");
    // The earlier owner had started the task without a record.
    harness.report_end("a1", 1, task(1, 0, 0), 1, RunOutcome::Failed);
    assert_eq!(harness.start_tasks(), [("a1".into(), task(1, 0, 0), 2)]);
}

#[test]
fn an_unrecorded_run_replaces_the_recorded_one() {
    let mut harness = Harness::new(&["a1", "b1"]);
    harness.cell.accept(job(1, vec![step(1)]));
    let (first, id, _) = harness.start_tasks().remove(0);
    let second = if first == "a1" { "b1" } else { "a1" };
    harness.take_over();
    harness.cell.upsert_worker(worker("a1"), harness.now);
    harness.cell.upsert_worker(worker("b1"), harness.now);
    harness.cell.mark_listed();
    // The earlier owner had received the failure of run 1 and had started run 2 without a record.
    harness.report(
        second,
        Report {
            running: vec![row(id, 2, 30)],
            ended: vec![],
            ..Report::default()
        },
    );
    harness.report_end(&first, 1, id, 1, RunOutcome::Failed);
    assert!(harness.start_tasks().is_empty(), "run 2 is still running");
    assert!(harness.take_stops().is_empty());
    assert_eq!(harness.cell.jobs[&1].task(0, 0, 0).unwrap().failed, [1]);
}

#[test]
fn workers_missing_from_the_list_are_found_by_their_vms() {
    let mut harness = Harness::new(&["a1", "b1"]);
    harness.cell.accept(job(1, vec![step(9)]));
    assert_eq!(harness.start_tasks().len(), 8);
    harness.take_over();
    let expires = harness.now + Duration::from_millis(10_000);
    harness.cell.raise_takeover_barrier(expires, true);
    harness.add_worker("a1");
    harness.cell.mark_listed();
    assert!(
        harness.start_tasks().is_empty(),
        "the list of VMs has not been read"
    );
    let workers_on_vms = [
        ("a1".to_owned(), "s".to_owned()),
        ("b1".to_owned(), "s".to_owned()),
    ];
    harness.cell.expect_workers(workers_on_vms);
    assert!(
        harness.start_tasks().is_empty(),
        "b1 is not listed, but its VM is running"
    );
    harness.advance(10_000);
    assert!(
        !harness.start_tasks().is_empty(),
        "the lease of b1 has expired"
    );
}

#[test]
fn a_record_without_its_counterpart_does_not_prevent_a_takeover() {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.accept(job(1, vec![step(1)]));
    harness.cell.accept(job(2, vec![step(1)]));
    harness.start_tasks();
    let id = |number: u64| format!("{number:016x}");
    harness
        .log
        .retain(|entry| entry.key != format!("g{}", id(1)) && entry.key != format!("s{}", id(2)));
    harness.take_over();
    assert!(harness.cell.jobs.is_empty());
}
