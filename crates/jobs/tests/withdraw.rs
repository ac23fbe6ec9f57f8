//! Jobs that are given back: only where nothing of them has left the owner, and then whole.

mod fixture;
#[expect(dead_code, reason = "ends and takeovers are not looked at here")]
mod world;

use fixture::{job, step, worker};
use havenladder_jobs::{Need, Order};
use world::{World, task};

#[test]
fn a_job_of_which_nothing_was_sent_is_given_back_whole() {
    let mut world = World::new(&["a1"]);
    world.cell.accept(job(1, vec![step(2)]));
    // Decided, but its records and starts wait for an append that is under way.
    world.cell.schedule(world.now);
    assert!(world.cell.withdraw(1));
    let batch = world.cell.take_batch();
    assert!(batch.entries.is_empty() && batch.starts.is_empty());
    let host = world.cell.workers.get("a1").expect("it is there");
    assert!(host.runs.is_empty());
    assert_eq!(host.used, Need::default());
    assert_eq!(world.cell.demand("s").waiting, Need::default());
    assert_eq!(world.cell.pending("q"), 0);
}

#[test]
fn a_job_that_is_given_back_may_be_handed_in_again() {
    let mut world = World::new(&["a1"]);
    world.cell.accept(job(1, vec![step(1)]));
    assert!(world.cell.withdraw(1));
    world.cell.accept(job(1, vec![step(1)]));
    assert_eq!(world.run(), [("a1".into(), task(1, 0, 0), 1)]);
}

#[test]
fn the_room_of_a_job_that_is_given_back_goes_to_the_next() {
    let mut world = World::new(&["a1"]);
    let whole = worker("a1").capacity.cpu / 1_000;
    world.cell.accept(job(1, vec![step(whole as u32)]));
    world.cell.accept(job(2, vec![step(1)]));
    world.cell.schedule(world.now);
    assert!(world.cell.withdraw(1));
    let started = world.run();
    assert_eq!(started, [("a1".into(), task(2, 0, 0), 1)]);
}

#[test]
fn a_job_whose_record_was_handed_on_stays() {
    let mut world = World::new(&["a1"]);
    world.cell.accept(job(1, vec![step(1)]));
    world.cell.schedule(world.now);
    let batch = world.cell.take_batch();
    assert!(!world.cell.withdraw(1), "its record may be in the log");
    let starts = batch.starts.iter();
    assert!(starts.eq([&Order::Start {
        worker: "a1".into(),
        task: task(1, 0, 0),
        run: 1
    }]));
}

#[test]
fn a_job_that_is_over_or_unknown_stays() {
    let mut world = World::new(&["a1"]);
    world.cell.accept(job(1, vec![step(1)]));
    world.cell.cancel(1);
    assert!(!world.cell.withdraw(1));
    assert!(!world.cell.withdraw(2));
}
