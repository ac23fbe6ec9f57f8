//! Records of the stream `fleet`: proposals whose outcomes are decided when the record is applied at its
//! offset.

use crate::state::WaveId;
use protocol::{EntryId, HallId, Offset, PoolId, RackId, RecordId, VmId};
use serde::{Deserialize, Serialize};
use settings::{Node, Path};
use std::time::SystemTime;

/// One append: proposals that are decided one after the other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The unique id of the record. A second copy of a record has no effect.
    pub id: RecordId,
    /// The entry that appended the record.
    pub by: EntryId,
    /// The time after which the record has no effect if the log accepts it only then.
    pub expires: SystemTime,
    /// The proposals.
    pub changes: Vec<Change>,
}

/// One proposal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// Publishes settings, either all paths or none.
    Settings(Vec<PathChange>),
    /// Reports observations of VMs, each of which is decided separately.
    Observe(Vec<Observation>),
    /// Asks to take a VM out of service.
    Grant(GrantRequest),
    /// Asks to renew a grant's lease or to take it over.
    Lease(LeaseRequest),
    /// Announces, before it is made, the call that cannot be undone.
    Begin {
        /// The VM.
        vm: VmId,
        /// The grant.
        grant: Offset,
    },
    /// Reports that the operation has ended, so that the VM is no longer charged to the budgets.
    Finish {
        /// The VM.
        vm: VmId,
        /// The grant.
        grant: Offset,
        /// The VM's number of boots as observed after the operation.
        boot: u64,
    },
    /// Takes back a grant whose operation has not begun.
    Undo {
        /// The VM.
        vm: VmId,
        /// The grant.
        grant: Offset,
    },
    /// Removes a VM that is gone and will not be replaced.
    Forget {
        /// The VM.
        vm: VmId,
    },
    /// Starts or changes a wave.
    Wave(WaveChange),
}

/// The new values of one path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PathChange {
    /// The path.
    pub path: Path,
    /// The version on which the change is based, or 0 for a path that was not set.
    pub base: Offset,
    /// The new values, or `None` to remove the path.
    pub node: Option<Node>,
}

/// An entry's observation of one VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// The VM.
    pub vm: VmId,
    /// The VM's version that the entry knew, or 0 if it did not know the VM.
    pub base: Offset,
    /// The observed state.
    pub seen: ObservedState,
}

/// The state of a VM as observed by an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ObservedState {
    /// The VM is up.
    Up {
        /// The VM's data centre.
        hall: HallId,
        /// The VM's rack.
        rack: RackId,
        /// The address of the VM's worker.
        addr: String,
        /// The VM's number of slots.
        slots: u32,
        /// The number of boots so far.
        boot: u64,
    },
    /// The platform will soon take the VM away.
    Leaving,
    /// The VM does not respond, or is suspected not to.
    Down,
    /// The platform no longer lists the VM.
    Gone,
}

/// The operation for which a VM is taken out of service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum GrantPurpose {
    /// A reboot for maintenance.
    Reboot,
    /// Returning the VM to the platform.
    Release,
    /// Moving the VM to another pool.
    Move {
        /// The new pool.
        to: PoolId,
    },
    /// Keeping the VM out of service until an operator ends it.
    Drain,
}

/// A request to take a VM out of service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The VM.
    pub vm: VmId,
    /// The VM's version on which the request is based.
    pub base: Offset,
    /// The operation.
    #[serde(rename = "errand")]
    pub purpose: GrantPurpose,
    /// The entry that will carry out the operation.
    pub holder: EntryId,
    /// The end of the holder's lease.
    pub deadline: SystemTime,
}

/// A request to extend a grant's lease, or to take it over from another holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The VM.
    pub vm: VmId,
    /// The grant.
    pub grant: Offset,
    /// The entry that asks for the lease.
    pub holder: EntryId,
    /// The end of the new lease.
    pub deadline: SystemTime,
}

