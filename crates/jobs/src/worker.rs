//! A worker as seen by the owner of its cell: its capacity and the runs that it may have.

use crate::{
    Charge, LostRun, Need, ReturnLimit, RunId, ServiceId, Step, TaskId, WorkerId,
    suspicion::PROVEN_AGE,
};
use clock::Instant;
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// The description of a worker in the platform's list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerInfo {
    /// The incarnation of the worker.
    pub id: WorkerId,
    /// The service whose tasks it runs.
    pub service: ServiceId,
    /// The address where it accepts orders, as IP and port.
    pub address: String,
    /// The data centre of the worker.
    pub hall: String,
    /// The labels that tasks may require; the rack is one of them.
    pub labels: Vec<String>,
    /// The resources of the worker.
    pub capacity: Need,
    /// Whether the worker is about to leave.
    pub draining: bool,
}

impl WorkerInfo {
    /// Returns whether the worker has this label.
    pub fn has_label(&self, label: &str) -> bool {
        self.labels.iter().any(|own| own == label)
    }

    /// Returns the worker's rack, which is the last label; the first one is its kind.
    pub fn rack(&self) -> &str {
        self.labels.last().map_or("", String::as_str)
    }
}

/// The phase of a run on its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPhase {
    /// The run has been ordered, and the worker has not confirmed it.
    Ordered,
    /// The worker has confirmed the run.
    Running,
    /// The run has been ordered to stop, and its end is not known.
    Stopping,
}

/// The kind of a run, as far as it matters to the runs beside it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunKind {
    /// The run ends by itself.
    Finite,
    /// The run is long-running and serves users within a target latency.
    Serving,
    /// The run is long-running.
    LongRunning,
    /// The run uses the processor time that others leave.
    BestEffort,
}

impl RunKind {
    /// Returns the kind of a step's runs.
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

    /// Returns whether the run keeps its worker's VM from being moved freely.
    pub(crate) fn is_long_running(self) -> bool {
        matches!(self, RunKind::Serving | RunKind::LongRunning)
    }
}

/// The resources and the kind of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// The resources that the run needs.
    pub need: Need,
    /// The kind of the run.
    pub kind: RunKind,
}

/// The state of a run that a worker may have.
#[derive(Clone, Debug)]
pub struct RunState {
    /// The resources and the kind of the run.
    pub load: Load,
    /// The phase of the run.
    pub phase: RunPhase,
    /// Whether the worker has confirmed the run at any time, by answering its start or by listing it.
    pub confirmed: bool,
    /// Whether a report of this incarnation has listed the run. A response to the start does not show which
    /// incarnation accepted it.
    pub reported: bool,
    /// When the run was ordered.
    pub ordered_at: Instant,
    /// When the start was first sent; for a run of an earlier owner, when this owner learned of it.
    pub sent_at: Option<Instant>,
    /// Whether an earlier owner started the run, so that it may be older than is known.
    pub inherited: bool,
    /// When the worker last answered an order about the run. A report that was requested later and does not
    /// list the run proves that it does not exist.
    pub answered_at: Option<Instant>,
    /// The progress of the run, in percent.
    pub percent: u64,
    /// When the progress last changed.
    pub progressed_at: Instant,
    /// The share of the processor at which the run works, 0 to 100.
    pub pace: u64,
    /// When the share was last changed.
    pub paced_at: Option<Instant>,
    /// The charge on the account of the run's workspace.
    pub charge: Option<Charge>,
}

impl RunState {
    /// Creates the state of a run that is being ordered.
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

    /// Creates the state of a run that an earlier owner may have started.
    pub fn inherited(load: Load, charge: Option<Charge>, now: Instant) -> Self {
        RunState {
            sent_at: Some(now),
            inherited: true,
            ..RunState::ordered(load, charge, now)
        }
    }
}

/// A run in quarantine. No other run starts on its worker meanwhile, so that a crash identifies it.
#[derive(Clone, Copy, Debug)]
pub struct Quarantine {
    /// The run.
    pub key: (TaskId, RunId),
    /// The age that ends the quarantine.
    pub threshold: Duration,
}

