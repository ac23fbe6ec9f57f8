//! The duty that claims keys in the log, many in one append, and reads the verdicts back.

use crate::context::Context;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use platform::{CallError, Log};
use protocol::{Offset, RecordId, Slice, encode};
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

/// Streams of claims; all entries must agree on how many there are.
const SHARDS: u64 = 4;

/// Claims that one record carries at the most.
const MOST_ENTRIES: usize = 512;

/// Time for which a wait for claims or records is interrupted at the latest.
const ROUND: Duration = Duration::from_millis(50);

/// How far the clocks of entries and log may differ.
const MARGIN: Duration = Duration::from_secs(60);

/// What this duty is told.
#[derive(Debug)]
pub enum ClaimJob {
    /// Claim a key for a request.
    Claim(RequestId, Claim),
    /// Record what became of a request whose claim won.
    Settle(Claim, ClaimState),
}

/// The way to the duty: one ring a shard.
#[derive(Clone, Debug)]
pub struct ClaimsRing {
    shards: Vec<Sender<ClaimJob>>,
}

impl ClaimsRing {
    /// Makes a ring for an entry that may have `requests` in progress.
    pub fn new(requests: usize) -> (Self, Vec<Receiver<ClaimJob>>) {
        let (shards, receivers) = (0..SHARDS).map(|_| bounded(requests * 2 + 64)).unzip();
        (Self { shards }, receivers)
    }

    /// Hands over a job; the ring has room for all that requests in progress can cause.
    pub fn send(&self, job: ClaimJob) {
        let (ClaimJob::Claim(_, claim) | ClaimJob::Settle(claim, _)) = &job;
        let shard = shard_of(&claim.service);
        // The ring closes only when the process ends.
        let _ = self.shards[shard].send(job);
    }
}

/// Returns the shard of a service; a service's claims all go through one stream.
fn shard_of(service: &str) -> usize {
    let names: Vec<String> = (0..SHARDS).map(|shard| shard.to_string()).collect();
    let first = protocol::ranked(names.iter().map(String::as_str), service)[0];
    first.parse().unwrap_or_default()
}

/// A claim that has no verdict yet.
struct Waiting {
    request: RequestId,
    deadline: Instant,
    settle: Claim,
}

/// One shard as this duty knows it.
struct Shard<'c> {
    ctx: &'c Context,
    stream: String,
    book: ClaimRegistry,
    next: Option<Offset>,
    /// Everything that the log took from then on has been read.
    since: SystemTime,
    waiting: HashMap<AttemptId, Waiting>,
    /// Claims that were given up: if the log takes one after all, its key is freed.
    given_up: BTreeMap<AttemptId, (Claim, Instant)>,
    unsent: Vec<ClaimItem>,
}

