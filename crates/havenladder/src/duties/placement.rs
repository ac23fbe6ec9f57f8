//! The duty that places requests: it owns the scheduler and carries out its commands.

use crate::{
    context::Context,
    duties::{claims::ClaimJob, workers::Dispatch},
    sync::lock,
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

/// Messages that wait for this duty at the most, for each request that may be in progress.
const RING_SHARE: usize = 4;

/// Time between two ticks of the scheduler.
const TICK: Duration = Duration::from_millis(20);

/// Time between two ticks while no request is in progress.
const IDLE_TICK: Duration = Duration::from_millis(200);

/// Time between two looks at the rooms that peers are told of.
const ROOMS: Duration = Duration::from_millis(100);

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Its HTTP status.
    pub status: u16,
    /// Its content type, if it has one.
    pub kind: Option<HeaderValue>,
    /// Its body, checked against the announced length.
    pub body: Bytes,
}

/// What an editor's connection gets back.
#[derive(Debug)]
pub struct Reply {
    /// The outcome.
    pub outcome: Outcome,
    /// The whole answer, when the outcome is done.
    pub answer: Option<Answer>,
}

/// A request on its way in.
#[derive(Debug)]
pub struct Arrival {
    /// What the scheduler sees of it.
    pub job: Job,
    /// The id that it has in all logs and on every attempt.
    pub name: String,
    /// Its body.
    pub body: Bytes,
    /// The largest answer that is taken.
    pub limit: usize,
    /// Its claim, if it must not be repeated.
    pub claim: Option<Claim>,
    /// The caller's key as it came, to be passed on with the request.
    pub key: Option<String>,
    /// Where its outcome goes.
    pub reply: oneshot::Sender<Reply>,
}

/// What this duty is told.
#[derive(Debug)]
pub enum Message {
    /// A request came.
    Arrived(Box<Arrival>),
    /// Something else happened.
    Happened(Event),
    /// An attempt ended.
    Ended(AttemptId, AttemptEnd, Option<Answer>),
}

/// The way to this duty.
#[derive(Clone, Debug)]
pub struct PlacementRing {
    sender: Sender<Message>,
}

impl PlacementRing {
    /// Makes a ring for an entry that may have `requests` in progress.
    pub fn new(requests: usize) -> (Self, Receiver<Message>) {
        let (sender, receiver) = bounded(requests * RING_SHARE + 64);
        (Self { sender }, receiver)
    }

    /// Hands over a request, or gives it back when the ring is full.
    ///
    /// # Errors
    ///
    /// Returns the request.
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

    /// Tells of anything else; the ring has room for all that requests in progress can cause.
    pub fn tell(&self, message: Message) {
        // The ring closes only when the process ends.
        let _ = self.sender.send(message);
    }
}

/// A request that has no outcome yet.
struct Pending {
    name: String,
    body: Bytes,
    limit: usize,
    key: Option<String>,
    service: String,
    repeatable: bool,
    reply: oneshot::Sender<Reply>,
}

/// What the duty keeps beside the scheduler.
struct Placement<'c> {
    ctx: &'c Context,
    scheduler: Scheduler,
    pending: HashMap<RequestId, Pending>,
    claims: HashMap<RequestId, (Claim, bool)>,
    answers: HashMap<AttemptId, Answer>,
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
        answers: HashMap::new(),
        workers,
    };
    let mut tick = Instant::now() + TICK;
    let mut rooms = Instant::now();
    loop {
        match messages.recv_deadline(tick) {
            Ok(message) => {
                placement.take(message);
                tick = tick.min(Instant::now() + placement.until_tick());
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        let now = Instant::now();
        if now >= tick {
            placement.happen(Event::Tick);
            tick = now + placement.until_tick();
        }
        if now >= rooms {
            *lock(&ctx.rooms) = placement.scheduler.capacity(now);
            rooms = now + ROOMS;
        }
    }
}

impl Placement<'_> {
    fn take(&mut self, message: Message) {
        match message {
            Message::Arrived(arrival) => self.arrive(*arrival),
            Message::Happened(Event::Claimed(id, settled)) => self.claimed(id, settled),
            Message::Happened(event) => self.happen(event),
            Message::Ended(attempt, end, answer) => {
                if let Some(answer) = answer {
                    self.answers.insert(attempt, answer);
                }
                self.happen(Event::Ended(attempt, end));
                // An answer that nobody took belongs to an attempt that was given up.
                self.answers.remove(&attempt);
            }
        }
    }

    /// Only requests that wait can become hopeless; an idle entry need not look often.
    fn until_tick(&self) -> Duration {
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
            limit: arrival.limit,
            key: arrival.key,
            service: arrival.job.service.clone(),
            repeatable: arrival.job.repeatable,
            reply: arrival.reply,
        };
        self.pending.insert(id, pending);
        if let Some(claim) = arrival.claim {
            self.claims.insert(id, (claim, false));
        }
        self.happen(Event::Arrived(arrival.job));
    }

    fn claimed(&mut self, id: RequestId, settled: ClaimDecision) {
        if let Some((_, won)) = self.claims.get_mut(&id) {
            *won = settled == ClaimDecision::Won;
        }
        self.happen(Event::Claimed(id, settled));
    }

    fn happen(&mut self, event: Event) {
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
                tracing::warn!(vm, seconds, reason = "failed tasks in a row", "set aside");
            }
            Command::Answer(id, outcome) => self.answer(id, outcome),
        }
    }

    fn claim(&mut self, id: RequestId) {
        if let Some((claim, _)) = self.claims.get(&id) {
            self.ctx.claims.send(ClaimJob::Claim(id, claim.clone()));
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
            limit: pending.limit,
            repeatable: pending.repeatable,
        };
        self.dispatch(dispatch);
    }

    fn dispatch(&self, dispatch: Dispatch) {
        // The ring has room for all that requests in progress can cause.
        let _ = self.workers.blocking_send(dispatch);
    }

    fn answer(&mut self, id: RequestId, outcome: Outcome) {
        self.settle(id, &outcome);
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        let answer = match outcome {
            Outcome::Done(attempt) => self.answers.remove(&attempt),
            _ => None,
        };
        tracing::info!(request = %pending.name, service = %pending.service, ?outcome, "outcome");
        // A caller that went away gets nothing.
        let _ = pending.reply.send(Reply { outcome, answer });
    }

    /// Records in the log what became of a request whose claim won.
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
        self.ctx.claims.send(ClaimJob::Settle(claim, state));
    }
}
