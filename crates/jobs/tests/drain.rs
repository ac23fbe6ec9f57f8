//! Which runs leave a worker whose VM is to go.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

mod fixture;
mod world;

use fixture::{job, step};
use havenladder_jobs::{EndRow, Report, RunOutcome, Step};
use std::time::Duration;
use world::{World, row, task};
use yare::parameterized;

/// A world with work on `a1` and a little on `b1`.
fn busy(first: Step) -> World {
    let mut world = World::new(&["a1"]);
    world.cell.accept(job(1, vec![first]));
    world.run();
    world.join("b1");
    world.cell.set_closed("a1", true);
    world.cell.accept(job(2, vec![step(1)]));
    world.run();
    world.cell.set_closed("a1", false);
    world
}

fn long(count: u32) -> Step {
    Step {
        estimate_ms: 5_000,
        saves_progress: true,
        ..step(count)
    }
}

#[test]
fn runs_that_save_their_progress_go_on_elsewhere_from_there() {
    let mut world = busy(long(2));
    world.report(
        "a1",
        Report {
            running: vec![row(task(1, 0, 0), 1, 0), row(task(1, 0, 1), 1, 0)],
            ended: Vec::new(),
        },
    );
    assert!(world.cell.time_to_drain("a1", world.now) < Duration::from_secs(1));
    world.cell.set_closed("a1", true);
    assert_eq!(world.cell.drain_worker("a1", world.now), 2);
    assert_eq!(world.stops().len(), 2);
    world.end("a1", 1, task(1, 0, 0), 1, RunOutcome::Stopped);
    let started = world.run();
    assert_eq!(started, [("b1".into(), task(1, 0, 0), 2)]);
}

#[parameterized(
    saves_nothing = { Step { saves_progress: false, ..long(1) } },
    gang = { Step { gang: true, ..long(1) } },
    about_to_end = { Step { estimate_ms: 300, ..long(1) } },
)]
fn other_runs_are_left_to_end(step: Step) {
    let mut world = busy(step);
    world.cell.set_closed("a1", true);
    assert_eq!(world.cell.drain_worker("a1", world.now), 0);
    assert!(world.stops().is_empty());
}

#[test]
fn a_run_that_finds_no_room_elsewhere_stays() {
    // The other worker has room for three more tasks of one core.
    let mut world = busy(long(4));
    world.cell.set_closed("a1", true);
    assert_eq!(world.cell.drain_worker("a1", world.now), 3);
    assert!(world.cell.time_to_drain("a1", world.now) > Duration::from_secs(4));
}

#[test]
fn a_new_owner_goes_on_with_a_move_that_the_earlier_one_began() {
    let mut world = busy(long(1));
    let moved = task(1, 0, 0);
    world.cell.set_closed("a1", true);
    assert_eq!(world.cell.drain_worker("a1", world.now), 1);
    world.run();
    world.take_over();
    world.join("b1");
    world.cell.upsert_worker(fixture::worker("a1"), world.now);
    let mut stopped = Report::default();
    stopped.ended.push(EndRow {
        number: 1,
        task: moved,
        run: 1,
        how: RunOutcome::Stopped,
        saved: "half".to_owned(),
    });
    world.report("a1", stopped);
    assert_eq!(world.cell.jobs[&1].task(0, 0, 0).unwrap().saved, "half");
    let started = world.run();
    assert!(started.iter().any(|(_, id, run)| (*id, *run) == (moved, 2)));
}
