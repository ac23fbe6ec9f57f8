//! A pass over the waiting tasks of a service: which tasks may start, in which order, and when the pass ends.

use crate::{
    Cell, JobId, RunId, TaskId, TaskPhase, Worker,
    permit::{StepId, step_of},
    place::Placing,
    rank::Rank,
};
use clock::Instant;
use std::{collections::HashSet, ops::Bound};

/// How many tasks that do not fit are tried in one pass over a service. Enough to find small tasks behind
/// large ones, few enough to bound the pass in an overload.
const MAX_MISFITS: usize = 32;

/// How many tasks that wait for capacity near their data are skipped in one pass; further ones count as tasks
/// that do not fit.
const MAX_DEFERRED: usize = 256;

/// How many jobs without any run are tried beyond the limits of returning data centres in one pass.
const MAX_IDLE_JOBS: usize = 256;

/// Whether decisions can be recorded at present.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum LogState {
    /// Decisions can be recorded.
    Available,
    /// Decisions cannot be recorded for the time being.
    Unavailable,
}

impl Cell {
    /// Places waiting tasks in order and queues the resulting orders.
    pub fn schedule(&mut self, now: Instant) {
        self.schedule_all(now, LogState::Available);
    }

    /// Places waiting tasks in order while the log is unavailable. There may be a newer owner, which may be
    /// in contact with workers that this one has lost, so tasks that ran on those are not started again.
    pub fn schedule_unrecorded(&mut self, now: Instant) {
        self.schedule_all(now, LogState::Unavailable);
    }

    /// Places the waiting tasks of all services.
    fn schedule_all(&mut self, now: Instant, log: LogState) {
        self.vm_orders.forget_old(now);
        self.release_unrecorded_charges(now);
        self.unblock_tasks();
        let mut services: Vec<_> = self.waiting.keys().cloned().collect();
        let mut budget = self.dispatch.budget();
        if budget.is_finite() {
            services.sort_by_key(|service| self.waiting[service].first().copied());
        }
        for service in services {
            self.schedule_service(&service, now, log, &mut budget);
        }
        self.reserved_workers.clear();
    }

    /// Places the waiting tasks of a service, in order, until the budget for bytes of starts is used up.
    fn schedule_service(&mut self, service: &str, now: Instant, log: LogState, budget: &mut f64) {
        self.demote_late(service);
        self.near.begin_pass();
        self.unplaced_needs.clear();
        self.place_suspects(service, now, log);
        if let Some(unschedulable) = self.unschedulable.get_mut(service) {
            unschedulable.clear();
        }
        let mut misfits = 0;
        let mut deferred = 0;
        let mut after: Option<Rank> = None;
        while misfits < MAX_MISFITS && *budget > 0.0 {
            // Placed tasks leave the queue, so the next one is the first after the previous rank.
            let Some(rank) = self.next_rank(service, after) else {
                break;
            };
            after = Some(rank);
            let ordered = self.starts.len();
            let placing = self.try_place(service, &rank, now, log);
            let starts = self.starts.len() - ordered;
            if starts > 0 {
                *budget -= (starts as u64 * self.start_bytes(rank.task())) as f64;
            }
            match placing {
                Placing::MustWait => {}
                Placing::AtBound => self.block_on_bound(service, &rank),
                Placing::Done => {
                    self.near.forget(rank.task());
                    self.drop_rank(service, &rank);
                }
                Placing::Deferred if deferred < MAX_DEFERRED => deferred += 1,
                Placing::Deferred | Placing::NoFit => {
                    misfits += 1;
                    self.handle_misfit(service, &rank, now);
                }
            }
        }
        self.place_idle_jobs(service, now, log, budget);
    }

    /// Places one task of each job that has nothing running, without regard to returns of data centres to service:
    /// such a job must not wait for as long as a return lasts. Does nothing while none is in progress.
    fn place_idle_jobs(&mut self, service: &str, now: Instant, log: LogState, budget: &mut f64) {
        if self.returns.is_empty() {
            return;
        }
        // Tasks that did not fit within the limits may fit now.
        self.unplaced_needs.clear();
        let mut seen = HashSet::new();
        let waiting = self.waiting.get(service).into_iter().flatten();
        let first = waiting.filter(|rank| seen.insert(rank.task().job));
        let idle = first.filter(|rank| !self.has_placed_task(rank.task().job));
        let idle: Vec<Rank> = idle.take(MAX_IDLE_JOBS).copied().collect();
        for rank in idle {
            if *budget <= 0.0 {
                return;
            }
            let ordered = self.starts.len();
            let placing = self.with_limits_lifted(|cell| cell.try_place(service, &rank, now, log));
            let starts = (self.starts.len() - ordered) as u64;
            if starts > 0 {
                *budget -= (starts * self.start_bytes(rank.task())) as f64;
            }
            if placing == Placing::Done {
                self.near.forget(rank.task());
                self.drop_rank(service, &rank);
            }
        }
    }

