//! Decides which connections a listener admits, and which of them have to go when a budget is used up. Without I/O
//! and without a clock.

use crate::limits::Budget;
use clock::Instant;
use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

/// Minimum number of connections that a listener is left with.
const MIN_CONNECTIONS: usize = 8;

/// Number of steps in which a listener gets its whole budget back after a lack of descriptors.
const RECOVERY_STEPS: usize = 64;

/// Number of a connection; it is never reused.
pub type ConnectionId = u64;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Nothing of a request has arrived.
    Idle,
    /// A part of a head has arrived.
    Head,
    /// A head and perhaps a part of its body have arrived.
    Body,
    /// A request is whole, or the process is not reading its body yet.
    Service,
    /// A response is being sent.
    Response,
}

impl Phase {
    /// Returns whether the connection waits for its client to complete a request, so that it may be ended.
    pub fn is_waiting(self) -> bool {
        match self {
            Phase::Idle | Phase::Head | Phase::Body => true,
            Phase::Service | Phase::Response => false,
        }
    }

    /// Returns whether a part of a request has arrived.
    fn is_partial(self) -> bool {
        matches!(self, Phase::Head | Phase::Body)
    }
}

/// Decision about a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is admitted.
    Admitted(ConnectionId),
    /// It is admitted, and another one has to be closed.
    InPlaceOf {
        /// The new connection.
        admitted: ConnectionId,
        /// The connection to close.
        closed: ConnectionId,
    },
    /// It is not admitted, since all others are being answered.
    Full,
}

/// Decision about bytes that a request needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Hold {
    /// They are granted.
    Granted,
    /// They are granted, and other requests, which are not whole, have to be refused.
    InPlaceOf(Vec<ConnectionId>),
    /// The request itself has to be refused, as well as these others.
    Refused(Vec<ConnectionId>),
}

/// A connection.
#[derive(Clone, Copy, Debug)]
struct Connection {
    phase: Phase,
    /// Time since which the client has kept the connection waiting.
    since: Instant,
    /// Time by which the phase has to end.
    deadline: Option<Instant>,
    bytes: usize,
}

/// All connections of a listener.
#[derive(Debug)]
pub struct Ledger {
    budget: Budget,
    /// Number of connections that the budget allows while the process has descriptors.
    max_connections: usize,
    connections: HashMap<ConnectionId, Connection>,
    /// Connections that wait for their clients, by the time since when.
    waiting: BTreeSet<(Instant, ConnectionId)>,
    bytes: usize,
    last: ConnectionId,
}

