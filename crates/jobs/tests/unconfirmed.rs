//! Tests of unconfirmed state: runs that no worker has reported, and workers that are silent.

mod fixture;
#[expect(dead_code, reason = "stops are not tested here")]
mod harness;

use fixture::{job, step, worker};
use harness::{Harness, row, task};
use havenladder_jobs::{Disruption, Loss, Report, RunOutcome, Step};

/// Returns a harness with two workers and a job of two long-running tasks, which run on different workers and of
/// which one may be disrupted at a time.
fn with_disruption_budget() -> Harness {
    let mut harness = Harness::new(&["a1", "b1"]);
    let long_running_step = Step {
        long_running: true,
        max_per_worker: Some(1),
        disruption_budget: Some(1),
        ..step(2)
    };
    harness.cell.accept(job(1, vec![long_running_step]));
    harness
}

#[test]
fn a_job_is_pending_until_a_report_lists_its_run() {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.accept(job(1, vec![step(1)]));
    harness.cell.schedule(harness.now);
    assert_eq!(
        harness.cell.pending("q"),
        1,
        "a start that was ordered may be lost"
    );
    let batch = harness.cell.take_batch();
    harness.cell.confirm(&batch);
    let started = Report {
        running: vec![row(task(1, 0, 0), 1, 0)],
        ended: Vec::new(),
        ..Report::default()
    };
    harness.report("a1", started);
    assert_eq!(harness.cell.pending("q"), 0);
    harness.report_end("a1", 1, task(1, 0, 0), 1, RunOutcome::Done);
    assert_eq!(harness.cell.pending("q"), 0);
}

#[test]
fn tasks_on_a_silent_worker_or_one_with_an_unconfirmed_order_count_as_disrupted() {
    let mut harness = with_disruption_budget();
    for (id, task, run) in harness.start_tasks() {
        let report = Report {
            running: vec![row(task, run, 100)],
            ended: Vec::new(),
            ..Report::default()
        };
        harness.report(&id, report);
    }
    assert_eq!(harness.cell.disruption("a1"), Disruption::Free);
    harness.cell.set_order_unconfirmed("b1", true);
    assert_eq!(
        harness.cell.disruption("a1"),
        Disruption::Guarded,
        "an earlier owner may have ordered the VM of b1 to stop"
    );
    harness.cell.set_order_unconfirmed("b1", false);
    assert_eq!(harness.cell.disruption("a1"), Disruption::Free);
    harness.cell.mark_silent("b1", harness.now);
    assert_eq!(harness.cell.disruption("a1"), Disruption::Guarded);
}

#[test]
fn a_new_owner_disrupts_no_vm_before_its_workers_have_responded() {
    let mut harness = with_disruption_budget();
    harness.start_tasks();
    harness.take_over();
    for id in ["a1", "b1"] {
        harness.cell.upsert_worker(worker(id), harness.now);
    }
    assert_eq!(harness.cell.disruption("a1"), Disruption::Guarded);
}

#[test]
fn workers_of_an_earlier_owner_are_silent_until_they_respond() {
    let mut harness = Harness::new(&["a1", "b1"]);
    assert!(harness.cell.silent_workers().is_empty());
    harness.cell.accept(job(1, vec![step(1)]));
    let (used, ..) = harness.start_tasks().remove(0);
    harness.take_over();
    assert!(harness.cell.silent_workers().contains(&used));
    harness.cell.upsert_worker(worker(&used), harness.now);
    assert!(harness.cell.silent_workers().contains(&used));
    harness.report(&used, Report::default());
    assert!(harness.cell.silent_workers().is_empty());
    harness.cell.mark_silent(&used, harness.now);
    assert!(harness.cell.silent_workers().contains(&used));
    harness.cell.abandon_worker(&used, Loss::Ended, harness.now);
    assert!(harness.cell.silent_workers().is_empty());
}

#[test]
fn an_unknown_worker_is_not_disrupted_before_the_list_of_workers_is_read() {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.accept(job(1, vec![step(1)]));
    harness.start_tasks();
    harness.take_over();
    assert_eq!(harness.cell.disruption("a1"), Disruption::Guarded);
    assert_eq!(harness.cell.disruption("new"), Disruption::Guarded);
    harness.cell.mark_listed();
    assert_eq!(
        harness.cell.disruption("a1"),
        Disruption::Guarded,
        "according to the records, a1 has a run"
    );
    assert_eq!(harness.cell.disruption("new"), Disruption::Free);
}
