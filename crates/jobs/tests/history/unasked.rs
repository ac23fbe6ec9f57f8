//! Workers that restart under their ids, carry out calls that were meant for their former incarnations, and are cut off
//! before anyone has asked them.

use super::{
    FAULTS_END_MS, History, LEASE_MS, LOG_OUTAGE_LIMIT_MS, TICK_MS,
    orders::{StartOutcome, Stop},
    owners::{NextOwner, longest_lease},
    restarts::MAX_LEASE_MS,
    watch::Contact,
};
use havenladder_jobs::{
    Cell, InheritedLeases, Limits, Order, Refusal, RunId, StartedAtMs, TaskId, WorkerId, WorkerName,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Maximum time after which a call that has no response is carried out, in ms. As in the owner, it equals the time for
/// which an owner continues without its log.
pub(super) const MAX_CALL_DELAY_MS: u64 = LOG_OUTAGE_LIMIT_MS;

/// Time before a restart in which most calls to the worker are in transit until after it, in ms.
const TRANSIT_MS: u64 = 300;

/// Time after which all tasks are short, in ms.
const LONG_TASKS_END_MS: u64 = 30_000;

/// Number of workers beside the usual ones, so that some are reachable while others are cut off.
const MORE_WORKERS: u32 = 4;

/// What happens at a set time.
enum Event {
    Restart(WorkerName),
    /// The worker is cut off until this time.
    CutOff(WorkerName, u64),
    /// The entry of the worker is removed if it is still cut off.
    Unlist(WorkerName),
    ReleaseCell,
    ReplaceOwner,
}

/// A call to a worker.
#[derive(Clone)]
pub(super) struct Call {
    pub(super) kind: CallKind,
    /// The incarnation that it is meant for.
    pub(super) worker: WorkerId,
    pub(super) fence: u64,
    /// The end of the lease that it grants, on the clock of that incarnation.
    pub(super) deadline: Option<u64>,
}

/// What a call orders.
#[derive(Clone)]
pub(super) enum CallKind {
    /// A poll that acknowledges ends up to this number.
    Poll(u64),
    /// A start or a stop.
    Order(Order),
}

/// What becomes of a call.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Delivery {
    /// It was carried out.
    Accepted,
    /// It was refused.
    Refused(Refusal),
    /// It was certainly not sent.
    Unsent,
    /// It gets no response, and may be carried out later.
    Unanswered,
}

/// The state of a history with such restarts, with a random number generator of its own.
pub(super) struct Unasked {
    pub(super) rng: StdRng,
    events: Vec<(u64, Event)>,
    /// The calls in transit, each with the time at which it is carried out.
    calls: Vec<(u64, Call)>,
    /// The workers to which many calls get no response, each with the time until which this holds.
    disturbed: Vec<(WorkerName, u64, u64)>,
    /// Starts in transit whose runs an incarnation was shown not to have, each with that incarnation.
    disproved: BTreeMap<(TaskId, RunId), WorkerId>,
    /// The incarnation that the list names for each worker.
    pub(super) listed: BTreeMap<WorkerName, WorkerId>,
    pub(super) contacts: BTreeMap<WorkerId, Contact>,
    pub(super) outcomes: Vec<StartOutcome>,
    pub(super) stops: Vec<Stop>,
    pub(super) inherited: InheritedLeases,
    /// Set while nobody owns the cell.
    pub(super) next_owner: Option<NextOwner>,
    /// Time until which runs without a record may exist.
    pub(super) unrecorded_until: u64,
    /// Since when the log has been unavailable.
    pub(super) outage_since: Option<u64>,
}

impl Unasked {
    /// Returns the run time in ms of a task that begins now: long for half of the tasks, as long as they can still end.
    pub(super) fn draw_length(&mut self, now: u64, short: u64) -> u64 {
        match now < LONG_TASKS_END_MS && self.rng.random_bool(0.5) {
            true => self.rng.random_range(3_000..12_000),
            false => short,
        }
    }

    /// Limits the calls in transit to those that are carried out by `until`.
    pub(super) fn drop_calls_after(&mut self, until: u64) {
        self.calls.retain(|(at, _)| *at <= until);
    }
}

