//! The independent record of what really happened.

use serde::{Deserialize, Serialize};
use std::time::{SystemTime, UNIX_EPOCH};

/// One task that a worker began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The attempt.
    pub attempt: String,
    /// The service it was sent for.
    pub service: String,
    /// The pool it was sent for.
    pub pool: String,
    /// The VM.
    pub vm: String,
    /// The caller's own mark in the body.
    pub tag: String,
    /// When it began, in milliseconds since 1970.
    pub began: u64,
    /// When it ended.
    pub ended: Option<u64>,
    /// How it ended.
    pub end: Option<RunEnd>,
}

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunEnd {
    /// It ran to its end.
    Done,
    /// It failed as it was told to.
    Failed,
    /// Its caller went away or stopped it.
    Stopped,
    /// Its lease ended.
    Lapsed,
    /// Its VM went down under it by a call of the system.
    CutByCall,
    /// Its VM failed.
    CutByFault,
}

/// One change of a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEvent {
    /// When, in milliseconds since 1970.
    pub at: u64,
    /// The VM.
    pub vm: String,
    /// What happened.
    #[serde(rename = "what")]
    pub kind: VmEventKind,
}

/// What happened to a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmEventKind {
    /// The system drained it.
    Drain,
    /// The system ended the drain.
    Undrain,
    /// The system rebooted it.
    Reboot,
    /// It is back after a reboot.
    Back,
    /// The system handed it back.
    Release,
    /// The system gave it to a pool.
    Assign,
    /// It failed.
    Fail,
    /// It is back after a failure.
    Restore,
    /// A call was refused because its token or count of boots was stale.
    Stale,
}

/// Everything that happened.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Ledger {
    /// The tasks.
    pub runs: Vec<Run>,
    /// The changes of VMs.
    pub events: Vec<VmEvent>,
}

/// Returns the time in milliseconds since 1970.
pub fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
