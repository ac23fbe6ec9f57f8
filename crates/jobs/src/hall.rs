//! Drains data centres: no run starts there, and runs that can continue elsewhere are moved.
//!
//! Runs that end by themselves and save no progress are left to end. Long-running tasks leave one by one, so
//! that a step never has more unavailable tasks than its budget allows.

use crate::{
    Cell, RunId, RunPhase, ServiceId, StepId, TaskId, WorkerId,
    free_capacity::FreeCapacity,
    permit::step_of,
    worker::{RunKind, RunState},
};
use clock::Instant;
use std::collections::{BTreeSet, HashSet};

/// The name of a data centre.
pub type HallId = String;

/// How many long-running tasks of a step without a budget may be unavailable at once.
const DEFAULT_MAX_UNAVAILABLE: u32 = 1;

/// The kinds of runs that leave a data centre.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Leaving {
    /// Long-running tasks, within their budgets.
    LongRunning,
    /// Runs that end by themselves and save their progress.
    Finite,
}

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
        let leaving = self.workers.of(service);
        let leaving = leaving.filter(|worker| worker.hall_drained && !worker.runs.is_empty());
        let leaving: Vec<WorkerId> = leaving.map(|worker| worker.info.id.clone()).collect();
        let mut free = self.free_capacity(service, now);
        let mut exhausted = HashSet::new();
        let mut stopped = 0;
        for kind in [Leaving::LongRunning, Leaving::Finite] {
            for id in &leaving {
                for (task, run) in self.fitting_runs(id, kind, &free) {
                    // Each task that is stopped uses up a part of its step's budget.
                    if self.is_leaving(id, (task, run), kind, &mut exhausted, now)
                        && self.take_capacity(&mut free, task, now)
                    {
                        self.stop_run(id, task, run);
                        stopped += 1;
                    }
                }
            }
        }
        stopped
    }

    /// Returns the runs on a worker for which there may be capacity elsewhere. While the other data centres are
    /// full these are none, so that a round is short.
    fn fitting_runs(&self, id: &str, kind: Leaving, free: &FreeCapacity) -> Vec<(TaskId, RunId)> {
        let runs = self.workers.get(id).into_iter().flat_map(|w| &w.runs);
        let may_fit = |run: &RunState| match (kind, run.load.kind) {
            (Leaving::LongRunning, RunKind::Finite) | (Leaving::Finite, RunKind::LongRunning) => {
                false
            }
            _ => !free.is_misfit(kind == Leaving::LongRunning, run.load.need),
        };
        let fitting = runs.filter(|(_, run)| run.phase == RunPhase::Running && may_fit(run));
        fitting.map(|(key, _)| *key).collect()
    }

    /// Returns whether a run is of this kind and may leave its worker now. Steps whose budget is used up are added
    /// to `exhausted`, so that their tasks are not counted again for each run.
    fn is_leaving(
        &self,
        id: &str,
        key: (TaskId, RunId),
        kind: Leaving,
        exhausted: &mut HashSet<StepId>,
        now: Instant,
    ) -> bool {
        let run = self
            .workers
            .get(id)
            .and_then(|worker| worker.runs.get(&key));
        let Some(run) = run else {
            return false;
        };
        if kind == Leaving::Finite {
            return self.is_worth_moving(key.0, run, now);
        }
        // A task that is unavailable itself does not count against the budget.
        let is_operational = run.percent >= 100;
        let step = step_of(key.0);
        if is_operational && exhausted.contains(&step) {
            return false;
        }
        let may_leave = self.may_leave(key.0);
        if !may_leave {
            exhausted.insert(step);
        }
        may_leave
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
