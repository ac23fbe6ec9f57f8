//! Threads that record claims on idempotency keys in the log, many per append, and read back which
//! claims won.

use crate::context::Context;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use platform::{CallError, Log};
use protocol::{LogSlice, Offset, RecordId, encode};
use serving::{
    AttemptId, Claim, ClaimDecision, ClaimItem, ClaimRecord, ClaimRegistry, ClaimState, Event,
    MAX_KEY_AGE, MAX_KEY_AHEAD, RequestId,
};
use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant, SystemTime},
};

use super::placement::Message;

/// Number of log streams for claims. It must be the same on all entries.
const SHARDS: u64 = 4;

/// Maximum number of claims and settlements in one record.
const MAX_ITEMS: usize = 512;

/// Maximum time for which a read of the log blocks while claims are pending, and delay before the
/// next call to the log after an error.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum difference between the clocks of the entries and the log.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(60);

/// Message to a claims thread.
#[derive(Debug)]
pub enum ClaimMessage {
    /// Claims a key for a request.
    Claim(RequestId, Claim),
    /// Records the outcome of a request whose claim won.
    Settle(Claim, ClaimState),
}

/// Sender of messages to the claims threads, with one bounded channel per shard.
#[derive(Clone, Debug)]
pub struct ClaimsSender {
    shards: Vec<Sender<ClaimMessage>>,
}

impl ClaimsSender {
    /// Creates the channels for an entry that may have `requests` requests in progress.
    pub fn new(requests: usize) -> (Self, Vec<Receiver<ClaimMessage>>) {
        let (shards, receivers) = (0..SHARDS).map(|_| bounded(requests * 2 + 64)).unzip();
        (Self { shards }, receivers)
    }

    /// Sends a message to the shard of its service. The channel has capacity for all messages that
    /// the requests in progress can cause.
    pub fn send(&self, message: ClaimMessage) {
        let (ClaimMessage::Claim(_, claim) | ClaimMessage::Settle(claim, _)) = &message;
        let shard = shard_of(&claim.service);
        // Sending fails only when the process ends.
        let _ = self.shards[shard].send(message);
    }
}

/// Returns the shard of a service. All claims of a service go through the same stream.
fn shard_of(service: &str) -> usize {
    let names: Vec<String> = (0..SHARDS).map(|shard| shard.to_string()).collect();
    let first = protocol::ranked(names.iter().map(String::as_str), service)[0];
    first.parse().unwrap_or_default()
}

/// Claim that the log has not decided yet.
struct PendingClaim {
    request: RequestId,
    deadline: Instant,
    claim: Claim,
}

/// State of one shard.
struct Shard<'c> {
    ctx: &'c Context,
    stream: String,
    registry: ClaimRegistry,
    next: Option<Offset>,
    /// Time from which on every record of the stream has been read.
    complete_since: SystemTime,
    pending: HashMap<AttemptId, PendingClaim>,
    /// Claims whose requests were refused because the log did not decide them in time, each with
    /// the time until which it is kept. If the log accepts one later, its key is released.
    abandoned: BTreeMap<AttemptId, (Claim, Instant)>,
    unsent: Vec<ClaimItem>,
}

