//! Bounds that cannot be read, and needs that no worker could ever have.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

mod fixture;
#[expect(dead_code, reason = "stops and ends are not looked at here")]
mod world;

use fixture::{job, step, worker};
use havenladder_jobs::{Bound, JobId, Need, Report, Step, Submission};
use std::time::Duration;
use world::World;

/// The workspace of all jobs here.
const SCHOOL: &str = "school";

fn job_of_school(id: JobId, steps: Vec<Step>) -> Submission {
    Submission {
        workspace: Some(SCHOOL.to_owned()),
        ..job(id, steps)
    }
}

#[test]
fn a_bound_that_cannot_be_read_stays_shut_when_the_workspace_is_not_named_any_more() {
    let mut world = World::new(&["a1"]);
    world.cell.set_bounds([(SCHOOL.to_owned(), Bound::CLOSED)]);
    world.cell.accept(job_of_school(1, vec![step(2)]));
    assert!(world.run().is_empty());
    world.cell.set_bounds([]);
    assert!(world.run().is_empty(), "it keeps the bound that it had");
    world.cell.set_bounds([(SCHOOL.to_owned(), Bound::NONE)]);
    assert_eq!(world.run().len(), 2);
}

#[test]
fn a_workspace_that_no_configuration_has_named_has_no_bound() {
    let mut world = World::new(&["a1"]);
    world.cell.accept(job_of_school(1, vec![step(2)]));
    assert!(world.run().is_empty(), "its configuration is on its way");
    world.cell.set_bounds([]);
    assert_eq!(world.run().len(), 2);
}

#[test]
fn an_absurd_need_leaves_what_else_is_running_on_the_account() {
    let mut world = World::new(&["a1"]);
    world.cell.set_bounds([(SCHOOL.to_owned(), Bound::NONE)]);
    world.cell.accept(job_of_school(1, vec![step(2)]));
    assert_eq!(world.run().len(), 2);
    let absurd = Step {
        need: Need {
            cpu: u64::MAX,
            memory: u64::MAX,
            gpu: 0,
        },
        ..step(3)
    };
    world.cell.accept(job_of_school(2, vec![absurd]));
    world.run();
    world.take_over();
    let expires = world.now + Duration::from_secs(9);
    world.cell.raise_takeover_barrier(expires, false);
    let used = |world: &World| world.cell.account(SCHOOL).unwrap().used();
    assert_eq!(used(&world).cpu, u64::MAX, "all of it may run");
    world.cell.upsert_worker(worker("a1"), world.now);
    world.cell.mark_listed();
    let runs = (0..2).map(|index| world::row(world::task(1, 0, index), 1, 50));
    let running = runs.collect();
    world.report(
        "a1",
        Report {
            running,
            ended: Vec::new(),
        },
    );
    world.cell.set_bounds([(SCHOOL.to_owned(), Bound::NONE)]);
    world.run();
    let two = Need {
        cpu: 2_000,
        memory: 200,
        gpu: 0,
    };
    assert_eq!(used(&world), two, "the absurd ones are known not to run");
}
