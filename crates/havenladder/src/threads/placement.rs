//! Thread that places requests: it owns the scheduler and executes its commands.

use crate::{
    context::Context,
    sync::lock,
    threads::{claims::ClaimMessage, workers::Dispatch},
};
use bytes::Bytes;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, TrySendError, bounded};
use hyper::header::HeaderValue;
use serving::{
    AttemptEnd, AttemptId, Claim, ClaimDecision, ClaimState, Command, Event, Job, Outcome,
    RequestId, Scheduler, Target,
};
use std::{
    collections::HashMap,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};
use tokio::sync::{mpsc, oneshot};

/// Capacity of the message channel per request that may be in progress.
const MESSAGES_PER_REQUEST: usize = 4;

/// Interval between two ticks of the scheduler.
const TICK: Duration = Duration::from_millis(20);

/// Interval between two ticks while no request is in progress.
const IDLE_TICK: Duration = Duration::from_millis(200);

/// Interval between two updates of the capacities that are reported to peers.
const CAPACITY_INTERVAL: Duration = Duration::from_millis(100);

/// Complete response of a worker or a peer.
#[derive(Clone, Debug)]
pub struct TaskResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type, if there is one.
    pub content_type: Option<HeaderValue>,
    /// Body, complete according to its framing.
    pub body: Bytes,
}

/// Reply to the connection of a caller.
#[derive(Debug)]
pub struct Reply {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Complete response; present only if the outcome is done.
    pub response: Option<TaskResponse>,
}

/// New request of a caller.
#[derive(Debug)]
pub struct Arrival {
    /// Description of the request for the scheduler.
    pub job: Job,
    /// ID of the request in all logs and on every attempt.
    pub name: String,
    /// Body of the request.
    pub body: Bytes,
    /// Maximum size of a response, in bytes.
    pub max_response_bytes: usize,
    /// Claim on the request's key, if it must not run twice.
    pub claim: Option<Claim>,
    /// Caller's key as received, which is forwarded to peers.
    pub key: Option<String>,
    /// Channel for the reply.
    pub reply: oneshot::Sender<Reply>,
}

/// Message to the placement thread.
#[derive(Debug)]
pub enum Message {
    /// A request has arrived.
    Arrived(Box<Arrival>),
    /// Another event of the scheduler has occurred.
    Event(Event),
    /// An attempt has ended.
    Ended(AttemptId, AttemptEnd, Option<TaskResponse>),
}

/// Sender of messages to the placement thread.
#[derive(Clone, Debug)]
pub struct PlacementSender {
    sender: Sender<Message>,
}

impl PlacementSender {
    /// Creates the channel for an entry that may have `requests` requests in progress.
    pub fn new(requests: usize) -> (Self, Receiver<Message>) {
        let (sender, receiver) = bounded(requests * MESSAGES_PER_REQUEST + 64);
        (Self { sender }, receiver)
    }

    /// Sends a request without waiting.
    ///
    /// # Errors
    ///
    /// Returns the request when the channel is full.
    pub fn arrive(&self, arrival: Box<Arrival>) -> Result<(), Box<Arrival>> {
        match self.sender.try_send(Message::Arrived(arrival)) {
            Ok(()) => Ok(()),
            Err(
                TrySendError::Full(Message::Arrived(arrival))
                | TrySendError::Disconnected(Message::Arrived(arrival)),
            ) => Err(arrival),
            Err(_) => Ok(()),
        }
    }

    /// Sends any other message. The channel has capacity for all messages that the requests in
    /// progress can cause.
    pub fn notify(&self, message: Message) {
        // Sending fails only when the process ends.
        let _ = self.sender.send(message);
    }
}

/// Request that has no outcome yet.
struct Pending {
    name: String,
    body: Bytes,
    max_response_bytes: usize,
    key: Option<String>,
    service: String,
    repeatable: bool,
    reply: oneshot::Sender<Reply>,
}

/// State of the placement thread.
struct Placement<'c> {
    ctx: &'c Context,
    scheduler: Scheduler,
    pending: HashMap<RequestId, Pending>,
    claims: HashMap<RequestId, (Claim, bool)>,
    responses: HashMap<AttemptId, TaskResponse>,
    workers: mpsc::Sender<Dispatch>,
}

