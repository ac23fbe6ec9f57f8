//! Tasks that crash every worker that starts them, together with all its runs.

use super::History;
use havenladder_jobs::{JobId, Phase, TaskId, WorkerId, name_of};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of starts of a crashing task.
const MAX_STARTS: u32 = 5;

/// The crashing tasks, with a random number generator of their own, so that histories without them do not change.
pub(super) struct CrashingTasks {
    rng: StdRng,
    jobs: BTreeSet<JobId>,
    starts: BTreeMap<TaskId, u32>,
    /// Times at which workers crash.
    ends: BTreeMap<WorkerId, u64>,
    /// Times at which new workers replace crashed ones.
    restarts_at: Vec<u64>,
}

impl CrashingTasks {
    pub(super) fn new(seed: u64) -> Self {
        CrashingTasks {
            rng: StdRng::seed_from_u64(!seed),
            jobs: BTreeSet::new(),
            starts: BTreeMap::new(),
            ends: BTreeMap::new(),
            restarts_at: Vec::new(),
        }
    }
}

impl History {
    /// Chooses one in eight jobs, whose first task then crashes its workers.
    pub(super) fn choose_crashing_job(&mut self, id: JobId) {
        if let Some(crashing_tasks) = &mut self.crashing_tasks
            && crashing_tasks.rng.random_ratio(1, 8)
        {
            crashing_tasks.jobs.insert(id);
        }
    }

    /// Records that a worker has started a task, and schedules its crash if the task is a crashing one.
    pub(super) fn record_crashing_start(&mut self, worker: &str, task: TaskId) {
        let now = self.now;
        let Some(crashing_tasks) = &mut self.crashing_tasks else {
            return;
        };
        if !crashing_tasks.jobs.contains(&task.job) || (task.step, task.index) != (0, 0) {
            return;
        }
        let starts = crashing_tasks.starts.entry(task).or_default();
        *starts += 1;
        assert!(
            *starts <= MAX_STARTS,
            "{task} at {now}: started {starts} times"
        );
        let at = now + crashing_tasks.rng.random_range(0..60);
        crashing_tasks
            .ends
            .entry(name_of(worker).into())
            .or_insert(at);
    }

    /// Crashes the workers that are due, and restarts them or boots their replacements.
    pub(super) fn crash_hosts(&mut self) {
        let now = self.now;
        let Some(crashing_tasks) = &mut self.crashing_tasks else {
            return;
        };
        let ended = crashing_tasks.ends.extract_if(.., |_, at| *at <= now);
        let ended: Vec<WorkerId> = ended.map(|(id, _)| id).collect();
        let due = crashing_tasks
            .restarts_at
            .extract_if(.., |at| *at <= now)
            .count();
        for id in ended {
            if self.restarts.is_some() {
                self.restart(id.name());
            } else if self.hosts.remove(&id).is_some()
                && let Some(crashing_tasks) = &mut self.crashing_tasks
            {
                crashing_tasks.restarts_at.push(now + 1_000);
            }
        }
        (0..due).for_each(|_| self.boot());
    }

    /// Asserts that all jobs with a crashing task have failed, and no others.
    pub(super) fn check_crashing_jobs(&self, seed: u64) {
        let Some(crashing_tasks) = &self.crashing_tasks else {
            return;
        };
        for (id, job) in &self.cell.jobs {
            let failed = job.phase == Phase::Failed;
            let is_crashing = crashing_tasks.jobs.contains(id);
            assert_eq!(failed, is_crashing, "seed {seed}: job {id:016x}");
        }
    }
}
