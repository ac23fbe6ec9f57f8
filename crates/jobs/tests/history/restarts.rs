//! Workers that start again under their ids: each holds and knows nothing of before, numbers its ends from 1, and its
//! clock shows another time.

use super::{History, host::Host};
use crate::fixture::worker;
use havenladder_jobs::{
    JobId, Limits, Phase, StartedAtMs, TaskId, WorkerId, WorkerInfo, WorkerName,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{collections::BTreeMap, time::Duration};

/// The longest lease that a worker grants, in ms: what a deadline on the clock of another life may come to.
pub(super) const HOLD: u64 = 2_500;

/// After how many ends of workers under one of its tasks a job may be given up.
const GIVEN_UP_AFTER: u32 = 2;

/// One step in so many sees a worker start again.
const RARITY: u32 = 60;

/// The lives that follow each other, with a source of chance of their own: histories without them stay as they are.
pub(super) struct Restarts {
    rng: StdRng,
    /// When the life of each worker began.
    born: BTreeMap<WorkerName, StartedAtMs>,
    /// The worker to which a start of each task was sent last.
    sent: BTreeMap<TaskId, WorkerName>,
    /// How often a worker has ended under each task, or may have: to which a start of it was sent.
    lost: BTreeMap<TaskId, u32>,
    /// Entries that are read late: when, of which worker, and of which life.
    entries: Vec<(u64, WorkerName, StartedAtMs)>,
}

impl Restarts {
    pub(super) fn new(seed: u64) -> Self {
        Restarts {
            rng: StdRng::seed_from_u64(seed ^ 0x5eed),
            born: BTreeMap::new(),
            sent: BTreeMap::new(),
            lost: BTreeMap::new(),
            entries: Vec::new(),
        }
    }
}

impl History {
    /// Has all workers tell when they began from now on.
    pub(super) fn begin_restarts(&mut self, seed: u64) {
        self.restarts = Some(Restarts::new(seed));
        let limits = Limits {
            max_lease: Duration::from_millis(HOLD),
            ..self.cell.limits.clone()
        };
        self.cell = havenladder_jobs::Cell::new(limits);
        for name in self.names() {
            self.bear(&name);
            let entry = self.entry(&name);
            let now = self.instant();
            self.cell.list_worker(entry, now);
        }
    }

    /// The names of the workers that live.
    fn names(&self) -> Vec<WorkerName> {
        self.hosts.keys().map(|id| id.name().to_owned()).collect()
    }

    /// A life of a worker begins, at a time of day that need not be later than that of the one before.
    pub(super) fn bear(&mut self, name: &str) {
        if let Some(restarts) = &mut self.restarts {
            let born = restarts.rng.random_range(1..1_000_000);
            restarts.born.insert(name.to_owned(), born);
        }
    }

    /// When the life of a worker began, if the workers tell that.
    pub(super) fn born(&self, name: &str) -> Option<StartedAtMs> {
        self.restarts.as_ref()?.born.get(name).copied()
    }

    /// Whether a call for a life of a worker is taken by another one.
    pub(super) fn is_succeeded(&self, life: &WorkerId) -> bool {
        self.born(life.name()) != life.started_at()
    }

    /// Now and then a worker starts again; its entry is read later, and so may one of the life before.
    pub(super) fn restart_hosts(&mut self) {
        let now = self.now;
        let calm = now >= super::CALM;
        let Some(restarts) = &mut self.restarts else {
            return;
        };
        let by_accident = !calm && self.fatal.is_none();
        if by_accident && restarts.rng.random_ratio(1, RARITY) && !self.hosts.is_empty() {
            let place = restarts.rng.random_range(0..self.hosts.len());
            let name = self.hosts.keys().nth(place).map(|id| id.name().to_owned());
            name.into_iter().for_each(|name| self.restart(&name));
        }
        self.read_entries();
    }

    /// A worker ends, and is back after a time under its id, before its lease has run out: of one that ends where nobody
    /// reaches it, nobody can know that in time.
    pub(super) fn restart(&mut self, name: &str) {
        let now = self.now;
        let before = self.born(name);
        self.bear(name);
        let after = self.born(name);
        let (Some(restarts), Some(host)) = (&mut self.restarts, self.hosts.get_mut(name)) else {
            return;
        };
        let away = match restarts.rng.random_range(0..3) {
            0 => 0,
            1 => restarts.rng.random_range(20..300),
            _ => restarts.rng.random_range(250..900),
        };
        let under = restarts.sent.extract_if(.., |_, to| *to == name);
        for (task, _) in under {
            *restarts.lost.entry(task).or_default() += 1;
        }
        *host = Host {
            cut: now + away,
            ..Host::default()
        };
        let late = now + away + restarts.rng.random_range(0..500);
        restarts
            .entries
            .extend(after.map(|born| (late, name.to_owned(), born)));
        if restarts.rng.random_ratio(1, 3) {
            let later = now + restarts.rng.random_range(0..4_000);
            restarts
                .entries
                .extend(before.map(|born| (later, name.to_owned(), born)));
        }
    }

    /// A start of a task is sent to a worker: until it is sent elsewhere, the end of that worker may be its doing.
    pub(super) fn note_sent(&mut self, name: &str, task: TaskId) {
        if let Some(restarts) = &mut self.restarts {
            restarts.sent.insert(task, name.to_owned());
        }
    }

    /// Where workers end by accident, only jobs have been given up of which a task was there twice.
    pub(super) fn check_restarts(&self, seed: u64) {
        let Some(restarts) = self.restarts.as_ref().filter(|_| self.fatal.is_none()) else {
            return;
        };
        let was_there = |id: JobId| {
            let mut lost = restarts.lost.iter();
            lost.any(|(task, count)| task.job == id && *count >= GIVEN_UP_AFTER)
        };
        let jobs = self.cell.jobs.iter();
        for (id, _) in jobs.filter(|(_, job)| job.phase == Phase::Failed) {
            assert!(was_there(*id), "seed {seed}: job {id:016x} is given up");
        }
    }

    /// Reads the entries whose time has come, of workers that are still listed; each goes on to write its own.
    fn read_entries(&mut self) {
        let (now, at) = (self.now, self.instant());
        let Some(restarts) = &mut self.restarts else {
            return;
        };
        let due: Vec<_> = restarts
            .entries
            .extract_if(.., |entry| entry.0 <= now)
            .collect();
        let beat = (now / super::TICK).is_multiple_of(25);
        let mut read: Vec<(WorkerName, StartedAtMs)> = due
            .into_iter()
            .map(|(_, name, born)| (name, born))
            .collect();
        if beat {
            let own = restarts
                .born
                .iter()
                .map(|(name, born)| (name.clone(), *born));
            read.extend(own);
        }
        for (name, born) in read {
            let is_there = self
                .hosts
                .get(name.as_str())
                .is_some_and(|host| host.cut <= now);
            if is_there {
                let entry = WorkerInfo {
                    id: WorkerId::new(&name, Some(born)),
                    ..worker(&name)
                };
                self.cell.list_worker(entry, at);
            }
        }
    }
}
