//! Messages between peers: status, relay of the log, snapshots and burn counts.

use crate::{EntryId, HallId, LogRecord, Offset, ServiceId};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::SystemTime};

/// Header that carries the shared key of peers and operators.
pub const HEADER_KEY: &str = "havenladder-key";

/// Header that marks a request which a peer has passed on, so that it is not passed on again.
pub const HEADER_FORWARDED: &str = "havenladder-forwarded";

/// Room that an entry sees for one service in its own hall.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// Slots of workers that take new work.
    pub slots: u32,
    /// Slots of those that this entry knows to be taken, and requests that wait.
    pub taken: u32,
}

impl Capacity {
    /// Slots that are free for new work.
    pub fn free(self) -> u32 {
        self.slots.saturating_sub(self.taken)
    }
}

/// What an entry tells its peers about itself a few times a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Who speaks.
    pub entry: EntryId,
    /// The hall that the entry stands in.
    pub hall: HallId,
    /// The next offset of `fleet` that the entry will apply; all before it are in force there.
    pub next: Offset,
    /// Whether the entry reached the platform's log lately.
    #[serde(rename = "platform")]
    pub reaches_platform: bool,
    /// Whether the entry is about to stop and wants no more work.
    pub leaving: bool,
    /// Room for each service in the entry's hall.
    #[serde(rename = "room")]
    pub capacity: BTreeMap<ServiceId, Capacity>,
}

/// A snapshot as one peer hands it to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotReply {
    /// The snapshot's own encoding; the fleet package checks it.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
    /// Records after the snapshot that the peer still holds.
    pub tail: Vec<LogRecord>,
}

/// Why a request was lost, from the view of the service's objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Loss {
    /// Refused because it could not be done in time.
    Overload,
    /// No worker took new work.
    NoWorker,
    /// The deadline passed before an answer came.
    Late,
    /// A worker answered with a failure, or what it sent was cut short.
    WorkerFailed,
    /// Nobody can tell whether the worker ran the request.
    Unknown,
    /// The platform's log could not be reached for a claim.
    LogDown,
}

/// Requests of one service in one span of time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnCounts {
    /// Requests done once, whole and in time.
    pub good: u64,
    /// The others, by cause.
    pub lost: BTreeMap<Loss, u64>,
}

impl BurnCounts {
    /// Requests that were not good.
    pub fn bad(&self) -> u64 {
        self.lost.values().sum()
    }

    /// All requests that count.
    pub fn total(&self) -> u64 {
        self.good + self.bad()
    }

    /// Adds another cell to this one.
    pub fn add(&mut self, other: &Self) {
        self.good += other.good;
        for (loss, count) in &other.lost {
            *self.lost.entry(*loss).or_default() += count;
        }
    }
}

/// Sums of one service over the windows of the burn report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnWindows {
    /// One cell for each window, in the order of the report's windows.
    pub windows: Vec<BurnCounts>,
}

/// What one entry has counted for the burn report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnReply {
    /// Who counted.
    pub entry: EntryId,
    /// When the entry began to count; earlier requests are not in the sums.
    pub since: SystemTime,
    /// The sums by service.
    pub services: BTreeMap<ServiceId, BurnWindows>,
}