impl History {
    /// Enables such restarts. Workers must report the start times of their incarnations.
    pub(super) fn begin_unasked(&mut self, seed: u64) {
        let limits = Limits {
            max_lease: longest_lease(),
            max_call_delay: Duration::from_millis(MAX_CALL_DELAY_MS),
            ..self.cell.limits.clone()
        };
        self.cell = Cell::new(limits);
        (0..MORE_WORKERS).for_each(|_| self.boot());
        let listed = self.names().into_iter();
        let listed = listed.map(|name| (name.clone(), self.entry(&name).id));
        self.unasked = Some(Unasked {
            rng: StdRng::seed_from_u64(seed ^ 0x0a5c),
            events: Vec::new(),
            calls: Vec::new(),
            disturbed: Vec::new(),
            disproved: BTreeMap::new(),
            listed: listed.collect(),
            contacts: BTreeMap::new(),
            outcomes: Vec::new(),
            stops: Vec::new(),
            inherited: InheritedLeases::until(self.instant()),
            next_owner: None,
            unrecorded_until: 0,
            outage_since: None,
        });
        self.list_workers();
    }

    /// Returns the state of these restarts, which the history has.
    pub(super) fn unasked(&mut self) -> &mut Unasked {
        self.unasked.as_mut().unwrap()
    }

    /// Plays a step of a history with such restarts.
    pub(super) fn step_unasked(&mut self) {
        self.restart_hosts();
        self.end_due_runs();
        self.plan_faults();
        self.play_events();
        self.deliver_calls();
        self.own_cell();
    }

    /// Plans restarts, cuts, changes of owner and outages of the log.
    fn plan_faults(&mut self) {
        let now = self.now;
        if now >= FAULTS_END_MS {
            return;
        }
        let names = self.names();
        let unasked = self.unasked();
        if unasked.rng.random_ratio(1, 70) {
            let name = names[unasked.rng.random_range(0..names.len())].clone();
            let restart = now + TRANSIT_MS;
            let cut = match unasked.rng.random_bool(0.5) {
                true => restart,
                false => restart + unasked.rng.random_range(0..2_000),
            };
            let until = match unasked.rng.random_bool(0.5) {
                true => cut + unasked.rng.random_range(200..6_000),
                false => cut + unasked.rng.random_range(4_000..6_000),
            };
            let changed = restart + unasked.rng.random_range(0..3_000);
            let change = match unasked.rng.random_range(0..6) {
                0..=2 => Some(Event::ReleaseCell),
                3 => Some(Event::ReplaceOwner),
                _ => None,
            };
            if unasked.rng.random_ratio(1, 4) {
                let at = cut + unasked.rng.random_range(500..4_000);
                unasked.events.push((at, Event::Unlist(name.clone())));
            }
            unasked.disturbed.push((name.clone(), now, cut));
            unasked.events.push((restart, Event::Restart(name.clone())));
            unasked.events.push((cut, Event::CutOff(name, until)));
            unasked
                .events
                .extend(change.map(|change| (changed, change)));
        }
        if unasked.rng.random_ratio(1, 400) {
            let lasts = unasked.rng.random_range(200..1_200);
            unasked.outage_since = Some(now);
            self.log_unavailable_until = now + lasts;
        }
        if self.unasked().rng.random_ratio(1, 20) && self.unasked().next_owner.is_none() {
            self.submit();
        }
    }

    fn play_events(&mut self) {
        let now = self.now;
        let due = self.unasked().events.extract_if(.., |(at, _)| *at <= now);
        let due: Vec<Event> = due.map(|(_, event)| event).collect();
        for event in due {
            match event {
                Event::Restart(name) => self.restart(&name),
                Event::CutOff(name, until) => {
                    if let Some(host) = self.hosts.get_mut(name.as_str()) {
                        host.unreachable_until = host.unreachable_until.max(until);
                    }
                }
                Event::Unlist(name) if !self.is_reachable(&name) => {
                    self.unasked().listed.remove(&name);
                    let now = self.instant();
                    self.cell.unlist_worker(&name, now);
                }
                Event::Unlist(_) => {}
                Event::ReleaseCell => self.release_cell(),
                Event::ReplaceOwner => self.replace_owner(),
            }
        }
    }

    /// Returns whether owners can reach a worker.
    pub(super) fn is_reachable(&self, name: &str) -> bool {
        let host = self.hosts.get(name);
        host.is_some_and(|host| host.unreachable_until <= self.now)
    }

    /// Returns the start time of the incarnation that calls to a worker reach.
    pub(super) fn reached(&self, name: &str) -> Option<StartedAtMs> {
        self.started_at(name).filter(|_| self.is_reachable(name))
    }

