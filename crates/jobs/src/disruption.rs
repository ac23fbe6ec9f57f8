//! Decides whether a worker's VM may be disrupted for maintenance or a move without exceeding a budget.

use crate::{Cell, RunPhase, Task, TaskId, TaskPhase, Worker};

/// The effect that disrupting a worker would have now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disruption {
    /// No run would be lost.
    Free,
    /// This many runs that end by themselves would be lost.
    Busy(usize),
    /// A long-running step would have more unavailable tasks than its budget allows.
    Guarded,
}

impl Cell {
    /// Returns the effect that disrupting a worker would have now.
    pub fn disruption(&self, id: &str) -> Disruption {
        let Some(worker) = self.workers.get(id) else {
            return self.disruption_of_unknown(id);
        };
        let tasks = || worker.runs.keys().map(|(task, _)| *task);
        if tasks().any(|task| self.exceeds_budget(worker, task)) {
            return Disruption::Guarded;
        }
        match tasks().filter(|task| !self.is_long_running(*task)).count() {
            0 => Disruption::Free,
            busy => Disruption::Busy(busy),
        }
    }

    /// Returns the effect of disrupting a worker that no list of workers has named. What it runs is unknown
    /// until the list has been read, or if an earlier owner has used it.
    fn disruption_of_unknown(&self, id: &str) -> Disruption {
        if self.takeover_barrier.listed && !self.is_orphaned_worker(id) {
            Disruption::Free
        } else {
            Disruption::Guarded
        }
    }

    /// Sets whether a worker gets no new runs because its VM is to be disrupted.
    pub fn set_closed(&mut self, id: &str, closed: bool) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.closed = closed;
        }
    }

    /// Sets whether a worker's VM is being disrupted, in which case all its runs count as unavailable.
    pub fn set_disrupted(&mut self, id: &str, disrupted: bool) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.disrupted = disrupted;
        }
    }

    /// Sets whether an earlier owner may have ordered a disruption of the worker's VM that may still be
    /// carried out.
    pub fn set_order_unconfirmed(&mut self, id: &str, unconfirmed: bool) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.order_unconfirmed = unconfirmed;
        }
    }

    /// Returns whether a task runs until its job is cancelled.
    pub(crate) fn is_long_running(&self, task: TaskId) -> bool {
        let job = self.jobs.get(&task.job);
        let step = job.and_then(|job| job.find_step(task));
        step.is_some_and(|step| step.long_running)
    }

    /// Stops one long-running task on a worker that is to be disrupted, if the worker has more tasks of the
    /// step than its budget allows to be unavailable at once. The tasks restart elsewhere one after the
    /// other. Returns how many were stopped, 0 or 1.
    pub fn shed(&mut self, id: &str) -> usize {
        let Some(worker) = self.workers.get(id) else {
            return 0;
        };
        let may_go = |task: &TaskId| {
            self.budget(*task).is_some_and(|budget| {
                worker.siblings(*task) > budget && self.count_unavailable(*task, None) < budget
            })
        };
        let mut runs = worker.runs.iter();
        let chosen = runs.find(|((task, _), run)| run.phase == RunPhase::Running && may_go(task));
        let chosen = chosen.map(|(key, _)| *key);
        if let Some((task, run)) = chosen {
            self.stop_run(id, task, run);
        }
        usize::from(chosen.is_some())
    }

    /// Returns whether too many tasks of a task's step would be unavailable if `worker`, which has the task,
    /// left.
    fn exceeds_budget(&self, worker: &Worker, task: TaskId) -> bool {
        let budget = self.budget(task);
        budget.is_some_and(|budget| self.count_unavailable(task, Some(&worker.info.id)) >= budget)
    }

    /// Returns how many tasks of a task's step may be unavailable; `None` if there is no limit.
    fn budget(&self, task: TaskId) -> Option<u32> {
        let job = self
            .jobs
            .get(&task.job)
            .filter(|job| !job.phase.is_over())?;
        job.find_step(task)?.disruption_budget
    }

    /// Returns how many other tasks of a task's step are unavailable: not operational, or on the worker
    /// `leaving`.
    pub(crate) fn count_unavailable(&self, task: TaskId, leaving: Option<&str>) -> u32 {
        let round = self
            .jobs
            .get(&task.job)
            .and_then(|job| job.rounds.get(task.round as usize));
        let Some(tasks) = round.and_then(|round| round.steps.get(task.step as usize)) else {
            return 0;
        };
        let is_unavailable = |(index, state): &(u32, &Task)| {
            let sibling = TaskId {
                index: *index,
                ..task
            };
            sibling != task && !self.is_operational(sibling, state, leaving)
        };
        (0..).zip(tasks).filter(is_unavailable).count() as u32
    }

    /// Returns whether a task is operational on a worker that is expected to stay and is not `leaving`.
    fn is_operational(&self, task: TaskId, state: &Task, leaving: Option<&str>) -> bool {
        let TaskPhase::Placed(on) = &state.phase else {
            return false;
        };
        let host = self.workers.get(on).filter(|_| Some(&**on) != leaving);
        // A worker that does not respond may be gone, and one with an unconfirmed order may leave at any
        // moment.
        let stays =
            |w: &&Worker| w.responsive && !w.disrupted && !w.order_unconfirmed && !w.info.draining;
        let Some(host) = host.filter(stays) else {
            return false;
        };
        let run = host.runs.get(&(task, state.run));
        run.is_some_and(|run| run.phase == RunPhase::Running && run.percent >= 100)
    }
}
