//! Reassigns runs that started on another incarnation of a worker than the one that they were ordered from.

use crate::{
    Cell, Report, RunId, RunPhase, TaskId, TaskPhase, WorkerId,
    cell::{Orphan, load_of},
    name_of,
    worker::RunState,
};
use clock::Instant;

impl Cell {
    /// Reassigns the runs that an incarnation of a worker lists, but that were ordered from another one. A
    /// start names the worker, not the incarnation, so that a start in transit during a restart may reach the
    /// next incarnation. Without this, such a run would count as lost with the former incarnation and be
    /// started elsewhere while it still runs or after it has ended.
    pub(crate) fn adopt_runs(&mut self, worker: &str, report: &Report, now: Instant) {
        let incarnations = self.incarnations.of(name_of(worker));
        let others: Vec<WorkerId> = incarnations
            .filter(|incarnation| **incarnation != *worker)
            .cloned()
            .collect();
        for other in &others {
            let running = report.running.iter().map(|row| (row.task, row.run));
            let ended = report.ended.iter().map(|end| (end.task, end.run));
            for (task, run) in running.chain(ended) {
                self.adopt_run(other, worker, task, run, now);
            }
        }
    }

    /// Moves a run from one incarnation of a worker to another, if the former has it.
    fn adopt_run(&mut self, from: &str, to: &str, task: TaskId, run: RunId, now: Instant) {
        let Some(state) = self.take_run(from, task, run, now) else {
            return;
        };
        let was_current = self.is_current(from, task, run);
        let phase = state.phase;
        let Some(worker) = self.workers.get_mut(to) else {
            return;
        };
        let incarnation = worker.info.id.clone();
        worker.add(task, run, state);
        if was_current {
            let job = self.jobs.get_mut(&task.job);
            let placed = job.and_then(|job| job.task_mut(task.round, task.step, task.index));
            if let Some(placed) = placed {
                placed.phase = TaskPhase::Placed(incarnation);
                self.mark_dirty(task.job);
            }
        }
        if phase == RunPhase::Stopping {
            self.order_stop(to, task, run);
        }
    }

    /// Removes a run from an incarnation that the worker list or only records have named, and returns its
    /// state.
    fn take_run(&mut self, from: &str, task: TaskId, run: RunId, now: Instant) -> Option<RunState> {
        if let Some(worker) = self.workers.get_mut(from) {
            return worker.remove(task, run);
        }
        let placed = self.orphans.get_mut(from)?;
        let is_run = |orphan: &Orphan| orphan.task == task && orphan.run == run;
        let position = placed.iter().position(is_run)?;
        let Orphan { charge, .. } = placed.swap_remove(position);
        let load = load_of(self.jobs.get(&task.job)?, task);
        Some(RunState::inherited(load, charge, now))
    }
}
