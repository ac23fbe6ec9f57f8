//! Attributes crashes of workers to the tasks that may have caused them, and clears the tasks that have not.

use crate::{
    Cell, CrashHistory, Involvement, JobId, LostRun, Phase, TaskId, TaskPhase,
    parts::MAX_RECORDED_CRASHES,
    suspicion::{Crash, PROVEN_AGE, Standing},
};
use clock::Instant;
use std::{collections::BTreeSet, time::Duration};

/// A task in all repeats of its job: job, step and index. All repeats run the same work, so that evidence
/// from one applies to all.
type RepeatedTask = (JobId, u32, u32);

impl Cell {
    /// Attributes the crash of a worker to the runs that may have caused it. Returns the tasks that fail
    /// because of it.
    ///
    /// A crashed worker lists no ends: without this, four crashing tasks on 20 workers at half load were
    /// started up to 38 times in a minute and ended 1,679 other runs; with it, they were started twice each
    /// and ended 50 (tests/crashes.rs, means of ten plays).
    pub(super) fn attribute_crash(
        &mut self,
        worker: &str,
        runs: &[LostRun],
        now: Instant,
    ) -> Vec<TaskId> {
        let group = self.suspicions.groups.remove(worker).unwrap_or_default();
        let suspects = suspects(runs, &group);
        let ages = suspects.iter().map(|run| run.age);
        self.suspicions.record_ages(ages, now);
        let fresh = suspects
            .iter()
            .filter(|run| run.involvement.is_fresh())
            .count();
        let mut seen: BTreeSet<RepeatedTask> = BTreeSet::new();
        let mut attributed = BTreeSet::new();
        for run in &suspects {
            let TaskId {
                job, step, index, ..
            } = run.task;
            let is_first = seen.insert((job, step, index));
            let others = match run.involvement.is_fresh() {
                true => fresh - 1,
                false => suspects.len() - 1,
            };
            if is_first && self.attribute_crash_to_run(run, others == 0) {
                attributed.insert(run.task);
            }
        }
        let repeats: Vec<TaskId> = attributed
            .iter()
            .flat_map(|task| self.repeats(*task))
            .collect();
        let failed = attributed.iter().copied();
        let failed: Vec<TaskId> = failed
            .filter(|task| self.standing(*task, now) == Standing::Failed)
            .collect();
        self.suspicions.tasks.extend(repeats);
        self.suspicions.record_suspects(worker, attributed, now);
        for task in &failed {
            self.suspicions.record_proven(now);
            self.finish(task.job, Phase::Failed);
        }
        failed
    }

