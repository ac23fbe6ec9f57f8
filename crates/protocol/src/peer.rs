//! Messages between peers: status, relay of the log, snapshots and burn counts.

use crate::{EntryId, HallId, LogRecord, Offset, ServiceId};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::SystemTime};

/// Header that carries the shared key of peers and operators.
pub const HEADER_KEY: &str = "havenladder-key";

/// Header that marks a request as forwarded by a peer, so that it is not forwarded again.
pub const HEADER_FORWARDED: &str = "havenladder-forwarded";

/// Capacity for one service in an entry's data centre, as known to that entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// Slots of workers that accept new tasks.
    pub slots: u32,
    /// Those of the slots that are known to be in use, plus the requests that are waiting.
    pub taken: u32,
}

impl Capacity {
    /// Returns the number of slots that are free for new tasks.
    pub fn free(self) -> u32 {
        self.slots.saturating_sub(self.taken)
    }
}

/// Status that an entry sends to its peers a few times a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The entry that sends the status.
    pub entry: EntryId,
    /// The data centre of the entry.
    pub hall: HallId,
    /// The next offset of the stream `fleet` that the entry will apply. All earlier records are in force there.
    pub next: Offset,
    /// Whether the entry has reached the platform's log recently.
    #[serde(rename = "platform")]
    pub reaches_platform: bool,
    /// Whether the entry is about to stop and accepts no new work.
    pub leaving: bool,
    /// Capacity for each service in the entry's data centre.
    #[serde(rename = "room")]
    pub capacity: BTreeMap<ServiceId, Capacity>,
}

/// A snapshot that one peer sends to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotReply {
    /// The snapshot in its own encoding, which the fleet package validates.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
    /// The records after the snapshot that the peer still has.
    pub tail: Vec<LogRecord>,
}

/// Why a request counts as lost for the service's objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Loss {
    /// The request was refused because it could not be completed in time.
    Overload,
    /// No worker accepted new tasks.
    NoWorker,
    /// The deadline passed before a response arrived.
    Late,
    /// A worker responded with a failure, or its response was truncated.
    WorkerFailed,
    /// It is unknown whether the worker ran the request.
    Unknown,
    /// The platform's log could not be reached for a claim.
    LogDown,
}

/// Numbers of requests of one service in one period of time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnCounts {
    /// Requests that were completed once, in full and in time.
    pub good: u64,
    /// Requests that were lost, by cause.
    pub lost: BTreeMap<Loss, u64>,
}

impl BurnCounts {
    /// Returns the number of lost requests.
    pub fn bad(&self) -> u64 {
        self.lost.values().sum()
    }

    /// Returns the number of all requests that count towards the objective.
    pub fn total(&self) -> u64 {
        self.good + self.bad()
    }

    /// Adds other counts to these.
    pub fn add(&mut self, other: &Self) {
        self.good += other.good;
        for (loss, count) in &other.lost {
            *self.lost.entry(*loss).or_default() += count;
        }
    }
}

/// Counts of one service for each window of the burn report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnWindows {
    /// The counts of each window, in the order of the report's windows.
    pub windows: Vec<BurnCounts>,
}

/// The counts of one entry for the burn report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnReply {
    /// The entry that counted.
    pub entry: EntryId,
    /// When the entry started to count. Earlier requests are not included.
    pub since: SystemTime,
    /// The counts by service.
    pub services: BTreeMap<ServiceId, BurnWindows>,
}