/// A worker and its state as known to the owner.
#[derive(Clone, Debug)]
pub struct Worker {
    /// The description in the platform's list.
    pub info: Arc<WorkerInfo>,
    /// Whether the worker answered this owner's last poll. From its first response on, it refuses the orders
    /// of all earlier owners.
    pub responsive: bool,
    /// Whether it has reported all its runs and ends to this owner at any time, or was first listed after all
    /// workers had been contacted.
    pub contacted: bool,
    /// Whether it may have further ends than its last report lists.
    pub more_ends: bool,
    /// Whether it gets no new runs because its VM is to be disrupted.
    pub closed: bool,
    /// Whether its VM has been ordered to go down or to move.
    pub disrupted: bool,
    /// Whether its data centre is to be drained.
    pub hall_drained: bool,
    /// The usage up to which it gets work while its data centre returns to service.
    pub return_limit: Option<ReturnLimit>,
    /// Whether its latest entry does not describe a worker; another writer may have left it.
    pub unusable: bool,
    /// Whether an earlier owner may have ordered its VM to go down or to move, and the order may still be
    /// carried out.
    pub order_unconfirmed: bool,
    /// The resources that its runs need.
    pub used: Need,
    /// The part of `used` whose runs may not end by themselves.
    pub used_lastingly: Need,
    /// How many of its runs are long-running, serving ones included.
    pub long_running_runs: usize,
    /// How many of its runs are best-effort ones.
    pub best_effort_runs: usize,
    /// The runs that it may have.
    pub runs: BTreeMap<(TaskId, RunId), RunState>,
    /// The number of the highest end that has been processed.
    pub acknowledged: u64,
    /// How many runs in a row have failed or stalled.
    pub failures: u32,
    /// Until when it gets no new runs after failures or refusals.
    pub excluded_until: Option<Instant>,
    /// When the latest call that extends its lease was sent.
    pub called_at: Option<Instant>,
    /// When the latest poll that it has answered was sent. It was running at that time.
    pub last_seen: Option<Instant>,
    /// When it was first found to be silent after its last response.
    pub silent_since: Option<Instant>,
    /// When its port last refused a connection after its last response.
    pub refused_at: Option<Instant>,
    /// When its entry was found to be missing from the list.
    pub unlisted_at: Option<Instant>,
    /// The run that is in quarantine on this worker.
    pub quarantine: Option<Quarantine>,
    /// The runs that were dropped because the worker's lease expired, although it may only be cut off.
    pub lapsed: Vec<LostRun>,
}

impl Worker {
    /// Creates a worker that has not answered yet.
    pub fn new(info: WorkerInfo) -> Self {
        Worker {
            info: Arc::new(info),
            responsive: false,
            contacted: false,
            more_ends: false,
            closed: false,
            disrupted: false,
            hall_drained: false,
            return_limit: None,
            unusable: false,
            order_unconfirmed: false,
            used: Need::default(),
            used_lastingly: Need::default(),
            long_running_runs: 0,
            best_effort_runs: 0,
            runs: BTreeMap::new(),
            acknowledged: 0,
            failures: 0,
            excluded_until: None,
            called_at: None,
            last_seen: None,
            silent_since: None,
            refused_at: None,
            unlisted_at: None,
            quarantine: None,
            lapsed: Vec::new(),
        }
    }

    /// Returns whether it has reported some of its ends, and has not reported all of them to this owner yet.
    pub(crate) fn withholds_ends(&self) -> bool {
        self.more_ends && !self.contacted
    }

    /// Returns whether it has answered at any time or may have runs.
    pub fn has_answered_or_runs(&self) -> bool {
        self.last_seen.is_some() || !self.runs.is_empty() || !self.lapsed.is_empty()
    }

    /// Returns how long a run is known to have been at work: from its start to the worker's latest response.
    pub fn known_runtime(&self, state: &RunState) -> Duration {
        match (state.sent_at, self.last_seen) {
            (Some(sent), Some(last)) if state.confirmed => last.saturating_duration_since(sent),
            _ => Duration::ZERO,
        }
    }

