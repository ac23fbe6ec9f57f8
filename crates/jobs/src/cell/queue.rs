//! Queues tasks that are ready to run until capacity is available.

use crate::{Cell, JobId, TaskId, TaskPhase, rank::Rank};

impl Cell {
    /// Marks the rounds that are due; `wall_ms` is the time of day in ms since 1970.
    pub fn mark_due(&mut self, wall_ms: u64) {
        self.wall_ms = wall_ms;
        while let Some((at, id, round)) = self.round_timers.first().copied() {
            if at > wall_ms {
                return;
            }
            self.round_timers.pop_first();
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

    /// Returns whether a task would miss its target time even if it started now. Capacity is better spent on
    /// tasks that can still end in time.
    pub(crate) fn is_late(&self, task: TaskId) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        let factor = self.estimate_factor(&job.submission.queue);
        let left = job.critical_paths[task.step as usize] as f64 * factor;
        self.wall_ms as f64 + left * (1.0 + self.required_slack(job))
            > job.target_time(task.round, factor)
    }

    /// Returns a task to the waiting state and queues it again.
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
        self.enqueue_task(task);
    }

    /// Sets timers for the rounds of a job that are due later, and marks the others as due.
    pub(super) fn set_timers(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        for round in 0..job.rounds.len() as u32 {
            match job.due_at(round) {
                Some(at) if !job.rounds[round as usize].due => {
                    self.round_timers.insert((at, id, round));
                }
                _ => job.rounds[round as usize].due = true,
            }
        }
    }

    /// Queues all tasks of a job that are ready to run.
    pub(super) fn enqueue_all(&mut self, id: JobId) {
        let rounds = self.jobs.get(&id).map_or(0, |job| job.rounds.len() as u32);
        (0..rounds).for_each(|round| self.enqueue_round(id, round));
    }

    /// Queues the tasks of one round that are ready to run.
    pub(super) fn enqueue_round(&mut self, id: JobId, round: u32) {
        let steps = self
            .jobs
            .get(&id)
            .map_or(0, |job| job.submission.spec.steps.len() as u32);
        (0..steps).for_each(|step| self.enqueue_step(id, round, step));
    }

    /// Queues a task that waits, or its whole gang, if its step is ready.
    fn enqueue_task(&mut self, task: TaskId) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let Some(round) = job.rounds.get(task.round as usize) else {
            return;
        };
        let step = job.step(task.step);
        if step.gang {
            return self.enqueue_step(task.job, task.round, task.step);
        }
        if round.is_ready(step) {
            let rank = Rank::new(task, step.long_running, job);
            let service = job.submission.service.clone();
            self.waiting.entry(service).or_default().insert(rank);
        }
    }

    /// Queues the tasks of a step if the step is ready. A gang is queued as one, and only once none of its
    /// members may still run.
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
