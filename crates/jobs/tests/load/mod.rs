//! Simulates a load on a cell: workspaces submit jobs, workers run them, and the outcomes for callers are counted.

use crate::fixture::{job, step, worker};
use clock::Instant;
use havenladder_jobs::{
    Accepted, Bound, Cell, EndRow, Forecast, JobId, Limits, Need, Order, Phase, Report, RunId,
    RunOutcome, RunRow, Submission, TaskId, WorkerId, WorkerInfo, WorkspaceId,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

/// Length of a simulation step, in ms.
const TICK_MS: u64 = 20;

/// The service of all jobs.
const SERVICE: &str = "s";

/// Multiple of its critical path that a job may take to be in time.
const STRETCH: f64 = 1.6;
/// Time that a job may take beyond the stretched critical path to be in time, in ms.
const SLACK_MS: u64 = 600;

/// A stream of jobs that arrive at `rate` per second between two times; each has `tasks` tasks of one core and
/// about `ms` milliseconds.
#[derive(Clone, Debug)]
pub struct Stream {
    pub workspace: &'static str,
    pub rate: f64,
    pub from: u64,
    pub until: u64,
    pub tasks: u32,
    pub ms: u64,
}

/// Numbers of jobs of a workspace by their outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CallerOutcomes {
    pub submitted: u32,
    pub in_time: u32,
    pub late: u32,
    /// Jobs that were rejected immediately, since they would be too late.
    pub rejected: u32,
    /// Accepted jobs that did not end within three times their maximum latency.
    pub failed: u32,
}

impl CallerOutcomes {
    /// Returns the share of the submitted jobs that ended in time.
    pub fn share(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.submitted.max(1))
    }
}

/// A running run and the time at which it ends.
struct Run {
    ends: u64,
    worker: WorkerId,
    task: TaskId,
    run: RunId,
}

/// The state of a load simulation.
pub struct Load {
    pub cell: Cell,
    rng: StdRng,
    start: Instant,
    now: u64,
    workers: Vec<WorkerId>,
    runs: Vec<Run>,
    end_numbers: HashMap<WorkerId, u64>,
    /// For each job that has not ended: when it was submitted, its workspace and the length of its critical path in
    /// ms.
    open_jobs: HashMap<JobId, (u64, &'static str, u64)>,
    due: Vec<f64>,
    streams: Vec<Stream>,
    outcomes: BTreeMap<&'static str, CallerOutcomes>,
    next_job: JobId,
    /// Whether jobs are submitted with their workspace.
    with_workspaces: bool,
}

impl Load {
    /// Creates a simulation with the given number of workers, which have four cores each, and the given streams.
    pub fn new(seed: u64, workers: usize, streams: Vec<Stream>) -> Self {
        let start = Instant::now();
        let mut cell = Cell::new(Limits::default());
        cell.set_bounds(
            streams
                .iter()
                .map(|stream| (stream.workspace.to_owned(), Bound::NONE)),
        );
        let names: Vec<String> = (0..workers).map(|number| format!("w{number:03}")).collect();
        for name in &names {
            let info = WorkerInfo {
                service: SERVICE.to_owned(),
                ..worker(name)
            };
            cell.upsert_worker(info, start);
            cell.apply_report(name, &Report::default(), start, start);
        }
        Load {
            cell,
            rng: StdRng::seed_from_u64(seed),
            start,
            now: 0,
            workers: names.iter().map(|name| name.as_str().into()).collect(),
            runs: Vec::new(),
            end_numbers: HashMap::new(),
            open_jobs: HashMap::new(),
            due: streams.iter().map(|stream| stream.from as f64).collect(),
            streams,
            outcomes: BTreeMap::new(),
            next_job: 1,
            with_workspaces: false,
        }
    }

    /// Sets the weights of workspaces. Jobs are submitted with their workspace only after this call.
    pub fn set_weights(&mut self, weights: &[(&str, f64)]) {
        self.with_workspaces = true;
        let weights = weights
            .iter()
            .map(|(name, weight)| ((*name).to_owned(), *weight));
        self.cell.set_weights(weights);
    }

    /// Continues the simulation until a time in ms and returns the outcomes of each workspace.
    pub fn play(&mut self, until: u64) -> BTreeMap<&'static str, CallerOutcomes> {
        while self.now < until {
            self.now += TICK_MS;
            self.cell.mark_due(self.now);
            self.update_backlog();
            self.submit_due();
            self.end_runs();
            self.decide();
            self.record_ended_jobs();
        }
        let open_jobs = std::mem::take(&mut self.open_jobs);
        for (submitted_at, workspace, chain_ms) in open_jobs.into_values() {
            let outcomes = self.outcomes.entry(workspace).or_default();
            match (self.now - submitted_at) as f64 > 3.0 * max_latency(chain_ms) {
                true => outcomes.failed += 1,
                // The job may still end within its limit, so it does not count.
                false => outcomes.submitted -= 1,
            }
        }
        self.outcomes.clone()
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_millis(self.now)
    }

