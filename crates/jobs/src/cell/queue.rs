//! Which tasks wait for room, and when their turn comes.

use crate::{Cell, JobId, TaskId, TaskPhase, rank::Rank};

impl Cell {
    /// Marks the rounds whose time has come; `wall` is the time of day in ms since 1970.
    pub fn mark_due(&mut self, wall: u64) {
        self.wall = wall;
        while let Some((at, id, round)) = self.timed.first().copied() {
            if at > wall {
                return;
            }
            self.timed.pop_first();
            if let Some(state) = self
                .jobs
                .get_mut(&id)
                .and_then(|j| j.rounds.get_mut(round as usize))
            {
                state.due = true;
                self.enqueue_round(id, round);
            }
        }
    }

    /// Whether a task can no longer be in time, even if it starts now: its room does more good where
    /// another one is.
    pub(crate) fn is_late(&self, task: TaskId) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        let pace = self.pace_of(&job.submission.queue);
        let left = job.critical_paths[task.step as usize] as f64 * pace;
        self.wall as f64 + left * (1.0 + self.margin_of(job)) > job.target_time(task.round, pace)
    }

    /// Puts a task back among those that wait.
    pub(crate) fn requeue(&mut self, task: TaskId) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(state) = job.task_mut(task.round, task.step, task.index) else {
            return;
        };
        if state.phase == TaskPhase::Done {
            return;
        }
        state.phase = TaskPhase::Waiting;
        self.mark_dirty(task.job);
        self.enqueue_step(task.job, task.round, task.step);
    }

    /// Notes when the rounds of a job fall due; those that need not wait are due at once.
    pub(super) fn set_timers(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        for round in 0..job.rounds.len() as u32 {
            match job.due_at(round) {
                Some(at) if !job.rounds[round as usize].due => {
                    self.timed.insert((at, id, round));
                }
                _ => job.rounds[round as usize].due = true,
            }
        }
    }

    /// Lets the tasks of a job wait for room where their turn has come.
    pub(super) fn enqueue_all(&mut self, id: JobId) {
        let rounds = self.jobs.get(&id).map_or(0, |job| job.rounds.len() as u32);
        (0..rounds).for_each(|round| self.enqueue_round(id, round));
    }

    /// The same for the tasks of one round.
    pub(super) fn enqueue_round(&mut self, id: JobId, round: u32) {
        let steps = self
            .jobs
            .get(&id)
            .map_or(0, |job| job.submission.spec.steps.len() as u32);
        (0..steps).for_each(|step| self.enqueue_step(id, round, step));
    }

    /// Lets the tasks of a step wait for room, if the step's turn has come. A gang waits as one, and
    /// only once none of its members may still run.
    fn enqueue_step(&mut self, id: JobId, round: u32, step: u32) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let Some(state) = job.rounds.get(round as usize) else {
            return;
        };
        let spec = job.step(step);
        if !state.is_ready(spec) {
            return;
        }
        let tasks = &state.steps[step as usize];
        let waits = |index: &u32| tasks[*index as usize].phase == TaskPhase::Waiting;
        let queue = self
            .waiting
            .entry(job.submission.service.clone())
            .or_default();
        let rank = |index: u32| {
            let task = TaskId {
                job: id,
                round,
                step,
                index,
            };
            Rank::new(task, spec.long_running, job)
        };
        if !spec.gang {
            queue.extend((0..spec.count).filter(waits).map(rank));
        } else if (0..spec.count).all(|index| waits(&index)) {
            queue.insert(rank(0));
        }
    }
}
