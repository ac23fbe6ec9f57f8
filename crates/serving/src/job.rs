//! Requests, attempts and their outcomes, and the events and commands of the scheduler.

use crate::{
    claim::ClaimDecision,
    worker::{Peer, WorkerInfo},
};
use protocol::{EntryId, PoolId, ServiceId, VmId};
use serde::{Deserialize, Serialize};
use settings::{Class, Service};
use std::{collections::BTreeMap, time::Instant};

/// Number of a request in this entry.
pub type RequestId = u64;

/// Id of an attempt, unique among all entries.
pub type AttemptId = ulid::Ulid;

/// Request as the scheduler sees it, without its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// Number of the request.
    pub id: RequestId,
    /// Service of the request.
    pub service: ServiceId,
    /// Urgency of the request.
    pub class: Class,
    /// Time after which a response is of no use.
    pub deadline: Instant,
    /// Whether the request may be run more than once.
    pub repeatable: bool,
    /// Whether a peer forwarded the request, so that it must not be forwarded again.
    pub forwarded: bool,
}

/// Reason why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NotRunReason {
    /// According to the measured run times, the request could not be done before its deadline.
    Overload,
    /// The deadline was past on arrival, or passed while the request waited.
    DeadlinePast,
    /// No worker of the pool takes work, here or in another data centre that can be reached.
    NoWorker,
    /// Every worker that was tried refused the request.
    Refused,
    /// The log of the claims cannot be reached.
    LogDown,
    /// The caller disconnected before the request was sent.
    Cancelled,
    /// The entry is about to stop.
    Stopping,
}

/// Refusal of a request that was certainly not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRun {
    /// Reason of the refusal.
    pub reason: NotRunReason,
    /// Time at which the caller should retry.
    pub retry_at: Instant,
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete response of this attempt is the response to the request.
    Done(AttemptId),
    /// The request was certainly not run.
    NotRun(NotRun),
    /// It is unknown whether the request ran to its end. Holds how the last attempt that may have run ended.
    Unknown(AttemptEnd),
    /// Another request with the same key was first.
    Claimed(ClaimDecision),
}

/// Way in which an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The complete response has arrived.
    Done,
    /// The worker refused before it began, so that the attempt certainly did not run.
    Refused,
    /// The attempt was not sent, so that it certainly did not run.
    NotSent,
    /// The connection broke after the request was written, or the time ran out.
    Broken,
    /// The worker ran the request and failed, or sent a shorter response than announced.
    Failed,
}

/// Destination of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// Worker in this data centre.
    Worker(VmId),
    /// Peer in another data centre.
    Peer(EntryId),
}

/// Event that the scheduler handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request arrived.
    Arrived(Job),
    /// The caller of a request disconnected.
    Cancelled(RequestId),
    /// The claim of a request was decided.
    Claimed(RequestId, ClaimDecision),
    /// An attempt ended.
    Ended(AttemptId, AttemptEnd),
    /// The settings of the services changed.
    Services(BTreeMap<ServiceId, Service>),
    /// The workers of the pools in this data centre changed.
    Workers(Vec<WorkerInfo>),
    /// A worker reported how many tasks it runs.
    Usage(VmId, u32),
    /// The capacity of entries in other data centres changed.
    Peers(Vec<Peer>),
    /// From now on, no new requests are admitted.
    Stop,
    /// Time has passed.
    Tick,
}

/// Command of the scheduler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Claim the request's key before anything is sent.
    Claim(RequestId),
    /// Send an attempt.
    Send {
        /// Request of the attempt.
        request: RequestId,
        /// Id of the attempt.
        attempt: AttemptId,
        /// Destination of the attempt.
        target: Target,
        /// Address of the destination.
        addr: String,
        /// Pool that the attempt is counted in.
        pool: PoolId,
        /// Time after which a response is of no use.
        deadline: Instant,
    },
    /// Stop an attempt.
    Stop(AttemptId),
    /// Record that a worker is ejected until this time, because too many of its tasks failed.
    Eject(VmId, Instant),
    /// Report the final outcome of a request.
    Answer(RequestId, Outcome),
}
