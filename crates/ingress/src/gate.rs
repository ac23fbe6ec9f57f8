//! Carries out the decisions of a ledger for the connections of one listener.

mod exchange;

pub use exchange::{Exchange, Unreceived};

use crate::{
    body::Received,
    counters::{Counters, Ending},
    ledger::{Admission, ConnectionId, Hold, Ledger, Phase},
    limits::{Budget, RequestLimits},
};
use clock::Instant;
use rustix::io::Errno;
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    io,
    rc::Rc,
    time::Duration,
};
use tokio::sync::Notify;
use tracing::warn;

/// Errors of the system for a machine or process without free descriptors.
const NO_DESCRIPTOR: [Errno; 2] = [Errno::NFILE, Errno::MFILE];

/// The connections of a listener, with their limits.
pub struct Gate {
    name: &'static str,
    ledger: RefCell<Ledger>,
    limits: Cell<RequestLimits>,
    connections: RefCell<HashMap<ConnectionId, Rc<Watched>>>,
    counters: Counters,
    /// Counts that the log has reported.
    logged: Cell<[u64; Ending::ALL.len()]>,
    /// Notified when a connection has been closed.
    closed: Notify,
    /// Whether connections end after the request in progress.
    draining: Cell<bool>,
    /// Notified when connections are to end after the request in progress.
    drain: Notify,
    /// Whether requests that are not whole are refused.
    refusing: Cell<bool>,
}

impl Gate {
    /// Creates the gate of a listener, which counts what it ends.
    pub fn new(
        name: &'static str,
        budget: Budget,
        limits: RequestLimits,
        counters: Counters,
    ) -> Rc<Self> {
        Rc::new(Gate {
            name,
            ledger: RefCell::new(Ledger::new(budget)),
            limits: Cell::new(limits),
            connections: RefCell::default(),
            counters,
            logged: Cell::default(),
            closed: Notify::new(),
            draining: Cell::new(false),
            drain: Notify::new(),
            refusing: Cell::new(false),
        })
    }

    /// Returns the name of the listener in logs and metrics.
    pub fn name(&self) -> &'static str {
        self.name
    }

    /// Returns the counters of the listener.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the limits of a single request.
    pub fn limits(&self) -> RequestLimits {
        self.limits.get()
    }

    /// Replaces the limits of a single request.
    pub fn set_limits(&self, limits: RequestLimits) {
        self.limits.set(limits);
    }

    /// Lets each connection end after the request in progress.
    pub fn drain(&self) {
        self.draining.set(true);
        self.drain.notify_waiters();
    }

    /// Refuses all requests that are not whole, now and from now on.
    pub fn refuse_unfinished(&self) {
        self.refusing.set(true);
        let unfinished = self.ledger.borrow().unfinished_bodies();
        for id in unfinished {
            self.end(id, Ending::Stop);
        }
    }

    /// Waits until connections are to end after the request in progress.
    pub(crate) async fn wait_for_drain(&self) {
        loop {
            let drain = self.drain.notified();
            if self.draining.get() {
                return;
            }
            drain.await;
        }
    }

    /// Admits a connection, or returns `None` if it is to be closed.
    pub(crate) fn open(self: &Rc<Self>) -> Option<Rc<Watched>> {
        let now = Instant::now();
        let deadline = now + self.limits.get().idle_timeout;
        let admission = self.ledger.borrow_mut().open(deadline, now);
        let id = match admission {
            Admission::Admitted(id) => id,
            Admission::InPlaceOf { admitted, closed } => {
                self.end(closed, Ending::Connections);
                admitted
            }
            Admission::Full => {
                self.counters.count(Ending::Full);
                return None;
            }
        };
        let watched = Rc::new(Watched {
            gate: Rc::clone(self),
            id,
            head_bytes: Cell::new(0),
            received: RefCell::default(),
            ending: Cell::new(None),
            closing: Cell::new(false),
            changed: Notify::new(),
        });
        let mut connections = self.connections.borrow_mut();
        connections.insert(id, Rc::clone(&watched));
        Some(watched)
    }

    /// Waits until there are no more connections than the budget allows.
    pub(crate) async fn wait_for_room(&self) {
        loop {
            let closed = self.closed.notified();
            if !self.ledger.borrow().is_over() {
                return;
            }
            closed.await;
        }
    }

    /// Makes room for other connections of the process, if none could be accepted for lack of descriptors. The log
    /// reports how often, once a second.
    pub(crate) fn accept_failed(&self, error: &io::Error) {
        let lacks_descriptors =
            Errno::from_io_error(error).is_some_and(|error| NO_DESCRIPTOR.contains(&error));
        if !lacks_descriptors {
            warn!(listener = self.name, %error, "cannot accept a connection");
            return;
        }
        let surplus = self.ledger.borrow_mut().shrink();
        if surplus.is_empty() {
            self.counters.count(Ending::Descriptors);
        }
        for id in surplus {
            self.end(id, Ending::Descriptors);
        }
    }

    /// Ends a connection, or refuses the request whose body it is sending.
    fn end(&self, id: ConnectionId, ending: Ending) {
        let phase = self.ledger.borrow().phase(id);
        self.ledger.borrow_mut().give_up(id);
        let connections = self.connections.borrow();
        let Some(watched) = connections.get(&id) else {
            return;
        };
        if watched.ending.replace(Some(ending)).is_none() {
            self.counters.count(ending);
        }
        watched.received.take();
        // A new connection needs the descriptor now, and a response may not be taken.
        let is_needed = matches!(ending, Ending::Connections | Ending::Descriptors);
        if phase != Some(Phase::Body) || is_needed {
            watched.closing.set(true);
        }
        watched.changed.notify_waiters();
    }

    /// Ends the connections whose phase has not ended in time. `late` is how much later than planned this is called.
    pub(crate) fn sweep(&self, now: Instant, late: Duration) {
        if !late.is_zero() {
            self.ledger.borrow_mut().postpone(late);
        }
        self.ledger.borrow_mut().recover();
        let overdue = self.ledger.borrow().overdue(now);
        for (id, phase) in overdue {
            let ending = match phase {
                Phase::Idle => Ending::Idle,
                Phase::Head => Ending::LateHead,
                Phase::Body => Ending::LateBody,
                Phase::Service | Phase::Response => Ending::LateResponse,
            };
            self.end(id, ending);
        }
        self.log_endings();
    }

    /// Logs how many connections and requests were ended since the last call, except for idle connections.
    fn log_endings(&self) {
        let counts = self.counters.all();
        let before = self.logged.replace(counts.map(|(_, count)| count));
        let new = counts.into_iter().zip(before);
        let new = new.filter(|((ending, count), before)| *ending != Ending::Idle && count > before);
        let new: Vec<String> = new
            .map(|((ending, count), before)| format!("{} {}", ending.name(), count - before))
            .collect();
        if !new.is_empty() {
            let (connections, bytes) = {
                let ledger = self.ledger.borrow();
                (ledger.connections(), ledger.bytes())
            };
            warn!(
                listener = self.name,
                ended = new.join(", "),
                connections,
                bytes,
                "ended connections or requests of clients to stay within limits"
            );
        }
    }
}

