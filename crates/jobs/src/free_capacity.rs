//! Counts the capacity for runs that are to be stopped in one place and to continue in another.
//!
//! The capacity is counted once for all runs that are to be stopped, less what the tasks take that have been
//! interrupted earlier and have not started again. Otherwise several VMs would count on the same capacity, and
//! more runs would be stopped than can start elsewhere.

use crate::{
    Cell, Job, Need, RunPhase, Step, TaskId, Worker, WorkerId,
    cell::need_of,
    permit::{StepId, step_of},
    place::may_join,
};
use clock::Instant;
use std::collections::HashMap;

/// The free capacity of the workers of a service that accept new runs.
#[derive(Debug)]
pub(crate) struct FreeCapacity {
    hosts: Vec<Host>,
    /// The needs of unconstrained finite and long-running tasks that fitted nowhere. The free capacity only
    /// shrinks, so larger ones do not fit either.
    misfits: Vec<(bool, Need)>,
}

/// A worker, with the tasks that have been assigned to it.
#[derive(Debug)]
struct Host {
    id: WorkerId,
    capacity: Need,
    used: Need,
    /// Whether it has no run, so that its VM might be moved to another pool.
    idle: bool,
    /// How many tasks of each step have been assigned to it.
    assigned: HashMap<StepId, u32>,
}

impl Host {
    /// Creates a host to which nothing has been assigned yet.
    fn new(worker: &Worker, capacity: Need) -> Self {
        Host {
            id: worker.info.id.clone(),
            capacity,
            used: worker.used,
            idle: worker.runs.is_empty(),
            assigned: HashMap::new(),
        }
    }

    /// Assigns a task to the host.
    fn assign(&mut self, task: TaskId, need: Need) {
        self.used.add(need);
        *self.assigned.entry(step_of(task)).or_default() += 1;
    }
}

impl FreeCapacity {
    /// Returns whether a task certainly does not fit, since an unconstrained one that needs no more did not.
    pub(crate) fn is_misfit(&self, long_running: bool, need: Need) -> bool {
        let mut misfits = self.misfits.iter();
        misfits.any(|(kind, misfit)| *kind == long_running && misfit.is_within(need))
    }
}

impl Cell {
    /// Returns the free capacity of a service's workers, less what its interrupted tasks take.
    pub(crate) fn free_capacity(&self, service: &str, now: Instant) -> FreeCapacity {
        self.free_capacity_beside("", service, now)
    }

    /// Returns the free capacity of a service's workers except for one, less what its interrupted tasks take.
    pub(crate) fn free_capacity_beside(
        &self,
        leaving: &str,
        service: &str,
        now: Instant,
    ) -> FreeCapacity {
        let open = self.workers.of(service).filter(|w| w.is_open(now));
        let open = open.filter(|w| *w.info.id != *leaving);
        let mut free = FreeCapacity {
            hosts: open
                .map(|worker| Host::new(worker, self.limit_of(worker, now)))
                .collect(),
            misfits: Vec::new(),
        };
        for task in self.interrupted_tasks(service, now) {
            self.take_capacity(&mut free, task, now);
        }
        free
    }

    /// Takes capacity for a task. Returns false if there is none for it.
    pub(crate) fn take_capacity(
        &self,
        free: &mut FreeCapacity,
        task: TaskId,
        now: Instant,
    ) -> bool {
        let Some((job, step)) = self.find_step(task) else {
            return false;
        };
        let need = need_of(job, task);
        if free.is_misfit(step.long_running, need) {
            return false;
        }
        let may_take = |host: &&mut Host| {
            // A run that ends by itself is not worth an idle VM, which might be moved to another pool.
            (step.long_running || !host.idle)
                && need.fits(host.used, host.capacity)
                && self.may_assign(host, job, step, task, now)
        };
        match free.hosts.iter_mut().find(may_take) {
            Some(host) => {
                host.assign(task, need);
                true
            }
            None => {
                let constrained = step.label.is_some()
                    || step.max_per_worker.is_some()
                    || job.submission.requires_permits;
                if !constrained {
                    free.misfits.push((step.long_running, need));
                }
                false
            }
        }
    }

    /// Returns whether a worker accepts a task beside those that have been assigned to it.
    fn may_assign(&self, host: &Host, job: &Job, step: &Step, task: TaskId, now: Instant) -> bool {
        let Some(worker) = self.workers.get(&host.id) else {
            return false;
        };
        let siblings = || {
            let assigned = host.assigned.get(&step_of(task));
            worker.siblings(task) + assigned.copied().unwrap_or(0)
        };
        self.accepts(worker, job, task, now) && may_join(step, siblings)
    }

    /// Returns the tasks of a service that have run, are to continue, and have no capacity at present: those
    /// whose run is being stopped on a worker that accepts no new runs, and those that wait for a start. This
    /// follows from the records and the workers' reports, so that it holds for a new owner as well.
    fn interrupted_tasks(&self, service: &str, now: Instant) -> Vec<TaskId> {
        let closed = self.workers.of(service).filter(|w| !w.is_open(now));
        let stopping = closed.flat_map(|worker| {
            let stopping = worker.runs.iter();
            let stopping = stopping.filter(|(_, run)| run.phase == RunPhase::Stopping);
            let keys = stopping.map(|(key, _)| *key);
            keys.filter(|(task, run)| self.is_current(&worker.info.id, *task, *run))
        });
        let waiting = self.waiting.get(service).into_iter().flatten();
        let waiting = waiting
            .map(|rank| rank.task())
            .filter(|task| self.was_started(*task));
        let tasks = stopping.map(|(task, _)| task).chain(waiting);
        tasks.filter(|task| self.is_movable(*task)).collect()
    }

    /// Returns whether a run of a task has been started at any time.
    fn was_started(&self, task: TaskId) -> bool {
        let job = self.jobs.get(&task.job);
        let state = job.and_then(|job| job.task(task.round, task.step, task.index));
        state.is_some_and(|state| state.run > 0)
    }

    /// Returns whether a run of a task that is stopped continues elsewhere: it is long-running or saves its
    /// progress.
    fn is_movable(&self, task: TaskId) -> bool {
        let step = self.find_step(task);
        let moves = |step: &Step| !step.gang && (step.long_running || step.saves_progress);
        step.is_some_and(|(_, step)| moves(step))
    }

    /// Returns a task's job and step, if they are known.
    fn find_step(&self, task: TaskId) -> Option<(&Job, &Step)> {
        let job = self.jobs.get(&task.job)?;
        Some((job, job.find_step(task)?))
    }
}
