//! The records of jobs in the log: for each job the submission, written once, and the state, written at each
//! change.

use crate::{Holder, Job, JobId, Phase, Round, Submission, WorkspaceId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A record of the log by its key; without a value it removes the key's earlier records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key of the record.
    pub key: String,
    /// The encoded value; `None` to remove the record.
    pub value: Option<Vec<u8>>,
}

/// The reason why a record cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The key is unknown.
    #[error("unknown key {0:?}")]
    Key(String),
    /// The value does not match the kind of record that the key names.
    #[error("record {key:?}: {source}")]
    Value {
        /// The key.
        key: String,
        /// The error of the decoder.
        source: rmp_serde::decode::Error,
    },
}

/// A decoded record.
#[derive(Debug)]
pub enum Decoded {
    /// A submission, with its position in the order of arrival.
    Submission(u64, Submission),
    /// The state of a job.
    State(JobId, State),
    /// The VMs that were maintained in a wave.
    Maintained(u64, BTreeSet<String>),
    /// The VMs that an owner may have given orders about.
    VmOrders(BTreeMap<String, Holder>),
    /// The VMs whose maintenance an owner has ordered and may still begin.
    PendingMaintenance(BTreeSet<String>),
}

/// The state of a job as it is stored.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct State {
    /// The phase of the job.
    pub phase: Phase,
    /// The rounds of the job; empty once the job is over.
    pub rounds: Vec<Round>,
    /// The workspace that submitted the job, set once the job is over and the record of its submission is
    /// removed. Older records lack the field.
    #[serde(default)]
    pub workspace: Option<WorkspaceId>,
}

/// The first letter of the key of a submission.
const SUBMISSION: char = 'g';

/// The first letter of the key of a job's state.
const STATE: char = 's';

/// The first letter of the key of a wave's maintained VMs.
const MAINTAINED: char = 'w';

/// The first letter of the key of the VM orders.
const VM_ORDERS: char = 'o';

/// The first letter of the key of the pending maintenance.
const PENDING_MAINTENANCE: char = 'p';

/// Returns the key of one kind of record.
fn encode_key(kind: char, id: JobId) -> String {
    format!("{kind}{id:016x}")
}

/// Returns the record of a job's submission.
pub fn encode_submission(job: &Job) -> Entry {
    let value = rmp_serde::to_vec(&(job.order, &job.submission))
        .expect("plain data can be encoded as MessagePack");
    Entry {
        key: encode_key(SUBMISSION, job.submission.id),
        value: Some(value),
    }
}

/// Returns the record that removes a submission.
pub fn forget_submission(id: JobId) -> Entry {
    Entry {
        key: encode_key(SUBMISSION, id),
        value: None,
    }
}

/// Returns the record of a job's state.
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
    let value = rmp_serde::to_vec(&state).expect("plain data can be encoded as MessagePack");
    Entry {
        key: encode_key(STATE, job.submission.id),
        value: Some(value),
    }
}

/// Returns the record of the VMs that an owner is about to give orders about.
pub fn encode_vm_orders(vms: &BTreeMap<String, Holder>) -> Entry {
    let value = rmp_serde::to_vec(vms).expect("plain data can be encoded as MessagePack");
    Entry {
        key: encode_key(VM_ORDERS, 0),
        value: Some(value),
    }
}

/// Returns the record of the VMs whose ordered maintenance may still begin.
pub fn encode_pending_maintenance(vms: &BTreeSet<String>) -> Entry {
    let value = rmp_serde::to_vec(vms).expect("plain data can be encoded as MessagePack");
    Entry {
        key: encode_key(PENDING_MAINTENANCE, 0),
        value: Some(value),
    }
}

/// Returns the record of the VMs that were maintained in a wave.
pub fn encode_maintained(wave: u64, vms: &BTreeSet<String>) -> Entry {
    let value = rmp_serde::to_vec(vms).expect("plain data can be encoded as MessagePack");
    Entry {
        key: encode_key(MAINTAINED, wave),
        value: Some(value),
    }
}

/// Decodes a record.
///
/// # Errors
///
/// Returns an error if the key or the value is not known to this version.
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
        PENDING_MAINTENANCE => Ok(Decoded::PendingMaintenance(
            rmp_serde::from_slice(value).map_err(wrong)?,
        )),
        _ => Err(unknown()),
    }
}
