//! Counts ends of workers without notice against the tasks that may be the cause, and clears those that are not.

use crate::{
    Cell, CrashHistory, Involvement, JobId, LostRun, Phase, TaskId, TaskPhase,
    suspicion::{Crash, PROVEN_AGE, Standing},
};
use clock::Instant;
use std::{collections::BTreeSet, time::Duration};

/// The same task in all repeats of a job: these run the same work, so that what one has done speaks for all.
type Work = (JobId, u32, u32);

impl Cell {
    /// Counts the end of a worker without notice against the runs that may be the cause. Returns the tasks that are
    /// given up for it.
    ///
    /// A worker that has ended lists no ends: without this, four such tasks on 20 workers at half their load were
    /// started up to 38 times in a minute and ended 1,679 runs of others; with it, twice each and 50
    /// (tests/crashes.rs, means of ten plays).
    pub(super) fn blame_end(
        &mut self,
        worker: &str,
        runs: &[LostRun],
        now: Instant,
    ) -> Vec<TaskId> {
        let suspects = suspects(runs);
        let ages = suspects.iter().map(|run| run.age);
        self.suspicions.record_ages(ages, now);
        let fresh = suspects
            .iter()
            .filter(|run| run.involvement.is_fresh())
            .count();
        let mut seen: BTreeSet<Work> = BTreeSet::new();
        let mut blamed = BTreeSet::new();
        for run in &suspects {
            let TaskId {
                job, step, index, ..
            } = run.task;
            let first = seen.insert((job, step, index));
            if first && self.blame_run(run, fresh == 1) {
                blamed.insert(run.task);
            }
        }
        let repeats: Vec<TaskId> = blamed.iter().flat_map(|task| self.repeats(*task)).collect();
        let given_up = blamed.iter().copied();
        let given_up: Vec<TaskId> = given_up
            .filter(|task| self.standing(*task, now) == Standing::Failed)
            .collect();
        self.suspicions.tasks.extend(repeats);
        self.suspicions.record_suspects(worker, blamed, now);
        for task in &given_up {
            self.suspicions.record_proven(now);
            self.finish(task.job, Phase::Failed);
        }
        given_up
    }

    /// Counts the end of a worker against a task, in all repeats of its job; false if it does not count.
    fn blame_run(&mut self, run: &LostRun, one_fresh: bool) -> bool {
        let fresh = run.involvement.is_fresh();
        let crash = Crash {
            age_ms: run.age.map(|age| age.as_millis() as u64),
            fresh,
            alone: fresh && one_fresh && run.age.is_some(),
        };
        let TaskId {
            job, step, index, ..
        } = run.task;
        let Some(state) = self.jobs.get_mut(&job) else {
            return false;
        };
        let task = state.task(run.task.round, step, index);
        if task.is_none_or(|task| task.phase == TaskPhase::Done) {
            return false;
        }
        let mut counts = false;
        let lived = run.known_runtime.as_millis() as u64;
        for task in state.repeats_mut(step, index) {
            counts |= task.history.record_crash(crash, lived);
        }
        self.mark_dirty(job);
        counts
    }

    /// The same task in all repeats of its job.
    fn repeats(&self, task: TaskId) -> Vec<TaskId> {
        let rounds = self.jobs.get(&task.job).map_or(0, |job| job.rounds.len());
        (0..rounds as u32)
            .map(|round| TaskId { round, ..task })
            .collect()
    }

    /// How a task stands, by the ends of workers under it.
    pub(crate) fn standing(&self, task: TaskId, now: Instant) -> Standing {
        let accidents = self.suspicions.accidents(now);
        let history = self.crash_history(task);
        history.map_or(Standing::Clear, |history| history.standing(accidents))
    }

    /// What speaks for and against a task of a job that is not over.
    fn crash_history(&self, task: TaskId) -> Option<&CrashHistory> {
        let job = self
            .jobs
            .get(&task.job)
            .filter(|job| !job.phase.is_over())?;
        let state = job.task(task.round, task.step, task.index)?;
        Some(&state.history)
    }

    /// The age that a run of a task must outlive to end its quarantine; none if the task is not in quarantine.
    pub(crate) fn quarantine_bar(&self, task: TaskId, now: Instant) -> Option<Duration> {
        if !self.suspicions.tasks.contains(&task) {
            return None;
        }
        match self.standing(task, now) {
            Standing::Quarantined(bar) => Some(bar),
            // An earlier owner, who knew of accidents that this one does not know of, has not given it up.
            Standing::Failed => Some(self.crash_history(task)?.threshold()),
            Standing::Clear => None,
        }
    }

    /// Clears the tasks whose runs on a worker have outlived what they were under suspicion for.
    pub(crate) fn clear_proven(&mut self, worker: &str, now: Instant) {
        let Some(host) = self.workers.get_mut(worker) else {
            return;
        };
        host.end_quarantine();
        if self.suspicions.tasks.is_empty() {
            return;
        }
        let Some(host) = self.workers.get(worker) else {
            return;
        };
        let lived = host
            .runs
            .iter()
            .map(|((task, _), state)| (*task, host.known_runtime(state)));
        let proven: Vec<(TaskId, Duration)> = lived
            .filter(|(task, lived)| self.has_outlived(*task, *lived))
            .collect();
        for (task, lived) in proven {
            self.clear(task, lived, now);
        }
    }

    /// Whether a task is under suspicion and a run that has been at work for so long speaks for it.
    fn has_outlived(&self, task: TaskId, lived: Duration) -> bool {
        if !self.suspicions.tasks.contains(&task) {
            return false;
        }
        self.crash_history(task)
            .is_some_and(|history| lived >= history.threshold())
    }

    /// Clears a task that has been at work for so long, in all repeats of its job.
    pub(crate) fn clear(&mut self, task: TaskId, lived: Duration, now: Instant) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        for state in job.repeats_mut(task.step, task.index) {
            state.history.crashes.clear();
            let lived = lived.as_millis() as u64;
            state.history.max_runtime_ms = state.history.max_runtime_ms.max(lived);
        }
        if self.suspicions.tasks.contains(&task) {
            for repeat in self.repeats(task) {
                self.suspicions.clear(repeat, now);
            }
        }
    }

    /// Takes up the suspicions that an earlier owner has recorded of a job.
    pub(super) fn restore_suspicions(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let suspects = job
            .tasks()
            .filter(|(_, state)| !state.history.crashes.is_empty());
        self.suspicions.tasks.extend(suspects.map(|(task, _)| task));
    }
}

/// The runs of a worker that may have ended it: the one in quarantine there, or else all whose starts were sent. Those
/// that had gone on for a while count as well, since a task may end its worker some time after its start.
fn suspects(runs: &[LostRun]) -> Vec<&LostRun> {
    let named: Vec<&LostRun> = runs
        .iter()
        .filter(|run| run.involvement == Involvement::Quarantined)
        .collect();
    if !named.is_empty() {
        return named;
    }
    // What an earlier owner started and this one has seen at work has outlived more than is known.
    let is_old = |run: &LostRun| run.age.is_none() && run.known_runtime >= PROVEN_AGE;
    runs.iter()
        .filter(|run| run.involvement != Involvement::Unsent && !is_old(run))
        .collect()
}
