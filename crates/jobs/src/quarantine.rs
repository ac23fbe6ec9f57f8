//! Starts suspected tasks in quarantine: one at a time on a worker, or a group of them if there are many, chosen so
//! that little is lost if the worker crashes.

use crate::{
    Cell, Job, Need, Task, TaskId, Worker, WorkerId,
    cell::need_of,
    pass::LogState,
    permit::step_of,
    place::{Placing, may_join},
    rank::Rank,
    suspect_group::GroupSizes,
};
use clock::Instant;
use std::collections::{BTreeSet, HashSet, VecDeque};

/// One in this many workers of a service may be kept for quarantine while other tasks wait, so that the rest
/// continues with these.
const QUARANTINE_FRACTION: usize = 2;

/// One in this many workers of a service may be kept for quarantine while other tasks wait and it has other runs.
const BUSY_QUARANTINE_FRACTION: usize = 4;

/// Whether a worker has runs that are not in quarantine.
#[derive(Clone, Copy)]
enum Use {
    /// The worker has no other runs.
    Idle,
    /// The worker has other runs.
    Busy,
}

/// The suspected tasks that one pass may start in quarantine.
#[derive(Default)]
pub(crate) struct QuarantineRound {
    /// The ranks of the tasks that may start now, in order.
    pub(crate) ready: VecDeque<Rank>,
    /// Whether tasks wait that need no quarantine.
    others_wait: bool,
    /// How many tasks start together.
    pub(crate) group_sizes: GroupSizes,
}

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
        let mut round = self.quarantine_round(service, now, log);
        let mut misfits = HashSet::new();
        while let Some(rank) = round.ready.pop_front() {
            let task = rank.task();
            if misfits.contains(&step_of(task)) {
                continue;
            }
            match self.place_in_quarantine(task, &round, now) {
                Placing::Done => {
                    self.drop_rank(service, &rank);
                    self.fill_group(service, task, &mut round, now);
                }
                Placing::Deferred | Placing::NoFit | Placing::MustWait | Placing::AtBound => {
                    self.request_permits(task, now);
                    if !round.others_wait || !self.may_keep(service, &round, Use::Busy, now) {
                        misfits.insert(step_of(task));
                    }
                }
            }
        }
    }

    /// Returns the suspected waiting tasks of a service that may start now, and what limits their quarantine.
    fn quarantine_round(&mut self, service: &str, now: Instant, log: LogState) -> QuarantineRound {
        let suspects = self.waiting_suspects(service, now);
        let waiting = self.waiting.get(service).map_or(0, BTreeSet::len);
        let mut round = QuarantineRound {
            others_wait: waiting > suspects.len(),
            ..QuarantineRound::default()
        };
        for rank in suspects {
            if self.must_wait(service, &rank, log) {
                continue;
            }
            if self.is_stale(rank.task()) {
                self.drop_rank(service, &rank);
            } else if self.waits_for_bound(&rank) {
                self.block_on_bound(service, &rank);
            } else {
                round.ready.push_back(rank);
            }
        }
        if !round.ready.is_empty() {
            round.group_sizes = self.group_sizes(service, &round.ready, now);
        }
        round
    }

    /// Returns the ranks of a service's waiting tasks that need quarantine, in order.
    fn waiting_suspects(&self, service: &str, now: Instant) -> BTreeSet<Rank> {
        let tasks = self.suspicions.tasks.iter();
        tasks
            .filter_map(|task| self.waiting_rank(service, *task))
            .filter(|rank| self.needs_quarantine(rank.task(), now))
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
    fn place_in_quarantine(
        &mut self,
        task: TaskId,
        round: &QuarantineRound,
        now: Instant,
    ) -> Placing {
        let Some(job) = self.jobs.get(&task.job) else {
            return Placing::Done;
        };
        if job.step(task.step).gang {
            return self.place_gang(task, now);
        }
        let Some(worker) = self.quarantine_worker(job, task, round, now) else {
            self.reserve_for_quarantine(task, round, now);
            return Placing::NoFit;
        };
        self.start_in_quarantine(worker, task, now);
        Placing::Done
    }

    /// Records that a run of a suspected task starts on a worker where nothing else starts, and queues the order.
    pub(crate) fn start_in_quarantine(&mut self, worker: WorkerId, task: TaskId, now: Instant) {
        let job = self.jobs.get(&task.job);
        let state = job.and_then(|job| job.task(task.round, task.step, task.index));
        let run = state.map_or(1, Task::next_run);
        self.order_start(worker, task, run, now);
    }

    /// Returns the worker on which the least is lost if the task crashes it, among those where it fits and no
    /// run has just begun.
    fn quarantine_worker(
        &self,
        job: &Job,
        task: TaskId,
        round: &QuarantineRound,
        now: Instant,
    ) -> Option<WorkerId> {
        let need = need_of(job, task);
        let is_eligible = |worker: &&Worker| {
            self.has_capacity(worker, need, now)
                && worker.is_settled()
                && self.accepts(worker, job, task, now)
                && may_join(job.step(task.step), || worker.siblings(task))
        };
        let service = &job.submission.service;
        let fitting = self.workers.of(service).filter(is_eligible);
        let data_rack = job.step(task.step).data_rack.as_ref();
        let is_far = |worker: &Worker| data_rack.is_some_and(|rack| !worker.info.has_label(rack));
        let worker =
            fitting.min_by_key(|worker| (worker.runs.len(), is_far(worker), worker.used.cpu))?;
        let current = match worker.runs.is_empty() {
            true => Use::Idle,
            false => Use::Busy,
        };
        let is_free = self.may_keep(service, round, current, now);
        is_free.then(|| worker.info.id.clone())
    }

    /// Returns whether one more worker may be kept for quarantine. There is no limit while only suspected tasks wait.
    fn may_keep(&self, service: &str, round: &QuarantineRound, with: Use, now: Instant) -> bool {
        if !round.others_wait {
            return true;
        }
        let mut kept = 0;
        let mut kept_busy = 0;
        for worker in self.workers.of(service) {
            let id = &worker.info.id;
            let is_reserved = self.reserved_workers.contains(id);
            let in_quarantine = worker.quarantine.is_some();
            let is_busy = in_quarantine && worker.runs.len() > self.group_len(id);
            kept += usize::from(is_reserved || in_quarantine);
            kept_busy += usize::from(is_reserved || is_busy);
        }
        let open = self.open_workers(service, now);
        let max_kept = (open / QUARANTINE_FRACTION).max(1);
        let max_busy = (open / BUSY_QUARANTINE_FRACTION).max(1);
        match with {
            Use::Idle => kept < max_kept,
            Use::Busy => kept < max_kept && kept_busy < max_busy,
        }
    }

    /// Returns how many workers of a service get runs, in quarantine or not.
    fn open_workers(&self, service: &str, now: Instant) -> usize {
        let is_open = |worker: &&Worker| worker.is_open(now) || worker.quarantine.is_some();
        self.workers.of(service).filter(is_open).count()
    }

    /// Returns how many workers of a service may be kept for quarantine whatever else they run.
    pub(crate) fn quarantine_places(&self, service: &str, now: Instant) -> usize {
        (self.open_workers(service, now) / BUSY_QUARANTINE_FRACTION).max(1)
    }

    /// Reserves the worker with the fewest runs for this pass, so that it soon has none that has just begun.
    fn reserve_for_quarantine(&mut self, task: TaskId, round: &QuarantineRound, now: Instant) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let service = &job.submission.service;
        if !self.may_keep(service, round, Use::Busy, now) {
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
