//! Starts suspected tasks in quarantine: one at a time on a worker, chosen so that little is lost if the task
//! crashes it.

use crate::{
    Cell, Job, Need, TaskId, Worker, WorkerId,
    cell::need_of,
    pass::LogState,
    place::{Placing, may_join},
    rank::Rank,
};
use clock::Instant;
use std::collections::BTreeSet;

/// One in this many workers of a service may be kept for quarantine while it has other runs, so that the rest
/// continues with unsuspected tasks. Idle workers are not counted.
const QUARANTINE_FRACTION: usize = 4;

impl Cell {
    /// Returns whether a task, or a member of its gang, must be started in quarantine.
    pub(crate) fn needs_quarantine(&self, task: TaskId, now: Instant) -> bool {
        if self.suspicions.tasks.is_empty() {
            return false;
        }
        let members = self.members(task);
        members
            .into_iter()
            .any(|member| self.quarantine_threshold(member, now).is_some())
    }

    /// Returns the tasks that start together with a task: itself, or its whole gang.
    pub(crate) fn members(&self, task: TaskId) -> Vec<TaskId> {
        match self.jobs.get(&task.job).and_then(|job| job.find_step(task)) {
            Some(step) if step.gang => (0..step.count)
                .map(|index| TaskId { index, ..task })
                .collect(),
            Some(_) | None => vec![task],
        }
    }

    /// Starts the suspected waiting tasks of a service. They go before all others, which would take the
    /// workers where nothing else may start.
    pub(crate) fn place_suspects(&mut self, service: &str, now: Instant, log: LogState) {
        for rank in self.waiting_suspects(service) {
            let task = rank.task();
            if self.must_wait(service, &rank, log) || !self.needs_quarantine(task, now) {
                continue;
            }
            if self.is_stale(task) {
                self.drop_rank(service, &rank);
                continue;
            }
            if self.waits_for_bound(&rank) {
                self.block_on_bound(service, &rank);
                continue;
            }
            match self.place_in_quarantine(task, now) {
                Placing::Done => self.drop_rank(service, &rank),
                Placing::Deferred | Placing::NoFit | Placing::MustWait | Placing::AtBound => {
                    self.request_permits(task, now)
                }
            }
        }
    }

    /// Returns the ranks of a service's suspected waiting tasks, in order.
    fn waiting_suspects(&self, service: &str) -> BTreeSet<Rank> {
        let tasks = self.suspicions.tasks.iter();
        tasks
            .filter_map(|task| self.waiting_rank(service, *task))
            .collect()
    }

    /// Returns the rank of a task, or of its gang, in a service's queue; `None` if it does not wait there.
    fn waiting_rank(&self, service: &str, task: TaskId) -> Option<Rank> {
        let job = self.jobs.get(&task.job)?;
        let queue = self.waiting.get(service)?;
        let step = job.find_step(task)?;
        let index = if step.gang { 0 } else { task.index };
        let first = TaskId { index, ..task };
        let rank = Rank::new(first, step.long_running, job);
        [rank, rank.to_late()]
            .into_iter()
            .find(|rank| queue.contains(rank))
    }

    /// Starts a task in quarantine, or a gang with suspected members.
    fn place_in_quarantine(&mut self, task: TaskId, now: Instant) -> Placing {
        let Some(job) = self.jobs.get(&task.job) else {
            return Placing::Done;
        };
        if job.step(task.step).gang {
            return self.place_gang(task, now);
        }
        let Some(worker) = self.quarantine_worker(job, task, now) else {
            self.reserve_for_quarantine(task, now);
            return Placing::NoFit;
        };
        let state = job.task(task.round, task.step, task.index);
        let run = state.map_or(1, |state| state.next_run());
        self.order_start(worker, task, run, now);
        Placing::Done
    }

    /// Returns the worker on which the least is lost if the task crashes it, among those where it fits and no
    /// run has just begun.
    fn quarantine_worker(&self, job: &Job, task: TaskId, now: Instant) -> Option<WorkerId> {
        let need = need_of(job, task);
        let is_eligible = |worker: &&Worker| {
            self.has_capacity(worker, need, now)
                && worker.is_settled()
                && self.accepts(worker, job, task, now)
                && may_join(job.step(task.step), || worker.siblings(task))
        };
        let fitting = self.workers.of(&job.submission.service).filter(is_eligible);
        let data_rack = job.step(task.step).data_rack.as_ref();
        let is_far = |worker: &Worker| data_rack.is_some_and(|rack| !worker.info.has_label(rack));
        let worker =
            fitting.min_by_key(|worker| (worker.runs.len(), is_far(worker), worker.used.cpu))?;
        let is_free = worker.runs.is_empty() || self.may_keep(&job.submission.service);
        is_free.then(|| worker.info.id.clone())
    }

    /// Returns whether one more worker with other runs may be kept for quarantine. There is no limit while
    /// only suspected tasks wait.
    fn may_keep(&self, service: &str) -> bool {
        let waiting = self.waiting.get(service).map_or(0, BTreeSet::len);
        if waiting <= self.waiting_suspects(service).len() {
            return true;
        }
        let workers = || self.workers.of(service);
        let is_kept = |worker: &&Worker| {
            let in_quarantine = worker.quarantine.is_some() && worker.runs.len() > 1;
            in_quarantine || self.reserved_workers.contains(&worker.info.id)
        };
        let max_kept = (workers().count() / QUARANTINE_FRACTION).max(1);
        workers().filter(is_kept).count() < max_kept
    }

    /// Reserves the worker with the fewest runs for this pass, so that it soon has none that has just begun.
    fn reserve_for_quarantine(&mut self, task: TaskId, now: Instant) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let service = &job.submission.service;
        if !self.may_keep(service) {
            return;
        }
        let need = need_of(job, task);
        let is_eligible = |worker: &&Worker| {
            need.fits(Need::default(), worker.info.capacity) && self.accepts(worker, job, task, now)
        };
        let fitting = self.workers.of(service).filter(is_eligible);
        let fewest = fitting.min_by_key(|worker| (worker.runs.len(), worker.used.cpu));
        if let Some(id) = fewest.map(|worker| worker.info.id.clone()) {
            self.reserved_workers.insert(id);
        }
    }
}