impl Ledger {
    /// Creates a ledger without connections.
    pub fn new(budget: Budget) -> Self {
        Ledger {
            budget,
            max_connections: budget.connections,
            connections: HashMap::new(),
            waiting: BTreeSet::new(),
            bytes: 0,
            last: 0,
        }
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Returns whether there are more connections than the budget allows.
    pub fn is_over(&self) -> bool {
        self.connections.len() > self.budget.connections
    }

    /// Returns the number of bytes that all requests hold.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns what a connection is doing, or `None` if it has been closed.
    pub fn phase(&self, id: ConnectionId) -> Option<Phase> {
        self.connections.get(&id).map(|known| known.phase)
    }

    /// Decides about a new connection.
    pub fn open(&mut self, deadline: Instant, now: Instant) -> Admission {
        let closed = match self.connections.len() >= self.budget.connections {
            true => match self.longest_waiting() {
                Some(closed) => Some(closed),
                None => return Admission::Full,
            },
            false => None,
        };
        self.last += 1;
        let admitted = self.last;
        let connection = Connection {
            phase: Phase::Idle,
            since: now,
            deadline: Some(deadline),
            bytes: 0,
        };
        self.connections.insert(admitted, connection);
        self.waiting.insert((now, admitted));
        match closed {
            Some(closed) => {
                self.give_up(closed);
                Admission::InPlaceOf { admitted, closed }
            }
            None => Admission::Admitted(admitted),
        }
    }

    /// Allows fewer connections from now on, because the process has no descriptor left: three quarters of those that are
    /// open, the last of which could not be accepted. Returns the waiting ones to close for that, oldest first.
    pub fn shrink(&mut self) -> Vec<ConnectionId> {
        let open = self.connections.len();
        let allowed = (open * 3 / 4).max(MIN_CONNECTIONS);
        self.budget.connections = self.budget.connections.min(allowed);
        let surplus = open.saturating_sub(allowed);
        let waiting = self.waiting.iter().take(surplus);
        waiting.map(|(_, id)| *id).collect()
    }

    /// Allows a few more connections again, as long as that does not exceed the original budget.
    pub fn recover(&mut self) {
        let more = self.budget.connections + self.max_connections.div_ceil(RECOVERY_STEPS);
        self.budget.connections = more.min(self.max_connections);
    }

    /// Returns the connection that has waited longest for its client.
    pub fn longest_waiting(&self) -> Option<ConnectionId> {
        self.waiting.first().map(|(_, id)| *id)
    }

    /// Records that a connection does something else from now on, and until when at most. A connection counts as
    /// waiting since it became idle, or since the first byte of a request.
    pub fn enter(
        &mut self,
        id: ConnectionId,
        phase: Phase,
        deadline: Option<Instant>,
        now: Instant,
    ) {
        let Some(known) = self.connections.get_mut(&id) else {
            return;
        };
        self.waiting.remove(&(known.since, id));
        if matches!(phase, Phase::Idle | Phase::Head) {
            known.since = now;
        }
        if phase == Phase::Idle {
            self.bytes -= known.bytes;
            known.bytes = 0;
        }
        known.phase = phase;
        known.deadline = deadline;
        if phase.is_waiting() {
            self.waiting.insert((known.since, id));
        }
    }

    /// Moves the deadline of a connection's present phase.
    pub fn set_deadline(&mut self, id: ConnectionId, deadline: Instant) {
        if let Some(known) = self.connections.get_mut(&id) {
            known.deadline = Some(deadline);
        }
    }

    /// Lets the request of a connection hold `bytes` from now on, or decides that it is refused. A request that is the
    /// only one to hold any is never refused.
    pub fn hold(&mut self, id: ConnectionId, bytes: usize) -> Hold {
        let Some(held) = self.connections.get(&id).map(|known| known.bytes) else {
            return Hold::Refused(Vec::new());
        };
        let mut refused = Vec::new();
        while bytes > held && bytes + (self.bytes - held) > self.budget.bytes {
            if self.bytes == held {
                break;
            }
            match self.next_refused(id, bytes) {
                Some(other) if other != id => {
                    self.give_up(other);
                    refused.push(other);
                }
                Some(_) => {
                    self.give_up(id);
                    return Hold::Refused(refused);
                }
                None => return Hold::Refused(refused),
            }
        }
        self.set_bytes(id, bytes);
        match refused.is_empty() {
            true => Hold::Granted,
            false => Hold::InPlaceOf(refused),
        }
    }

    /// Returns the request to refuse when `wanting` needs `bytes`: of those that are not whole and hold at least as much as
    /// these do on average, the one that has waited longest. A few large ones thus never cost many small ones.
    fn next_refused(&self, wanting: ConnectionId, bytes: usize) -> Option<ConnectionId> {
        let holds = |id: ConnectionId, known: &Connection| match id == wanting {
            true => bytes,
            false => known.bytes,
        };
        let partial = self.waiting.iter().filter_map(|(_, id)| {
            let known = self.connections.get(id)?;
            let held = holds(*id, known);
            (known.phase.is_partial() && held > 0).then_some((*id, held))
        });
        let partial: Vec<(ConnectionId, usize)> = partial.collect();
        let total: usize = partial.iter().map(|(_, held)| held).sum();
        let large = |(_, held): &&(ConnectionId, usize)| held * partial.len() >= total;
        partial.iter().find(large).map(|(id, _)| *id)
    }

    /// Records that a connection is about to be ended: it holds no bytes and does not wait any more.
    pub fn give_up(&mut self, id: ConnectionId) {
        self.set_bytes(id, 0);
        if let Some(known) = self.connections.get(&id) {
            self.waiting.remove(&(known.since, id));
        }
    }

    fn set_bytes(&mut self, id: ConnectionId, bytes: usize) {
        if let Some(known) = self.connections.get_mut(&id) {
            self.bytes = self.bytes - known.bytes + bytes;
            known.bytes = bytes;
        }
    }

    /// Records that a connection has been closed.
    pub fn close(&mut self, id: ConnectionId) {
        self.give_up(id);
        self.connections.remove(&id);
    }

    /// Returns the connections whose phase has not ended in time.
    pub fn overdue(&self, now: Instant) -> Vec<(ConnectionId, Phase)> {
        let is_overdue = |known: &Connection| known.deadline.is_some_and(|at| at <= now);
        let overdue = self
            .connections
            .iter()
            .filter(|(_, known)| is_overdue(known));
        overdue.map(|(id, known)| (*id, known.phase)).collect()
    }

    /// Returns the connections that wait for the rest of a body.
    pub fn unfinished_bodies(&self) -> Vec<ConnectionId> {
        let all = self.connections.iter();
        let unfinished = all.filter(|(_, known)| known.phase == Phase::Body);
        unfinished.map(|(id, _)| *id).collect()
    }

    /// Moves all deadlines, because the process did not run for a while and could not read what arrived.
    pub fn postpone(&mut self, by: Duration) {
        for known in self.connections.values_mut() {
            known.deadline = known.deadline.map(|at| at + by);
        }
    }
}
