//! Whether a task waits for room near its data, or runs far from it at once.
//!
//! Far from its data a task takes several times as long, and takes room for as long. Where the rack of
//! the data will have room sooner than that costs, the task waits, but never for long.

use crate::{Cell, RackId, Step, TaskId, Worker, worker::RunKind};
use clock::Instant;
use std::{collections::HashMap, time::Duration};

/// How long a task waits for room near its data at the most: a task whose turn has come must not stand
/// still for 3 s while there is room elsewhere.
const LONGEST_WAIT: Duration = Duration::from_millis(1_500);

/// The tasks that wait for room near their data.
#[derive(Debug, Default)]
pub(crate) struct DataRackWaits {
    /// Since when each task waits.
    since: HashMap<TaskId, Instant>,
    /// The work that waits for each rack in this pass, in thousandths of a core times ms.
    queued: HashMap<RackId, f64>,
}

impl DataRackWaits {
    /// A new pass over the waiting tasks begins.
    pub(crate) fn begin_pass(&mut self) {
        self.queued.clear();
    }

    /// A task is placed, or does not wait any more.
    pub(crate) fn forget(&mut self, task: TaskId) {
        self.since.remove(&task);
    }
}

impl Cell {
    /// Whether a task waits for room near its data rather than run on this worker, the best one that has
    /// room now.
    pub(crate) fn waits_for_data_rack(&mut self, task: TaskId, worker: &str, now: Instant) -> bool {
        let Some((rack, work, cost)) = self.far_cost(task, worker) else {
            return false;
        };
        let Some(wait) = self.near_wait(task, &rack, now) else {
            return false;
        };
        let since = *self.near.since.entry(task).or_insert(now);
        if wait >= cost || now >= since + LONGEST_WAIT {
            return false;
        }
        *self.near.queued.entry(rack).or_default() += work;
        true
    }

    /// If a worker is far from a task's data: the rack of the data, the task's work in thousandths of a
    /// core times ms, and by how many ms it takes longer elsewhere.
    fn far_cost(&self, task: TaskId, worker: &str) -> Option<(RackId, f64, f64)> {
        let job = self.jobs.get(&task.job)?;
        let step = job.find_step(task)?;
        if self.far_factor(worker, step) <= 1.0 {
            return None;
        }
        let rack = step.data_rack.clone()?;
        let expected = step.estimate_ms as f64 * self.pace_of(&job.submission.queue);
        let work = expected * step.need.cpu as f64;
        Some((rack, work, expected * (self.limits.far - 1.0)))
    }

    /// In how many ms the rack will have dealt with what it has, as far as is known; none if no worker
    /// there may get the task.
    fn near_wait(&self, task: TaskId, rack: &str, now: Instant) -> Option<f64> {
        let service = &self.jobs.get(&task.job)?.submission.service;
        let there = |w: &&Worker| w.info.has_label(rack) && w.is_open(now);
        let (mut room, mut work) = (0.0, 0.0);
        for worker in self.workers.of(service).filter(there) {
            room += worker.info.capacity.cpu as f64;
            for ((task, _), run) in &worker.runs {
                let cpu = run.load.need.cpu as f64;
                match run.load.kind {
                    RunKind::Finite => {
                        work += cpu * self.run_left(*task, run, now).as_millis() as f64;
                    }
                    RunKind::Serving | RunKind::LongRunning | RunKind::BestEffort => room -= cpu,
                }
            }
        }
        work += self.near.queued.get(rack).copied().unwrap_or(0.0);
        (room > 0.0).then(|| work / room)
    }

    /// How many times as long a run takes on a worker as near its data.
    pub(crate) fn far_factor(&self, worker: &str, step: &Step) -> f64 {
        let host = self.workers.get(worker);
        let far = step
            .data_rack
            .as_ref()
            .is_some_and(|rack| host.is_some_and(|host| !host.info.has_label(rack)));
        if far { self.limits.far } else { 1.0 }
    }
}
