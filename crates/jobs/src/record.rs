//! The form in which jobs are kept in the log: for each job what was handed in, written once, and
//! its state, written at each change.

use crate::{Holder, Job, JobId, Phase, Round, Submission, WorkspaceId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A record of the log by its key; without a value it removes the key's earlier records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// What the record is about.
    pub key: String,
    /// What it says; none to remove it.
    pub value: Option<Vec<u8>>,
}

/// Why a record cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The key is none of ours.
    #[error("unknown key {0:?}")]
    Key(String),
    /// The value is not what the key promises.
    #[error("record {key:?}: {source}")]
    Value {
        /// The key.
        key: String,
        /// What is wrong.
        source: rmp_serde::decode::Error,
    },
}

/// What a record says.
#[derive(Debug)]
pub enum Decoded {
    /// What was handed in, with its place in the order of arrival.
    Submission(u64, Submission),
    /// How far a job is.
    State(JobId, State),
    /// Which VMs have had their upkeep in a wave.
    Maintained(u64, BTreeSet<String>),
    /// Which VMs an owner may have given orders about.
    VmOrders(BTreeMap<String, Holder>),
}

/// How far a job is, as it is kept.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct State {
    /// How far it is.
    pub phase: Phase,
    /// Its repeats; empty once it is over.
    pub rounds: Vec<Round>,
    /// The workspace that handed it in, once it is over and the record that says so is gone. Older records lack it.
    #[serde(default)]
    pub workspace: Option<WorkspaceId>,
}

/// The first letter of the key of what was handed in.
const SUBMISSION: char = 'g';

/// The first letter of the key of a job's state.
const STATE: char = 's';

/// The first letter of the key of a wave's record.
const MAINTAINED: char = 'w';

/// The first letter of the key of the VMs that orders were given about.
const VM_ORDERS: char = 'o';

/// The key of a job's record of one kind.
fn encode_key(kind: char, id: JobId) -> String {
    format!("{kind}{id:016x}")
}

/// The record of what was handed in.
pub fn encode_submission(job: &Job) -> Entry {
    let value = rmp_serde::to_vec(&(job.order, &job.submission))
        .expect("plain data has a form in MessagePack");
    Entry {
        key: encode_key(SUBMISSION, job.submission.id),
        value: Some(value),
    }
}

/// The record that says that what was handed in is no longer needed.
pub fn forget_submission(id: JobId) -> Entry {
    Entry {
        key: encode_key(SUBMISSION, id),
        value: None,
    }
}

/// The record of a job's state.
pub fn encode_state(job: &Job) -> Entry {
    let (rounds, workspace) = if job.phase.is_over() {
        (Vec::new(), job.submission.workspace.clone())
    } else {
        (job.rounds.clone(), None)
    };
    let state = State {
        phase: job.phase,
        rounds,
        workspace,
    };
    let value = rmp_serde::to_vec(&state).expect("plain data has a form in MessagePack");
    Entry {
        key: encode_key(STATE, job.submission.id),
        value: Some(value),
    }
}

/// The record of the VMs that an owner is about to give orders about.
pub fn encode_vm_orders(vms: &BTreeMap<String, Holder>) -> Entry {
    let value = rmp_serde::to_vec(vms).expect("plain data has a form in MessagePack");
    Entry {
        key: encode_key(VM_ORDERS, 0),
        value: Some(value),
    }
}

/// The record of the VMs that have had their upkeep in a wave.
pub fn encode_maintained(wave: u64, vms: &BTreeSet<String>) -> Entry {
    let value = rmp_serde::to_vec(vms).expect("plain data has a form in MessagePack");
    Entry {
        key: encode_key(MAINTAINED, wave),
        value: Some(value),
    }
}

/// Reads a record.
///
/// # Errors
///
/// Fails on a key or value that this version does not know.
pub fn decode_entry(key: &str, value: &[u8]) -> Result<Decoded, RecordError> {
    let unknown = || RecordError::Key(key.to_owned());
    let kind = key.chars().next().ok_or_else(unknown)?;
    let id = JobId::from_str_radix(key.get(1..).ok_or_else(unknown)?, 16).map_err(|_| unknown())?;
    let wrong = |source| RecordError::Value {
        key: key.to_owned(),
        source,
    };
    match kind {
        SUBMISSION => {
            let (order, submission) = rmp_serde::from_slice(value).map_err(wrong)?;
            Ok(Decoded::Submission(order, submission))
        }
        STATE => Ok(Decoded::State(
            id,
            rmp_serde::from_slice(value).map_err(wrong)?,
        )),
        MAINTAINED => Ok(Decoded::Maintained(
            id,
            rmp_serde::from_slice(value).map_err(wrong)?,
        )),
        VM_ORDERS => Ok(Decoded::VmOrders(
            rmp_serde::from_slice(value).map_err(wrong)?,
        )),
        _ => Err(unknown()),
    }
}
