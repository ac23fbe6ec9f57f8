//! Whether a worker's VM may be taken out for upkeep or a move without breaking a budget.

use crate::{Cell, RunPhase, Task, TaskId, TaskPhase, Worker};

/// Whether a worker may be taken out now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disruption {
    /// Nothing that would be lost runs there.
    Free,
    /// So many runs that end by themselves would be thrown away.
    Busy(usize),
    /// A lasting step would have more tasks away than its budget allows.
    Guarded,
}

impl Cell {
    /// What taking a worker out would cost now.
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

    /// What taking out a worker would cost that no list of workers has named: nothing is known of what it
    /// runs before the list has been read, or where an earlier owner has used it.
    fn disruption_of_unknown(&self, id: &str) -> Disruption {
        if self.gate.listed && !self.is_orphan(id) {
            Disruption::Free
        } else {
            Disruption::Guarded
        }
    }

    /// Keeps new runs off a worker, or lets them come again.
    pub fn close_worker(&mut self, id: &str, closed: bool) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.closed = closed;
        }
    }

    /// The worker's VM is being told to go: all that runs there counts as away.
    pub fn set_disrupted(&mut self, id: &str, disrupted: bool) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.disrupted = disrupted;
        }
    }

    /// Whether an earlier owner may have told the worker's VM to go, and the order may still be under way.
    pub fn set_order_unconfirmed(&mut self, id: &str, unconfirmed: bool) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.order_unconfirmed = unconfirmed;
        }
    }

    /// Whether a task runs until its job is cancelled.
    fn is_long_running(&self, task: TaskId) -> bool {
        let job = self.jobs.get(&task.job);
        let step = job.and_then(|job| job.find_step(task));
        step.is_some_and(|step| step.long_running)
    }

    /// Stops a lasting task on a worker that is to be taken out, where it has more of a step than the
    /// step's budget allows to go at once: they start again elsewhere, one after the other. Returns how
    /// many were stopped, 0 or 1.
    pub fn shed(&mut self, id: &str) -> usize {
        let Some(worker) = self.workers.get(id) else {
            return 0;
        };
        let may_go = |task: &TaskId| {
            self.budget(*task).is_some_and(|budget| {
                worker.siblings(*task) > budget && self.away(*task, None) < budget
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

    /// Whether too many of a task's step would be away if a worker that has it left.
    fn exceeds_budget(&self, worker: &Worker, task: TaskId) -> bool {
        let budget = self.budget(task);
        budget.is_some_and(|budget| self.away(task, Some(&worker.info.id)) >= budget)
    }

    /// How many tasks of a task's step may be away; none if that is not limited.
    fn budget(&self, task: TaskId) -> Option<u32> {
        let job = self
            .jobs
            .get(&task.job)
            .filter(|job| !job.phase.is_over())?;
        job.find_step(task)?.disruption_budget
    }

    /// How many other tasks of a task's step are not at work, or on the worker that leaves.
    pub(crate) fn away(&self, task: TaskId, leaving: Option<&str>) -> u32 {
        let round = self
            .jobs
            .get(&task.job)
            .and_then(|job| job.rounds.get(task.round as usize));
        let Some(tasks) = round.and_then(|round| round.steps.get(task.step as usize)) else {
            return 0;
        };
        let is_away = |(index, state): &(u32, &Task)| {
            let sibling = TaskId {
                index: *index,
                ..task
            };
            sibling != task && !self.works(sibling, state, leaving)
        };
        (0..).zip(tasks).filter(is_away).count() as u32
    }

    /// Whether a task is at work on a worker that stays, other than the one that leaves.
    fn works(&self, task: TaskId, state: &Task, leaving: Option<&str>) -> bool {
        let TaskPhase::Placed(on) = &state.phase else {
            return false;
        };
        let host = self.workers.get(on).filter(|_| Some(&**on) != leaving);
        // One that does not answer may be gone, and one that is doubted may go at any moment.
        let stays =
            |w: &&Worker| w.responsive && !w.disrupted && !w.order_unconfirmed && !w.info.draining;
        let Some(host) = host.filter(stays) else {
            return false;
        };
        let run = host.runs.get(&(task, state.run));
        run.is_some_and(|run| run.phase == RunPhase::Running && run.percent >= 100)
    }
}
