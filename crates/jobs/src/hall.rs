//! Drains data centres: no run starts there, and runs that can continue elsewhere are moved.
//!
//! Runs that end by themselves and save no progress are left to end. Long-running tasks leave one by one, so
//! that a step never has more unavailable tasks than its budget allows.

use crate::{Cell, RunId, RunPhase, TaskId, Worker, WorkerId, cell::need_of, place::may_join};
use clock::Instant;
use std::collections::BTreeSet;

/// The name of a data centre.
pub type HallId = String;

/// How many long-running tasks of a step without a budget may be unavailable at once.
const DEFAULT_MAX_UNAVAILABLE: u32 = 1;

impl Cell {
    /// Sets which data centres are to be drained.
    pub fn set_drained_halls(&mut self, halls: BTreeSet<HallId>) {
        self.drained_halls = halls;
        for worker in self.workers.values_mut() {
            worker.hall_drained = self.drained_halls.contains(&worker.info.hall);
        }
    }

    /// Returns whether a data centre is to be drained.
    pub fn is_hall_drained(&self, hall: &str) -> bool {
        self.drained_halls.contains(hall)
    }

    /// Returns how many runs are left in the data centres that are to be drained.
    pub fn count_runs_in_drained_halls(&self) -> usize {
        let leaving = self.workers.values().filter(|worker| worker.hall_drained);
        leaving.map(|worker| worker.runs.len()).sum()
    }

    /// Stops the runs that can continue elsewhere on workers of drained data centres. Returns how many were
    /// stopped.
    pub fn drain_halls(&mut self, now: Instant) -> usize {
        if self.drained_halls.is_empty() {
            return 0;
        }
        let leaving = self.workers.values();
        let leaving = leaving.filter(|worker| worker.hall_drained && !worker.runs.is_empty());
        let leaving: Vec<WorkerId> = leaving.map(|worker| worker.info.id.clone()).collect();
        let mut stopped = 0;
        for id in leaving {
            stopped += self.drain_worker(&id, now);
            while let Some((task, run)) = self.next_long_running(&id, now) {
                self.stop_run(&id, task, run);
                stopped += 1;
            }
        }
        stopped
    }

    /// Returns a run of a long-running task on a worker that may be stopped now and fits elsewhere.
    fn next_long_running(&self, id: &str, now: Instant) -> Option<(TaskId, RunId)> {
        let worker = self.workers.get(id)?;
        let mut runs = worker.runs.iter();
        let found = runs.find(|((task, _), run)| {
            run.phase == RunPhase::Running && self.may_leave(worker, *task, now)
        });
        found.map(|(key, _)| *key)
    }

    /// Returns whether a task is long-running, may be unavailable now, and fits on another worker.
    fn may_leave(&self, worker: &Worker, task: TaskId, now: Instant) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        let Some(step) = job
            .find_step(task)
            .filter(|step| step.long_running && !step.gang)
        else {
            return false;
        };
        let need = need_of(job, task);
        let fits = |host: &Worker| {
            self.accepts(host, job, task, now)
                && need.fits(host.used, host.info.capacity)
                && may_join(step, || host.siblings(task))
        };
        let budget = step.disruption_budget.unwrap_or(DEFAULT_MAX_UNAVAILABLE);
        self.count_unavailable(task, None) < budget
            && self.workers.of(&worker.info.service).any(fits)
    }
}