    /// Returns whether a run has been ordered for a task of a job and is not known to have ended.
    fn has_placed_task(&self, job: JobId) -> bool {
        let rounds = self.jobs.get(&job).into_iter().flat_map(|job| &job.rounds);
        let mut tasks = rounds.flat_map(|round| round.steps.iter().flatten());
        tasks.any(|task| matches!(task.phase, TaskPhase::Placed(_)))
    }

    /// Returns the first waiting task of a service after a rank, or the first of all if there is none.
    fn next_rank(&self, service: &str, after: Option<Rank>) -> Option<Rank> {
        let queue = self.waiting.get(service)?;
        match after {
            None => queue.first().copied(),
            Some(rank) => queue
                .range((Bound::Excluded(rank), Bound::Unbounded))
                .next()
                .copied(),
        }
    }

    /// Places a waiting task if it may start now.
    fn try_place(&mut self, service: &str, rank: &Rank, now: Instant, log: LogState) -> Placing {
        if self.must_wait(service, rank, now, log) || self.needs_quarantine(rank.task(), now) {
            Placing::MustWait
        } else if self.is_stale(rank.task()) {
            Placing::Done
        } else if self.waits_for_bound(rank) {
            Placing::AtBound
        } else {
            self.place(rank.task(), now)
        }
    }

    /// Returns whether a waiting task must not start yet, because a run of it may exist or because of what an
    /// earlier owner may have done.
    pub(crate) fn must_wait(
        &self,
        service: &str,
        rank: &Rank,
        now: Instant,
        log: LogState,
    ) -> bool {
        let task = rank.task();
        let lost = log == LogState::Unavailable && self.lost_tasks.contains(&task);
        lost || self.is_blocked_by_barrier(rank.order(), service, now) || self.has_run(task)
    }

    /// Takes the steps that help a task that does not fit: requests permits and reserves a worker.
    fn handle_misfit(&mut self, service: &str, rank: &Rank, now: Instant) {
        self.request_permits(rank.task(), now);
        if rank.is_long_running() {
            self.reserve(rank.task(), now);
            if self.needs_capacity(rank.task()) {
                let unschedulable = self.unschedulable.entry(service.to_owned()).or_default();
                unschedulable.push(rank.task());
            }
        }
    }

    /// Returns whether more workers would help a task; it may instead lack a permit or a label.
    fn needs_capacity(&self, task: TaskId) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        !job.submission.requires_permits && job.step(task.step).label.is_none()
    }

    /// Moves the tasks that cannot be in time any more behind those that can.
    fn demote_late(&mut self, service: &str) {
        let mut late: Vec<Rank> = Vec::new();
        // The tasks of a step are adjacent in the queue and late together.
        let mut last: Option<(StepId, bool)> = None;
        for rank in &self.waiting[service] {
            if rank.is_late() {
                break;
            }
            if rank.is_long_running() {
                continue;
            }
            let step = step_of(rank.task());
            let known = last.filter(|(other, _)| *other == step);
            let is_late = known.map_or_else(|| self.is_late(rank.task()), |(_, late)| late);
            last = Some((step, is_late));
            if is_late {
                late.push(*rank);
            }
        }
        if let Some(queue) = self.waiting.get_mut(service) {
            for rank in late {
                queue.remove(&rank);
                queue.insert(rank.to_late());
            }
        }
    }

    /// Returns whether a worker may still have a run of a task that must not run twice.
    fn has_run(&self, task: TaskId) -> bool {
        let Some(job) = self.jobs.get(&task.job).filter(|job| !job.phase.is_over()) else {
            return false;
        };
        let step = job.step(task.step);
        let state = job.task(task.round, task.step, task.index);
        // A run of a task outside of gangs is recorded in the task once it is reported.
        if !step.gang && state.is_some_and(|state| state.run == 0 && state.max_reported_run == 0) {
            return false;
        }
        let last = if step.gang {
            step.count - 1
        } else {
            task.index
        };
        let span = (task, 0)
            ..=(
                TaskId {
                    index: last,
                    ..task
                },
                RunId::MAX,
            );
        let has_run = |w: &Worker| w.runs.range(span.clone()).next().is_some();
        !step.allow_duplicates && self.workers.of(&job.submission.service).any(has_run)
    }

    /// Removes a task from the queue.
    pub(crate) fn drop_rank(&mut self, service: &str, rank: &Rank) {
        if let Some(queue) = self.waiting.get_mut(service) {
            queue.remove(rank);
        }
    }

    /// Returns whether a task does not wait any more.
    pub(crate) fn is_stale(&self, task: TaskId) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return true;
        };
        let state = job.task(task.round, task.step, task.index);
        job.phase.is_over() || state.is_none_or(|s| s.phase != TaskPhase::Waiting)
    }
}
