//! Rooms that shrink and grow while workers run, and figures that make no sense.

mod fixture;
#[expect(dead_code, reason = "only starts and reports are looked at here")]
mod world;

use fixture::{job, step, worker};
use havenladder_jobs::{Need, Order, Step, WorkerInfo};
use world::{World, task};
use yare::parameterized;

/// The same worker with so many cores.
fn with_cores(id: &str, cores: u64) -> WorkerInfo {
    let capacity = Need {
        cpu: cores * 1_000,
        ..worker(id).capacity
    };
    WorkerInfo {
        capacity,
        ..worker(id)
    }
}

#[parameterized(
    to_half = { 2, 2 },
    to_one = { 1, 1 },
    to_nothing = { 0, 0 },
    to_more = { 6, 6 },
)]
fn a_room_that_has_changed_is_used_as_it_is(cores: u64, count: usize) {
    let mut world = World::new(&["a1"]);
    world.cell.upsert_worker(with_cores("a1", cores), world.now);
    world.cell.accept(job(1, vec![step(8)]));
    assert_eq!(world.run().len(), count);
}

#[test]
fn what_is_being_stopped_fills_a_room_that_has_shrunk() {
    let mut world = World::new(&["a1"]);
    world.cell.accept(job(1, vec![step(2)]));
    assert_eq!(world.run().len(), 2);
    world.cell.cancel(1);
    world.cell.upsert_worker(with_cores("a1", 2), world.now);
    world.cell.accept(job(2, vec![step(1)]));
    assert!(world.run().is_empty(), "two runs are being stopped there");
}

#[test]
fn a_room_is_not_overfilled_by_a_start_that_waits_for_its_record() {
    let mut world = World::new(&["a1"]);
    world.cell.accept(job(1, vec![step(4)]));
    world.cell.schedule(world.now);
    let batch = world.cell.take_batch();
    world.cell.confirm(&batch);
    world.cell.upsert_worker(with_cores("a1", 3), world.now);
    let now = world.now;
    let mut confirmed = 0;
    for order in batch.starts {
        if let Order::Start { worker, task, run } = order {
            confirmed += usize::from(world.cell.prepare_start(&worker, task, run, now));
        }
    }
    assert_eq!(confirmed, 3);
    let back = world.cell.jobs[&1].task(0, 0, 0).map(|state| &state.phase);
    assert!(back.is_some());
    world.join("b1");
    assert_eq!(world.run().len(), 1, "it starts elsewhere");
}

#[test]
fn a_new_owner_uses_the_room_that_the_list_names() {
    let mut world = World::new(&["a1"]);
    world.cell.accept(job(1, vec![step(2)]));
    world.run();
    world.take_over();
    world.cell.upsert_worker(with_cores("a1", 2), world.now);
    world.cell.accept(job(2, vec![step(1)]));
    assert!(world.run().is_empty(), "two runs may be there");
}

#[parameterized(
    cpu = { Need { cpu: u64::MAX, memory: 1, gpu: 0 } },
    memory = { Need { cpu: 1, memory: u64::MAX - 50, gpu: 0 } },
    gpu = { Need { cpu: 1, memory: 1, gpu: u64::MAX } },
    all = { Need { cpu: u64::MAX, memory: u64::MAX, gpu: u64::MAX } },
)]
fn a_room_is_not_overfilled_by_a_need_that_makes_no_sense(need: Need) {
    let mut world = World::new(&["a1"]);
    world.cell.accept(job(1, vec![step(1)]));
    assert_eq!(world.run().len(), 1);
    world.cell.accept(job(2, vec![Step { need, ..step(2) }]));
    world.cell.accept(job(3, vec![step(1)]));
    let started = world.run();
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].1, task(3, 0, 0));
    assert!(world.cell.demand("s").waiting.cpu > 0);
}