/// Claims keys in one shard until the process ends.
pub fn claims(ctx: &Arc<Context>, shard: usize, messages: &Receiver<ClaimMessage>) {
    let mut shard = Shard {
        ctx,
        stream: format!("claims-{shard}"),
        registry: ClaimRegistry::default(),
        next: None,
        complete_since: SystemTime::UNIX_EPOCH,
        pending: HashMap::new(),
        abandoned: BTreeMap::new(),
        unsent: Vec::new(),
    };
    loop {
        if shard.is_idle() {
            match messages.recv_timeout(MAX_KEY_AGE) {
                Ok(message) => shard.accept(message),
                Err(RecvTimeoutError::Timeout) => {
                    shard.reset();
                    continue;
                }
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
        while shard.unsent.len() < MAX_ITEMS {
            let Ok(message) = messages.try_recv() else {
                break;
            };
            shard.accept(message);
        }
        let reached = shard.read_new().and_then(|()| shard.append());
        if reached.is_err() {
            std::thread::sleep(POLL_INTERVAL);
        }
        shard.abandon_overdue();
    }
}

impl Shard<'_> {
    fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.unsent.is_empty() && self.abandoned.is_empty()
    }

    fn accept(&mut self, message: ClaimMessage) {
        match message {
            ClaimMessage::Claim(request, mut claim) => {
                // The claim expires when its request is refused, so that a claim which the log
                // accepts later does not keep the key.
                let patience = SystemTime::now() + self.ctx.config.claims.patience;
                claim.expires = claim.expires.min(patience);
                let pending = PendingClaim {
                    request,
                    deadline: Instant::now() + self.ctx.config.claims.patience,
                    claim: claim.clone(),
                };
                self.pending.insert(claim.claim, pending);
                self.unsent.push(ClaimItem::Claim(claim));
            }
            ClaimMessage::Settle(claim, state) => self.unsent.push(settlement(claim, state)),
        }
    }

    /// Drops the state of a stream that has been idle for as long as keys are valid. Reading the
    /// stream from a recent offset is then faster than catching up.
    fn reset(&mut self) {
        self.next = None;
        self.registry = ClaimRegistry::default();
    }

    /// Reads new records of the stream and applies them. The first read begins at the time at
    /// which the oldest key that is still valid may have been issued.
    fn read_new(&mut self) -> Result<(), CallError> {
        let wait = if self.unsent.is_empty() && !self.pending.is_empty() {
            POLL_INTERVAL
        } else {
            Duration::ZERO
        };
        loop {
            let next = match self.next {
                Some(next) => next,
                None => self.start_offset()?,
            };
            let slice = self.ctx.platform.read(&self.stream, next, wait)?;
            let read_from = if slice.has_gap(next) || self.next.is_none() {
                self.record_complete_since(&slice);
                slice.oldest.max(next)
            } else {
                next
            };
            self.next = Some(read_from + slice.records.len() as Offset);
            for record in &slice.records {
                for verdict in self.registry.apply(record) {
                    self.apply_decision(verdict.claim, verdict.decision);
                }
            }
            if self.next >= Some(slice.next) {
                return Ok(());
            }
        }
    }

    fn start_offset(&self) -> Result<Offset, CallError> {
        let oldest = SystemTime::now() - MAX_KEY_AGE - MAX_CLOCK_SKEW;
        self.ctx.platform.offset_at(&self.stream, oldest)
    }

    /// Records the time from which on the stream is known completely. If the log retains records
    /// for a shorter time than keys are valid, claims on older keys cannot be decided.
    fn record_complete_since(&mut self, slice: &LogSlice) {
        let oldest = SystemTime::now() - MAX_KEY_AGE - MAX_CLOCK_SKEW;
        let first = slice.records.first().filter(|_| slice.oldest > 0);
        self.complete_since = first.map_or(oldest, |record| record.at.max(oldest));
    }

    /// Returns whether the key is so old that the log may no longer hold an earlier claim on it.
    fn is_undecidable(&self, claim: &Claim) -> bool {
        claim.key.datetime() < self.complete_since + MAX_KEY_AHEAD
            && self.complete_since > oldest_valid_issue()
    }

    /// Appends all unsent claims and settlements as one record. They are appended again after a
    /// lost response; every claim has its own ID, so a second copy has no effect.
    fn append(&mut self) -> Result<(), CallError> {
        if self.unsent.is_empty() {
            return Ok(());
        }
        let record = ClaimRecord {
            id: RecordId::new(),
            by: self.ctx.config.entry.name.clone(),
            entries: self.unsent.clone(),
        };
        let Ok(data) = encode(&record) else {
            self.unsent.clear();
            return Ok(());
        };
        let appended = self.ctx.platform.append(&self.stream, &data);
        let is_appended = appended.is_ok();
        let now = SystemTime::now();
        let unsettled_before = self.unsettled();
        // A settlement is retried until its key is too old to be claimed.
        self.unsent
            .retain(|item| !is_appended && !is_expired(item, now));
        let settled = unsettled_before - self.unsettled();
        self.ctx.unsettled.fetch_sub(settled, Ordering::Relaxed);
        appended.map(|_| ())
    }

    /// Returns the number of settlements that are not in the log yet.
    fn unsettled(&self) -> usize {
        let is_settlement = |item: &&ClaimItem| matches!(item, ClaimItem::Settle { .. });
        self.unsent.iter().filter(is_settlement).count()
    }

    fn apply_decision(&mut self, claim: AttemptId, decision: ClaimDecision) {
        if let Some(pending) = self.pending.remove(&claim) {
            if decision == ClaimDecision::Won && self.is_undecidable(&pending.claim) {
                self.release_key(pending.claim);
                self.notify(pending.request, ClaimDecision::TooOld);
            } else {
                self.notify(pending.request, decision);
            }
            return;
        }
        // The request was refused since the log could not be reached, and the log has accepted its
        // claim after all.
        if let Some((claim, _)) = self.abandoned.remove(&claim)
            && decision == ClaimDecision::Won
        {
            self.release_key(claim);
        }
    }

    /// Releases the key of a claim that won although its request was not run.
    fn release_key(&mut self, claim: Claim) {
        self.ctx.unsettled.fetch_add(1, Ordering::Relaxed);
        self.unsent.push(settlement(claim, ClaimState::NotRun));
    }

    /// Refuses requests whose claims were not decided in time.
    fn abandon_overdue(&mut self) {
        let now = Instant::now();
        let overdue: Vec<AttemptId> = self
            .pending
            .iter()
            .filter(|(_, pending)| now >= pending.deadline)
            .map(|(claim, _)| *claim)
            .collect();
        for id in overdue {
            let Some(pending) = self.pending.remove(&id) else {
                continue;
            };
            self.unsent
                .retain(|item| !matches!(item, ClaimItem::Claim(claim) if claim.claim == id));
            let keep_until = now + self.ctx.config.claims.patience * 2;
            self.abandoned.insert(id, (pending.claim, keep_until));
            self.notify(pending.request, ClaimDecision::LogDown);
        }
        self.abandoned
            .retain(|_, (_, keep_until)| now < *keep_until);
    }

    fn notify(&self, request: RequestId, decision: ClaimDecision) {
        let event = Event::Claimed(request, decision);
        self.ctx.placement.notify(Message::Event(event));
    }
}

/// Returns whether an item is a settlement whose key is already too old to be claimed.
fn is_expired(item: &ClaimItem, now: SystemTime) -> bool {
    match item {
        ClaimItem::Settle { key, .. } => key.datetime() + MAX_KEY_AGE < now,
        ClaimItem::Claim(_) => false,
    }
}

/// Returns the issue time before which every key is refused.
fn oldest_valid_issue() -> SystemTime {
    SystemTime::now() - MAX_KEY_AGE - MAX_KEY_AHEAD
}

fn settlement(claim: Claim, state: ClaimState) -> ClaimItem {
    ClaimItem::Settle {
        service: claim.service,
        key: claim.key,
        claim: claim.claim,
        state,
    }
}
