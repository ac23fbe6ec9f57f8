//! Requests, attempts and their outcomes, and what goes into the scheduler and comes out of it.

use crate::{
    claim::ClaimDecision,
    worker::{Peer, WorkerInfo},
};
use protocol::{EntryId, PoolId, ServiceId, VmId};
use serde::{Deserialize, Serialize};
use settings::{Class, Service};
use std::{collections::BTreeMap, time::Instant};

/// A request's number in this entry.
pub type RequestId = u64;

/// An attempt's id, fresh for each attempt in all entries.
pub type AttemptId = ulid::Ulid;

/// One request as the scheduler sees it; its body stays outside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// Its number.
    pub id: RequestId,
    /// Its service.
    pub service: ServiceId,
    /// Its urgency.
    pub class: Class,
    /// When its answer is of no more use.
    pub deadline: Instant,
    /// Whether it may be run more than once.
    pub repeatable: bool,
    /// Whether a peer has passed it on, so that it must not be passed on again.
    pub forwarded: bool,
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NotRunReason {
    /// By what has been measured, it could not be done before its deadline.
    Overload,
    /// Its deadline was past when it came, or passed while it waited.
    DeadlinePast,
    /// No worker of its pool takes work, here or in another hall that can be reached.
    NoWorker,
    /// Every worker that was tried refused it.
    Refused,
    /// The log that claims go through cannot be reached.
    LogDown,
    /// Its caller went away before it was sent.
    Cancelled,
    /// The entry is about to stop.
    Stopping,
}

/// A request that was certainly not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRun {
    /// Why not.
    pub reason: NotRunReason,
    /// When the caller should come back.
    pub retry_at: Instant,
}

/// What became of a request: a closed set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer of this attempt is the request's answer.
    Done(AttemptId),
    /// It was certainly not run.
    NotRun(NotRun),
    /// Nobody can tell whether it ran to its end; this is how the last attempt ended.
    Unknown(AttemptEnd),
    /// Another request with its key was first.
    Claimed(ClaimDecision),
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The whole answer is here.
    Done,
    /// The worker refused before it began: certainly not run.
    Refused,
    /// The request never left this entry: certainly not run.
    NotSent,
    /// The connection broke after the request was written, or the time ran out.
    Broken,
    /// The worker ran it and failed, or sent less than it had announced.
    Failed,
}

/// Where an attempt goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// A worker of this hall.
    Worker(VmId),
    /// A peer in another hall.
    Peer(EntryId),
}

/// What happens to the scheduler.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request came.
    Arrived(Job),
    /// Its caller went away.
    Cancelled(RequestId),
    /// The claim of a request was decided.
    Claimed(RequestId, ClaimDecision),
    /// An attempt ended.
    Ended(AttemptId, AttemptEnd),
    /// The settings changed.
    Services(BTreeMap<ServiceId, Service>),
    /// The pools' workers in this hall changed.
    Workers(Vec<WorkerInfo>),
    /// A worker reported how many tasks it runs.
    Usage(VmId, u32),
    /// The rooms of other halls' entries changed.
    Peers(Vec<Peer>),
    /// No new requests are taken from here on.
    Stop,
    /// Time has passed.
    Tick,
}

/// What the scheduler wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Claim the request's key before anything is sent.
    Claim(RequestId),
    /// Send an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// Where it goes.
        target: Target,
        /// Its address.
        addr: String,
        /// The pool that it is placed in.
        pool: PoolId,
        /// When its answer is of no more use.
        deadline: Instant,
    },
    /// Stop an attempt.
    Stop(AttemptId),
    /// Note that a worker failed so often that it gets no tasks until this time.
    Eject(VmId, Instant),
    /// Give a request its final outcome.
    Answer(RequestId, Outcome),
}
