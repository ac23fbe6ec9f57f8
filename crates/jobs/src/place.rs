//! Chooses the worker on which a waiting task starts.

use crate::{
    Cell, Job, Need, Order, Phase, RunId, Step, Task, TaskId, TaskPhase, Worker, WorkerId,
    cell::{charge_of, load_of, need_of},
    headroom::Headroom,
    worker::{Quarantine, RunKind, RunState},
};
use clock::Instant;
use std::{cell::OnceCell, collections::HashMap};

/// The penalty for a worker that is far from the task's data. The worker's used share lies between 0 and 1,
/// so nearby data always wins.
const FAR_PENALTY: f64 = 4.0;

/// The penalty for another task of the same long-running step on the worker, so that the loss of one VM does
/// not stop two.
const SAME_WORKER_PENALTY: f64 = 8.0;

/// The bonus for a worker with long-running tasks. Its VM is not moved in any case, and the fewer other VMs
/// are used, the more are idle and can be moved.
const LONG_RUNNING_BONUS: f64 = 1.0;

/// The penalty for another task of the same step in the rack. Long-running tasks are spread over racks, so
/// that the loss of a rack affects as few of them as possible.
const SAME_RACK_PENALTY: f64 = 2.0;

/// The penalty for each run on the worker that would disturb the new run or be disturbed by it: best-effort
/// and serving tasks slow each other down.
const INTERFERENCE_PENALTY: f64 = 1.0;

/// The outcome for a waiting task in a pass.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Placing {
    /// The task was placed or does not wait any more.
    Done,
    /// The task fits only far from its data and waits for capacity near it.
    Deferred,
    /// The task does not fit on any worker.
    NoFit,
    /// The task must not start yet: it may still run somewhere, it waits for what an earlier owner started,
    /// or it starts in quarantine.
    MustWait,
    /// The task's workspace has reached its bound.
    AtBound,
}

