//! A random history of owners, workers and a log that misbehave, played step by step.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

mod bounds;
mod calls;
mod fatal;
mod host;
mod restarts;
mod rooms;

use crate::fixture::{job, step};
use bounds::Bounds;
use calls::Late;
use clock::Instant;
use fatal::Fatal;
use havenladder_jobs::{Batch, Cell, Decoded, Entry, Limits, Step, TaskId, WorkerId, decode_entry};
use host::Host;
use rand::{Rng, SeedableRng, rngs::StdRng};
use restarts::{HOLD, Restarts};
use rooms::Rooms;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Length of a step of the history, in ms.
const TICK: u64 = 20;

/// How long a lease holds, in ms.
const LEASE: u64 = 1_000;

/// How long an owner without a log goes on.
const GRACE: u64 = 1_500;

/// When the troubles end, in ms.
const CALM: u64 = 12_000;

/// When all must be done, in ms.
const END: u64 = 60_000;

/// The history so far.
struct History {
    rng: StdRng,
    start: Instant,
    now: u64,
    cell: Cell,
    fence: u64,
    began: u64,
    log: BTreeMap<String, Vec<u8>>,
    away: u64,
    /// What an append that has not been answered is to keep, and what follows from it.
    pending: Option<Batch>,
    hosts: BTreeMap<WorkerId, Host>,
    leased: BTreeMap<WorkerId, u64>,
    noted: BTreeMap<WorkerId, u64>,
    late: Vec<Late>,
    lives: u32,
    done: BTreeSet<TaskId>,
    failed: BTreeMap<TaskId, u32>,
    /// The tasks that end their workers, if there are such.
    fatal: Option<Fatal>,
    /// The rooms that change, if such do.
    rooms: Option<Rooms>,
    /// The workers that start again under their ids, if such do.
    restarts: Option<Restarts>,
    /// The bounds of workspaces, if there are such.
    bounds: Option<Bounds>,
}

impl History {
    fn new(seed: u64) -> Self {
        let mut history = History {
            rng: StdRng::seed_from_u64(seed),
            start: Instant::now(),
            now: 0,
            cell: Cell::new(Limits {
                stop_timeout: Duration::from_millis(100),
                ..Limits::default()
            }),
            fence: 1,
            began: 0,
            log: BTreeMap::new(),
            away: 0,
            pending: None,
            hosts: BTreeMap::new(),
            leased: BTreeMap::new(),
            noted: BTreeMap::new(),
            late: Vec::new(),
            lives: 0,
            done: BTreeSet::new(),
            failed: BTreeMap::new(),
            fatal: None,
            rooms: None,
            restarts: None,
            bounds: None,
        };
        (0..4).for_each(|_| history.boot());
        history
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_millis(self.now)
    }

    fn chance(&mut self, one_in: u32) -> bool {
        self.now < CALM && self.rng.random_ratio(1, one_in)
    }

    fn boot(&mut self) {
        self.lives += 1;
        let id = format!("w{:03}", self.lives);
        self.hosts.insert(id.as_str().into(), Host::default());
        self.bear(&id);
        let now = self.instant();
        self.cell.list_worker(self.entry(&id), now);
    }

    fn step(&mut self) {
        self.now += TICK;
        self.end_hosts();
        self.restart_hosts();
        self.change_rooms();
        self.change_bounds();
        self.run_hosts();
        self.trouble();
        self.deliver_late();
        self.ask_hosts();
        self.decide();
    }

    fn trouble(&mut self) {
        if self.chance(300) {
            self.away = self.now + self.rng.random_range(200..3_000);
        }
        if self.chance(400) {
            self.take_over();
        }
        if self.chance(200) && !self.hosts.is_empty() {
            let place = self.rng.random_range(0..self.hosts.len());
            let until = self.now + self.rng.random_range(200..3_000);
            self.hosts.values_mut().nth(place).unwrap().cut = until;
        }
        if self.chance(300) && self.hosts.len() > 2 {
            let id = self.hosts.keys().next().unwrap().clone();
            self.hosts.remove(&id);
            self.cell.list_worker(
                havenladder_jobs::WorkerInfo {
                    draining: true,
                    ..self.entry(&id)
                },
                self.instant(),
            );
            self.boot();
        }
        if self.chance(15) {
            self.submit();
        }
    }

