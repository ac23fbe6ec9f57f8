//! Messages between operators' commands and entries, in JSON.

use fleet::{
    GrantPurpose, Outcome, PathChange, PoolCount, Progress, RecordOrigin, Vm, Wave, WaveChange,
    WaveId,
};
use protocol::{BurnCounts, EntryId, HallId, Offset, PoolId, ServiceId, VmId};
use serde::{Deserialize, Serialize};
use settings::{Path, Source, Tree};
use std::{collections::BTreeMap, time::SystemTime};

/// Change that an operator requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Order {
    /// Publishes settings.
    Settings(Vec<PathChange>),
    /// Starts or controls a wave.
    Wave(WaveChange),
    /// Takes a VM out of service.
    Errand {
        /// ID of the VM.
        vm: VmId,
        /// Purpose for which the VM is taken out of service.
        errand: GrantPurpose,
    },
    /// Puts a VM back into service.
    Undo {
        /// ID of the VM.
        vm: VmId,
    },
    /// Removes a VM that is gone.
    Forget {
        /// ID of the VM.
        vm: VmId,
    },
}

/// Result of an operator's order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Receipt {
    /// Offset of the log record that holds the change.
    pub offset: Offset,
    /// Outcome of the change.
    pub outcome: Outcome,
}

/// Agreed state as one entry has applied it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StateReply {
    /// Name of the entry that responds.
    pub entry: EntryId,
    /// Next offset that the entry will apply.
    pub next: Offset,
    /// Whether the entry's last attempt to reach the log succeeded.
    pub platform: bool,
    /// Settings tree in force.
    pub tree: Tree,
    /// Last change of each path: its offset and author.
    pub versions: BTreeMap<Path, RecordOrigin>,
    /// VMs by ID.
    pub vms: BTreeMap<VmId, Vm>,
    /// Numbers of VMs and slots by pool.
    pub counts: BTreeMap<PoolId, PoolCount>,
    /// Waves by ID.
    pub waves: BTreeMap<WaveId, WaveReply>,
}

/// Wave and its progress.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WaveReply {
    /// Scope and state of the wave.
    pub wave: Wave,
    /// Numbers of VMs in each stage of the wave.
    pub progress: Progress,
    /// Estimated end of the wave at its present pace; `None` before the first VM is done.
    pub ends: Option<SystemTime>,
}

/// Entry as seen by the entry that responds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberReply {
    /// Name of the entry.
    pub entry: EntryId,
    /// Data centre of the entry.
    pub hall: HallId,
    /// Next offset that the entry will apply; `None` if it does not respond.
    pub next: Option<Offset>,
    /// Whether the entry's last attempt to reach the log succeeded.
    pub platform: bool,
}

/// Burn report over all entries that responded.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BurnReport {
    /// Names of the windows, from the shortest to the longest.
    pub windows: Vec<String>,
    /// Entries whose counts are included.
    pub answered: Vec<EntryId>,
    /// Entries that did not respond, whose counts are missing.
    pub silent: Vec<EntryId>,
    /// Latest start of counting among the included entries.
    pub since: SystemTime,
    /// Rows of the report by service.
    pub services: BTreeMap<ServiceId, BurnRow>,
}

/// Row of one service in the burn report.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BurnRow {
    /// Objective of the service, as a share of good requests.
    pub objective: f64,
    /// Counts by window.
    pub cells: Vec<BurnCounts>,
    /// Burn rates by window.
    pub rates: Vec<f64>,
    /// Share of the error budget that remains over the longest window.
    pub left: f64,
    /// Alert that is raised when a short and a long window both burn too fast.
    pub alert: Option<String>,
}

/// Explanation of a VM, level or request.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Explanation {
    /// Name of what is explained.
    pub subject: String,
    /// Lines of the explanation.
    pub lines: Vec<String>,
    /// Level at which each setting of a service is set.
    pub sources: Vec<Source>,
}
