//! Tests of worker capacities that change at run time, and of needs that exceed any capacity.

mod fixture;
#[expect(dead_code, reason = "only starts and reports are tested here")]
mod harness;

use fixture::{job, step, worker};
use harness::{Harness, task};
use havenladder_jobs::{Need, Order, Step, WorkerInfo};
use yare::parameterized;

/// Returns the list entry of a worker with the given number of cores.
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
    to_zero = { 0, 0 },
    to_more = { 6, 6 },
)]
fn a_changed_capacity_is_used_as_reported(cores: u64, count: usize) {
    let mut harness = Harness::new(&["a1"]);
    harness
        .cell
        .upsert_worker(with_cores("a1", cores), harness.now);
    harness.cell.accept(job(1, vec![step(8)]));
    assert_eq!(harness.start_tasks().len(), count);
}

#[test]
fn runs_being_stopped_use_a_reduced_capacity() {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.accept(job(1, vec![step(2)]));
    assert_eq!(harness.start_tasks().len(), 2);
    harness.cell.cancel(1);
    harness.cell.upsert_worker(with_cores("a1", 2), harness.now);
    harness.cell.accept(job(2, vec![step(1)]));
    assert!(
        harness.start_tasks().is_empty(),
        "two runs are still being stopped on a1"
    );
}

#[test]
fn a_start_waiting_for_its_record_does_not_exceed_the_capacity() {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.accept(job(1, vec![step(4)]));
    harness.cell.schedule(harness.now);
    let batch = harness.cell.take_batch();
    harness.cell.confirm(&batch);
    harness.cell.upsert_worker(with_cores("a1", 3), harness.now);
    let now = harness.now;
    let mut confirmed = 0;
    for order in batch.starts {
        if let Order::Start { worker, task, run } = order {
            confirmed += usize::from(harness.cell.prepare_start(&worker, task, run, now));
        }
    }
    assert_eq!(confirmed, 3);
    let withdrawn = harness.cell.jobs[&1]
        .task(0, 0, 0)
        .map(|state| &state.phase);
    assert!(withdrawn.is_some());
    harness.add_worker("b1");
    assert_eq!(
        harness.start_tasks().len(),
        1,
        "the withdrawn task starts on another worker"
    );
}

#[test]
fn a_new_owner_uses_the_listed_capacity() {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.accept(job(1, vec![step(2)]));
    harness.start_tasks();
    harness.take_over();
    harness.cell.upsert_worker(with_cores("a1", 2), harness.now);
    harness.cell.accept(job(2, vec![step(1)]));
    assert!(
        harness.start_tasks().is_empty(),
        "two runs of the earlier owner may still use a1"
    );
}

#[parameterized(
    cpu = { Need { cpu: u64::MAX, memory: 1, gpu: 0 } },
    memory = { Need { cpu: 1, memory: u64::MAX - 50, gpu: 0 } },
    gpu = { Need { cpu: 1, memory: 1, gpu: u64::MAX } },
    all = { Need { cpu: u64::MAX, memory: u64::MAX, gpu: u64::MAX } },
)]
fn an_invalid_need_does_not_exceed_the_capacity(need: Need) {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.accept(job(1, vec![step(1)]));
    assert_eq!(harness.start_tasks().len(), 1);
    harness.cell.accept(job(2, vec![Step { need, ..step(2) }]));
    harness.cell.accept(job(3, vec![step(1)]));
    let started = harness.start_tasks();
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].1, task(3, 0, 0));
    assert!(harness.cell.demand("s").waiting.cpu > 0);
}
