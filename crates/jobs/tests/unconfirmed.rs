//! What is not taken for granted of runs that no worker has spoken of, or of workers that are silent.

mod fixture;
#[expect(dead_code, reason = "stops are not looked at here")]
mod world;

use fixture::{job, step, worker};
use havenladder_jobs::{Disruption, Loss, Report, RunOutcome, Step};
use world::{World, row, task};

/// Two workers, and a job of two lasting tasks that are apart and of which one may be away.
fn guarded() -> World {
    let mut world = World::new(&["a1", "b1"]);
    let lasting = Step {
        long_running: true,
        max_per_worker: Some(1),
        disruption_budget: Some(1),
        ..step(2)
    };
    world.cell.accept(job(1, vec![lasting]));
    world
}

#[test]
fn a_job_whose_starts_are_under_way_has_not_begun() {
    let mut world = World::new(&["a1"]);
    world.cell.accept(job(1, vec![step(1)]));
    world.cell.schedule(world.now);
    assert_eq!(world.cell.pending("q"), 1, "an ordered start may be lost");
    let batch = world.cell.take_batch();
    world.cell.confirm(&batch);
    let started = Report {
        running: vec![row(task(1, 0, 0), 1, 0)],
        ended: Vec::new(),
    };
    world.report("a1", started);
    assert_eq!(world.cell.pending("q"), 0);
    world.end("a1", 1, task(1, 0, 0), 1, RunOutcome::Done);
    assert_eq!(world.cell.pending("q"), 0);
}

#[test]
fn tasks_on_a_worker_that_is_silent_or_may_be_told_to_go_count_as_away() {
    let mut world = guarded();
    for (id, task, run) in world.run() {
        let report = Report {
            running: vec![row(task, run, 100)],
            ended: Vec::new(),
        };
        world.report(&id, report);
    }
    assert_eq!(world.cell.disruption("a1"), Disruption::Free);
    world.cell.set_order_unconfirmed("b1", true);
    assert_eq!(
        world.cell.disruption("a1"),
        Disruption::Guarded,
        "an earlier owner may have told its VM to go"
    );
    world.cell.set_order_unconfirmed("b1", false);
    assert_eq!(world.cell.disruption("a1"), Disruption::Free);
    world.cell.mark_silent("b1", world.now);
    assert_eq!(world.cell.disruption("a1"), Disruption::Guarded);
}

#[test]
fn a_new_owner_takes_no_vm_out_before_its_workers_have_answered() {
    let mut world = guarded();
    world.run();
    world.take_over();
    for id in ["a1", "b1"] {
        world.cell.upsert_worker(worker(id), world.now);
    }
    assert_eq!(world.cell.disruption("a1"), Disruption::Guarded);
}

#[test]
fn workers_that_an_earlier_owner_used_are_silent_until_they_answer() {
    let mut world = World::new(&["a1", "b1"]);
    assert!(world.cell.silent_workers().is_empty());
    world.cell.accept(job(1, vec![step(1)]));
    let (used, ..) = world.run().remove(0);
    world.take_over();
    assert!(world.cell.silent_workers().contains(&used));
    world.cell.upsert_worker(worker(&used), world.now);
    assert!(world.cell.silent_workers().contains(&used));
    world.report(&used, Report::default());
    assert!(world.cell.silent_workers().is_empty());
    world.cell.mark_silent(&used, world.now);
    assert!(world.cell.silent_workers().contains(&used));
    world.cell.abandon_worker(&used, Loss::Ended, world.now);
    assert!(world.cell.silent_workers().is_empty());
}

#[test]
fn a_worker_that_is_not_known_is_not_taken_out_before_the_list_of_workers_is_read() {
    let mut world = World::new(&["a1"]);
    world.cell.accept(job(1, vec![step(1)]));
    world.run();
    world.take_over();
    assert_eq!(world.cell.disruption("a1"), Disruption::Guarded);
    assert_eq!(world.cell.disruption("new"), Disruption::Guarded);
    world.cell.mark_listed();
    assert_eq!(
        world.cell.disruption("a1"),
        Disruption::Guarded,
        "the records say that it has a run"
    );
    assert_eq!(world.cell.disruption("new"), Disruption::Free);
}
