//! Runs that nobody asks for any more are stopped by whatever owner sees them, until a report shows them gone.

mod fixture;
#[expect(dead_code, reason = "ends are not looked at here")]
mod world;

use fixture::{job, step, worker};
use havenladder_jobs::{Cell, Limits, Report, RunId, TaskId};
use world::{World, row, task};

/// A report of one run that goes on.
fn running(first: TaskId, run: RunId) -> Report {
    Report {
        running: vec![row(first, run, 40)],
        ended: vec![],
    }
}

/// A world where a job was cancelled before its worker carried the start out.
fn started_late() -> (World, TaskId, RunId) {
    let mut world = World::new(&["a1"]);
    world.cell.accept(job(1, vec![step(1)]));
    let (_, first, run) = world.run().remove(0);
    world.cell.cancel(1);
    (world, first, run)
}

#[test]
fn a_run_that_goes_on_after_its_stop_is_stopped_again() {
    let (mut world, first, run) = started_late();
    assert_eq!(world.stops(), [("a1".into(), first, run)]);
    world.cell.stop_accepted("a1", first, run, world.now);
    world.report("a1", running(first, run));
    assert!(world.stops().is_empty(), "the stop has not had its time");
    world.pass(1_000);
    world.report("a1", running(first, run));
    assert_eq!(world.stops(), [("a1".into(), first, run)]);
    world.cell.stop_accepted("a1", first, run, world.now);
    world.pass(1_000);
    world.report("a1", Report::default());
    world.report("a1", running(task(2, 0, 0), 1));
    assert_eq!(world.stops(), [("a1".into(), task(2, 0, 0), 1)]);
}

#[test]
fn an_owner_that_never_heard_of_a_job_stops_its_runs() {
    let (mut world, first, run) = started_late();
    world.cell = Cell::new(Limits::default());
    world.cell.upsert_worker(worker("a1"), world.now);
    world.report("a1", running(first, run));
    assert_eq!(world.stops(), [("a1".into(), first, run)]);
    world.cell.stop_accepted("a1", first, run, world.now);
    world.pass(1_000);
    world.report("a1", running(first, run));
    assert_eq!(world.stops(), [("a1".into(), first, run)]);
}
