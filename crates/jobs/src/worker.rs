//! A worker as the owner of its cell sees it: its room, and the runs that it may have.

use crate::{
    Charge, LostRun, Need, RunId, ServiceId, Step, TaskId, WorkerId, suspicion::PROVEN_AGE,
};
use clock::Instant;
use std::{collections::BTreeMap, sync::Arc, time::Duration};

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
    pub hall: String,
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

/// What a run is like, as far as it matters to those beside it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunKind {
    /// It ends by itself.
    Finite,
    /// It lasts, and serves users of its own within a target.
    Serving,
    /// It lasts.
    LongRunning,
    /// It takes what the others leave.
    BestEffort,
}

impl RunKind {
    /// What the runs of a step are like.
    pub fn of(step: &Step) -> Self {
        match step {
            Step {
                best_effort: true, ..
            } => RunKind::BestEffort,
            Step {
                target_latency_ms: Some(_),
                ..
            } => RunKind::Serving,
            Step {
                long_running: true, ..
            } => RunKind::LongRunning,
            _ => RunKind::Finite,
        }
    }

    /// Whether its worker's VM cannot be moved without a thought for it.
    fn is_anchor(self) -> bool {
        matches!(self, RunKind::Serving | RunKind::LongRunning)
    }
}

/// What a run takes and is like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// What it takes of the worker's room.
    pub need: Need,
    /// What it is like.
    pub kind: RunKind,
}

/// A run that a worker may have.
#[derive(Clone, Debug)]
pub struct RunState {
    /// What it takes and is like.
    pub load: Load,
    /// How far it is.
    pub phase: RunPhase,
    /// Whether the worker has said at any time that it is there.
    pub confirmed: bool,
    /// Whether a report of this life of the worker has listed it. That its start was answered does not tell which life
    /// took it.
    pub reported: bool,
    /// When it was ordered.
    pub ordered_at: Instant,
    /// When its start was first sent; for a run of an earlier owner, when this one learned of it.
    pub sent_at: Option<Instant>,
    /// Whether an earlier owner started it: it may be older than is known.
    pub inherited: bool,
    /// When the worker last answered an order about it: a report that was asked for later and does
    /// not name the run proves that the run is not there.
    pub answered_at: Option<Instant>,
    /// How much of its work is done, 0 to 100.
    pub percent: u64,
    /// When that last changed.
    pub progressed_at: Instant,
    /// The share at which it works, 0 to 100.
    pub pace: u64,
    /// When that was last changed.
    pub paced_at: Option<Instant>,
    /// What it takes of its workspace's account.
    pub charge: Option<Charge>,
}

impl RunState {
    /// A run that is being ordered.
    pub fn ordered(load: Load, charge: Option<Charge>, now: Instant) -> Self {
        let phase = RunPhase::Ordered;
        RunState {
            load,
            phase,
            confirmed: false,
            reported: false,
            ordered_at: now,
            sent_at: None,
            inherited: false,
            answered_at: None,
            percent: 0,
            progressed_at: now,
            pace: 100,
            paced_at: None,
            charge,
        }
    }

    /// A run that an earlier owner may have started.
    pub fn inherited(load: Load, charge: Option<Charge>, now: Instant) -> Self {
        RunState {
            sent_at: Some(now),
            inherited: true,
            ..RunState::ordered(load, charge, now)
        }
    }
}

/// A run in quarantine: nothing else begins on its worker meanwhile, so that the end of the worker names it.
#[derive(Clone, Copy, Debug)]
pub struct Quarantine {
    /// The run.
    pub key: (TaskId, RunId),
    /// The age that ends the quarantine.
    pub threshold: Duration,
}

/// A worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// What the platform's list says of it.
    pub info: Arc<WorkerInfo>,
    /// Whether it answered this owner when it was last asked; from its first answer on, it refuses all
    /// earlier owners.
    pub responsive: bool,
    /// Whether it has answered this owner at any time, or was listed only after others had been met.
    pub contacted: bool,
    /// Whether it is to get no new runs because its VM is to be taken out.
    pub closed: bool,
    /// Whether its VM has been told to go down or to move.
    pub disrupted: bool,
    /// Whether its data centre is to be emptied.
    pub hall_drained: bool,
    /// Whether its newest entry is none of a worker: another writer may have left it.
    pub unusable: bool,
    /// Whether an earlier owner may have told its VM so, and the order may still be under way.
    pub order_unconfirmed: bool,
    /// What its runs take of its room.
    pub used: Need,
    /// How many of its runs last and serve.
    pub anchors: usize,
    /// The runs that it may have.
    pub runs: BTreeMap<(TaskId, RunId), RunState>,
    /// The highest end that has been dealt with.
    pub acknowledged: u64,
    /// How many runs in a row have failed or stood still.
    pub failures: u32,
    /// Until when it gets no new runs.
    pub excluded_until: Option<Instant>,
    /// When the newest question was sent that it has answered: it lived then.
    pub last_answer: Option<Instant>,
    /// When it was first found to be silent, since it last answered.
    pub silent_since: Option<Instant>,
    /// When its port last refused a connection, since it last answered.
    pub refused_at: Option<Instant>,
    /// When its entry was found to be gone from the list.
    pub unlisted_at: Option<Instant>,
    /// The run that is in quarantine there.
    pub quarantine: Option<Quarantine>,
    /// The runs that were given up because its lease ran out, while it may only be cut off.
    pub lapsed: Vec<LostRun>,
}

