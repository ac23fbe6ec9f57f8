//! Plays the load of several pools on one cell, with the fleet's sizing and moves of 1.5 s, and counts the outcomes
//! for callers.

mod callers;
mod owner;

pub use callers::{Outcomes, Service};

use callers::Call;
use clock::Instant;
use havenladder_fleet::{DrainableVm, IdleVm, PoolDemand, Resize, SizingLimits, lacks_vms, resize};
use jobs::{
    Bound, Cell, EndRow, Forecast, JobId, Limits, Loss, Need, Order, Phase, Report, RunId,
    RunOutcome, RunRow, Submission, TaskId, WorkerId, WorkerInfo,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

const TICK_MS: u64 = 20;
const MOVE_MS: u64 = 1_500;
const MAINTENANCE_MS: u64 = 2_000;
/// The time after which the runs of a lost VM count as lost.
const LOSS_MS: u64 = 2_000;
/// The limits of the owner on draining (`entry/moves/drain.rs`).
const MAX_DRAIN_MS: u64 = 2_000;
const STUCK_MS: u64 = 4_000;
/// The time for which the peak usage of a pool counts (`entry/moves/demands.rs`).
const PEAK_WINDOW_MS: u64 = 800;
const VM: Need = Need {
    cpu: 64_000,
    memory: 1,
    gpu: 0,
};
const WORKSPACES: [&str; 4] = ["w0", "w1", "w2", "w3"];

/// A run and the time at which it starts and ends.
struct Run {
    task: TaskId,
    run: RunId,
    span: (u64, u64),
}

/// A VM; its worker has a new id after each move, maintenance or loss.
struct Vm {
    name: String,
    pool: usize,
    worker: WorkerId,
    /// When it is up again; `None` while it is up.
    away: Option<u64>,
    idle: Option<u64>,
    draining: Option<u64>,
    stuck: u64,
    runs: Vec<Run>,
    ends: u64,
}

/// The state of a played load.
pub struct Play {
    pub cell: Cell,
    services: Vec<Service>,
    /// The source of arrivals, which do not depend on decisions.
    rng: StdRng,
    /// The source of the durations of runs.
    run_rng: StdRng,
    start: Instant,
    now: u64,
    vms: Vec<Vm>,
    calls: BTreeMap<JobId, Call>,
    /// Jobs on their way to the owner, with the time of arrival.
    due: BTreeMap<(u64, JobId), (Call, Submission)>,
    usage: Vec<VecDeque<(u64, u64)>>,
    next_job: JobId,
    /// Work that any scheduler could still do in time, in core-seconds by deadline.
    bound: BTreeMap<u64, f64>,
    pub bound_work: f64,
    pub outcomes: Vec<Outcomes>,
    pub moves: usize,
    /// The longest time for which an accepted job was idle beside room for it, in ms.
    pub longest_idle: u64,
}

impl Play {
    /// Creates a fleet; the last service is the reserve.
    pub fn new(seed: u64, services: Vec<Service>) -> Self {
        let mut cell = Cell::new(Limits::default());
        cell.set_bounds(WORKSPACES.map(|name| (name.to_owned(), Bound::NONE)));
        cell.set_weights(WORKSPACES.map(|name| (name.to_owned(), 1.0)));
        let mut play = Play {
            cell,
            rng: StdRng::seed_from_u64(seed),
            run_rng: StdRng::seed_from_u64(seed),
            start: Instant::now(),
            now: 0,
            vms: Vec::new(),
            calls: BTreeMap::new(),
            due: BTreeMap::new(),
            usage: vec![VecDeque::new(); services.len()],
            next_job: 1,
            bound: BTreeMap::new(),
            bound_work: 0.0,
            outcomes: vec![Outcomes::default(); services.len()],
            moves: 0,
            longest_idle: 0,
            services,
        };
        for pool in 0..play.services.len() {
            for number in 0..play.services[pool].vms {
                play.vms.push(Vm {
                    name: format!("{}{number:03}", play.services[pool].name),
                    pool,
                    worker: WorkerId::default(),
                    away: Some(0),
                    idle: None,
                    draining: None,
                    stuck: 0,
                    runs: Vec::new(),
                    ends: 0,
                });
            }
        }
        play
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn reserve(&self) -> usize {
        self.services.len() - 1
    }

    /// Plays until a time in ms. VMs are maintained at the given times, the number is that of a VM; those of a rack are
    /// lost for good; callers of a third of the entries reach the owner late between two times.
    pub fn play(
        &mut self,
        until: u64,
        maintained: &[(u64, usize)],
        lost: (u64, std::ops::Range<usize>),
        partition: (u64, u64),
    ) {
        while self.now < until {
            self.now += TICK_MS;
            self.cell.mark_due(self.now);
            let now = self.now;
            for (_, number) in maintained.iter().filter(|(at, _)| *at == now) {
                self.take_down(*number, now + MAINTENANCE_MS);
            }
            if lost.0 == self.now {
                lost.1.clone().for_each(|number| {
                    self.vms[number].runs.clear();
                    self.cell
                        .mark_silent(&self.vms[number].worker, self.at(self.now));
                });
            }
            if lost.0 + LOSS_MS == self.now {
                lost.1
                    .clone()
                    .for_each(|number| self.take_down(number, u64::MAX));
            }
            self.bring_up();
            self.submit_due(partition);
            self.advance_bound();
            self.end_runs();
            if self.now.is_multiple_of(100) {
                self.resize();
            }
            self.start_runs();
            self.record_ended_jobs();
        }
        let open: Vec<JobId> = self.calls.keys().copied().collect();
        open.into_iter().for_each(|id| self.record(id, false));
    }

    /// Ends what runs on a VM, which is up again at the given time.
    fn take_down(&mut self, number: usize, until: u64) {
        let vm = &mut self.vms[number];
        if vm.away == Some(u64::MAX) {
            return;
        }
        vm.runs.clear();
        (vm.away, vm.idle, vm.draining) = (Some(until), None, None);
        let worker = vm.worker.clone();
        let now = self.at(self.now);
        self.cell.abandon_worker(&worker, Loss::Ordered, now);
    }

    fn bring_up(&mut self) {
        let now = self.at(self.now);
        for vm in &mut self.vms {
            if vm.away.is_none_or(|at| at > self.now) {
                continue;
            }
            (vm.away, vm.ends) = (None, 0);
            vm.worker = format!("{}-{}", vm.name, self.now).as_str().into();
            let service = &self.services[vm.pool];
            if service.name == "reserve" {
                continue;
            }
            let info = WorkerInfo {
                id: vm.worker.clone(),
                service: service.name.to_owned(),
                labels: vec![vm.name.clone()],
                capacity: VM,
                ..WorkerInfo::default()
            };
            self.cell.upsert_worker(info, now);
            self.cell
                .apply_report(&vm.worker, &Report::default(), now, now);
        }
    }

    /// Does work in the order of deadlines with the cores of all VMs that are not lost, as if jobs could be divided at
    /// will, and moves and maintenance took no time. No scheduler does more work in time.
    fn advance_bound(&mut self) {
        self.bound = self.bound.split_off(&self.now);
        let lost = |vm: &&Vm| vm.away == Some(u64::MAX);
        let vms = self.vms.len() - self.vms.iter().filter(lost).count();
        let mut left = (vms as u64 * VM.cpu * TICK_MS) as f64 / 1e6;
        while let Some(mut next) = self.bound.first_entry() {
            let done = left.min(*next.get());
            self.bound_work += done;
            left -= done;
            *next.get_mut() -= done;
            if left <= 0.0 {
                return;
            }
            next.remove();
        }
    }

    fn end_runs(&mut self) {
        let (now, at) = (self.now, self.at(self.now));
        for vm in &mut self.vms {
            let ended: Vec<Run> = vm.runs.extract_if(.., |run| run.span.1 <= now).collect();
            if ended.is_empty() {
                continue;
            }
            let end = |run: &Run| {
                vm.ends += 1;
                EndRow {
                    number: vm.ends,
                    task: run.task,
                    run: run.run,
                    how: RunOutcome::Done,
                    saved: String::new(),
                }
            };
            let ended = ended.iter().map(end).collect();
            let row = |run: &Run| RunRow {
                task: run.task,
                run: run.run,
                saved: String::new(),
                percent: (now - run.span.0) * 100 / (run.span.1 - run.span.0),
                measurement: 0,
            };
            let running = vm.runs.iter().map(row).collect();
            self.cell.apply_report(
                &vm.worker,
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

    fn start_runs(&mut self) {
        let now = self.at(self.now);
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
            let ms = match self.calls.get(&task.job) {
                Some(call) => {
                    call.step_ms[task.step as usize] * self.run_rng.random_range(0.9..1.1)
                }
                // A long-running task.
                None => 1e9,
            };
            let span = (self.now, self.now + ms as u64 + 1);
            if let Some(vm) = self.vms.iter_mut().find(|vm| vm.worker == worker) {
                vm.runs.push(Run { task, run, span });
            }
        }
    }
}
