//! Plays a load on a cell: jobs of workspaces come, workers run them, and callers see what they get.

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

/// Length of a step of time, in ms.
const TICK: u64 = 20;

/// The service of all jobs.
const SERVICE: &str = "s";

/// How many times its chain of work a job may take to be in time, and what it may take beyond, in ms.
const STRETCH: f64 = 1.6;
/// See [`STRETCH`].
const SLACK: u64 = 600;

/// Jobs that come: so many a second, from one moment to another, each of so many tasks of a core and so many ms.
#[derive(Clone, Debug)]
pub struct Stream {
    pub workspace: &'static str,
    pub rate: f64,
    pub from: u64,
    pub until: u64,
    pub tasks: u32,
    pub ms: u64,
}

/// What the callers of a workspace got.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Got {
    pub asked: u32,
    pub in_time: u32,
    pub late: u32,
    /// Told at once that there is no room in time.
    pub refused: u32,
    /// Taken in, and not done within three times the objective.
    pub failed: u32,
}

impl Got {
    /// The part of what was asked that was done in time.
    pub fn share(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }
}

/// A run that goes on, and when it ends.
struct Run {
    ends: u64,
    worker: WorkerId,
    task: TaskId,
    run: RunId,
}

/// The load, and all that it meets.
pub struct Load {
    pub cell: Cell,
    rng: StdRng,
    start: Instant,
    now: u64,
    workers: Vec<WorkerId>,
    runs: Vec<Run>,
    numbers: HashMap<WorkerId, u64>,
    /// The jobs that are not over: when they came, whose they are, and their chain of work.
    open: HashMap<JobId, (u64, &'static str, u64)>,
    due: Vec<f64>,
    streams: Vec<Stream>,
    got: BTreeMap<&'static str, Got>,
    next: JobId,
    /// Whether jobs belong to workspaces.
    named: bool,
}

impl Load {
    /// So many workers of four cores each, and the jobs that come.
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
            numbers: HashMap::new(),
            open: HashMap::new(),
            due: streams.iter().map(|stream| stream.from as f64).collect(),
            streams,
            got: BTreeMap::new(),
            next: 1,
            named: false,
        }
    }

    /// Jobs belong to workspaces of these weights from now on; before, they belong to none.
    pub fn weigh(&mut self, weights: &[(&str, f64)]) {
        self.named = true;
        let weights = weights
            .iter()
            .map(|(name, weight)| ((*name).to_owned(), *weight));
        self.cell.set_weights(weights);
    }

    /// Plays on until a moment, in ms, and returns what the callers got.
    pub fn play(&mut self, until: u64) -> BTreeMap<&'static str, Got> {
        while self.now < until {
            self.now += TICK;
            self.cell.mark_due(self.now);
            self.look_ahead();
            self.come();
            self.end_runs();
            self.decide();
            self.see_ends();
        }
        let open = std::mem::take(&mut self.open);
        for (came, workspace, chain) in open.into_values() {
            let got = self.got.entry(workspace).or_default();
            match (self.now - came) as f64 > 3.0 * objective(chain) {
                true => got.failed += 1,
                // It may still be done in time: it does not count.
                false => got.asked -= 1,
            }
        }
        self.got.clone()
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_millis(self.now)
    }

    /// Every tenth of a second, as the sizing of pools does.
    fn look_ahead(&mut self) {
        if self.now.is_multiple_of(100) {
            let cpu = self.workers.len() as u64 * 4_000;
            self.cell.update_backlog(SERVICE, cpu);
        }
    }

    fn come(&mut self) {
        for number in 0..self.streams.len() {
            let stream = self.streams[number].clone();
            while self.due[number] <= self.now as f64 && self.now < stream.until {
                self.due[number] += 1_000.0 / stream.rate * self.rng.random_range(0.5..1.5);
                self.hand_in(&stream);
            }
        }
    }

    fn hand_in(&mut self, stream: &Stream) {
        let estimate = (stream.ms as f64 * self.rng.random_range(0.6..1.4)) as u64;
        let mut one = step(stream.tasks);
        one.estimate_ms = estimate;
        let given = Submission {
            workspace: self.named.then(|| WorkspaceId::from(stream.workspace)),
            submitted_at: self.now,
            stretch: STRETCH,
            slack: SLACK,
            ..job(self.next, vec![one])
        };
        self.next += 1;
        let got = self.got.entry(stream.workspace).or_default();
        got.asked += 1;
        if self.cell.forecast(&given) != Forecast::Worthwhile {
            got.refused += 1;
            return;
        }
        let id = given.id;
        assert_eq!(self.cell.accept(given), Accepted::New);
        self.open
            .insert(id, (self.now, stream.workspace, stream.ms));
    }

    /// Runs end, and their workers say so.
    fn end_runs(&mut self) {
        let (now, at) = (self.now, self.instant());
        let over: Vec<Run> = self.runs.extract_if(.., |run| run.ends <= now).collect();
        let mut ends: BTreeMap<WorkerId, Vec<EndRow>> = BTreeMap::new();
        for Run {
            worker, task, run, ..
        } in over
        {
            let number = self.numbers.entry(worker.clone()).or_default();
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
            let here = self.runs.iter().filter(|run| run.worker == worker);
            let row = |run: &Run| RunRow {
                task: run.task,
                run: run.run,
                saved: String::new(),
                percent: now % 100,
                measurement: 0,
            };
            let running = here.map(row).collect();
            self.cell
                .apply_report(&worker, &Report { running, ended }, at, at);
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
            let ms = self.open.get(&task.job).map_or(0, |(_, _, ms)| *ms);
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

    fn see_ends(&mut self) {
        let done = |id: &JobId| self.cell.jobs[id].phase == Phase::Succeeded;
        let over: Vec<JobId> = self.open.keys().copied().filter(done).collect();
        for id in over {
            let Some((came, workspace, chain)) = self.open.remove(&id) else {
                continue;
            };
            let took = (self.now - came) as f64;
            let got = self.got.entry(workspace).or_default();
            match took / objective(chain) {
                ..=1.0 => got.in_time += 1,
                ..=3.0 => got.late += 1,
                _ => got.failed += 1,
            }
        }
    }
}

/// Within how many ms a job must be done to be in time.
fn objective(chain: u64) -> f64 {
    STRETCH * chain as f64 + SLACK as f64
}

/// What a core gives in a second, for reckoning rates: one task of a second.
pub fn cores(workers: usize) -> f64 {
    let Need { cpu, .. } = worker("w").capacity;
    workers as f64 * cpu as f64 / 1_000.0
}