    /// Updates the backlog every 100 ms, as the sizing of pools does.
    fn update_backlog(&mut self) {
        if self.now.is_multiple_of(100) {
            let cpu = self.workers.len() as u64 * 4_000;
            self.cell.update_backlog(SERVICE, cpu);
        }
    }

    fn submit_due(&mut self) {
        for number in 0..self.streams.len() {
            let stream = self.streams[number].clone();
            while self.due[number] <= self.now as f64 && self.now < stream.until {
                self.due[number] += 1_000.0 / stream.rate * self.rng.random_range(0.5..1.5);
                self.submit(&stream);
            }
        }
    }

    fn submit(&mut self, stream: &Stream) {
        let estimate = (stream.ms as f64 * self.rng.random_range(0.6..1.4)) as u64;
        let mut one = step(stream.tasks);
        one.estimate_ms = estimate;
        let submission = Submission {
            workspace: self
                .with_workspaces
                .then(|| WorkspaceId::from(stream.workspace)),
            submitted_at: self.now,
            stretch: STRETCH,
            slack: SLACK_MS,
            ..job(self.next_job, vec![one])
        };
        self.next_job += 1;
        let outcomes = self.outcomes.entry(stream.workspace).or_default();
        outcomes.submitted += 1;
        if self.cell.forecast(&submission) != Forecast::Worthwhile {
            outcomes.rejected += 1;
            return;
        }
        let id = submission.id;
        assert_eq!(self.cell.accept(submission), Accepted::New);
        self.open_jobs
            .insert(id, (self.now, stream.workspace, stream.ms));
    }

    /// Ends the runs that are due and applies the reports of their workers.
    fn end_runs(&mut self) {
        let (now, at) = (self.now, self.instant());
        let ended: Vec<Run> = self.runs.extract_if(.., |run| run.ends <= now).collect();
        let mut ends: BTreeMap<WorkerId, Vec<EndRow>> = BTreeMap::new();
        for Run {
            worker, task, run, ..
        } in ended
        {
            let number = self.end_numbers.entry(worker.clone()).or_default();
            *number += 1;
            ends.entry(worker).or_default().push(EndRow {
                number: *number,
                task,
                run,
                how: RunOutcome::Done,
                saved: String::new(),
            });
        }
        for (worker, ended) in ends {
            let running_here = self.runs.iter().filter(|run| run.worker == worker);
            let row = |run: &Run| RunRow {
                task: run.task,
                run: run.run,
                saved: String::new(),
                percent: now % 100,
                measurement: 0,
            };
            let running = running_here.map(row).collect();
            self.cell.apply_report(
                &worker,
                &Report {
                    running,
                    ended,
                    ..Report::default()
                },
                at,
                at,
            );
        }
    }

    fn decide(&mut self) {
        let now = self.instant();
        self.cell.schedule(now);
        let batch = self.cell.take_batch();
        self.cell.confirm(&batch);
        for order in batch.starts {
            let Order::Start { worker, task, run } = order else {
                continue;
            };
            if !self.cell.prepare_start(&worker, task, run, now) {
                continue;
            }
            self.cell.start_accepted(&worker, task, run, now);
            let ms = self.open_jobs.get(&task.job).map_or(0, |(_, _, ms)| *ms);
            let took = (ms as f64 * self.rng.random_range(0.8..1.2)) as u64;
            let ends = self.now + took;
            self.runs.push(Run {
                ends,
                worker,
                task,
                run,
            });
        }
    }

    fn record_ended_jobs(&mut self) {
        let done = |id: &JobId| self.cell.jobs[id].phase == Phase::Succeeded;
        let ended: Vec<JobId> = self.open_jobs.keys().copied().filter(done).collect();
        for id in ended {
            let Some((submitted_at, workspace, chain_ms)) = self.open_jobs.remove(&id) else {
                continue;
            };
            let took = (self.now - submitted_at) as f64;
            let outcomes = self.outcomes.entry(workspace).or_default();
            match took / max_latency(chain_ms) {
                ..=1.0 => outcomes.in_time += 1,
                ..=3.0 => outcomes.late += 1,
                _ => outcomes.failed += 1,
            }
        }
    }
}

/// Returns the maximum latency of a job that is in time, in ms.
fn max_latency(chain_ms: u64) -> f64 {
    STRETCH * chain_ms as f64 + SLACK_MS as f64
}

/// Returns the total number of cores of the workers, which is the number of one-second tasks that they can run per
/// second.
pub fn cores(workers: usize) -> f64 {
    let Need { cpu, .. } = worker("w").capacity;
    workers as f64 * cpu as f64 / 1_000.0
}