    /// Returns whether it has no run young enough to be suspected if the worker crashes.
    pub fn is_settled(&self) -> bool {
        self.runs
            .values()
            .all(|state| self.known_runtime(state) >= PROVEN_AGE)
    }

    /// Ends the quarantine if its run has reached the threshold or is gone.
    pub fn end_quarantine(&mut self) {
        let Some(quarantine) = self.quarantine else {
            return;
        };
        let state = self.runs.get(&quarantine.key);
        if state.is_none_or(|state| self.known_runtime(state) >= quarantine.threshold) {
            self.quarantine = None;
        }
    }

    /// Returns whether the worker announced its end: it said that it leaves, or still answered after its
    /// entry was gone. The entry of a crashed worker is removed as well, some seconds later.
    pub fn has_announced(&self) -> bool {
        match self.unlisted_at {
            None => self.info.draining,
            Some(at) => self.last_seen.is_some_and(|last| last > at),
        }
    }

    /// Returns whether the worker may get new runs.
    pub fn is_open(&self, now: Instant) -> bool {
        let excluded = self.excluded_until.is_some_and(|until| until > now);
        let stays = !self.closed && self.may_start();
        self.responsive && stays && !excluded && self.quarantine.is_none()
    }

    /// Returns whether starts decided earlier may still be sent to it.
    pub fn may_start(&self) -> bool {
        !self.disrupted && !self.hall_drained && !self.unusable && !self.info.draining
    }

    /// Returns what is free once the runs that end by themselves have ended.
    pub(crate) fn free_of_lasting(&self) -> Need {
        let mut free = self.info.capacity;
        free.remove(self.used_lastingly);
        free
    }

    /// Adds a run and its load.
    pub fn add(&mut self, task: TaskId, run: RunId, state: RunState) {
        self.used.add(state.load.need);
        if state.load.kind != RunKind::Finite {
            self.used_lastingly.add(state.load.need);
        }
        self.long_running_runs += usize::from(state.load.kind.is_long_running());
        self.best_effort_runs += usize::from(state.load.kind == RunKind::BestEffort);
        if let Some(old) = self.runs.insert((task, run), state) {
            self.subtract_load(old.load);
        }
    }

    /// Returns the runs whose starts were sent and that no report of this incarnation has listed. They may exist at
    /// another incarnation.
    pub fn unreported(&self) -> impl Iterator<Item = (TaskId, RunId)> {
        let may_exist = |state: &RunState| state.sent_at.is_some() && !state.reported;
        let runs = self.runs.iter().filter(move |(_, state)| may_exist(state));
        runs.map(|(key, _)| *key)
    }

    /// Returns until when the unreported runs may exist, if a lease holds for `hold` after a call. Each call that
    /// their incarnation accepts extends its lease for all of them. Returns `None` if there are none.
    pub fn unreported_until(&self, hold: Duration) -> Option<Instant> {
        self.unreported().next()?;
        self.called_at.map(|at| at + hold)
    }

    /// Removes a run and releases its resources.
    pub fn remove(&mut self, task: TaskId, run: RunId) -> Option<RunState> {
        let state = self.runs.remove(&(task, run))?;
        self.quarantine
            .take_if(|quarantine| quarantine.key == (task, run));
        self.subtract_load(state.load);
        Some(state)
    }

    /// Subtracts the load of a run.
    fn subtract_load(&mut self, load: Load) {
        self.used.remove(load.need);
        if load.kind != RunKind::Finite {
            self.used_lastingly.remove(load.need);
        }
        self.long_running_runs -= usize::from(load.kind.is_long_running());
        self.best_effort_runs -= usize::from(load.kind == RunKind::BestEffort);
    }

    /// Returns how many runs of a kind it has.
    pub fn count(&self, kind: RunKind) -> usize {
        self.runs
            .values()
            .filter(|state| state.load.kind == kind)
            .count()
    }

    /// Returns how many runs it has of the same step and round as `task`.
    pub fn siblings(&self, task: TaskId) -> u32 {
        let first = TaskId { index: 0, ..task };
        let last = TaskId {
            index: u32::MAX,
            ..task
        };
        self.runs.range((first, 0)..=(last, RunId::MAX)).count() as u32
    }
}
