//! A pass over the waiting tasks of a service: which tasks may start, in which order, and when the pass ends.

use crate::{
    Cell, JobId, Need, RunId, Step, TaskId, TaskPhase, Worker,
    cell::need_of,
    headroom::Headroom,
    permit::{StepId, step_of},
    place::Placing,
    rank::Rank,
};
use clock::Instant;
use std::{collections::HashSet, ops::Bound};

/// How many workers are looked at in one pass for tasks that then fit on none, once from the first waiting task on and
/// once from where the last pass ended. It bounds the time of a pass; tasks that were not tried come next time.
const MAX_CHECKS: usize = 50_000;

/// How many tasks that wait for capacity near their data are skipped in one pass; further ones count as tasks
/// that do not fit.
const MAX_DEFERRED: usize = 256;

/// How many jobs without any run are tried beyond the limits of returning data centres in one pass.
const MAX_IDLE_JOBS: usize = 256;

/// How many tasks in front may wait for runs to end before a busy service keeps freed capacity for them. Tasks behind
/// them would otherwise take each gap before it is large enough.
const MAX_IN_FRONT: usize = 32;

/// How many needs of tasks that fitted nowhere are remembered in a pass, to be compared with each later task.
const MAX_MISFITS: usize = 64;

/// How many waiting tasks with earlier runs are looked up on each worker before the runs of all workers are indexed.
const MAX_LOOKUPS: usize = 8;

/// Whether decisions can be recorded at present.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum LogState {
    /// Decisions can be recorded.
    Available,
    /// Decisions cannot be recorded for the time being.
    Unavailable,
}

/// What a pass over a service came to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PassCounts {
    /// The number of steps with a waiting task that fitted nowhere.
    pub misfits: usize,
    /// The number of tasks that the pass did not come to.
    pub untried: usize,
    /// The number of workers that were kept free for tasks that fitted nowhere.
    pub reserved: usize,
}

/// The need of a task that fitted on no worker.
#[derive(Debug)]
struct Misfit {
    /// The label that it requires, if any.
    label: Option<String>,
    need: Need,
}

/// What the current pass over a service has found.
#[derive(Debug, Default)]
pub(crate) struct Pass {
    /// The needs of tasks that fitted nowhere.
    misfits: Vec<Misfit>,
    /// What the workers had to offer when the first task fitted nowhere.
    pub(crate) headroom: Option<Headroom>,
    /// The number of workers that were looked at for tasks that then fitted on none.
    pub(crate) checks: usize,
    /// The number of workers that were reserved for long-running tasks.
    pub(crate) reserved: usize,
    /// The number of tasks that wait for runs to end, up to [`MAX_IN_FRONT`].
    in_front: usize,
    /// Whether tasks that waited under an earlier owner are held back.
    holds_back: bool,
    /// The number of tasks that were looked up on each worker.
    lookups: usize,
    /// The tasks of which a worker of the service has a run.
    tasks_with_runs: Option<HashSet<TaskId>>,
    counts: PassCounts,
}

impl Pass {
    /// Records that a task with this need fitted on no worker with the label that it requires.
    pub(crate) fn record_misfit(&mut self, label: Option<String>, need: Need) {
        self.misfits
            .retain(|misfit| misfit.label != label || !need.is_within(misfit.need));
        if self.misfits.len() < MAX_MISFITS {
            self.misfits.push(Misfit { label, need });
        }
    }

    /// Returns whether freed capacity is kept for tasks in front of all that were not tried yet. They wait for runs that
    /// end by themselves, so that nobody waits for ever.
    fn is_held(&self) -> bool {
        let is_busy = self.headroom.as_ref().is_some_and(Headroom::is_busy);
        self.in_front >= MAX_IN_FRONT && is_busy
    }

    /// Returns whether a task certainly does not fit: free capacity only shrinks in a pass, and no worker had as much to
    /// offer, or another task that needs no more and may run on the same workers did not fit.
    pub(crate) fn is_misfit(&self, step: &Step, need: Need) -> bool {
        let headroom = self.headroom.as_ref();
        let is_covered = |misfit: &Misfit| {
            let covers = misfit.label.is_none() || misfit.label == step.label;
            covers && misfit.need.is_within(need)
        };
        headroom.is_some_and(|headroom| !headroom.may_fit(step, need))
            || self.misfits.iter().any(is_covered)
    }
}