    /// Sends a call. It may be lost, or be carried out late without a response.
    pub(super) fn call(&mut self, call: Call) -> Delivery {
        let (now, name) = (self.now, call.worker.name());
        let reachable = self.is_reachable(name);
        let unasked = self.unasked();
        let is_disturbed = unasked
            .disturbed
            .iter()
            .any(|(of, from, until)| of == name && (*from..=*until).contains(&now));
        let disturbed = now < FAULTS_END_MS && is_disturbed;
        if !reachable && unasked.rng.random_bool(0.5) {
            return Delivery::Unsent;
        }
        let in_transit = match (reachable, disturbed) {
            (true, true) => unasked.rng.random_ratio(4, 5),
            (true, false) => now < FAULTS_END_MS && unasked.rng.random_ratio(1, 30),
            (false, _) => unasked.rng.random_bool(0.5),
        };
        if in_transit {
            let shortest = if disturbed { TRANSIT_MS } else { TICK_MS };
            let at = now + unasked.rng.random_range(shortest..=MAX_CALL_DELAY_MS);
            unasked.calls.push((at, call));
            return Delivery::Unanswered;
        }
        if !reachable {
            return Delivery::Unanswered;
        }
        match self.carry_out_call(&call, false) {
            Ok(()) if now < FAULTS_END_MS && self.unasked().rng.random_ratio(1, 30) => {
                Delivery::Unanswered
            }
            Ok(()) => Delivery::Accepted,
            Err(why) => Delivery::Refused(why),
        }
    }

    /// Carries out the calls in transit that are due, also on workers that are cut off: the calls had reached them.
    fn deliver_calls(&mut self) {
        let now = self.now;
        let due = self.unasked().calls.extract_if(.., |(at, _)| *at <= now);
        let due: Vec<Call> = due.map(|(_, call)| call).collect();
        for call in due {
            // Nobody reads the response.
            let _ = self.carry_out_call(&call, true);
        }
    }

    /// Carries out a call on the incarnation that is running.
    fn carry_out_call(&mut self, call: &Call, late: bool) -> Result<(), Refusal> {
        let now = self.now;
        let name = call.worker.name();
        let succeeded = self.is_succeeded(&call.worker);
        if self.is_excluded(call) {
            return Err(Refusal::Late);
        }
        let Some(host) = self.hosts.get_mut(name) else {
            return Err(Refusal::Unwell);
        };
        if now < host.starts_at {
            return Err(Refusal::Unwell);
        }
        if call.fence < host.fence {
            return Err(Refusal::Fenced);
        }
        host.fence = call.fence;
        // A deadline for the clock of another incarnation may be far in the future of this one's clock.
        let leased = call.deadline.map(|deadline| match succeeded {
            true => now + MAX_LEASE_MS,
            false => deadline,
        });
        match &call.kind {
            CallKind::Order(Order::Start { .. }) if leased.is_none_or(|until| until < now) => {
                Err(Refusal::Late)
            }
            CallKind::Order(order) => self.apply_order(order, late, leased.unwrap_or(0)),
            CallKind::Poll(acknowledged) => {
                host.leased = host.leased.max(leased.unwrap_or(0));
                // What acknowledges ends is taken not to reach another incarnation, which would forget ends of its own.
                let ends = match succeeded {
                    true => Vec::new(),
                    false => host.acknowledge(*acknowledged),
                };
                self.record_ends(&ends);
                Ok(())
            }
        }
    }

    /// Returns whether a call starts a run on an incarnation after an earlier one was shown not to have it: the task has
    /// been freed, and no fence can reach an incarnation before it has been asked.
    fn is_excluded(&mut self, call: &Call) -> bool {
        let CallKind::Order(Order::Start { worker, task, run }) = &call.kind else {
            return false;
        };
        let running = WorkerId::new(worker.name(), self.started_at(worker.name()));
        let disproved = &self.unasked().disproved;
        disproved
            .get(&(*task, *run))
            .is_some_and(|by| *by != running)
    }

    /// Records the starts in transit whose runs a report of this incarnation has disproved.
    pub(super) fn record_disproved(&mut self, incarnation: &WorkerId) {
        let name = incarnation.name();
        let held: BTreeSet<(TaskId, RunId)> = self
            .cell
            .incarnations_of(name)
            .iter()
            .filter_map(|id| self.cell.workers.get(id))
            .flat_map(|worker| worker.runs.keys().copied())
            .collect();
        let unasked = self.unasked();
        for (_, call) in &unasked.calls {
            if let CallKind::Order(Order::Start { worker, task, run }) = &call.kind
                && worker.name() == name
                && !held.contains(&(*task, *run))
            {
                let by = unasked.disproved.entry((*task, *run));
                by.or_insert_with(|| incarnation.clone());
            }
        }
    }

    /// Returns the deadline of a lease that begins now.
    pub(super) fn lease_deadline(&self) -> u64 {
        self.now + LEASE_MS
    }

    /// Forgets the contacts and the pending calls of an owner that has ended.
    pub(super) fn forget_owner(&mut self) {
        let unasked = self.unasked();
        unasked.contacts.clear();
        unasked.outcomes.clear();
        unasked.stops.clear();
    }
}
