//! Benchmarks of a placement pass without free capacity, of placing tasks and of a takeover, at several sizes.

#![expect(
    missing_docs,
    reason = "criterion's macros make functions without docs"
)]

use clock::Instant;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use havenladder_jobs::{
    Cell, Decoded, JobSpec, Limits, Need, Report, Step, Submission, WorkerInfo, decode_entry,
};
use std::{hint::black_box, ops::Range};

/// Numbers of workers and waiting tasks: a small pool, a large pool with few and many tasks, and an overloaded pool of
/// 350 VMs.
const SIZES: [(usize, u32); 4] = [(8, 20), (80, 200), (80, 2_000), (350, 2_000)];

/// Number of tasks of each job.
const TASKS: u32 = 8;

/// Numbers of workers and of waiting jobs that fit nowhere: those of a large site, ten times the jobs, and a fleet.
const MISFIT_SIZES: [(usize, u64); 3] = [(350, 1_000), (350, 10_000), (4_000, 10_000)];

/// Why a job fits nowhere although its workers are mostly idle.
#[derive(Clone, Copy, Debug)]
enum Misfit {
    /// No worker has the label that its long-running tasks require.
    Label,
    /// Its long-running tasks need more than any worker has free, each job another amount.
    Need,
    /// Its tasks need more than any worker has free, each job another amount.
    FiniteNeed,
    /// Each worker that it may use has a task of it already.
    Affinity,
}

/// Numbers of live jobs of a takeover.
const JOBS: [u64; 2] = [200, 2_000];

fn worker(number: usize) -> WorkerInfo {
    WorkerInfo {
        id: format!("i-{number:06}").as_str().into(),
        service: "s".to_owned(),
        address: "10.0.0.1:1".to_owned(),
        hall: "z".to_owned(),
        labels: vec!["a".to_owned(), format!("r-{}", number / 4)],
        capacity: Need {
            cpu: 16_000,
            memory: 32_000,
            gpu: 0,
        },
        draining: false,
    }
}

fn job(id: u64) -> Submission {
    let need = Need {
        cpu: 900,
        memory: 1_000,
        gpu: 0,
    };
    let step = Step {
        count: TASKS,
        need,
        estimate_ms: 1_000,
        ..Step::default()
    };
    Submission {
        id,
        queue: "q".to_owned(),
        service: "s".to_owned(),
        priority: 0,
        max_attempts: 3,
        requires_permits: false,
        submitted_at: 0,
        stretch: 1.6,
        slack: 600,
        spec: JobSpec {
            text: "text".to_owned(),
            steps: vec![step],
            schedule: None,
        },
        workspace: None,
    }
}

/// Submits jobs with the given ids.
fn submit(cell: &mut Cell, ids: Range<u64>) {
    for id in ids {
        cell.accept(job(id));
    }
}

/// Returns a cell in which all workers have reported.
fn cell(workers: usize, now: Instant) -> Cell {
    let mut cell = Cell::new(Limits::default());
    for number in 0..workers {
        let info = worker(number);
        let id = info.id.clone();
        cell.upsert_worker(info, now);
        cell.apply_report(&id, &Report::default(), now, now);
    }
    cell
}

/// Returns a cell whose workers are full, with the given number of waiting tasks.
fn full_cell(workers: usize, waiting: u32, now: Instant) -> Cell {
    let mut cell = cell(workers, now);
    let fits = workers as u32 * 17;
    submit(&mut cell, 0..u64::from(fits / TASKS));
    cell.schedule(now);
    submit(&mut cell, 1_000_000..1_000_000 + u64::from(waiting / TASKS));
    cell.schedule(now);
    cell.take_batch();
    cell
}

fn bench_passes(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("pass without room");
    for (workers, waiting) in SIZES {
        let now = Instant::now();
        let mut cell = full_cell(workers, waiting, now);
        let id = BenchmarkId::from_parameter(format!("{workers} workers, {waiting} tasks"));
        group.bench_function(id, |b| b.iter(|| cell.schedule(black_box(now))));
    }
    group.finish();
}

/// Returns a job that fits nowhere on the workers of [`busy_cell`].
fn misfit(id: u64, why: Misfit) -> Submission {
    let mut submission = job(id);
    let step = &mut submission.spec.steps[0];
    step.count = 2;
    step.long_running = true;
    match why {
        Misfit::Label => step.label = Some("b".to_owned()),
        Misfit::Need => step.need.cpu = 20_000 - id % 8_000,
        Misfit::FiniteNeed => {
            step.long_running = false;
            step.need.cpu = 20_000 - id % 8_000;
        }
        Misfit::Affinity => {
            step.count = 5;
            step.max_per_worker = Some(1);
            step.label = Some("r-0".to_owned());
            step.need = Need {
                cpu: 1,
                memory: 1,
                gpu: 0,
            };
        }
    }
    submission
}

/// Returns a cell with a long-running task of five cores on each worker.
fn busy_cell(workers: usize, now: Instant) -> Cell {
    let mut cell = cell(workers, now);
    let mut busy = job(0);
    let step = &mut busy.spec.steps[0];
    step.count = workers as u32;
    step.long_running = true;
    step.max_per_worker = Some(1);
    step.need.cpu = 5_000;
    cell.accept(busy);
    cell.schedule(now);
    cell
}

fn bench_misfits(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("pass over misfits");
    group.sample_size(20);
    for (workers, waiting) in MISFIT_SIZES {
        for why in [
            Misfit::Label,
            Misfit::Need,
            Misfit::FiniteNeed,
            Misfit::Affinity,
        ] {
            let now = Instant::now();
            let mut cell = busy_cell(workers, now);
            for id in 1..=waiting {
                cell.accept(misfit(id, why));
            }
            cell.schedule(now);
            cell.take_batch();
            let size = format!("{workers} workers, {waiting} jobs");
            group.bench_function(BenchmarkId::new(format!("{why:?}"), size), |b| {
                b.iter(|| cell.schedule(black_box(now)))
            });
        }
    }
    group.finish();
}

fn bench_placements(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("place 200 tasks");
    for workers in [80, 350] {
        let now = Instant::now();
        let empty = || {
            let mut cell = cell(workers, now);
            submit(&mut cell, 0..25);
            cell
        };
        group.bench_function(BenchmarkId::from_parameter(workers), |b| {
            b.iter_with_setup(empty, |mut cell| cell.schedule(now));
        });
    }
    group.finish();
}

fn bench_takeovers(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("takeover");
    group.sample_size(20);
    for jobs in JOBS {
        let now = Instant::now();
        let mut cell = cell(350, now);
        submit(&mut cell, 0..jobs);
        cell.schedule(now);
        let entries = cell.take_batch().entries;
        group.bench_function(BenchmarkId::new("live jobs", jobs), |b| {
            b.iter(|| {
                let decode = |e: &havenladder_jobs::Entry| {
                    decode_entry(&e.key, e.value.as_deref().unwrap_or_default()).ok()
                };
                let records: Vec<Decoded> = entries.iter().filter_map(decode).collect();
                let mut next = Cell::new(Limits::default());
                next.load_records(records);
                next
            });
        });
    }
    group.finish();
}

criterion_group!(
    benches,
    bench_passes,
    bench_misfits,
    bench_placements,
    bench_takeovers
);
criterion_main!(benches);
