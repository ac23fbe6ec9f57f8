//! Data centres that operators want emptied: nothing new begins there, and what can go on elsewhere leaves.
//!
//! Runs that end by themselves and save no progress are left to end. Lasting tasks leave one by one, so that a step has
//! no more of them away than its budget allows.

use crate::{Cell, RunId, RunPhase, TaskId, Worker, WorkerId, cell::room_of, place::may_join};
use clock::Instant;
use std::collections::BTreeSet;

/// The name of a data centre.
pub type HallId = String;

/// How many lasting tasks of a step without a budget may be on their way at once.
const DEFAULT_AWAY: u32 = 1;

impl Cell {
    /// Sets which data centres are to be emptied.
    pub fn set_drained_halls(&mut self, halls: BTreeSet<HallId>) {
        self.emptied = halls;
        for worker in self.workers.values_mut() {
            worker.hall_drained = self.emptied.contains(&worker.info.hall);
        }
    }

    /// Whether a data centre is to be emptied.
    pub fn is_hall_drained(&self, hall: &str) -> bool {
        self.emptied.contains(hall)
    }

    /// How many runs are left in the data centres that are to be emptied.
    pub fn count_runs_in_drained_halls(&self) -> usize {
        let leaving = self.workers.values().filter(|worker| worker.hall_drained);
        leaving.map(|worker| worker.runs.len()).sum()
    }

    /// Stops what can go on elsewhere on the workers of data centres that are to be emptied. Returns how many runs.
    pub fn drain_halls(&mut self, now: Instant) -> usize {
        if self.emptied.is_empty() {
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

    /// A lasting task of a worker that may leave now and finds room elsewhere.
    fn next_long_running(&self, id: &str, now: Instant) -> Option<(TaskId, RunId)> {
        let worker = self.workers.get(id)?;
        let mut runs = worker.runs.iter();
        let found = runs.find(|((task, _), run)| {
            run.phase == RunPhase::Running && self.may_leave(worker, *task, now)
        });
        found.map(|(key, _)| *key)
    }

    /// Whether a task lasts, may be away now, and has room on another worker.
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
        let room = room_of(job, task);
        let fits = |host: &Worker| {
            self.accepts(host, job, task, now)
                && room.fits(host.used, host.info.capacity)
                && may_join(step, || host.siblings(task))
        };
        let budget = step.disruption_budget.unwrap_or(DEFAULT_AWAY);
        self.away(task, None) < budget && self.workers.of(&worker.info.service).any(fits)
    }
}
