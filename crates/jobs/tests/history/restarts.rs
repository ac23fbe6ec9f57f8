//! Workers that restart under the same id. Each new incarnation has lost all earlier state, numbers its ends from
//! 1, and its clock shows a different time.

use super::{History, host::Host};
use crate::fixture::worker;
use havenladder_jobs::{
    JobId, Limits, Phase, StartedAtMs, TaskId, WorkerId, WorkerInfo, WorkerName,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{collections::BTreeMap, time::Duration};

/// Maximum duration of a lease that a worker grants, in ms. It bounds a deadline that was set for the clock of
/// another incarnation.
pub(super) const MAX_LEASE_MS: u64 = 2_500;

/// Number of crashes of workers under one of its tasks after which a job may fail.
const MIN_CRASHES: u32 = 2;

/// Mean number of steps between two restarts.
const RESTART_INTERVAL_STEPS: u32 = 60;

/// The incarnations of workers, with a random number generator of their own, so that histories without restarts do
/// not change.
pub(super) struct Restarts {
    rng: StdRng,
    /// The start time of the current incarnation of each worker.
    started_at: BTreeMap<WorkerName, StartedAtMs>,
    /// For each task, the worker to which its last start was sent.
    sent_to: BTreeMap<TaskId, WorkerName>,
    /// For each task, the number of times that the worker to which its last start was sent has ended.
    crashes: BTreeMap<TaskId, u32>,
    /// Entries that are read late: the time, the worker and the start time of the incarnation.
    entries: Vec<(u64, WorkerName, StartedAtMs)>,
}

impl Restarts {
    pub(super) fn new(seed: u64) -> Self {
        Restarts {
            rng: StdRng::seed_from_u64(seed ^ 0x5eed),
            started_at: BTreeMap::new(),
            sent_to: BTreeMap::new(),
            crashes: BTreeMap::new(),
            entries: Vec::new(),
        }
    }
}

impl History {
    /// Enables restarts: from now on all workers report the start times of their incarnations.
    pub(super) fn begin_restarts(&mut self, seed: u64) {
        self.restarts = Some(Restarts::new(seed));
        let limits = Limits {
            max_lease: Duration::from_millis(MAX_LEASE_MS),
            ..self.cell.limits.clone()
        };
        self.cell = havenladder_jobs::Cell::new(limits);
        for name in self.names() {
            self.begin_incarnation(&name);
            let entry = self.entry(&name);
            let now = self.instant();
            self.cell.list_worker(entry, now);
        }
    }

    /// Returns the names of the workers that are running.
    pub(super) fn names(&self) -> Vec<WorkerName> {
        self.hosts.keys().map(|id| id.name().to_owned()).collect()
    }

    /// Begins a new incarnation of a worker, with a start time that need not be later than that of the previous one.
    pub(super) fn begin_incarnation(&mut self, name: &str) {
        if let Some(restarts) = &mut self.restarts {
            let started_at = restarts.rng.random_range(1..1_000_000);
            restarts.started_at.insert(name.to_owned(), started_at);
        }
    }

    /// Returns the start time of the current incarnation of a worker, or `None` if workers do not report it.
    pub(super) fn started_at(&self, name: &str) -> Option<StartedAtMs> {
        self.restarts.as_ref()?.started_at.get(name).copied()
    }

    /// Returns whether another incarnation of the worker receives the calls that are sent to this one.
    pub(super) fn is_succeeded(&self, incarnation: &WorkerId) -> bool {
        self.started_at(incarnation.name()) != incarnation.started_at()
    }

    /// Restarts a worker at random times. Its entry is read later, as may be one of its previous incarnation.
    pub(super) fn restart_hosts(&mut self) {
        let now = self.now;
        let faults_ended = now >= super::FAULTS_END_MS;
        let Some(restarts) = &mut self.restarts else {
            return;
        };
        let by_accident = !faults_ended && self.crashing_tasks.is_none() && self.unasked.is_none();
        if by_accident
            && restarts.rng.random_ratio(1, RESTART_INTERVAL_STEPS)
            && !self.hosts.is_empty()
        {
            let place = restarts.rng.random_range(0..self.hosts.len());
            let name = self.hosts.keys().nth(place).map(|id| id.name().to_owned());
            name.into_iter().for_each(|name| self.restart(&name));
        }
        self.read_entries();
    }

    /// Ends a worker and starts it again under its id before its lease expires. If it stayed unreachable for
    /// longer, its end could not be detected in time.
    pub(super) fn restart(&mut self, name: &str) {
        let now = self.now;
        let before = self.started_at(name);
        self.begin_incarnation(name);
        let after = self.started_at(name);
        let (Some(restarts), Some(host)) = (&mut self.restarts, self.hosts.get_mut(name)) else {
            return;
        };
        let downtime = match restarts.rng.random_range(0..3) {
            0 => 0,
            1 => restarts.rng.random_range(20..300),
            _ => restarts.rng.random_range(250..900),
        };
        let under = restarts.sent_to.extract_if(.., |_, to| *to == name);
        for (task, _) in under {
            *restarts.crashes.entry(task).or_default() += 1;
        }
        *host = Host {
            unreachable_until: now + downtime,
            starts_at: now + downtime,
            ..Host::default()
        };
        let late = now + downtime + restarts.rng.random_range(0..500);
        restarts
            .entries
            .extend(after.map(|started_at| (late, name.to_owned(), started_at)));
        if restarts.rng.random_ratio(1, 3) {
            let later = now + restarts.rng.random_range(0..4_000);
            restarts
                .entries
                .extend(before.map(|started_at| (later, name.to_owned(), started_at)));
        }
    }

    /// Records that a start of a task was sent to a worker. Until it is sent to another one, the task may be the
    /// cause if that worker ends.
    pub(super) fn record_sent(&mut self, name: &str, task: TaskId) {
        if let Some(restarts) = &mut self.restarts {
            restarts.sent_to.insert(task, name.to_owned());
        }
    }

    /// Asserts, if workers end only by accident, that each failed job has a task that was hit by at least two such
    /// ends.
    pub(super) fn check_restarts(&self, seed: u64) {
        let Some(restarts) = self
            .restarts
            .as_ref()
            .filter(|_| self.crashing_tasks.is_none())
        else {
            return;
        };
        let was_hit = |id: JobId| {
            let mut crashes = restarts.crashes.iter();
            crashes.any(|(task, count)| task.job == id && *count >= MIN_CRASHES)
        };
        let jobs = self.cell.jobs.iter();
        for (id, _) in jobs.filter(|(_, job)| job.phase == Phase::Failed) {
            assert!(was_hit(*id), "seed {seed}: job {id:016x} failed");
        }
    }

    /// Applies the late entries that are due and, every 25 steps, the current entry of each worker; entries of
    /// unreachable workers are skipped.
    fn read_entries(&mut self) {
        let (now, at) = (self.now, self.instant());
        let Some(restarts) = &mut self.restarts else {
            return;
        };
        let due: Vec<_> = restarts
            .entries
            .extract_if(.., |entry| entry.0 <= now)
            .collect();
        let own_entries_due = (now / super::TICK_MS).is_multiple_of(25);
        let mut read: Vec<(WorkerName, StartedAtMs)> = due
            .into_iter()
            .map(|(_, name, started_at)| (name, started_at))
            .collect();
        if own_entries_due {
            let own = restarts
                .started_at
                .iter()
                .map(|(name, started_at)| (name.clone(), *started_at));
            read.extend(own);
        }
        for (name, started_at) in read {
            let is_reachable = self
                .hosts
                .get(name.as_str())
                .is_some_and(|host| host.unreachable_until <= now);
            if is_reachable {
                let entry = WorkerInfo {
                    id: WorkerId::new(&name, Some(started_at)),
                    ..worker(&name)
                };
                if let Some(unasked) = &mut self.unasked {
                    unasked.listed.insert(name, entry.id.clone());
                }
                self.cell.list_worker(entry, at);
            }
        }
    }
}
