//! Drains data centres: no run starts there, and runs that can continue elsewhere are moved.
//!
//! Runs that end by themselves and save no progress are left to end. Long-running tasks leave one by one, so
//! that a step never has more unavailable tasks than its budget allows.

use crate::{Cell, RunId, RunPhase, ServiceId, TaskId, WorkerId, worker::RunState};
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
        let services: BTreeSet<ServiceId> =
            leaving.map(|worker| worker.info.service.clone()).collect();
        let services = services.iter();
        services
            .map(|service| self.drain_service(service, now))
            .sum()
    }

    /// Stops the runs of a service that can continue elsewhere on workers of drained data centres, as far as
    /// there is capacity for all of them together. Long-running tasks come first, as when tasks are placed.
    fn drain_service(&mut self, service: &str, now: Instant) -> usize {
        let long_running = self.leaving_runs(service, |cell, task, _| cell.may_leave(task));
        let finite = self.leaving_runs(service, |cell, task, run| {
            cell.is_worth_moving(task, run, now)
        });
        if long_running.is_empty() && finite.is_empty() {
            return 0;
        }
        let mut free = self.free_capacity(service, now);
        let mut stopped = 0;
        for (worker, task, run) in long_running {
            // Each task that is stopped uses up a part of its step's budget.
            if self.may_leave(task) && self.take_capacity(&mut free, task, now) {
                self.stop_run(&worker, task, run);
                stopped += 1;
            }
        }
        for (worker, task, run) in finite {
            if self.take_capacity(&mut free, task, now) {
                self.stop_run(&worker, task, run);
                stopped += 1;
            }
        }
        stopped
    }

    /// Returns the runs of a service on workers of drained data centres that `may_leave`.
    fn leaving_runs(
        &self,
        service: &str,
        may_leave: impl Fn(&Cell, TaskId, &RunState) -> bool,
    ) -> Vec<(WorkerId, TaskId, RunId)> {
        let mut leaving = Vec::new();
        for worker in self.workers.of(service).filter(|w| w.hall_drained) {
            let running = worker.runs.iter();
            let running = running.filter(|(_, run)| run.phase == RunPhase::Running);
            for ((task, run), state) in running {
                if may_leave(self, *task, state) {
                    leaving.push((worker.info.id.clone(), *task, *run));
                }
            }
        }
        leaving
    }

    /// Returns whether a task is long-running and may be unavailable now.
    fn may_leave(&self, task: TaskId) -> bool {
        let job = self.jobs.get(&task.job);
        let step = job.and_then(|job| job.find_step(task));
        let Some(step) = step.filter(|step| step.long_running && !step.gang) else {
            return false;
        };
        let budget = step.disruption_budget.unwrap_or(DEFAULT_MAX_UNAVAILABLE);
        self.count_unavailable(task, None) < budget
    }
}
