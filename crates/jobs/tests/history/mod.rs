//! A random step-by-step simulation of owners, workers and a log with faults.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

mod bounds;
mod calls;
mod capacities;
mod crashing_tasks;
mod host;
mod orders;
mod owners;
mod restarts;
mod unasked;
mod watch;

use crate::fixture::{job, step};
use bounds::Bounds;
use calls::LateOrder;
use capacities::Capacities;
use clock::Instant;
use crashing_tasks::CrashingTasks;
use havenladder_jobs::{
    Batch, Cell, Decoded, Entry, Job, Limits, Step, TaskId, WorkerId, decode_entry,
};
use host::Host;
use rand::{Rng, SeedableRng, rngs::StdRng};
use restarts::{MAX_LEASE_MS, Restarts};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use unasked::Unasked;

/// Length of a simulation step, in ms.
const TICK_MS: u64 = 20;

/// Duration of a lease, in ms.
const LEASE_MS: u64 = 1_000;

/// Time for which an owner continues without its log, in ms.
const LOG_OUTAGE_LIMIT_MS: u64 = 1_500;

/// Time after which no more faults are injected, in ms.
const FAULTS_END_MS: u64 = 12_000;

/// Time at which all jobs must have ended, in ms.
const END_MS: u64 = 60_000;