    fn submit(&mut self) {
        let id = self.rng.random();
        let mut steps = Vec::new();
        for number in 0..self.rng.random_range(1..4u32) {
            let after = if number > 0 {
                vec![number - 1]
            } else {
                Vec::new()
            };
            let count = self.rng.random_range(1..4);
            steps.push(Step {
                after,
                ..step(count)
            });
        }
        let workspace = self.choose_workspace(id);
        self.cell.accept(havenladder_jobs::Submission {
            max_attempts: 50,
            workspace,
            ..job(id, steps)
        });
        self.choose_fatal(id);
    }

    /// The owner ends, and another takes what the log holds. An append that was under way may have been
    /// done or not.
    fn take_over(&mut self) {
        if let Some(batch) = self.pending.take()
            && self.rng.random_bool(0.5)
        {
            self.keep(&batch.entries);
        }
        self.fence += 1;
        self.began = self.now;
        self.away = 0;
        let decoded: Vec<Decoded> = self
            .log
            .iter()
            .map(|(key, value)| decode_entry(key, value).unwrap())
            .collect();
        let limits = self.cell.limits.clone();
        self.cell = Cell::new(limits);
        self.cell.load_records(decoded);
        let expires = self.instant() + Duration::from_millis(GRACE + self.lease());
        self.cell.raise_takeover_barrier(expires, false);
        self.tell_bounds();
        self.leased.clear();
        self.noted.clear();
        let now = self.instant();
        // The list still names workers that have ended a moment ago, and all that live.
        for id in self.hosts.keys() {
            let entry = self.entry(id);
            let leased = self.now + GRACE + self.lease();
            self.leased.insert(entry.id.clone(), leased);
            self.cell.list_worker(entry, now);
        }
        self.cell.mark_listed();
    }

    /// How long a lease may hold: the longest that a worker grants, where its life may not be the one that was meant.
    fn lease(&self) -> u64 {
        match self.restarts {
            Some(_) => HOLD,
            None => LEASE,
        }
    }

    /// The fence of calls to a worker.
    fn fence_of(&self, life: &str) -> u64 {
        (self.fence << 20) + self.cell.incarnation_changes(life)
    }

    fn keep(&mut self, entries: &[Entry]) {
        for entry in entries {
            match &entry.value {
                Some(value) => self.log.insert(entry.key.clone(), value.clone()),
                None => self.log.remove(&entry.key),
            };
        }
    }

    fn decide(&mut self) {
        let now = self.instant();
        if self.now < self.away {
            self.cell.schedule_unrecorded(now);
        } else {
            self.cell.schedule(now);
        }
        if self.now < self.away {
            // The log is away: only what it holds goes on.
            let starts = self.cell.take_durable_starts();
            self.send(starts);
        } else if let Some(batch) = self.pending.take() {
            self.keep(&batch.entries);
            self.cell.confirm(&batch);
            self.noted.extend(batch.acknowledged);
            self.send(batch.starts);
        } else {
            self.pending = Some(self.cell.take_batch());
        }
        let urgent = self.cell.take_urgent();
        self.send(urgent);
    }
}

/// Plays a history to its end.
pub fn play(seed: u64) {
    end(History::new(seed), seed);
}

/// Plays a history in which some tasks end each worker that starts them.
pub fn play_fatal(seed: u64) {
    let mut history = History::new(seed);
    history.fatal = Some(Fatal::new(seed));
    end(history, seed);
}

/// Plays a history in which rooms shrink and grow.
pub fn play_rooms(seed: u64) {
    let mut history = History::new(seed);
    history.rooms = Some(Rooms::new(seed));
    end(history, seed);
}

/// Plays a history with workspaces whose bounds change, and every other time with workers that start again.
pub fn play_bounds(seed: u64) {
    let mut history = History::new(seed);
    history.bounds = Some(Bounds::new(seed));
    if seed.is_multiple_of(2) {
        history.begin_restarts(seed);
    }
    end(history, seed);
}

/// Plays a history in which workers start again under their ids: by accident, or under tasks that end them.
pub fn play_restarts(seed: u64) {
    let mut history = History::new(seed);
    history.begin_restarts(seed);
    if seed.is_multiple_of(2) {
        history.fatal = Some(Fatal::new(seed));
    }
    end(history, seed);
}

/// Plays a history on to its end, and checks how its jobs have ended.
fn end(mut history: History, seed: u64) {
    while history.now < END {
        history.step();
    }
    history.check_fatal(seed);
    history.check_restarts(seed);
    let open = history
        .cell
        .jobs
        .values()
        .filter(|job| !job.phase.is_over())
        .count();
    let stuck = history.cell.jobs.values().find(|job| !job.phase.is_over());
    assert_eq!(open, 0, "seed {seed}: jobs are not over, such as {stuck:?}");
    assert!(!history.cell.jobs.is_empty());
}