/// A connection that a gate watches.
pub(crate) struct Watched {
    gate: Rc<Gate>,
    id: ConnectionId,
    /// Bytes of the head as far as it has arrived.
    head_bytes: Cell<usize>,
    /// Body as far as it has arrived. It is here so that its memory is free as soon as the request is refused.
    received: RefCell<Received>,
    /// Why the connection, or the request whose body it is sending, has to end.
    ending: Cell<Option<Ending>>,
    /// Whether the connection is to be closed without a response.
    closing: Cell<bool>,
    /// Notified when [`Watched::ending`] or [`Watched::closing`] has changed.
    changed: Notify,
}

impl Watched {
    /// Records that bytes have arrived.
    ///
    /// # Errors
    ///
    /// Fails if the head that they belong to has to be given up.
    pub(crate) fn arrived(&self, bytes: usize) -> io::Result<()> {
        let phase = self.gate.ledger.borrow().phase(self.id);
        match phase {
            Some(Phase::Idle) => {
                let timeout = self.gate.limits.get().head_timeout;
                self.enter(Phase::Head, Some(timeout));
                self.head_bytes.set(bytes);
            }
            Some(Phase::Head) => self.head_bytes.set(self.head_bytes.get() + bytes),
            _ => return Ok(()),
        }
        self.hold(self.head_bytes.get(), Ending::Bytes)
            .map_err(|Overloaded| io::ErrorKind::QuotaExceeded.into())
    }

    /// Records that the client has taken bytes of a response.
    pub(crate) fn written(&self) {
        let mut ledger = self.gate.ledger.borrow_mut();
        if ledger.phase(self.id) == Some(Phase::Response) {
            let timeout = self.gate.limits.get().response_timeout;
            ledger.set_deadline(self.id, Instant::now() + timeout);
        }
    }

    /// Records that all that was to be sent has been sent.
    pub(crate) fn flushed(&self) {
        let phase = self.gate.ledger.borrow().phase(self.id);
        if phase == Some(Phase::Response) && self.ending.get().is_none() {
            self.enter(Phase::Idle, Some(self.gate.limits.get().idle_timeout));
        }
    }

    /// Waits until the connection is to be closed without a response.
    pub(crate) async fn wait_for_close(&self) {
        loop {
            let changed = self.changed.notified();
            if self.closing.get() {
                return;
            }
            changed.await;
        }
    }

    /// Records that the connection has been closed.
    pub(crate) fn close(&self) {
        self.gate.ledger.borrow_mut().close(self.id);
        self.gate.connections.borrow_mut().remove(&self.id);
        self.gate.closed.notify_waiters();
    }

    /// Waits until the request whose body is being read has to end.
    async fn wait_for_ending(&self) -> Ending {
        loop {
            let changed = self.changed.notified();
            if let Some(ending) = self.ending.get() {
                return ending;
            }
            changed.await;
        }
    }

    fn enter(&self, phase: Phase, timeout: Option<Duration>) {
        let now = Instant::now();
        let deadline = timeout.map(|timeout| now + timeout);
        let mut ledger = self.gate.ledger.borrow_mut();
        ledger.enter(self.id, phase, deadline, now);
    }

    /// Lets the request hold a number of bytes, and refuses others for it. `refusal` is counted if it is refused itself.
    fn hold(&self, bytes: usize, refusal: Ending) -> Result<(), Overloaded> {
        let decision = self.gate.ledger.borrow_mut().hold(self.id, bytes);
        let (refused, outcome) = match decision {
            Hold::Granted => return Ok(()),
            Hold::InPlaceOf(refused) => (refused, Ok(())),
            Hold::Refused(refused) => {
                self.gate.counters.count(refusal);
                (refused, Err(Overloaded))
            }
        };
        for id in refused {
            self.gate.end(id, Ending::Bytes);
        }
        outcome
    }
}

/// The bytes that a request needs are held by others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overloaded;
