//! Decides whether a task waits for capacity near its data or starts far from it at once.
//!
//! Far from its data a task takes several times as long and uses capacity for that time. If the rack with the
//! data will have capacity before that costs more, the task waits, but only for a limited time.

use crate::{Cell, RackId, Step, TaskId, Worker, worker::RunKind};
use clock::Instant;
use std::{collections::HashMap, time::Duration};

/// The longest wait of a task for capacity near its data. A task that is next in order must not be held back
/// for 3 s while there is free capacity elsewhere.
const MAX_WAIT: Duration = Duration::from_millis(1_500);

/// The tasks that wait for capacity near their data.
#[derive(Debug, Default)]
pub(crate) struct DataRackWaits {
    /// When the wait of each task began.
    since: HashMap<TaskId, Instant>,
    /// The work that waits for each rack in the current pass, in thousandths of a core times ms.
    queued: HashMap<RackId, f64>,
}

impl DataRackWaits {
    /// Resets the queued work at the start of a pass.
    pub(crate) fn begin_pass(&mut self) {
        self.queued.clear();
    }

    /// Removes a task that was placed or does not wait any more.
    pub(crate) fn forget(&mut self, task: TaskId) {
        self.since.remove(&task);
    }
}

impl Cell {
    /// Returns whether a task should wait for capacity near its data instead of starting on this worker, the
    /// best one with free capacity.
    pub(crate) fn waits_for_data_rack(&mut self, task: TaskId, worker: &str, now: Instant) -> bool {
        let Some((rack, work, cost)) = self.far_cost(task, worker) else {
            return false;
        };
        let Some(wait) = self.expected_wait(task, &rack, now) else {
            return false;
        };
        let since = *self.near.since.entry(task).or_insert(now);
        if wait >= cost || now >= since + MAX_WAIT {
            return false;
        }
        *self.near.queued.entry(rack).or_default() += work;
        true
    }

    /// Returns, if the worker is far from the task's data, the rack of the data, the task's work in
    /// thousandths of a core times ms, and the additional time that it takes elsewhere, in ms.
    fn far_cost(&self, task: TaskId, worker: &str) -> Option<(RackId, f64, f64)> {
        let job = self.jobs.get(&task.job)?;
        let step = job.find_step(task)?;
        if self.far_factor(worker, step) <= 1.0 {
            return None;
        }
        let rack = step.data_rack.clone()?;
        let expected = step.estimate_ms as f64 * self.estimate_factor(&job.submission.queue);
        let work = expected * step.need.cpu as f64;
        Some((rack, work, expected * (self.limits.remote_slowdown - 1.0)))
    }

    /// Returns the time in which a rack is expected to complete its current work, in ms; `None` if no worker
    /// there may get the task.
    fn expected_wait(&self, task: TaskId, rack: &str, now: Instant) -> Option<f64> {
        let service = &self.jobs.get(&task.job)?.submission.service;
        let is_near = |w: &&Worker| w.info.has_label(rack) && w.is_open(now);
        let (mut free, mut work) = (0.0, 0.0);
        for worker in self.workers.of(service).filter(is_near) {
            free += worker.info.capacity.cpu as f64;
            for ((task, _), run) in &worker.runs {
                let cpu = run.load.need.cpu as f64;
                match run.load.kind {
                    RunKind::Finite => {
                        work += cpu * self.run_left(*task, run, now).as_millis() as f64;
                    }
                    RunKind::Serving | RunKind::LongRunning | RunKind::BestEffort => free -= cpu,
                }
            }
        }
        work += self.near.queued.get(rack).copied().unwrap_or(0.0);
        (free > 0.0).then(|| work / free)
    }

    /// Returns the factor by which a run takes longer on a worker than near its data; 1 on a worker near it.
    pub(crate) fn far_factor(&self, worker: &str, step: &Step) -> f64 {
        let host = self.workers.get(worker);
        let is_far = step
            .data_rack
            .as_ref()
            .is_some_and(|rack| host.is_some_and(|host| !host.info.has_label(rack)));
        if is_far {
            self.limits.remote_slowdown
        } else {
            1.0
        }
    }
}
