//! Data centres that operators want emptied: nothing begins there, and what can go on elsewhere leaves.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

mod fixture;
mod world;

use fixture::{job, step, worker};
use havenladder_jobs::{Obstacle, Report, RunOutcome, Step, WorkerInfo};
use std::collections::BTreeSet;
use world::{World, row, task};

/// A worker in the data centre `z-` and its first letter.
fn in_hall(id: &str) -> WorkerInfo {
    WorkerInfo {
        hall: format!("z-{}", &id[..1]),
        ..worker(id)
    }
}

/// A world whose workers are in the data centres that their names begin with.
fn halls(workers: &[&str]) -> World {
    let mut world = World::new(&[]);
    for id in workers {
        world.cell.upsert_worker(in_hall(id), world.now);
        world.report(id, Report::default());
    }
    world
}

fn empty(world: &mut World, hall: &str) {
    world
        .cell
        .set_drained_halls(BTreeSet::from([format!("z-{hall}")]));
}

fn lasting(count: u32, disruption_budget: Option<u32>) -> Step {
    Step {
        long_running: true,
        disruption_budget,
        ..step(count)
    }
}

/// The workers on which tasks of the first job started.
fn started(world: &mut World) -> Vec<String> {
    let started = world.run().into_iter();
    started.map(|(worker, ..)| worker.to_string()).collect()
}

#[test]
fn nothing_begins_in_a_data_centre_that_is_to_be_emptied_until_it_is_taken_back() {
    let mut world = halls(&["a1", "b1"]);
    empty(&mut world, "a");
    world.cell.accept(job(1, vec![step(6)]));
    assert_eq!(started(&mut world), ["b1"; 4]);
    let waiting = world.cell.obstacles(task(1, 0, 5), world.now);
    assert_eq!(waiting[&Obstacle::Emptied], 1);
    world.cell.set_drained_halls(BTreeSet::new());
    assert_eq!(started(&mut world), ["a1"; 2]);
}

#[test]
fn a_start_that_was_decided_before_the_order_is_not_sent_after_it() {
    let mut world = halls(&["a1", "b1"]);
    world.cell.set_closed("b1", true);
    world.cell.accept(job(1, vec![step(1)]));
    world.cell.schedule(world.now);
    let batch = world.cell.take_batch();
    world.cell.confirm(&batch);
    assert_eq!(batch.starts.len(), 1);
    empty(&mut world, "a");
    let confirmed = world.cell.prepare_start("a1", task(1, 0, 0), 1, world.now);
    assert!(!confirmed);
    world.cell.set_closed("b1", false);
    assert_eq!(started(&mut world), ["b1"]);
}

#[test]
fn a_worker_that_is_listed_after_the_order_gets_nothing_either() {
    let mut world = halls(&["b1"]);
    empty(&mut world, "a");
    world.cell.upsert_worker(in_hall("a1"), world.now);
    world.report("a1", Report::default());
    world.cell.accept(job(1, vec![step(8)]));
    assert_eq!(started(&mut world), ["b1"; 4]);
}

#[test]
fn gangs_find_their_places_elsewhere_or_wait() {
    let mut world = halls(&["a1", "b1"]);
    empty(&mut world, "a");
    let gang = |count| Step {
        gang: true,
        ..step(count)
    };
    world.cell.accept(job(1, vec![gang(5)]));
    assert!(started(&mut world).is_empty());
    world.cell.accept(job(2, vec![gang(4)]));
    assert_eq!(started(&mut world), ["b1"; 4]);
}

/// Starts a lasting step on `a1` and `a2`, adds `b1` and `b2`, and empties the first data centre.
fn leaving(budget: Option<u32>) -> World {
    let mut world = halls(&["a1", "a2"]);
    world.cell.accept(job(1, vec![lasting(4, budget)]));
    for (worker, task, run) in world.run() {
        let running = world.cell.workers.get(&worker).unwrap().runs.keys();
        let running = running.map(|(task, run)| row(*task, *run, 100)).collect();
        let ended = Vec::new();
        world.report(&worker, Report { running, ended });
        assert_eq!((task.job, run), (1, 1));
    }
    for id in ["b1", "b2"] {
        world.cell.upsert_worker(in_hall(id), world.now);
        world.report(id, Report::default());
    }
    empty(&mut world, "a");
    world
}

#[test]
fn lasting_tasks_leave_within_their_budget() {
    for (budget, away) in [(None, 1), (Some(0), 0), (Some(2), 2)] {
        let mut world = leaving(budget);
        assert_eq!(world.cell.drain_halls(world.now), away, "{budget:?}");
        assert_eq!(
            world.cell.drain_halls(world.now),
            0,
            "no more before these are back"
        );
    }
}

#[test]
fn all_lasting_tasks_have_left_in_the_end() {
    let mut world = leaving(Some(1));
    for _ in 0..4 {
        assert_eq!(world.cell.drain_halls(world.now), 1);
        let (worker, task, run) = world.stops().pop().unwrap();
        let number = world.cell.workers.get(&worker).unwrap().acknowledged + 1;
        world.end(&worker, number, task, run, RunOutcome::Stopped);
        let (to, task, run) = world.run().pop().unwrap();
        assert!(to.starts_with('b'), "{to}");
        let mut running: Vec<_> = world.cell.workers.get(&to).unwrap().runs.keys().collect();
        running.sort();
        let running = running.into_iter().map(|(t, r)| row(*t, *r, 100)).collect();
        world.report(
            &to,
            Report {
                running,
                ended: Vec::new(),
            },
        );
        assert_eq!((task.job, run), (1, 2));
    }
    assert_eq!(world.cell.count_runs_in_drained_halls(), 0);
    assert_eq!(world.cell.drain_halls(world.now), 0);
}

#[test]
fn lasting_tasks_stay_where_there_is_no_room_elsewhere() {
    let mut world = halls(&["a1"]);
    world.cell.accept(job(1, vec![lasting(2, None)]));
    let started = world.run().into_iter();
    let running = started.map(|(_, task, run)| row(task, run, 100)).collect();
    let ended = Vec::new();
    world.report("a1", Report { running, ended });
    empty(&mut world, "a");
    assert_eq!(world.cell.drain_halls(world.now), 0);
    assert_eq!(world.cell.count_runs_in_drained_halls(), 2);
}

#[test]
fn an_owner_that_takes_over_knows_the_order_before_it_meets_workers() {
    let mut world = halls(&["a1", "b1"]);
    world.cell.accept(job(1, vec![step(8)]));
    assert_eq!(world.run().len(), 8);
    world.take_over();
    empty(&mut world, "a");
    for id in ["a1", "b1"] {
        world.cell.upsert_worker(in_hall(id), world.now);
        world.report(id, Report::default());
    }
    // None of the runs is there: all tasks are tried again, in the data centre that is left.
    assert_eq!(started(&mut world), ["b1"; 4]);
}