/// Claims keys in one shard until the process ends.
pub fn claims(ctx: &Arc<Context>, shard: usize, jobs: &Receiver<ClaimJob>) {
    let mut shard = Shard {
        ctx,
        stream: format!("claims-{shard}"),
        book: ClaimRegistry::default(),
        next: None,
        since: SystemTime::UNIX_EPOCH,
        waiting: HashMap::new(),
        given_up: BTreeMap::new(),
        unsent: Vec::new(),
    };
    loop {
        if shard.is_idle() {
            match jobs.recv_timeout(MAX_KEY_AGE) {
                Ok(job) => shard.take(job),
                Err(RecvTimeoutError::Timeout) => {
                    shard.forget();
                    continue;
                }
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
        while shard.unsent.len() < MOST_ENTRIES {
            let Ok(job) = jobs.try_recv() else {
                break;
            };
            shard.take(job);
        }
        let reached = shard.follow().and_then(|()| shard.append());
        if reached.is_err() {
            std::thread::sleep(ROUND);
        }
        shard.give_up();
    }
}

impl Shard<'_> {
    fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.unsent.is_empty() && self.given_up.is_empty()
    }

    fn take(&mut self, job: ClaimJob) {
        match job {
            ClaimJob::Claim(request, mut claim) => {
                // A claim that the log takes after its request was refused must not hold the key.
                let patience = SystemTime::now() + self.ctx.config.claims.patience;
                claim.expires = claim.expires.min(patience);
                let waiting = Waiting {
                    request,
                    deadline: Instant::now() + self.ctx.config.claims.patience,
                    settle: claim.clone(),
                };
                self.waiting.insert(claim.claim, waiting);
                self.unsent.push(ClaimItem::Claim(claim));
            }
            ClaimJob::Settle(claim, state) => self.unsent.push(settle(claim, state)),
        }
    }

    /// Forgets a stream that was not used for so long that it is quicker to begin anew.
    fn forget(&mut self) {
        self.next = None;
        self.book = ClaimRegistry::default();
    }

    /// Reads what is new; begins where the oldest key that could still win was issued.
    fn follow(&mut self) -> Result<(), CallError> {
        let wait = if self.unsent.is_empty() && !self.waiting.is_empty() {
            ROUND
        } else {
            Duration::ZERO
        };
        loop {
            let next = match self.next {
                Some(next) => next,
                None => self.begin()?,
            };
            let slice = self.ctx.platform.read(&self.stream, next, wait)?;
            let read_from = if slice.has_gap(next) || self.next.is_none() {
                self.note_since(&slice);
                slice.oldest.max(next)
            } else {
                next
            };
            self.next = Some(read_from + slice.records.len() as Offset);
            for record in &slice.records {
                for verdict in self.book.apply(record) {
                    self.decide(verdict.claim, verdict.decision);
                }
            }
            if self.next >= Some(slice.next) {
                return Ok(());
            }
        }
    }

    fn begin(&self) -> Result<Offset, CallError> {
        let oldest = SystemTime::now() - MAX_KEY_AGE - MARGIN;
        self.ctx.platform.offset_at(&self.stream, oldest)
    }

    /// Notes from when on the stream is known whole: a log that forgets sooner than keys age
    /// leaves older keys undecidable.
    fn note_since(&mut self, slice: &Slice) {
        let oldest = SystemTime::now() - MAX_KEY_AGE - MARGIN;
        let first = slice.records.first().filter(|_| slice.oldest > 0);
        self.since = first.map_or(oldest, |record| record.at.max(oldest));
    }

    /// Tells whether a key is so old that a claim on it may have been forgotten.
    fn is_undecidable(&self, claim: &Claim) -> bool {
        claim.key.datetime() < self.since + MAX_KEY_AHEAD && self.since > oldest_known()
    }

    /// Appends what is new in one record. After a lost answer it appends the same claims again:
    /// each has an id of its own, so that a second copy changes nothing.
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
        let is_taken = appended.is_ok();
        let now = SystemTime::now();
        let before = self.unsettled();
        // A settlement is tried until nobody could claim its key any more.
        self.unsent
            .retain(|entry| !is_taken && !is_over(entry, now));
        let settled = before - self.unsettled();
        self.ctx.unsettled.fetch_sub(settled, Ordering::Relaxed);
        appended.map(|_| ())
    }

    /// Settlements that are not in the log yet.
    fn unsettled(&self) -> usize {
        let is_settlement = |entry: &&ClaimItem| matches!(entry, ClaimItem::Settle { .. });
        self.unsent.iter().filter(is_settlement).count()
    }

    fn decide(&mut self, claim: AttemptId, settled: ClaimDecision) {
        if let Some(waiting) = self.waiting.remove(&claim) {
            if settled == ClaimDecision::Won && self.is_undecidable(&waiting.settle) {
                self.free(waiting.settle);
                self.tell(waiting.request, ClaimDecision::TooOld);
            } else {
                self.tell(waiting.request, settled);
            }
            return;
        }
        // The request was refused when the log could not be reached; now its claim turns up.
        if let Some((claim, _)) = self.given_up.remove(&claim)
            && settled == ClaimDecision::Won
        {
            self.free(claim);
        }
    }

    /// Frees the key of a claim that won but whose request was not run.
    fn free(&mut self, claim: Claim) {
        self.ctx.unsettled.fetch_add(1, Ordering::Relaxed);
        self.unsent.push(settle(claim, ClaimState::NotRun));
    }

    /// Refuses requests whose claims were not decided in time.
    fn give_up(&mut self) {
        let now = Instant::now();
        let late: Vec<AttemptId> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| now >= waiting.deadline)
            .map(|(claim, _)| *claim)
            .collect();
        for id in late {
            let Some(waiting) = self.waiting.remove(&id) else {
                continue;
            };
            self.unsent
                .retain(|entry| !matches!(entry, ClaimItem::Claim(claim) if claim.claim == id));
            let until = now + self.ctx.config.claims.patience * 2;
            self.given_up.insert(id, (waiting.settle, until));
            self.tell(waiting.request, ClaimDecision::LogDown);
        }
        self.given_up.retain(|_, (_, until)| now < *until);
    }

    fn tell(&self, request: RequestId, settled: ClaimDecision) {
        let event = Event::Claimed(request, settled);
        self.ctx.placement.tell(Message::Happened(event));
    }
}

/// Tells whether a settlement has become pointless: its key is too old to be claimed.
fn is_over(entry: &ClaimItem, now: SystemTime) -> bool {
    match entry {
        ClaimItem::Settle { key, .. } => key.datetime() + MAX_KEY_AGE < now,
        ClaimItem::Claim(_) => false,
    }
}

/// Keys issued before this are refused in any case.
fn oldest_known() -> SystemTime {
    SystemTime::now() - MAX_KEY_AGE - MAX_KEY_AHEAD
}

fn settle(claim: Claim, state: ClaimState) -> ClaimItem {
    ClaimItem::Settle {
        service: claim.service,
        key: claim.key,
        claim: claim.claim,
        state,
    }
}