/// A change to a wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WaveChange {
    /// Starts a wave that reboots every VM of a place or pool once.
    Start {
        /// The place or pool.
        scope: Path,
    },
    /// Pauses the wave: it gets no new grants.
    Pause(WaveId),
    /// Resumes a paused wave.
    Resume(WaveId),
    /// Cancels the wave. Operations that have begun are still finished.
    Cancel(WaveId),
    /// Closes a wave of which every VM is done.
    Close(WaveId),
}

/// The decision about one proposal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The proposal was applied to the state.
    Applied,
    /// The state already was as proposed.
    Unchanged,
    /// The proposal had no effect.
    Rejected(Reason),
}

/// The reason why a proposal had no effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Reason {
    /// The record is a second copy.
    #[error("a copy of a record that was taken before")]
    Duplicate,
    /// The record had expired when the log accepted it.
    #[error("taken by the log after it had expired")]
    Late,
    /// The bytes are not a valid record.
    #[error("not a record that this version understands")]
    Malformed,
    /// The path has been changed since the version on which the change is based.
    #[error(
        "`{path}` was changed meanwhile at offset {version}, by {by}; read it again and reapply"
    )]
    PathMoved {
        /// The path.
        path: Path,
        /// Its current version.
        version: Offset,
        /// The entry that appended the other change.
        by: EntryId,
    },
    /// The path's parent level is missing.
    #[error("`{path}` has no level above it")]
    Orphan {
        /// The path.
        path: Path,
    },
    /// The pool still has VMs.
    #[error("pool `{pool}` still has VMs; ask for 0 VMs first")]
    PoolInUse {
        /// The pool.
        pool: PoolId,
    },
    /// There is no such VM.
    #[error("no VM `{vm}`")]
    NoVm {
        /// The VM.
        vm: VmId,
    },
    /// There is no such pool, or it does not admit VMs of the data centre.
    #[error("no pool `{pool}` for a VM of this hall")]
    NoPool {
        /// The pool.
        pool: PoolId,
    },
    /// The pool has as many VMs as it asks for, including those being moved to it.
    #[error("pool `{pool}` has the {asked} VMs that it asks for; raise its `vms` first")]
    PoolFull {
        /// The pool.
        pool: PoolId,
        /// The number of VMs that it asks for.
        asked: u32,
    },
    /// There is no such place or pool.
    #[error("no place or pool `{scope}`")]
    NoScope {
        /// The path.
        scope: Path,
    },
    /// There is no such wave, or it has ended.
    #[error("no wave {wave} that could be steered")]
    NoWave {
        /// The wave.
        wave: WaveId,
    },
    /// The VM has been changed since the version on which the request is based.
    #[error("VM `{vm}` was changed meanwhile at offset {version}")]
    VmMoved {
        /// The VM.
        vm: VmId,
        /// Its current version.
        version: Offset,
    },
    /// The VM cannot be taken out of service in its current state.
    #[error("VM `{vm}` is out of service already")]
    Busy {
        /// The VM.
        vm: VmId,
    },
    /// A budget does not allow the operation now.
    #[error("the budget of `{service}` allows {budget} slots and {wanted} would be unavailable")]
    OverBudget {
        /// The service whose budget would be exceeded.
        service: Path,
        /// Its budget, in slots.
        budget: u32,
        /// The number of slots that would be unavailable.
        wanted: u32,
    },
    /// The grant is no longer in force.
    #[error("grant {grant} of VM `{vm}` is not in force")]
    NoGrant {
        /// The VM.
        vm: VmId,
        /// The grant.
        grant: Offset,
    },
    /// The lease is held by another entry or has expired.
    #[error("the lease is held by {holder}")]
    Held {
        /// The holder.
        holder: EntryId,
    },
    /// The operation is not at the required step: it has already begun, or has not begun yet.
    #[error("the errand of VM `{vm}` is not at that step")]
    WrongStep {
        /// The VM.
        vm: VmId,
    },
    /// The deadline is in the past or too far ahead.
    #[error("the deadline is past, or further ahead than a lease may be")]
    BadDeadline,
}