/// Places requests until the process ends.
pub fn placement(
    ctx: &Arc<Context>,
    messages: &Receiver<Message>,
    workers: mpsc::Sender<Dispatch>,
) {
    let seed = match ctx.config.placement.seed {
        0 => rand::random(),
        seed => seed,
    };
    let mut placement = Placement {
        ctx,
        scheduler: Scheduler::new(seed),
        pending: HashMap::new(),
        claims: HashMap::new(),
        responses: HashMap::new(),
        workers,
    };
    let mut tick = Instant::now() + TICK;
    let mut next_capacity_update = Instant::now();
    loop {
        match messages.recv_deadline(tick) {
            Ok(message) => {
                placement.handle_message(message);
                tick = tick.min(Instant::now() + placement.tick_interval());
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        let now = Instant::now();
        if now >= tick {
            placement.handle_event(Event::Tick);
            tick = now + placement.tick_interval();
        }
        if now >= next_capacity_update {
            *lock(&ctx.capacities) = placement.scheduler.capacity(now);
            next_capacity_update = now + CAPACITY_INTERVAL;
        }
    }
}

impl Placement<'_> {
    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Arrived(arrival) => self.arrive(*arrival),
            Message::Event(Event::Claimed(id, decision)) => self.handle_decision(id, decision),
            Message::Event(event) => self.handle_event(event),
            Message::Ended(attempt, end, response) => {
                if let Some(response) = response {
                    self.responses.insert(attempt, response);
                }
                self.handle_event(Event::Ended(attempt, end));
                // A response that is still here belongs to an attempt that was abandoned.
                self.responses.remove(&attempt);
            }
        }
    }

    /// Returns the interval to the next tick. Only waiting requests can become too late, so an idle
    /// entry ticks less often.
    fn tick_interval(&self) -> Duration {
        if self.scheduler.is_empty() {
            IDLE_TICK
        } else {
            TICK
        }
    }

    fn arrive(&mut self, arrival: Arrival) {
        let id = arrival.job.id;
        let pending = Pending {
            name: arrival.name,
            body: arrival.body,
            max_response_bytes: arrival.max_response_bytes,
            key: arrival.key,
            service: arrival.job.service.clone(),
            repeatable: arrival.job.repeatable,
            reply: arrival.reply,
        };
        self.pending.insert(id, pending);
        if let Some(claim) = arrival.claim {
            self.claims.insert(id, (claim, false));
        }
        self.handle_event(Event::Arrived(arrival.job));
    }

    fn handle_decision(&mut self, id: RequestId, decision: ClaimDecision) {
        if let Some((_, won)) = self.claims.get_mut(&id) {
            *won = decision == ClaimDecision::Won;
        }
        self.handle_event(Event::Claimed(id, decision));
    }

    fn handle_event(&mut self, event: Event) {
        for command in self.scheduler.handle(event, Instant::now()) {
            self.carry_out(command);
        }
    }

    fn carry_out(&mut self, command: Command) {
        match command {
            Command::Claim(id) => self.claim(id),
            Command::Send {
                request,
                attempt,
                target,
                addr,
                pool,
                deadline,
            } => self.send(request, attempt, &target, addr, pool, deadline),
            Command::Stop(attempt) => self.dispatch(Dispatch::Stop(attempt)),
            Command::Eject(vm, until) => {
                let seconds = until
                    .saturating_duration_since(Instant::now())
                    .as_secs_f64();
                tracing::warn!(
                    vm,
                    seconds,
                    reason = "consecutive failed tasks",
                    "paused placement on a worker"
                );
            }
            Command::Answer(id, outcome) => self.reply(id, outcome),
        }
    }

    fn claim(&mut self, id: RequestId) {
        if let Some((claim, _)) = self.claims.get(&id) {
            self.ctx.claims.send(ClaimMessage::Claim(id, claim.clone()));
        }
    }

    fn send(
        &mut self,
        request: RequestId,
        attempt: AttemptId,
        target: &Target,
        addr: String,
        pool: String,
        deadline: Instant,
    ) {
        let Some(pending) = self.pending.get(&request) else {
            return;
        };
        tracing::debug!(request = %pending.name, %attempt, ?target, "placed");
        let dispatch = Dispatch::Send {
            attempt,
            addr,
            pool,
            deadline,
            forwarded: matches!(target, Target::Peer(_)),
            service: pending.service.clone(),
            name: pending.name.clone(),
            key: pending.key.clone(),
            body: pending.body.clone(),
            max_bytes: pending.max_response_bytes,
            repeatable: pending.repeatable,
        };
        self.dispatch(dispatch);
    }

    fn dispatch(&self, dispatch: Dispatch) {
        // The channel has capacity for all dispatches that the requests in progress can cause.
        let _ = self.workers.blocking_send(dispatch);
    }

    fn reply(&mut self, id: RequestId, outcome: Outcome) {
        self.settle(id, &outcome);
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        let response = match outcome {
            Outcome::Done(attempt) => self.responses.remove(&attempt),
            _ => None,
        };
        tracing::info!(request = %pending.name, service = %pending.service, ?outcome, "outcome");
        // Sending fails if the caller has disconnected.
        let _ = pending.reply.send(Reply { outcome, response });
    }

    /// Records in the log the outcome of a request whose claim won.
    fn settle(&mut self, id: RequestId, outcome: &Outcome) {
        let Some((claim, won)) = self.claims.remove(&id) else {
            return;
        };
        if !won {
            return;
        }
        let state = match outcome {
            Outcome::Done(_) => ClaimState::Done,
            Outcome::NotRun(_) => ClaimState::NotRun,
            Outcome::Unknown(_) | Outcome::Claimed(_) => ClaimState::Unknown,
        };
        self.ctx.unsettled.fetch_add(1, Ordering::Relaxed);
        self.ctx.claims.send(ClaimMessage::Settle(claim, state));
    }
}