impl Cell {
    /// Reserves the worker with the most free capacity for a task that does not fit, since smaller tasks
    /// would otherwise fill each gap before it is large enough. Only workers count on which it fits once the runs
    /// that end by themselves have ended, and at most half of the workers are kept from others. Returns whether one
    /// was reserved.
    pub(crate) fn reserve(&mut self, task: TaskId, now: Instant) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        let step = job.step(task.step);
        let need = need_of(job, task);
        let Some(headroom) = &self.pass.headroom else {
            return false;
        };
        let max_reserved = (headroom.open / 2).max(1);
        if self.pass.reserved >= max_reserved || !headroom.may_fit_later(step, need) {
            return false;
        }
        self.pass.checks += self.workers.count_of(&job.submission.service);
        let is_eligible = |w: &&Worker| {
            need.is_within(w.free_of_lasting())
                && self.accepts(w, job, task, now)
                && may_join(step, || w.siblings(task))
        };
        let free = |w: &&Worker| w.info.capacity.cpu.saturating_sub(w.used.cpu);
        let freest = self
            .workers
            .of(&job.submission.service)
            .filter(is_eligible)
            .max_by_key(free);
        let Some(id) = freest.map(|w| w.info.id.clone()) else {
            return false;
        };
        self.pass.reserved += 1;
        self.reserved_workers.insert(id)
    }

    /// Returns whether a worker of the task's service may get a run of it at all.
    pub(crate) fn accepts(&self, worker: &Worker, job: &Job, task: TaskId, now: Instant) -> bool {
        worker.is_open(now)
            && has_required_label(worker, job.step(task.step))
            && !self.reserved_workers.contains(&worker.info.id)
            && (!job.submission.requires_permits || self.has_permit(task, &worker.info.id, now))
    }

    /// Places a task, or the whole gang that it stands for.
    pub(crate) fn place(&mut self, task: TaskId, now: Instant) -> Placing {
        match self.jobs.get(&task.job) {
            None => Placing::Done,
            Some(job) if job.step(task.step).gang => self.place_gang(task, now),
            Some(_) => self.place_one(task, now),
        }
    }

    /// Places a task that is not part of a gang.
    fn place_one(&mut self, task: TaskId, now: Instant) -> Placing {
        if self.is_misfit(task) {
            return Placing::NoFit;
        }
        let Some(worker) = self
            .best_worker(task, now)
            .or_else(|| self.worker_beyond_limits(task, now))
        else {
            self.record_misfit(task, now);
            return Placing::NoFit;
        };
        if self.waits_for_data_rack(task, &worker, now) {
            return Placing::Deferred;
        }
        let Some(job) = self.jobs.get(&task.job) else {
            return Placing::Done;
        };
        let run = job
            .task(task.round, task.step, task.index)
            .map_or(1, Task::next_run);
        self.order_start(worker, task, run, now);
        Placing::Done
    }

    /// Records that a run of a task starts on a worker, and queues the order.
    pub(crate) fn order_start(&mut self, worker: WorkerId, task: TaskId, run: RunId, now: Instant) {
        self.record_slack(task.job);
        self.advance_virtual_time(task.job);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let load = load_of(job, task);
        let charge = charge_of(job, task);
        if job.phase == Phase::Pending {
            job.phase = Phase::Running;
        }
        if let Some(state) = job.task_mut(task.round, task.step, task.index) {
            state.phase = TaskPhase::Placed(worker.clone());
            state.run = run;
        }
        let threshold = self.quarantine_threshold(task, now);
        if let Some(host) = self.workers.get_mut(&worker) {
            host.add(task, run, RunState::ordered(load, charge, now));
            host.quarantine = threshold.map(|threshold| Quarantine {
                key: (task, run),
                threshold,
            });
        }
        self.lost_tasks.remove(&task);
        self.mark_dirty(task.job);
        self.starts.push(Order::Start { worker, task, run });
    }

    /// Returns whether a task is known to fit nowhere in this pass, without a search.
    pub(crate) fn is_misfit(&self, task: TaskId) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        self.pass.is_misfit(job.step(task.step), need_of(job, task))
    }

    /// Records that a search for a worker found none. The need of the task is recorded as well, unless the task may
    /// have failed for its limit per worker, for want of a permit or as one of a gang.
    pub(crate) fn record_misfit(&mut self, task: TaskId, now: Instant) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let service = &job.submission.service;
        let step = job.step(task.step);
        let members = if step.gang { step.count as usize } else { 1 };
        self.pass.checks += self.workers.count_of(service) * members;
        if self.pass.headroom.is_none() {
            let headroom = Headroom::new(self.workers.of(service), self.workers.values(), now);
            self.pass.headroom = Some(headroom);
        }
        if step.max_per_worker.is_none() && !job.submission.requires_permits && !step.gang {
            let (label, need) = (step.label.clone(), need_of(job, task));
            self.pass.record_misfit(label, need);
        }
    }

    /// Returns whether a task that fits nowhere, or its gang, fits once the runs that end by themselves have ended. A
    /// task with a limit per worker or without permits may wait for something else.
    pub(crate) fn waits_for_runs(&mut self, task: TaskId, now: Instant) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        let (step, need) = (job.step(task.step), need_of(job, task));
        let headroom = self.pass.headroom.as_ref();
        if step.max_per_worker.is_some()
            || job.submission.requires_permits
            || headroom.is_none_or(|headroom| !headroom.may_fit_later(step, need))
        {
            return false;
        }
        let service = &job.submission.service;
        self.pass.checks += self.workers.count_of(service);
        let members = if step.gang { u64::from(step.count) } else { 1 };
        let mut fitting: u64 = 0;
        let workers = self.workers.of(service);
        let mut eligible = workers.filter(|w| w.is_open(now) && has_required_label(w, step));
        eligible.any(|worker| {
            fitting = fitting.saturating_add(need.times_within(worker.free_of_lasting()));
            fitting >= members
        })
    }

    /// Returns the best worker for a task among those where it fits.
    fn best_worker(&self, task: TaskId, now: Instant) -> Option<WorkerId> {
        let job = self.jobs.get(&task.job)?;
        let step = job.step(task.step);
        let need = need_of(job, task);
        // The cheapest condition is tested first: in an overload, nearly all workers are full.
        let is_eligible = |w: &&Worker| {
            self.has_capacity(w, need, now)
                && self.accepts(w, job, task, now)
                && may_join(step, || w.siblings(task))
        };
        let racks = OnceCell::new();
        let tasks_in = |rack: &str| {
            if !step.long_running {
                return 0;
            }
            let racks = racks.get_or_init(|| self.racks_of(&job.submission.service, task));
            racks.get(rack).copied().unwrap_or(0)
        };
        let is_suspect = self.suspicions.tasks.contains(&task);
        let mut best: Option<(f64, &Worker)> = None;
        for worker in self.workers.of(&job.submission.service).filter(is_eligible) {
            let in_rack = tasks_in(worker.info.rack());
            let siblings = if step.long_running {
                worker.siblings(task)
            } else {
                0
            };
            let score = if is_suspect {
                // A suspected task goes where the fewest other runs would be lost, and away from other
                // suspected ones.
                -(worker.runs.len() as f64)
            } else {
                score(worker, step, need, in_rack, siblings)
            };
            if best.is_none_or(|(highest, _)| score > highest) {
                best = Some((score, worker));
            }
        }
        best.map(|(_, worker)| worker.info.id.clone())
    }

    /// Returns the best worker for a long-running task without regard to returns to service. Its service would be
    /// short of it for as long as a return lasts.
    fn worker_beyond_limits(&mut self, task: TaskId, now: Instant) -> Option<WorkerId> {
        let job = self.jobs.get(&task.job)?;
        if self.returns.is_empty() || !job.step(task.step).long_running {
            return None;
        }
        self.with_limits_lifted(|cell| cell.best_worker(task, now))
    }

    /// Returns how many tasks of the same step each rack has on workers of a service.
    fn racks_of(&self, service: &str, task: TaskId) -> HashMap<&str, u32> {
        let mut racks = HashMap::new();
        for worker in self.workers.of(service) {
            *racks.entry(worker.info.rack()).or_insert(0) += worker.siblings(task);
        }
        racks
    }
}

