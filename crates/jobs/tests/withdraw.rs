//! Jobs that are given back: only where nothing of them has left the owner, and then whole.

mod fixture;
#[expect(dead_code, reason = "ends and takeovers are not looked at here")]
mod harness;

use fixture::{job, step, worker};
use harness::{Harness, task};
use havenladder_jobs::{Need, Order};

#[test]
fn a_job_of_which_nothing_was_sent_is_given_back_whole() {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.accept(job(1, vec![step(2)]));
    // Decided, but its records and starts wait for an append that is under way.
    harness.cell.schedule(harness.now);
    assert!(harness.cell.withdraw(1));
    let batch = harness.cell.take_batch();
    assert!(batch.entries.is_empty() && batch.starts.is_empty());
    let host = harness.cell.workers.get("a1").expect("it is there");
    assert!(host.runs.is_empty());
    assert_eq!(host.used, Need::default());
    assert_eq!(harness.cell.demand("s").waiting, Need::default());
    assert_eq!(harness.cell.pending("q"), 0);
}

#[test]
fn a_job_that_is_given_back_may_be_handed_in_again() {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.accept(job(1, vec![step(1)]));
    assert!(harness.cell.withdraw(1));
    harness.cell.accept(job(1, vec![step(1)]));
    assert_eq!(harness.start_tasks(), [("a1".into(), task(1, 0, 0), 1)]);
}

#[test]
fn the_room_of_a_job_that_is_given_back_goes_to_the_next() {
    let mut harness = Harness::new(&["a1"]);
    let whole = worker("a1").capacity.cpu / 1_000;
    harness.cell.accept(job(1, vec![step(whole as u32)]));
    harness.cell.accept(job(2, vec![step(1)]));
    harness.cell.schedule(harness.now);
    assert!(harness.cell.withdraw(1));
    let started = harness.start_tasks();
    assert_eq!(started, [("a1".into(), task(2, 0, 0), 1)]);
}

#[test]
fn a_job_whose_record_was_handed_on_stays() {
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
fn a_job_that_is_over_or_unknown_stays() {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.accept(job(1, vec![step(1)]));
    harness.cell.cancel(1);
    assert!(!harness.cell.withdraw(1));
    assert!(!harness.cell.withdraw(2));
}
