//! Explains why a task is not placed: the obstacle at each worker of its service.

use crate::{
    Cell, TaskId, Worker,
    cell::need_of,
    place::{has_required_label, may_join},
};
use clock::Instant;
use std::collections::BTreeMap;

/// The reason why a worker cannot take a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Obstacle {
    /// The worker has not answered this owner.
    Silent,
    /// The worker's VM is to be disrupted.
    Leaving,
    /// The worker's data centre is to be drained.
    Emptied,
    /// The worker is excluded for a while after failed runs or refused starts.
    Aside,
    /// The worker lacks a required label.
    Label,
    /// The worker has as many tasks of the step as it may have.
    Apart,
    /// The task does not fit beside the other runs of the worker.
    Room,
    /// There is no obstacle; the task is placed in the next pass.
    Nothing,
}

impl Cell {
    /// Returns the long-running tasks of all services that wait, in order.
    pub fn waiting_long_running(&self) -> Vec<TaskId> {
        let waiting = self.waiting.values().flatten();
        waiting
            .filter(|rank| rank.is_long_running())
            .map(|rank| rank.task())
            .collect()
    }

    /// Returns how many workers of its service each obstacle keeps a task from.
    pub fn obstacles(&self, task: TaskId, now: Instant) -> BTreeMap<Obstacle, usize> {
        let mut counts = BTreeMap::new();
        let Some(job) = self.jobs.get(&task.job) else {
            return counts;
        };
        for worker in self.workers.of(&job.submission.service) {
            *counts.entry(self.obstacle(worker, task, now)).or_insert(0) += 1;
        }
        counts
    }

    /// Returns the first obstacle at a worker, in the order of the variants.
    fn obstacle(&self, worker: &Worker, task: TaskId, now: Instant) -> Obstacle {
        let Some(job) = self.jobs.get(&task.job) else {
            return Obstacle::Nothing;
        };
        let step = job.step(task.step);
        if !worker.responsive {
            Obstacle::Silent
        } else if worker.closed || worker.disrupted || worker.info.draining {
            Obstacle::Leaving
        } else if worker.hall_drained {
            Obstacle::Emptied
        } else if worker.excluded_until.is_some_and(|until| until > now) {
            Obstacle::Aside
        } else if !has_required_label(worker, step) {
            Obstacle::Label
        } else if !may_join(step, || worker.siblings(task)) {
            Obstacle::Apart
        } else if !need_of(job, task).fits(worker.used, worker.info.capacity) {
            Obstacle::Room
        } else {
            Obstacle::Nothing
        }
    }
}