/// How a part of a pass ended.
enum PassEnd {
    /// All tasks of the queue were tried.
    Complete,
    /// The tasks after this rank were not tried.
    Stopped(Rank),
    /// The tasks after this rank wait until those in front of them have been placed.
    Held(Rank),
}

impl Cell {
    /// Returns what the last pass over a service came to.
    pub fn pass_counts(&self, service: &str) -> PassCounts {
        self.pass_counts.get(service).copied().unwrap_or_default()
    }

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
        self.renew_groups(now);
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
        self.pass = Pass {
            holds_back: self.may_have_unknown_runs(service, now),
            ..Pass::default()
        };
        self.place_suspects(service, now, log);
        if let Some(unschedulable) = self.unschedulable.get_mut(service) {
            unschedulable.clear();
        }
        self.place_waiting(service, now, log, budget);
        let reserved = self.pass.reserved;
        let counts = PassCounts {
            reserved,
            ..self.pass.counts
        };
        self.pass_counts.insert(service.to_owned(), counts);
        self.place_idle_jobs(service, now, log, budget);
    }

    /// Places the waiting tasks of a service. If more of them fit nowhere than one pass has time for, those at the head
    /// of the queue are tried in each pass, and all others in turn.
    fn place_waiting(&mut self, service: &str, now: Instant, log: LogState, budget: &mut f64) {
        let resume_after = self.resume_after.remove(service);
        let reached = match self.place_after(service, None, now, log, budget) {
            PassEnd::Complete => return,
            PassEnd::Stopped(reached) => reached,
            PassEnd::Held(reached) => {
                self.pass.counts.untried = self.count_behind(service, reached);
                return;
            }
        };
        let from = resume_after.filter(|rank| *rank > reached);
        let from = from.unwrap_or(reached);
        self.pass.checks = 0;
        let end = self.place_after(service, Some(from), now, log, budget);
        let between = (Bound::Excluded(reached), Bound::Included(from));
        let mut untried = self.waiting[service].range(between).count();
        if let PassEnd::Stopped(rank) | PassEnd::Held(rank) = end {
            untried += self.count_behind(service, rank);
            self.resume_after.insert(service.to_owned(), rank);
        }
        self.pass.counts.untried = untried;
    }

    /// Returns how many tasks of a service wait behind a rank.
    fn count_behind(&self, service: &str, rank: Rank) -> usize {
        let behind = (Bound::Excluded(rank), Bound::Unbounded);
        self.waiting[service].range(behind).count()
    }

    /// Places the waiting tasks of a service after a rank, or all of them if there is none.
    fn place_after(
        &mut self,
        service: &str,
        mut after: Option<Rank>,
        now: Instant,
        log: LogState,
        budget: &mut f64,
    ) -> PassEnd {
        let mut deferred = 0;
        // Placed tasks leave the queue, so the next one is the first after the previous rank.
        while let Some(rank) = self.next_rank(service, after) {
            if *budget <= 0.0 || self.pass.checks >= MAX_CHECKS {
                return after.map_or(PassEnd::Complete, PassEnd::Stopped);
            }
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
                    if placing == Placing::Deferred {
                        self.pass.checks += self.workers.count_of(service);
                    }
                    self.pass.counts.misfits += 1;
                    self.handle_misfits(service, rank, now, log);
                    // The other tasks of the step may start on the same workers, and none of these gets more free
                    // capacity in this pass.
                    let end = rank.end_of_step();
                    after = Some(end);
                    if self.is_held_behind(service, rank, now) {
                        return PassEnd::Held(end);
                    }
                }
            }
        }
        PassEnd::Complete
    }

    /// Returns whether the tasks behind a step that fits nowhere are held back. Long-running tasks hold nobody back; they
    /// reserve workers.
    fn is_held_behind(&mut self, service: &str, first: Rank, now: Instant) -> bool {
        if first.is_long_running() || !self.waits_for_runs(first.task(), now) {
            return false;
        }
        let of_step = self.waiting[service].range(first..=first.end_of_step());
        self.pass.in_front += of_step.take(MAX_IN_FRONT).count();
        self.pass.is_held()
    }

    /// Places one task of each job that has nothing running, without regard to returns of data centres to service:
    /// such a job must not wait for as long as a return lasts. Does nothing while none is in progress. If there are more
    /// such jobs than one pass has time for, they are tried in turn.
    fn place_idle_jobs(&mut self, service: &str, now: Instant, log: LogState, budget: &mut f64) {
        let last = self.last_idle.remove(service);
        if self.returns.is_empty() {
            return;
        }
        // Tasks that did not fit within the limits may fit now.
        self.pass.misfits.clear();
        let mut seen = HashSet::new();
        let waiting = self.waiting.get(service).into_iter().flatten();
        let first = waiting.filter(|rank| seen.insert(rank.task().job));
        let idle = first.filter(|rank| !self.has_placed_task(rank.task().job));
        let mut idle: Vec<Rank> = idle.copied().collect();
        if idle.len() > MAX_IDLE_JOBS {
            let next = idle
                .iter()
                .position(|rank| last.is_none_or(|last| *rank > last));
            idle.rotate_left(next.unwrap_or(0));
            idle.truncate(MAX_IDLE_JOBS);
            self.last_idle
                .extend(idle.last().map(|rank| (service.to_owned(), *rank)));
        }
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
        if self.must_wait(service, rank, log) || self.needs_quarantine(rank.task(), now) {
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
    pub(crate) fn must_wait(&mut self, service: &str, rank: &Rank, log: LogState) -> bool {
        let task = rank.task();
        let lost = log == LogState::Unavailable && self.lost_tasks.contains(&task);
        let held_back = self.pass.holds_back && self.is_inherited(rank.order());
        lost || held_back || self.has_run(task, service)
    }

    /// Takes the steps that help the waiting tasks of a step that do not fit, of which `first` is the first: requests
    /// permits and reserves workers.
    fn handle_misfits(&mut self, service: &str, first: Rank, now: Instant, log: LogState) {
        self.request_permits(first.task(), now);
        if !first.is_long_running() {
            return;
        }
        let queue = self.waiting.get(service).into_iter();
        let of_step = queue.flat_map(|queue| queue.range(first..=first.end_of_step()));
        let of_step: Vec<Rank> = of_step.copied().collect();
        let needs_capacity = self.needs_capacity(first.task());
        let mut may_reserve = true;
        for rank in of_step {
            if self.must_wait(service, &rank, log) || self.needs_quarantine(rank.task(), now) {
                continue;
            }
            may_reserve = may_reserve && self.reserve(rank.task(), now);
            if needs_capacity {
                let unschedulable = self.unschedulable.entry(service.to_owned()).or_default();
                unschedulable.push(rank.task());
            }
        }
    }

    /// Returns whether more workers would help a task; it may instead lack a permit or a label, or need more than any
    /// worker has.
    fn needs_capacity(&self, task: TaskId) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        let headroom = self.pass.headroom.as_ref();
        let is_possible = headroom.is_none_or(|h| h.may_fit_elsewhere(need_of(job, task)));
        is_possible && !job.submission.requires_permits && job.step(task.step).label.is_none()
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
    fn has_run(&mut self, task: TaskId, service: &str) -> bool {
        let Some(job) = self.jobs.get(&task.job).filter(|job| !job.phase.is_over()) else {
            return false;
        };
        let step = job.step(task.step);
        if step.allow_duplicates {
            return false;
        }
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
        self.pass.lookups += 1;
        if self.pass.lookups > MAX_LOOKUPS {
            let members = (task.index..=last).map(|index| TaskId { index, ..task });
            let with_runs = self.pass.tasks_with_runs.get_or_insert_with(|| {
                let runs = self.workers.of(service).flat_map(|w| w.runs.keys());
                runs.map(|(task, _)| *task).collect()
            });
            return members.into_iter().any(|task| with_runs.contains(&task));
        }
        let last = TaskId {
            index: last,
            ..task
        };
        let span = (task, 0)..=(last, RunId::MAX);
        let has_run = |w: &Worker| w.runs.range(span.clone()).next().is_some();
        self.workers.of(service).any(has_run)
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
