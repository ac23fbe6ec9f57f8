//! A worker as the owner of its cell sees it: its room, and the runs that it may have.

use crate::{Need, RunId, ServiceId, TaskId, WorkerId};
use std::{collections::BTreeMap, time::Instant};

/// What the platform's list says of a worker.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerInfo {
    /// This life of it.
    pub id: WorkerId,
    /// The service that it runs tasks for.
    pub service: ServiceId,
    /// Where it takes orders, as IP and port.
    pub address: String,
    /// Its data centre.
    pub zone: String,
    /// What tasks may require of it; its rack is one of these.
    pub labels: Vec<String>,
    /// Its room.
    pub capacity: Need,
    /// Whether it is about to leave.
    pub draining: bool,
}

impl WorkerInfo {
    /// Whether the worker has this label.
    pub fn has_label(&self, label: &str) -> bool {
        self.labels.iter().any(|own| own == label)
    }

    /// The worker's rack: the last of its labels, the first being its kind.
    pub fn rack(&self) -> &str {
        self.labels.last().map_or("", String::as_str)
    }
}

/// How far a run is on its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPhase {
    /// It has been ordered; the worker has not said that it is there.
    Ordered,
    /// The worker has said that it is there.
    Running,
    /// It has been told to stop, and its end is not known.
    Stopping,
}

/// A run that a worker may have.
#[derive(Clone, Debug)]
pub struct RunState {
    /// What it takes of the worker's room.
    pub need: Need,
    /// How far it is.
    pub phase: RunPhase,
    /// When the worker last answered an order about it: a report that was asked for later and does
    /// not name the run proves that the run is not there.
    pub settled: Option<Instant>,
    /// How much of its work is done.
    pub percent: u64,
    /// When that last changed.
    pub moved: Instant,
    /// The share at which it works, 0 to 100.
    pub pace: u64,
    /// When that was last changed.
    pub paced: Option<Instant>,
}

impl RunState {
    /// A run that is being ordered.
    pub fn ordered(need: Need, now: Instant) -> Self {
        let phase = RunPhase::Ordered;
        RunState {
            need,
            phase,
            settled: None,
            percent: 0,
            moved: now,
            pace: 100,
            paced: None,
        }
    }
}

/// A worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// What the platform's list says of it.
    pub info: WorkerInfo,
    /// Whether it has answered this owner, and so refuses all earlier ones.
    pub known: bool,
    /// Whether it is to get no new runs because its VM is to be taken out.
    pub closed: bool,
    /// Whether its VM has been told to go down or to move.
    pub taken: bool,
    /// What its runs take of its room.
    pub used: Need,
    /// The runs that it may have.
    pub runs: BTreeMap<(TaskId, RunId), RunState>,
    /// The highest end that has been dealt with.
    pub noted: u64,
    /// How many runs in a row have failed or stood still.
    pub failures: u32,
    /// Until when it gets no new runs.
    pub aside: Option<Instant>,
}

impl Worker {
    /// A worker that has not answered yet.
    pub fn new(info: WorkerInfo) -> Self {
        Worker {
            info,
            known: false,
            closed: false,
            taken: false,
            used: Need::default(),
            runs: BTreeMap::new(),
            noted: 0,
            failures: 0,
            aside: None,
        }
    }

    /// Whether it may get new runs.
    pub fn is_open(&self, now: Instant) -> bool {
        let aside = self.aside.is_some_and(|until| until > now);
        self.known && !self.closed && !self.taken && !self.info.draining && !aside
    }

    /// Adds a run and what it takes.
    pub fn add(&mut self, task: TaskId, run: RunId, state: RunState) {
        self.used.add(state.need);
        if let Some(old) = self.runs.insert((task, run), state) {
            self.used.remove(old.need);
        }
    }

    /// Removes a run and gives its room back.
    pub fn remove(&mut self, task: TaskId, run: RunId) -> Option<RunState> {
        let state = self.runs.remove(&(task, run))?;
        self.used.remove(state.need);
        Some(state)
    }

    /// How many runs it has of one step of one round of a job.
    pub fn siblings(&self, task: TaskId) -> u32 {
        let first = TaskId { index: 0, ..task };
        let last = TaskId {
            index: u32::MAX,
            ..task
        };
        self.runs.range((first, 0)..=(last, RunId::MAX)).count() as u32
    }
}
