//! Tests of tasks that fit on no worker, and of what they keep from others.
//!
//! Guards against accepted jobs that never start on idle workers. A pass over the waiting tasks of a service ended after
//! 32 of them that fitted nowhere. Long-running tasks go first, so that 32 of them whose label no worker had any more
//! kept all other jobs of the service waiting for as long as they were there.

mod fixture;
#[expect(dead_code, reason = "no owner is replaced here")]
mod harness;

use fixture::{job, step, worker};
use harness::{Harness, task};
use havenladder_jobs::{JobId, Need, RunOutcome, Step, Submission};
use yare::parameterized;

/// Id of the job that fits.
const FITTING: JobId = 9_999_999;

/// Maximum number of passes until a task is tried that waits behind 2,000 jobs which fit nowhere.
const MAX_PASSES: usize = 20;

fn long_running(count: u32, cpu: u64) -> Step {
    let mut step = Step {
        long_running: true,
        ..step(count)
    };
    step.need.cpu = cpu;
    step
}

fn finite(count: u32, cpu: u64) -> Step {
    let mut step = step(count);
    step.need.cpu = cpu;
    step
}

/// Submits the job that fits and returns in which pass it starts, of [`MAX_PASSES`] at most.
fn first_start(harness: &mut Harness, fitting: Step) -> Option<usize> {
    harness.cell.accept(job(FITTING, vec![fitting]));
    (1..=MAX_PASSES).find(|_| {
        let started = harness.start_tasks();
        started.iter().any(|(_, task, _)| task.job == FITTING)
    })
}

#[parameterized(
    tasks_without_a_worker_of_their_label = { Step { label: Some("b".to_owned()), ..long_running(40, 1_000) } },
    many_such_tasks = { Step { label: Some("b".to_owned()), ..long_running(5_000, 1_000) } },
    tasks_larger_than_every_worker = { long_running(40, 5_000) },
    more_tasks_than_workers_that_may_have_only_one = { Step { max_per_worker: Some(1), ..long_running(40, 1_000) } },
    finite_tasks_without_a_worker_of_their_label = { Step { label: Some("b".to_owned()), ..step(40) } },
    finite_tasks_larger_than_every_worker = { finite(40, 5_000) },
    gangs_larger_than_every_worker = { Step { gang: true, ..finite(40, 5_000) } },
)]
fn tasks_that_fit_nowhere_keep_nobody_waiting(misfit: Step) {
    let mut harness = Harness::new(&["a1", "b1"]);
    harness.cell.accept(job(1, vec![misfit]));
    harness.start_tasks();
    assert_eq!(first_start(&mut harness, step(1)), Some(1));
}

/// Returns a job whose tasks may run only where the queue's policy allows it.
fn permitted(id: JobId, step: Step) -> Submission {
    Submission {
        requires_permits: true,
        ..job(id, vec![step])
    }
}

#[test]
fn tasks_without_permits_keep_nobody_waiting() {
    let mut harness = Harness::new(&["a1", "b1"]);
    for id in 1..=40 {
        harness.cell.accept(permitted(id, step(1)));
    }
    harness.start_tasks();
    assert_eq!(first_start(&mut harness, step(1)), Some(1));
}

