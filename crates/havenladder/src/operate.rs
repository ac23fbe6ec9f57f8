//! What operators and entries say to each other, in JSON.

use fleet::{
    GrantPurpose, Outcome, PathChange, PoolCount, Progress, RecordOrigin, Vm, Wave, WaveChange,
    WaveId,
};
use protocol::{BurnCounts, EntryId, HallId, Offset, PoolId, ServiceId, VmId};
use serde::{Deserialize, Serialize};
use settings::{Path, Source, Tree};
use std::{collections::BTreeMap, time::SystemTime};

/// What an operator wants changed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Order {
    /// Publish settings.
    Settings(Vec<PathChange>),
    /// Start or steer a wave.
    Wave(WaveChange),
    /// Take a VM out of service.
    Errand {
        /// The VM.
        vm: VmId,
        /// What for.
        errand: GrantPurpose,
    },
    /// Put a VM back into service.
    Undo {
        /// The VM.
        vm: VmId,
    },
    /// Remove a VM that is gone.
    Forget {
        /// The VM.
        vm: VmId,
    },
}

/// What became of it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Receipt {
    /// The offset at which it was decided.
    pub offset: Offset,
    /// What was decided.
    pub outcome: Outcome,
}

/// The agreed state as an entry knows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StateReply {
    /// Who speaks.
    pub entry: EntryId,
    /// The next offset that it will apply.
    pub next: Offset,
    /// Whether it reached the log lately.
    pub platform: bool,
    /// The settings.
    pub tree: Tree,
    /// Who changed each path last.
    pub versions: BTreeMap<Path, RecordOrigin>,
    /// The VMs.
    pub vms: BTreeMap<VmId, Vm>,
    /// Slots by pool.
    pub counts: BTreeMap<PoolId, PoolCount>,
    /// The waves.
    pub waves: BTreeMap<WaveId, WaveReply>,
}

/// One wave.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WaveReply {
    /// What was started.
    pub wave: Wave,
    /// How far it has come.
    pub progress: Progress,
    /// When it should end at the pace so far; `None` before the first VM is done.
    pub ends: Option<SystemTime>,
}

/// One entry as another sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberReply {
    /// The entry.
    pub entry: EntryId,
    /// Its hall.
    pub hall: HallId,
    /// The next offset that it will apply; `None` if it does not answer.
    pub next: Option<Offset>,
    /// Whether it reached the log lately.
    pub platform: bool,
}

/// The burn report.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BurnReport {
    /// Names of the windows, the shortest first.
    pub windows: Vec<String>,
    /// Entries whose counts are in the sums.
    pub answered: Vec<EntryId>,
    /// Entries that did not answer.
    pub silent: Vec<EntryId>,
    /// The latest time from which on an entry has counted.
    pub since: SystemTime,
    /// The services.
    pub services: BTreeMap<ServiceId, BurnRow>,
}

/// One service of the burn report.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BurnRow {
    /// The objective.
    pub objective: f64,
    /// Counts by window.
    pub cells: Vec<BurnCounts>,
    /// Burn rates by window.
    pub rates: Vec<f64>,
    /// Share of what the objective leaves that is left over the longest window.
    pub left: f64,
    /// Whether a short and a long window both burn too fast.
    pub alert: Option<String>,
}

/// Why something is as it is.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Explanation {
    /// What was asked about.
    pub subject: String,
    /// The answer, a line each.
    pub lines: Vec<String>,
    /// Where each value of a service came from.
    pub sources: Vec<Source>,
}