impl Worker {
    /// A worker that has not answered yet.
    pub fn new(info: WorkerInfo) -> Self {
        Worker {
            info: Arc::new(info),
            responsive: false,
            contacted: false,
            closed: false,
            disrupted: false,
            hall_drained: false,
            unusable: false,
            order_unconfirmed: false,
            used: Need::default(),
            anchors: 0,
            runs: BTreeMap::new(),
            acknowledged: 0,
            failures: 0,
            excluded_until: None,
            last_answer: None,
            silent_since: None,
            refused_at: None,
            unlisted_at: None,
            quarantine: None,
            lapsed: Vec::new(),
        }
    }

    /// Whether it has answered at any time, or may have runs.
    pub fn is_real(&self) -> bool {
        self.last_answer.is_some() || !self.runs.is_empty() || !self.lapsed.is_empty()
    }

    /// For how long a run is known to have been at work: until the newest answer of the worker.
    pub fn known_runtime(&self, state: &RunState) -> Duration {
        match (state.sent_at, self.last_answer) {
            (Some(sent), Some(heard)) if state.confirmed => heard.saturating_duration_since(sent),
            _ => Duration::ZERO,
        }
    }

    /// Whether it has no run that may yet prove to end it.
    pub fn is_settled(&self) -> bool {
        self.runs
            .values()
            .all(|state| self.known_runtime(state) >= PROVEN_AGE)
    }

    /// Ends the quarantine of a run that has outlived what it was to outlive.
    pub fn end_quarantine(&mut self) {
        let Some(quarantine) = self.quarantine else {
            return;
        };
        let state = self.runs.get(&quarantine.key);
        if state.is_none_or(|state| self.known_runtime(state) >= quarantine.threshold) {
            self.quarantine = None;
        }
    }

    /// Whether it told of its end: it said that it leaves, or served on after its entry had gone. The entry of
    /// one that has crashed goes as well, some seconds later.
    pub fn has_announced(&self) -> bool {
        match self.unlisted_at {
            None => self.info.draining,
            Some(at) => self.last_answer.is_some_and(|heard| heard > at),
        }
    }

    /// Whether it may get new runs.
    pub fn is_open(&self, now: Instant) -> bool {
        let aside = self.excluded_until.is_some_and(|until| until > now);
        let stays = !self.closed && self.may_start();
        self.responsive && stays && !aside && self.quarantine.is_none()
    }

    /// Whether what was decided for it may still be sent.
    pub fn may_start(&self) -> bool {
        !self.disrupted && !self.hall_drained && !self.unusable && !self.info.draining
    }

    /// Adds a run and what it takes.
    pub fn add(&mut self, task: TaskId, run: RunId, state: RunState) {
        self.used.add(state.load.need);
        self.anchors += usize::from(state.load.kind.is_anchor());
        if let Some(old) = self.runs.insert((task, run), state) {
            self.forget(old.load);
        }
    }

    /// The runs whose starts were sent within the longest lease that a worker grants, and that no report of this life has
    /// named: they may go on at another life.
    pub fn unreported(&self, now: Instant, hold: Duration) -> Vec<(TaskId, RunId)> {
        let may_go_on = |state: &RunState| {
            let recent = state.sent_at.is_some_and(|sent| now < sent + hold);
            recent && !state.reported
        };
        let runs = self.runs.iter().filter(|(_, state)| may_go_on(state));
        runs.map(|(key, _)| *key).collect()
    }

    /// Removes a run and gives its room back.
    pub fn remove(&mut self, task: TaskId, run: RunId) -> Option<RunState> {
        let state = self.runs.remove(&(task, run))?;
        self.quarantine
            .take_if(|quarantine| quarantine.key == (task, run));
        self.forget(state.load);
        Some(state)
    }

    /// Gives back what a run took.
    fn forget(&mut self, load: Load) {
        self.used.remove(load.need);
        self.anchors -= usize::from(load.kind.is_anchor());
    }

    /// How many runs of a kind it has.
    pub fn count(&self, kind: RunKind) -> usize {
        self.runs
            .values()
            .filter(|state| state.load.kind == kind)
            .count()
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
