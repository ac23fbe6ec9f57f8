//! The stand-in's own record of what happened, independent of the system under test.

use serde::{Deserialize, Serialize};
use std::time::{SystemTime, UNIX_EPOCH};

/// A run of one task on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Id of the attempt.
    pub attempt: String,
    /// Service that the task was sent for.
    pub service: String,
    /// Pool that the task was sent for.
    pub pool: String,
    /// VM whose worker ran the task.
    pub vm: String,
    /// Tag that the caller put into the body.
    pub tag: String,
    /// Start time, in milliseconds since 1970.
    pub began: u64,
    /// End time, in milliseconds since 1970; `None` while the task runs.
    pub ended: Option<u64>,
    /// How the run ended; `None` while the task runs.
    pub end: Option<RunEnd>,
}

/// The ways in which a run can end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunEnd {
    /// The task ran to completion.
    Done,
    /// The task failed, as its body or an injected fault demanded.
    Failed,
    /// The caller disconnected or stopped the task.
    Stopped,
    /// The lease expired.
    Lapsed,
    /// The VM went down because of a call of the system under test.
    CutByCall,
    /// The VM failed.
    CutByFault,
}

/// One change of a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEvent {
    /// Time of the event, in milliseconds since 1970.
    pub at: u64,
    /// VM that changed.
    pub vm: String,
    /// Kind of the event.
    #[serde(rename = "what")]
    pub kind: VmEventKind,
}

/// The kinds of events of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmEventKind {
    /// The system drained the VM.
    Drain,
    /// The system ended the drain.
    Undrain,
    /// The system rebooted the VM.
    Reboot,
    /// The VM came back after a reboot.
    Back,
    /// The system released the VM.
    Release,
    /// The system assigned the VM to a pool.
    Assign,
    /// The VM failed.
    Fail,
    /// The VM came back after a failure.
    Restore,
    /// A call was refused because its fencing token or boot count was stale.
    Stale,
}

/// All runs and VM events so far.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Ledger {
    /// Runs in the order in which they started.
    pub runs: Vec<Run>,
    /// VM events in the order in which they happened.
    pub events: Vec<VmEvent>,
}

/// Returns the current time in milliseconds since 1970.
pub fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
