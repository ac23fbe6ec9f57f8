//! A pass over the waiting tasks of a service: whose turn has come, in which order, and when it ends.

use crate::{
    Cell, RunId, TaskId, TaskPhase, Worker,
    permit::{StepId, step_of},
    place::Placing,
    rank::Rank,
};
use clock::Instant;
use std::ops::Bound;

/// How many tasks that find no room are tried in one pass of a service before the rest wait for the
/// next: enough to find small ones behind large ones, few enough to bound a pass in an overload.
const MISFITS: usize = 32;

/// How many tasks that wait for room near their data are passed over in one pass; beyond that, they count
/// as tasks that find no room.
const MOST_LATER: usize = 256;

/// Whether what is decided now can be recorded.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum LogState {
    /// It can.
    Available,
    /// It cannot, for the time being.
    Unavailable,
}

impl Cell {
    /// Gives room to waiting tasks, in order, and notes the orders that follow.
    pub fn schedule(&mut self, now: Instant) {
        self.schedule_all(now, LogState::Available);
    }

    /// The same while the log is away. There may be a newer owner then, which may have met the workers
    /// that this one has lost from sight: what ran there is not tried again.
    pub fn schedule_unrecorded(&mut self, now: Instant) {
        self.schedule_all(now, LogState::Unavailable);
    }

    /// Gives room to the waiting tasks of all services.
    fn schedule_all(&mut self, now: Instant, log: LogState) {
        self.duty.forget_old(now);
        self.settle_unrecorded(now);
        self.unpark();
        let services: Vec<_> = self.waiting.keys().cloned().collect();
        for service in services {
            self.schedule_service(&service, now, log);
        }
        self.reserved.clear();
    }

    /// Gives room to the waiting tasks of a service, in order.
    fn schedule_service(&mut self, service: &str, now: Instant, log: LogState) {
        self.demote_late(service);
        self.near.begin_pass();
        self.misfits.clear();
        self.place_suspects(service, now, log);
        if let Some(roomless) = self.roomless.get_mut(service) {
            roomless.clear();
        }
        let mut misfits = 0;
        let mut later = 0;
        let mut after: Option<Rank> = None;
        while misfits < MISFITS {
            // What is placed leaves the queue: the next is the first behind the one before.
            let Some(rank) = self.next_rank(service, after) else {
                break;
            };
            after = Some(rank);
            match self.try_rank(service, &rank, now, log) {
                Placing::MustWait => {}
                Placing::AtBound => self.park(service, &rank),
                Placing::Done => {
                    self.near.forget(rank.task());
                    self.drop_rank(service, &rank);
                }
                Placing::Deferred if later < MOST_LATER => later += 1,
                Placing::Deferred | Placing::NoFit => {
                    misfits += 1;
                    self.note_misfit(service, &rank, now);
                }
            }
        }
    }

    /// The first of a service's waiting tasks behind one; the first of all without one.
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

    /// Places a waiting task if its turn has come.
    fn try_rank(&mut self, service: &str, rank: &Rank, now: Instant, log: LogState) -> Placing {
        if self.is_held(service, rank, now, log) || self.needs_quarantine(rank.task(), now) {
            Placing::MustWait
        } else if self.is_stale(rank.task()) {
            Placing::Done
        } else if self.waits_for_bound(rank) {
            Placing::AtBound
        } else {
            self.place(rank.task(), now)
        }
    }

    /// Whether a waiting task may run somewhere, or must not start yet for what an earlier owner may have done.
    pub(crate) fn is_held(&self, service: &str, rank: &Rank, now: Instant, log: LogState) -> bool {
        let task = rank.task();
        let lost = log == LogState::Unavailable && self.lost.contains(&task);
        lost || self.is_gated(rank.order(), service, now) || self.has_run(task)
    }

    /// Does what brings a task that finds no room nearer to some.
    fn note_misfit(&mut self, service: &str, rank: &Rank, now: Instant) {
        self.request_permits(rank.task(), now);
        if rank.is_long_running() {
            self.reserve(rank.task(), now);
            if self.wants_room(rank.task()) {
                let roomless = self.roomless.entry(service.to_owned()).or_default();
                roomless.push(rank.task());
            }
        }
    }

    /// Whether more workers would do for a task: a permit, or a label, may be what it lacks.
    fn wants_room(&self, task: TaskId) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        !job.submission.requires_permits && job.step(task.step).label.is_none()
    }

    /// Puts the tasks that cannot be in time any more behind those that can.
    fn demote_late(&mut self, service: &str) {
        let mut late: Vec<Rank> = Vec::new();
        // The tasks of a step stand one after the other and are late together.
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

    /// Whether a worker may still have a run of a task of which there must not be two.
    fn has_run(&self, task: TaskId) -> bool {
        let Some(job) = self.jobs.get(&task.job).filter(|job| !job.phase.is_over()) else {
            return false;
        };
        let step = job.step(task.step);
        let state = job.task(task.round, task.step, task.index);
        // A worker's run of a task that is none of a gang is known to the task once it is reported.
        if !step.gang && state.is_some_and(|state| state.run == 0 && state.top == 0) {
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
        let there = |w: &Worker| w.runs.range(span.clone()).next().is_some();
        !step.allow_duplicates && self.workers.of(&job.submission.service).any(there)
    }

    /// Takes a task out of those that wait.
    pub(crate) fn drop_rank(&mut self, service: &str, rank: &Rank) {
        if let Some(queue) = self.waiting.get_mut(service) {
            queue.remove(rank);
        }
    }

    /// Whether a task does not wait any more.
    pub(crate) fn is_stale(&self, task: TaskId) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return true;
        };
        let state = job.task(task.round, task.step, task.index);
        job.phase.is_over() || state.is_none_or(|s| s.phase != TaskPhase::Waiting)
    }
}