    /// Attributes the crash of a worker to the task of a run, in all repeats of its job. `only` says whether it is the
    /// only run that had just begun or, if it had not, the only suspect. Returns whether the crash counts against the
    /// task.
    fn attribute_crash_to_run(&mut self, run: &LostRun, only: bool) -> bool {
        let fresh = run.involvement.is_fresh();
        let crash = Crash {
            age_ms: run.age.map(|age| age.as_millis() as u64),
            fresh,
            // A fresh run without a response may never have begun.
            alone: only && fresh == run.age.is_some(),
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
        let runtime = run.known_runtime.as_millis() as u64;
        for task in state.repeats_mut(step, index) {
            counts |= task.history.record_crash(crash, runtime);
            limit_crashes(&mut task.history);
        }
        self.mark_dirty(job);
        counts
    }

    /// Returns the same task in all repeats of its job.
    fn repeats(&self, task: TaskId) -> Vec<TaskId> {
        let rounds = self.jobs.get(&task.job).map_or(0, |job| job.rounds.len());
        (0..rounds as u32)
            .map(|round| TaskId { round, ..task })
            .collect()
    }

    /// Returns the standing of a task after the crashes that are attributed to it.
    pub(crate) fn standing(&self, task: TaskId, now: Instant) -> Standing {
        let accidents = self.suspicions.accidents(now);
        let history = self.crash_history(task);
        history.map_or(Standing::Clear, |history| history.standing(accidents))
    }

    /// Returns how many crashes count against a task whose job is not over.
    pub(crate) fn crash_count(&self, task: TaskId) -> usize {
        let history = self.crash_history(task);
        history.map_or(0, |history| history.crashes.len())
    }

    /// Returns the crash history of a task whose job is not over.
    fn crash_history(&self, task: TaskId) -> Option<&CrashHistory> {
        let job = self
            .jobs
            .get(&task.job)
            .filter(|job| !job.phase.is_over())?;
        let state = job.task(task.round, task.step, task.index)?;
        Some(&state.history)
    }

    /// Returns the age that a run of a task must reach to end its quarantine; `None` if the task is not in
    /// quarantine.
    pub(crate) fn quarantine_threshold(&self, task: TaskId, now: Instant) -> Option<Duration> {
        if !self.suspicions.tasks.contains(&task) {
            return None;
        }
        match self.standing(task, now) {
            Standing::Quarantined(threshold) => Some(threshold),
            // An earlier owner did not let the task fail, since it knew of accidental crashes that this owner
            // does not know of.
            Standing::Failed => Some(self.crash_history(task)?.threshold()),
            Standing::Clear => None,
        }
    }

    /// Clears of suspicion the tasks whose runs on a worker are old enough to show that they are not the
    /// cause.
    pub(crate) fn clear_outlived_suspects(&mut self, worker: &str, now: Instant) {
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
        let runtimes = host
            .runs
            .iter()
            .map(|((task, _), state)| (*task, host.known_runtime(state)));
        let outlived: Vec<(TaskId, Duration)> = runtimes
            .filter(|(task, runtime)| self.outlives_suspicion(*task, *runtime))
            .collect();
        for (task, runtime) in outlived {
            self.clear_suspicion(task, runtime, now);
        }
    }

    /// Returns whether a task is suspected and a run of it with this runtime shows that it is not the cause.
    fn outlives_suspicion(&self, task: TaskId, runtime: Duration) -> bool {
        if !self.suspicions.tasks.contains(&task) {
            return false;
        }
        self.crash_history(task)
            .is_some_and(|history| runtime >= history.threshold())
    }

    /// Clears a task of suspicion in all repeats of its job, since a run of it has reached this runtime.
    pub(crate) fn clear_suspicion(&mut self, task: TaskId, runtime: Duration, now: Instant) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let mut cleared = false;
        for state in job.repeats_mut(task.step, task.index) {
            cleared |= !state.history.crashes.is_empty();
            state.history.crashes.clear();
            let runtime = runtime.as_millis() as u64;
            state.history.max_runtime_ms = state.history.max_runtime_ms.max(runtime);
        }
        if cleared {
            // Without a record, the next owner would count crashes that a run has disproved.
            self.mark_dirty(task.job);
        }
        if self.suspicions.tasks.contains(&task) {
            for repeat in self.repeats(task) {
                self.suspicions.clear(repeat, now);
            }
        }
    }

    /// Restores the suspicions that an earlier owner has recorded for a job.
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

/// Returns the runs of a worker that may have crashed it: those in quarantine there, alone or in a group, or else all
/// whose starts were sent. Older runs are included, since a task may crash its worker some time after its start.
fn suspects(runs: &[LostRun], group: &BTreeSet<TaskId>) -> Vec<LostRun> {
    let in_quarantine = |run: &&LostRun| match run.involvement {
        Involvement::Unsent => false,
        Involvement::Quarantined => true,
        Involvement::Older | Involvement::Fresh => group.contains(&run.task),
    };
    let quarantined = runs.iter().filter(in_quarantine).map(|run| LostRun {
        involvement: Involvement::Quarantined,
        ..*run
    });
    let quarantined: Vec<LostRun> = quarantined.collect();
    if !quarantined.is_empty() {
        return quarantined;
    }
    // A run that an earlier owner started may be older than is known. If this owner has seen it run for
    // [`PROVEN_AGE`], it is not suspected.
    let is_old = |run: &LostRun| run.age.is_none() && run.known_runtime >= PROVEN_AGE;
    runs.iter()
        .filter(|run| run.involvement != Involvement::Unsent && !is_old(run))
        .copied()
        .collect()
}

/// Limits the crashes against a task to what a record holds. Those that are dropped count for nothing beside the
/// others: a task with more crashes that count would have failed.
fn limit_crashes(history: &mut CrashHistory) {
    let counts = |crash: &Crash| crash.fresh || crash.age_ms.is_some() || crash.alone;
    while history.crashes.len() > MAX_RECORDED_CRASHES {
        let uncounted = history.crashes.iter().position(|crash| !counts(crash));
        history.crashes.remove(uncounted.unwrap_or(0));
    }
}
