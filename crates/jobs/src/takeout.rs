//! Whether a worker's VM may be taken out for upkeep or a move without breaking a budget.

use crate::{Cell, RunPhase, TaskId, TaskPhase, Worker};

/// Whether a worker may be taken out now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Takeout {
    /// Nothing that would be lost runs there.
    Free,
    /// So many runs that end by themselves would be thrown away.
    Busy(usize),
    /// A lasting step would have more tasks away than its budget allows.
    Guarded,
}

impl Cell {
    /// What taking a worker out would cost now.
    pub fn takeout(&self, id: &str) -> Takeout {
        let Some(worker) = self.workers.get(id) else {
            return Takeout::Free;
        };
        let tasks = || worker.runs.keys().map(|(task, _)| *task);
        if tasks().any(|task| self.exceeds_budget(worker, task)) {
            return Takeout::Guarded;
        }
        match tasks().filter(|task| !self.lasts(*task)).count() {
            0 => Takeout::Free,
            busy => Takeout::Busy(busy),
        }
    }

    /// Keeps new runs off a worker, or lets them come again.
    pub fn close_worker(&mut self, id: &str, closed: bool) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.closed = closed;
        }
    }

    /// The worker's VM is being told to go: all that runs there counts as away.
    pub fn take_worker(&mut self, id: &str, taken: bool) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.taken = taken;
        }
    }

    fn lasts(&self, task: TaskId) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        job.given
            .spec
            .steps
            .get(task.step as usize)
            .is_some_and(|step| step.lasting)
    }

    fn exceeds_budget(&self, worker: &Worker, task: TaskId) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        if job.phase.is_over() {
            return false;
        }
        let Some(budget) = job
            .given
            .spec
            .steps
            .get(task.step as usize)
            .and_then(|s| s.budget)
        else {
            return false;
        };
        let Some(round) = job.rounds.get(task.round as usize) else {
            return false;
        };
        let tasks = &round.steps[task.step as usize];
        let away = (0..).zip(tasks).filter(|(index, state)| {
            let sibling = TaskId {
                index: *index,
                ..task
            };
            sibling != task && !self.works(sibling, &state.phase, state.run, &worker.info.id)
        });
        away.count() as u32 >= budget
    }

    /// Whether a task is at work on a worker that stays, other than `leaving`.
    fn works(&self, task: TaskId, phase: &TaskPhase, run: u32, leaving: &str) -> bool {
        let TaskPhase::Placed(on) = phase else {
            return false;
        };
        let Some(host) = self.workers.get(on).filter(|_| on != leaving) else {
            return false;
        };
        let Some(state) = host.runs.get(&(task, run)) else {
            return false;
        };
        !host.taken
            && !host.info.draining
            && state.phase == RunPhase::Running
            && state.percent >= 100
    }
}