/// Returns how well a worker suits a run; the highest score is best.
fn score(worker: &Worker, step: &Step, need: Need, in_rack: u32, siblings: u32) -> f64 {
    let capacity = worker.info.capacity.cpu.max(1) as f64;
    let used = (worker.used.cpu + need.cpu) as f64;
    let kind = RunKind::of(step);
    let mut score = used / capacity;
    if worker.long_running_runs > 0 {
        score += LONG_RUNNING_BONUS;
    }
    let data_rack = step.data_rack.as_ref();
    if data_rack.is_some_and(|rack| !worker.info.has_label(rack)) {
        score -= FAR_PENALTY;
    }
    score -= SAME_RACK_PENALTY * f64::from(in_rack);
    if step.long_running {
        score -= SAME_WORKER_PENALTY * f64::from(siblings);
    }
    score - INTERFERENCE_PENALTY * count_interfering(worker, kind) as f64
}

/// Returns how many runs on the worker would disturb the new one or be disturbed by it.
fn count_interfering(worker: &Worker, kind: RunKind) -> usize {
    match kind {
        RunKind::BestEffort => worker.count(RunKind::Serving),
        RunKind::Serving => worker.count(RunKind::BestEffort),
        RunKind::Finite | RunKind::LongRunning => 0,
    }
}

/// Returns whether a worker may get one more task of a step under the step's limit per worker. `siblings` is
/// only called where there is a limit.
pub(crate) fn may_join(step: &Step, siblings: impl FnOnce() -> u32) -> bool {
    step.max_per_worker.is_none_or(|limit| siblings() < limit)
}

/// Returns whether a worker has the label that a step requires.
pub(crate) fn has_required_label(worker: &Worker, step: &Step) -> bool {
    step.label
        .as_ref()
        .is_none_or(|label| worker.info.has_label(label))
}
