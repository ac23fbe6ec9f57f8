//! Why a task gets no room: what speaks against each worker of its service.

use crate::{
    Cell, TaskId, Worker,
    cell::room_of,
    place::{has_required_label, may_join},
};
use clock::Instant;
use std::collections::BTreeMap;

/// What speaks against a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Obstacle {
    /// It has not answered this owner.
    Silent,
    /// Its VM is to be taken out.
    Leaving,
    /// Its data centre is to be emptied.
    Emptied,
    /// It is set aside after bad ends.
    Aside,
    /// It lacks a label.
    Label,
    /// It has as many tasks of the step as it may have.
    Apart,
    /// The task does not fit beside what runs there.
    Room,
    /// Nothing: the task is placed at the next look.
    Nothing,
}

impl Cell {
    /// The lasting tasks of a service that wait, in order.
    pub fn waiting_long_running(&self) -> Vec<TaskId> {
        let ranks = self.waiting.values().flatten();
        ranks
            .filter(|rank| rank.is_long_running())
            .map(|rank| rank.task())
            .collect()
    }

    /// How many workers of its service each obstacle keeps a task from.
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

    /// The first thing that speaks against a worker, in the order in which they are named.
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
        } else if !room_of(job, task).fits(worker.used, worker.info.capacity) {
            Obstacle::Room
        } else {
            Obstacle::Nothing
        }
    }
}