/// Each job fits nowhere for a reason of its own, which only a search among all workers shows. There are more such jobs
/// than one pass has time for.
#[parameterized(
    forty = { 40 },
    two_thousand = { 2_000 },
)]
fn jobs_that_fit_nowhere_keep_nobody_waiting(jobs: JobId) {
    let names: Vec<String> = (0..198).map(|number| format!("a{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut harness = Harness::new(&[&names[..], &["b1", "b2"]].concat());
    for id in 1..=jobs {
        let mut apart = Step {
            max_per_worker: Some(1),
            label: Some("r-b".to_owned()),
            ..long_running(3, 1)
        };
        apart.need.memory = 1;
        harness.cell.accept(job(id, vec![apart]));
    }
    let mut started = 0;
    for _ in 0..MAX_PASSES {
        started += harness.start_tasks().len();
    }
    assert_eq!(started, 2 * jobs as usize, "each job lacks a third worker");
    assert!(
        first_start(&mut harness, step(1)).is_some(),
        "not tried in {MAX_PASSES} passes"
    );
    harness
        .cell
        .accept(job(FITTING + 1, vec![long_running(1, 1_000)]));
    assert!(
        starts_soon(&mut harness, FITTING + 1),
        "a task that goes before others was not tried in {MAX_PASSES} passes"
    );
}

/// Returns whether a job starts in one of the next passes.
fn starts_soon(harness: &mut Harness, job: JobId) -> bool {
    (0..MAX_PASSES).any(|_| {
        let started = harness.start_tasks();
        started.iter().any(|(_, task, _)| task.job == job)
    })
}

/// Tasks at the head of the queue are tried in every pass, however many fit nowhere behind them.
#[test]
fn freed_capacity_goes_to_the_first_task() {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.accept(job(1, vec![finite(1, 4_000)]));
    assert_eq!(harness.start_tasks().len(), 1);
    for id in 2..=100 {
        harness.cell.accept(job(id, vec![finite(1, 4_000)]));
    }
    assert!(harness.start_tasks().is_empty());
    harness.report_end("a1", 1, task(1, 0, 0), 1, RunOutcome::Done);
    assert_eq!(harness.start_tasks(), [("a1".into(), task(2, 0, 0), 1)]);
}

/// Returns a service of four workers with `used` cores of each in use by tasks that end by themselves, where 40 tasks wait
/// that need a whole worker.
fn large_tasks_waiting(used: u64) -> Harness {
    let mut harness = Harness::new(&["a1", "b1", "c1", "d1"]);
    let apart = Step {
        max_per_worker: Some(1),
        ..finite(4, used * 1_000)
    };
    harness.cell.accept(job(1, vec![apart]));
    assert_eq!(harness.start_tasks().len(), 4);
    harness.cell.accept(job(2, vec![finite(40, 4_000)]));
    assert!(harness.start_tasks().is_empty());
    harness
}

/// Small tasks behind large ones would take each gap before it is large enough.
#[test]
fn a_busy_service_keeps_freed_capacity_for_tasks_in_front() {
    let mut harness = large_tasks_waiting(2);
    assert_eq!(first_start(&mut harness, step(1)), None);
    harness.report_end("a1", 1, task(1, 0, 0), 1, RunOutcome::Done);
    assert_eq!(harness.start_tasks(), [("a1".into(), task(2, 0, 0), 1)]);
}

/// Where most capacity is idle, waiting for runs to end would leave it so.
#[test]
fn an_idle_service_keeps_nothing_for_tasks_in_front() {
    let mut harness = large_tasks_waiting(1);
    assert_eq!(first_start(&mut harness, step(1)), Some(1));
}

/// The large tasks would wait for ever, since what is in their way does not end.
#[test]
fn a_busy_service_keeps_nothing_where_no_run_ends() {
    let mut harness = Harness::new(&["a1", "b1", "c1", "d1"]);
    let apart = Step {
        max_per_worker: Some(1),
        ..long_running(4, 2_000)
    };
    harness.cell.accept(job(1, vec![apart]));
    assert_eq!(harness.start_tasks().len(), 4);
    harness.cell.accept(job(2, vec![finite(40, 4_000)]));
    let gang = Step {
        gang: true,
        ..finite(40, 1_000)
    };
    harness.cell.accept(job(3, vec![gang]));
    assert!(harness.start_tasks().is_empty());
    assert_eq!(first_start(&mut harness, step(1)), Some(1));
}

/// No run on a worker ends by itself, so that its capacity would be kept free for ever.
#[test]
fn workers_whose_runs_do_not_end_are_not_reserved() {
    let mut harness = Harness::new(&["a1", "b1", "c1", "d1"]);
    let apart = Step {
        max_per_worker: Some(1),
        ..long_running(4, 1_000)
    };
    harness.cell.accept(job(1, vec![apart]));
    assert_eq!(harness.start_tasks().len(), 4);
    harness.cell.accept(job(2, vec![long_running(8, 3_500)]));
    assert!(harness.start_tasks().is_empty());
    assert_eq!(first_start(&mut harness, step(1)), Some(1));
}

/// Half of the workers stay open to others while long-running tasks wait for runs that end by themselves.
#[test]
fn waiting_tasks_reserve_half_of_the_workers_at_most() {
    let mut harness = Harness::new(&["a1", "b1", "c1", "d1"]);
    let apart = Step {
        max_per_worker: Some(1),
        ..finite(4, 1_000)
    };
    harness.cell.accept(job(1, vec![apart]));
    assert_eq!(harness.start_tasks().len(), 4);
    harness.cell.accept(job(2, vec![long_running(8, 3_500)]));
    assert!(harness.start_tasks().is_empty());
    harness.cell.accept(job(3, vec![step(12)]));
    assert_eq!(
        harness.start_tasks().len(),
        6,
        "three on each of two workers"
    );
}

/// More VMs would not help tasks that need more than any VM has, and there may be thousands of them.
#[test]
fn tasks_larger_than_every_worker_demand_none() {
    let mut harness = Harness::new(&["a1", "b1"]);
    harness
        .cell
        .accept(job(1, vec![long_running(5_000, 5_000)]));
    harness.start_tasks();
    assert_eq!(harness.cell.demand("s").unschedulable.need, Need::default());
}

/// Another writer may list a worker of any size, and no VM is as large.
#[test]
fn a_worker_that_has_never_answered_does_not_count_as_the_largest() {
    let mut harness = Harness::new(&["a1", "b1"]);
    let mut odd = worker("i-odd");
    odd.capacity.cpu = 10_000_000;
    harness.cell.upsert_worker(odd, harness.now);
    harness.cell.accept(job(1, vec![long_running(50, 5_000)]));
    assert!(harness.start_tasks().is_empty());
    assert_eq!(harness.cell.demand("s").unschedulable.need, Need::default());
}

/// All waiting tasks count, however many there are.
#[test]
fn every_unschedulable_task_demands_capacity() {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.accept(job(1, vec![long_running(104, 1_000)]));
    assert_eq!(harness.start_tasks().len(), 4);
    let capacity = fixture::worker("a1").capacity;
    let demand = harness.cell.demand("s").unschedulable;
    assert_eq!(demand.workers(capacity), 25);
}
