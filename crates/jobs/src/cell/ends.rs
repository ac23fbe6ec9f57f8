//! Processes the ends of runs and of jobs.

use crate::{Cell, Job, JobId, Phase, Round, RunId, RunOutcome, Step, TaskId, TaskPhase, WorkerId};
use std::{mem, ops::Range};

impl Cell {
    /// Processes the end of a run that `worker` has listed. Callers pass each end once.
    pub(crate) fn end_run(
        &mut self,
        worker: &str,
        task: TaskId,
        run: RunId,
        how: RunOutcome,
        saved: &str,
    ) {
        self.mark_begun(task.job);
        let current = self.is_current(worker, task, run);
        let progress = if current { saved } else { "" };
        let Some(step) = self.record_end(task, run, progress) else {
            return;
        };
        let (gang, long_running) = (step.gang, step.long_running);
        self.mark_dirty(task.job);
        match how {
            RunOutcome::Done if !long_running => return self.complete(task, gang),
            RunOutcome::Failed if !long_running && self.count_failure(task, run, gang) => {
                return self.finish(task.job, Phase::Failed);
            }
            _ => {}
        }
        if current {
            self.requeue(task);
        }
    }

    /// Records the number and the saved progress of a run that has ended. Returns the step that it belongs
    /// to, unless its job is over or has no such task.
    fn record_end(&mut self, task: TaskId, run: RunId, saved: &str) -> Option<&Step> {
        let job = self.jobs.get_mut(&task.job)?;
        if job.phase.is_over() {
            return None;
        }
        job.find_step(task)?;
        let state = job.task_mut(task.round, task.step, task.index)?;
        state.save_progress(saved);
        // An earlier owner may have started the run without a record; run numbers must keep rising.
        state.max_reported_run = state.max_reported_run.max(run);
        job.find_step(task)
    }

    /// Counts a failed run once. Returns whether the task, or its gang, has used up its attempts.
    fn count_failure(&mut self, task: TaskId, run: RunId, gang: bool) -> bool {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return false;
        };
        let attempts = job.submission.max_attempts as usize;
        let counted = if gang { 0 } else { task.index };
        let Some(state) = job.task_mut(task.round, task.step, counted) else {
            return false;
        };
        if !state.failed.contains(&run) {
            state.failed.push(run);
        }
        state.failed.len() >= attempts
    }

    /// Marks a task, or its whole gang, as done, and queues the steps that depended on it.
    fn complete(&mut self, task: TaskId, gang: bool) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let count = job.step(task.step).count;
        let members = if gang {
            0..count
        } else {
            task.index..task.index + 1
        };
        let CompletedTasks {
            count: completed,
            placed,
        } = complete_tasks(job, task, members);
        let round = &mut job.rounds[task.round as usize];
        let open = &mut round.unfinished[task.step as usize];
        *open = open.saturating_sub(completed);
        let ended = *open == 0;
        let over = job.rounds.iter().all(Round::is_done);
        if !gang {
            // The late end of an earlier run completes the task as well, so that later runs are stopped.
            placed
                .iter()
                .for_each(|(on, task, run)| self.stop_run(on, *task, *run));
        }
        if over {
            self.learn_slack(task.job);
            self.finish(task.job, Phase::Succeeded);
        } else if ended {
            self.enqueue_round(task.job, task.round);
        }
    }

    /// Ends a job and stops its runs.
    pub(super) fn finish(&mut self, id: JobId, phase: Phase) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.phase = phase;
        job.rounds = Vec::new();
        let service = job.submission.service.clone();
        self.begun_jobs.remove(&id);
        self.dirty.insert(id);
        self.clear_job_requests(id);
        let runs: Vec<(WorkerId, TaskId, RunId)> = self.runs_of(id, &service);
        for (worker, task, run) in runs {
            self.stop_run(&worker, task, run);
        }
    }

    /// Removes the requests of a job that is over or withdrawn: anti-affinity, suspicions, permits and
    /// timers.
    pub(super) fn clear_job_requests(&mut self, id: JobId) {
        self.anti_affinity_jobs.remove(&id);
        self.suspicions.drop_job(id);
        self.permits.retain(|(job, ..), _| *job != id);
        self.round_timers.retain(|(_, job, _)| *job != id);
    }

    /// Returns all runs of a job that workers of its service have or may have.
    fn runs_of(&self, id: JobId, service: &str) -> Vec<(WorkerId, TaskId, RunId)> {
        let first = TaskId {
            job: id,
            round: 0,
            step: 0,
            index: 0,
        };
        let last = TaskId {
            job: id,
            round: u32::MAX,
            step: u32::MAX,
            index: u32::MAX,
        };
        let span = (first, 0)..=(last, RunId::MAX);
        let mut runs = Vec::new();
        for worker in self.workers.of(service) {
            let here = worker.runs.range(span.clone());
            runs.extend(here.map(|((task, run), _)| (worker.info.id.clone(), *task, *run)));
        }
        runs
    }
}

/// The tasks of a step that have just been marked as done.
struct CompletedTasks {
    /// The number of tasks that were not done before.
    count: u32,
    /// The runs that the tasks were placed with.
    placed: Vec<(WorkerId, TaskId, RunId)>,
}

/// Marks tasks of the step of `task` as done.
fn complete_tasks(job: &mut Job, task: TaskId, members: Range<u32>) -> CompletedTasks {
    let mut completed = CompletedTasks {
        count: 0,
        placed: Vec::new(),
    };
    for index in members {
        let Some(state) = job.task_mut(task.round, task.step, index) else {
            continue;
        };
        match mem::replace(&mut state.phase, TaskPhase::Done) {
            TaskPhase::Done => continue,
            TaskPhase::Placed(on) => {
                let task = TaskId { index, ..task };
                completed.placed.push((on, task, state.run));
            }
            TaskPhase::Waiting => {}
        }
        completed.count += 1;
    }
    completed
}
