//! Starts tasks that may have ended a worker: one at a time on a worker, where little is lost if it ends again.

use crate::{
    Cell, Job, Need, TaskId, Worker, WorkerId,
    cell::room_of,
    pass::LogState,
    place::{Placing, may_join},
    rank::Rank,
};
use clock::Instant;
use std::collections::BTreeSet;

/// Which part of a service's workers may be kept for quarantine while they have other runs: the rest goes on with what
/// is not under suspicion. Idle ones cost nothing.
const QUARANTINE_PART: usize = 4;

impl Cell {
    /// Whether a task, or a member of its gang, is to be started in quarantine.
    pub(crate) fn needs_quarantine(&self, task: TaskId, now: Instant) -> bool {
        if self.suspicions.tasks.is_empty() {
            return false;
        }
        let members = self.members(task);
        members
            .into_iter()
            .any(|member| self.quarantine_bar(member, now).is_some())
    }

    /// The tasks that start together with one: itself, or all of its gang.
    pub(crate) fn members(&self, task: TaskId) -> Vec<TaskId> {
        match self.jobs.get(&task.job).and_then(|job| job.find_step(task)) {
            Some(step) if step.gang => (0..step.count)
                .map(|index| TaskId { index, ..task })
                .collect(),
            Some(_) | None => vec![task],
        }
    }

    /// Starts the waiting tasks of a service that are under suspicion, before all others: these would take the places
    /// on which nothing else may begin.
    pub(crate) fn place_suspects(&mut self, service: &str, now: Instant, log: LogState) {
        for rank in self.waiting_suspects(service) {
            let task = rank.task();
            if self.is_held(service, &rank, now, log) || !self.needs_quarantine(task, now) {
                continue;
            }
            if self.is_stale(task) {
                self.drop_rank(service, &rank);
                continue;
            }
            if self.waits_for_bound(&rank) {
                self.park(service, &rank);
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

    /// The places in the queue of the tasks of a service that are under suspicion and wait, in order.
    fn waiting_suspects(&self, service: &str) -> BTreeSet<Rank> {
        let tasks = self.suspicions.tasks.iter();
        tasks
            .filter_map(|task| self.waiting_rank(service, *task))
            .collect()
    }

    /// The place in a service's queue of a task, or of its gang; none if it does not wait there.
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

    /// Starts a task in quarantine, or a gang whose members are under suspicion.
    fn place_in_quarantine(&mut self, task: TaskId, now: Instant) -> Placing {
        let Some(job) = self.jobs.get(&task.job) else {
            return Placing::Done;
        };
        if job.step(task.step).gang {
            return self.place_gang(task, now);
        }
        let Some(worker) = self.quarantine_worker(job, task, now) else {
            self.keep_for_quarantine(task, now);
            return Placing::NoFit;
        };
        let state = job.task(task.round, task.step, task.index);
        let run = state.map_or(1, |state| state.next_run());
        self.order_start(worker, task, run, now);
        Placing::Done
    }

    /// The worker on which least is lost if a task ends it, of those that have room, and no run that has just begun.
    fn quarantine_worker(&self, job: &Job, task: TaskId, now: Instant) -> Option<WorkerId> {
        let room = room_of(job, task);
        let may = |worker: &&Worker| {
            room.fits(worker.used, worker.info.capacity)
                && worker.is_settled()
                && self.accepts(worker, job, task, now)
                && may_join(job.step(task.step), || worker.siblings(task))
        };
        let fitting = self.workers.of(&job.submission.service).filter(may);
        let near = job.step(task.step).data_rack.as_ref();
        let is_far = |worker: &Worker| near.is_some_and(|rack| !worker.info.has_label(rack));
        let worker =
            fitting.min_by_key(|worker| (worker.runs.len(), is_far(worker), worker.used.cpu))?;
        let is_free = worker.runs.is_empty() || self.may_keep(&job.submission.service);
        is_free.then(|| worker.info.id.clone())
    }

    /// Whether one more worker that has other runs may be kept for a quarantine: as long as nothing else waits, any.
    fn may_keep(&self, service: &str) -> bool {
        let waiting = self.waiting.get(service).map_or(0, BTreeSet::len);
        if waiting <= self.waiting_suspects(service).len() {
            return true;
        }
        let workers = || self.workers.of(service);
        let is_kept = |worker: &&Worker| {
            let in_quarantine = worker.quarantine.is_some() && worker.runs.len() > 1;
            in_quarantine || self.reserved.contains(&worker.info.id)
        };
        let most = (workers().count() / QUARANTINE_PART).max(1);
        workers().filter(is_kept).count() < most
    }

    /// Keeps the worker with the fewest runs free of new ones, in this pass, so that it soon has none that has just
    /// begun.
    fn keep_for_quarantine(&mut self, task: TaskId, now: Instant) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let service = &job.submission.service;
        if !self.may_keep(service) {
            return;
        }
        let room = room_of(job, task);
        let may = |worker: &&Worker| {
            room.fits(Need::default(), worker.info.capacity) && self.accepts(worker, job, task, now)
        };
        let fitting = self.workers.of(service).filter(may);
        let fewest = fitting.min_by_key(|worker| (worker.runs.len(), worker.used.cpu));
        if let Some(id) = fewest.map(|worker| worker.info.id.clone()) {
            self.reserved.insert(id);
        }
    }
}
