//! The records of jobs in the log: for each job the submission, written once, and the state, written at each
//! change. The tasks of a large job have records of their own.

use crate::{Holder, Job, JobId, Phase, Round, Submission, WorkspaceId, parts::Part};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    io::{self, Write},
};

/// A record of the log by its key; without a value it removes the key's earlier records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key of the record.
    pub key: String,
    /// The encoded value; `None` to remove the record.
    pub value: Option<Vec<u8>>,
}

impl Entry {
    /// Returns the size of the key and the value, in bytes.
    pub fn size(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, Vec::len)
    }

    /// Returns the job that the record belongs to, if it belongs to one.
    pub fn job(&self) -> Option<JobId> {
        let kind = self.key.chars().next()?;
        let id = self.key.get(1..KEY_BYTES)?;
        [SUBMISSION, STATE, PART]
            .contains(&kind)
            .then(|| JobId::from_str_radix(id, 16).ok())?
    }
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
    /// Some of the tasks of a job, with the position of the first of them.
    Part(JobId, usize, Part),
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
    /// The rounds of the job; empty once the job is over, or if its tasks have records of their own.
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

/// The first letter of the key of some of a job's tasks.
const PART: char = 'p';

/// The length of the first letter of a key and the id of a job.
const KEY_BYTES: usize = 17;

/// The first letter of the key of a wave's maintained VMs.
const MAINTAINED: char = 'w';

/// The first letter of the key of the VM orders.
const VM_ORDERS: char = 'o';

/// The first letter of the key of the pending maintenance.
const PENDING_MAINTENANCE: char = 'm';

/// Returns the key of one kind of record.
fn encode_key(kind: char, id: JobId) -> String {
    format!("{kind}{id:016x}")
}

/// Returns the key of the tasks of a job from a position on.
fn encode_part_key(id: JobId, first: usize) -> String {
    format!("{PART}{id:016x}{first:08x}")
}

/// A writer that counts the bytes that are written.
#[derive(Default)]
struct Counter(usize);

impl Write for Counter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns the maximum size of the record of a submission, key and value together, in bytes.
pub(crate) fn submission_bytes(submission: &Submission) -> usize {
    let mut counter = Counter::default();
    rmp_serde::encode::write(&mut counter, &(u64::MAX, submission))
        .expect("plain data can be encoded as MessagePack");
    KEY_BYTES + counter.0
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

/// Returns the record of the tasks of a job from a position on, as far as one part goes.
pub fn encode_part(job: &Job, first: usize) -> Entry {
    let value =
        rmp_serde::to_vec(&job.part(first)).expect("plain data can be encoded as MessagePack");
    Entry {
        key: encode_part_key(job.submission.id, first),
        value: Some(value),
    }
}

/// Returns the record that removes the tasks of a job from a position on.
pub fn forget_part(id: JobId, first: usize) -> Entry {
    Entry {
        key: encode_part_key(id, first),
        value: None,
    }
}

/// Returns the record of a job's state. It holds the tasks as well, unless they have records of their own.
pub fn encode_state(job: &Job) -> Entry {
    let (rounds, workspace) = if job.phase.is_over() {
        (Vec::new(), job.submission.workspace.clone())
    } else if job.parts.is_some() {
        (Vec::new(), None)
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
    let (id, first) = decode_key(key, kind).ok_or_else(unknown)?;
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
        PART => Ok(Decoded::Part(
            id,
            first,
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

/// Returns the id in a key, and the position of the first task in the key of a part.
fn decode_key(key: &str, kind: char) -> Option<(JobId, usize)> {
    let (id, first) = match kind {
        PART => (key.get(1..KEY_BYTES)?, key.get(KEY_BYTES..)?),
        _ => (key.get(1..)?, "0"),
    };
    let id = JobId::from_str_radix(id, 16).ok()?;
    Some((id, usize::from_str_radix(first, 16).ok()?))
}
