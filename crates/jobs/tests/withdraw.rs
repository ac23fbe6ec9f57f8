//! Tests of withdrawing jobs, which is possible only as long as no record and no start of a job has left the owner.

mod fixture;
#[expect(dead_code, reason = "ends and takeovers are not tested here")]
mod harness;

use fixture::{job, step, worker};
use harness::{Harness, task};
use havenladder_jobs::{Need, Order};

#[test]
fn a_job_of_which_nothing_was_sent_is_withdrawn_completely() {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.accept(job(1, vec![step(2)]));
    // The start is decided, but it and the records wait until the append in flight ends.
    harness.cell.schedule(harness.now);
    assert!(harness.cell.withdraw(1));
    let batch = harness.cell.take_batch();
    assert!(batch.entries.is_empty() && batch.starts.is_empty());
    let host = harness.cell.workers.get("a1").expect("the worker is known");
    assert!(host.runs.is_empty());
    assert_eq!(host.used, Need::default());
    assert_eq!(harness.cell.demand("s").waiting, Need::default());
    assert_eq!(harness.cell.pending("q"), 0);
}

#[test]
fn a_withdrawn_job_may_be_submitted_again() {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.accept(job(1, vec![step(1)]));
    assert!(harness.cell.withdraw(1));
    harness.cell.accept(job(1, vec![step(1)]));
    assert_eq!(harness.start_tasks(), [("a1".into(), task(1, 0, 0), 1)]);
}

#[test]
fn capacity_of_a_withdrawn_job_is_used_by_the_next_job() {
    let mut harness = Harness::new(&["a1"]);
    let cores = worker("a1").capacity.cpu / 1_000;
    harness.cell.accept(job(1, vec![step(cores as u32)]));
    harness.cell.accept(job(2, vec![step(1)]));
    harness.cell.schedule(harness.now);
    assert!(harness.cell.withdraw(1));
    let started = harness.start_tasks();
    assert_eq!(started, [("a1".into(), task(2, 0, 0), 1)]);
}

#[test]
fn a_job_whose_record_was_appended_cannot_be_withdrawn() {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.accept(job(1, vec![step(1)]));
    harness.cell.schedule(harness.now);
    let batch = harness.cell.take_batch();
    assert!(!harness.cell.withdraw(1), "its record may be in the log");
    let starts = batch.starts.iter();
    assert!(starts.eq([&Order::Start {
        worker: "a1".into(),
        task: task(1, 0, 0),
        run: 1
    }]));
}

#[test]
fn an_ended_or_unknown_job_cannot_be_withdrawn() {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.accept(job(1, vec![step(1)]));
    harness.cell.cancel(1);
    assert!(!harness.cell.withdraw(1));
    assert!(!harness.cell.withdraw(2));
}