/// The state of a simulation.
struct History {
    rng: StdRng,
    start: Instant,
    now: u64,
    cell: Cell,
    fence: u64,
    owner_since: u64,
    log: BTreeMap<String, Vec<u8>>,
    log_unavailable_until: u64,
    /// The batch of an append that has not been confirmed yet.
    pending: Option<Batch>,
    hosts: BTreeMap<WorkerId, Host>,
    leased: BTreeMap<WorkerId, u64>,
    acknowledged: BTreeMap<WorkerId, u64>,
    late: Vec<LateOrder>,
    booted: u32,
    done: BTreeSet<TaskId>,
    failed: BTreeMap<TaskId, u32>,
    /// The tasks that crash their workers, if the history has any.
    crashing_tasks: Option<CrashingTasks>,
    /// The capacities that change, if they do in this history.
    capacities: Option<Capacities>,
    /// The workers that restart under their ids, if they do in this history.
    restarts: Option<Restarts>,
    /// The restarts of workers that are cut off before anyone has asked them, if they occur in this history.
    unasked: Option<Unasked>,
    /// The bounds of workspaces, if the history has any.
    bounds: Option<Bounds>,
    /// The number of ends that a worker lists at once.
    max_listed_ends: usize,
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
            owner_since: 0,
            log: BTreeMap::new(),
            log_unavailable_until: 0,
            pending: None,
            hosts: BTreeMap::new(),
            leased: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            late: Vec::new(),
            booted: 0,
            done: BTreeSet::new(),
            failed: BTreeMap::new(),
            crashing_tasks: None,
            capacities: None,
            restarts: None,
            unasked: None,
            bounds: None,
            max_listed_ends: usize::MAX,
        };
        (0..4).for_each(|_| history.boot());
        history
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_millis(self.now)
    }

    fn draw_fault(&mut self, one_in: u32) -> bool {
        self.now < FAULTS_END_MS && self.rng.random_ratio(1, one_in)
    }

    fn boot(&mut self) {
        self.booted += 1;
        let id = format!("w{:03}", self.booted);
        self.hosts.insert(id.as_str().into(), Host::default());
        self.begin_incarnation(&id);
        let now = self.instant();
        self.cell.list_worker(self.entry(&id), now);
    }

    fn step(&mut self) {
        self.now += TICK_MS;
        if self.unasked.is_some() {
            return self.step_unasked();
        }
        self.crash_hosts();
        self.restart_hosts();
        self.change_capacities();
        self.change_bounds();
        self.end_due_runs();
        self.inject_faults();
        self.deliver_late();
        self.poll_hosts();
        self.schedule();
    }

    fn inject_faults(&mut self) {
        if self.draw_fault(300) {
            self.log_unavailable_until = self.now + self.rng.random_range(200..3_000);
        }
        if self.draw_fault(400) {
            self.take_over();
        }
        if self.draw_fault(200) && !self.hosts.is_empty() {
            let place = self.rng.random_range(0..self.hosts.len());
            let until = self.now + self.rng.random_range(200..3_000);
            self.hosts
                .values_mut()
                .nth(place)
                .unwrap()
                .unreachable_until = until;
        }
        if self.draw_fault(300) && self.hosts.len() > 2 {
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
        if self.draw_fault(15) {
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
        self.choose_crashing_job(id);
    }

    /// Replaces the owner by a new one that loads the log. An append in flight may have succeeded or not.
    fn take_over(&mut self) {
        if let Some(batch) = self.pending.take()
            && self.rng.random_bool(0.5)
        {
            self.append_entries(&batch.entries);
        }
        self.fence += 1;
        self.owner_since = self.now;
        self.log_unavailable_until = 0;
        let decoded: Vec<Decoded> = self
            .log
            .iter()
            .map(|(key, value)| decode_entry(key, value).unwrap())
            .collect();
        let limits = self.cell.limits.clone();
        self.cell = Cell::new(limits);
        self.cell.load_records(decoded);
        let expires = self.instant() + Duration::from_millis(LOG_OUTAGE_LIMIT_MS + self.lease());
        self.cell.raise_takeover_barrier(expires, false);
        self.apply_known_bounds();
        self.leased.clear();
        self.acknowledged.clear();
        let now = self.instant();
        // The list names all running workers.
        for id in self.hosts.keys() {
            let entry = self.entry(id);
            let leased = self.now + LOG_OUTAGE_LIMIT_MS + self.lease();
            self.leased.insert(entry.id.clone(), leased);
            self.cell.list_worker(entry, now);
        }
        self.cell.mark_listed();
    }

    /// Returns the maximum duration of a lease. With restarts, it is the longest one that a worker grants, since
    /// another incarnation than the intended one may have received the call.
    fn lease(&self) -> u64 {
        match self.restarts {
            Some(_) => MAX_LEASE_MS,
            None => LEASE_MS,
        }
    }

    /// Returns the fence of calls to a worker: the owner's fence and the number of changes of incarnation.
    fn fence_of(&self, incarnation: &str) -> u64 {
        (self.fence << 20) + self.cell.incarnation_changes(incarnation)
    }

    fn append_entries(&mut self, entries: &[Entry]) {
        for entry in entries {
            match &entry.value {
                Some(value) => self.log.insert(entry.key.clone(), value.clone()),
                None => self.log.remove(&entry.key),
            };
        }
    }

    fn schedule(&mut self) {
        let now = self.instant();
        if self.now < self.log_unavailable_until {
            self.cell.schedule_unrecorded(now);
        } else {
            self.cell.schedule(now);
        }
        if self.now < self.log_unavailable_until {
            // While the log is unavailable, only durable jobs start tasks.
            let starts = self.cell.take_durable_starts();
            self.send(starts);
        } else if let Some(batch) = self.pending.take() {
            self.append_entries(&batch.entries);
            self.cell.confirm(&batch);
            self.acknowledged.extend(batch.acknowledged);
            self.send(batch.starts);
        } else {
            self.pending = Some(self.cell.take_batch());
        }
        let urgent = self.cell.take_urgent();
        self.send(urgent);
    }
}

/// Plays a history without special conditions.
pub fn play_plain(seed: u64) {
    end(History::new(seed), seed);
}

/// Plays a history in which some tasks crash every worker that starts them.
pub fn play_crashing_tasks(seed: u64) {
    let mut history = History::new(seed);
    history.crashing_tasks = Some(CrashingTasks::new(seed));
    end(history, seed);
}

/// Plays a history in which the capacities of workers change.
pub fn play_changing_capacities(seed: u64) {
    let mut history = History::new(seed);
    history.capacities = Some(Capacities::new(seed));
    end(history, seed);
}

/// Plays a history with workspaces whose bounds change. For even seeds, workers also restart.
pub fn play_changing_bounds(seed: u64) {
    let mut history = History::new(seed);
    history.bounds = Some(Bounds::new(seed));
    if seed.is_multiple_of(2) {
        history.begin_restarts(seed);
    }
    end(history, seed);
}

/// Plays a history in which workers restart under their ids: by accident, or for even seeds because of crashing
/// tasks.
pub fn play_restarts(seed: u64) {
    let mut history = History::new(seed);
    history.begin_restarts(seed);
    if seed.is_multiple_of(2) {
        history.crashing_tasks = Some(CrashingTasks::new(seed));
    }
    end(history, seed);
}

/// Plays a history in which workers restart under their ids, carry out calls to their former incarnations, and are cut
/// off before anyone has asked them, while owners change.
pub fn play_unasked_restarts(seed: u64) {
    let mut history = History::new(seed);
    history.begin_restarts(seed);
    history.begin_unasked(seed);
    end(history, seed);
}

/// Plays a history in which workers list few of their ends at once. For even seeds, workers also restart.
pub fn play_pages_of_ends(seed: u64) {
    let mut history = History::new(seed);
    history.max_listed_ends = 1 + seed as usize % 3;
    if seed.is_multiple_of(2) {
        history.begin_restarts(seed);
    }
    end(history, seed);
}

/// Plays a history in which long-running tasks wait all the time for a label that no worker has.
pub fn play_misfits(seed: u64) {
    let mut history = History::new(seed);
    let misfit = Step {
        long_running: true,
        label: Some("none".to_owned()),
        ..step(40)
    };
    history.cell.accept(job(seed, vec![misfit]));
    end(history, seed);
}

/// Plays a history to its end and checks the outcomes of its jobs.
fn end(mut history: History, seed: u64) {
    while history.now < END_MS {
        history.step();
    }
    history.check_crashing_jobs(seed);
    history.check_restarts(seed);
    let is_open = |job: &&Job| !job.phase.is_over() && !job.submission.spec.is_long_running();
    let open = history.cell.jobs.values().filter(is_open).count();
    let stuck = history.cell.jobs.values().find(is_open);
    assert_eq!(
        open, 0,
        "seed {seed}: jobs have not ended, such as {stuck:?}"
    );
    assert!(!history.cell.jobs.is_empty());
}
