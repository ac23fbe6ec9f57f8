//! Records of the stream `fleet`: proposals whose outcome the fold decides at their offset.

use crate::state::WaveId;
use protocol::{EntryId, HallId, Offset, PoolId, RackId, RecordId, VmId};
use serde::{Deserialize, Serialize};
use settings::{Node, Path};
use std::time::SystemTime;

/// One append: proposals that are judged one after the other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Unique id; a second copy of a record has no effect.
    pub id: RecordId,
    /// The entry that appended it.
    pub by: EntryId,
    /// The record has no effect if the log takes it later than this.
    pub expires: SystemTime,
    /// The proposals.
    pub changes: Vec<Change>,
}

/// One proposal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// Publishes settings, all paths or none.
    Settings(Vec<PathChange>),
    /// Tells what became of VMs, each judged by itself.
    Observe(Vec<Observation>),
    /// Asks to take a VM out of service for an errand.
    Grant(GrantRequest),
    /// Asks to renew a grant's lease, or to take it over.
    Lease(LeaseRequest),
    /// Announces the call that cannot be undone; made before the call.
    Begin {
        /// The VM.
        vm: VmId,
        /// The grant.
        grant: Offset,
    },
    /// Tells that the errand is over; the VM is charged no longer.
    Finish {
        /// The VM.
        vm: VmId,
        /// The grant.
        grant: Offset,
        /// The VM's count of boots as it was seen back.
        boot: u64,
    },
    /// Takes back a grant whose errand has not begun.
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
    /// Starts or steers a wave.
    Wave(WaveChange),
}

/// New values of one path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PathChange {
    /// The path.
    pub path: Path,
    /// The version that the change is based on; 0 for a path that was not set.
    pub base: Offset,
    /// The new values, or `None` to remove the path.
    pub node: Option<Node>,
}

/// What an entry saw of one VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// The VM.
    pub vm: VmId,
    /// The VM's version that the entry knew; 0 for a VM it did not know.
    pub base: Offset,
    /// What it saw.
    pub seen: ObservedState,
}

/// What can be seen of a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ObservedState {
    /// The VM is up.
    Up {
        /// Its hall.
        hall: HallId,
        /// Its rack.
        rack: RackId,
        /// Where its worker listens.
        addr: String,
        /// Its slots.
        slots: u32,
        /// Its count of boots.
        boot: u64,
    },
    /// The platform will take the VM away soon.
    Leaving,
    /// The VM does not answer, or it is suspected not to.
    Down,
    /// The platform no longer lists the VM.
    Gone,
}

/// What a VM is taken out of service for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum GrantPurpose {
    /// Maintenance: a reboot.
    Reboot,
    /// Handing the VM back.
    Release,
    /// Moving it to another pool.
    Move {
        /// The pool it moves to.
        to: PoolId,
    },
    /// Keeping it out of service until an operator says otherwise.
    Drain,
}

/// A wish to take a VM out of service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The VM.
    pub vm: VmId,
    /// The VM's version that the wish is based on.
    pub base: Offset,
    /// What for.
    #[serde(rename = "errand")]
    pub purpose: GrantPurpose,
    /// The entry that will carry it out.
    pub holder: EntryId,
    /// When the holder's lease ends.
    pub deadline: SystemTime,
}

/// A wish to hold a grant for longer, or in another's place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The VM.
    pub vm: VmId,
    /// The grant.
    pub grant: Offset,
    /// Who wants to hold it.
    pub holder: EntryId,
    /// When the new lease ends.
    pub deadline: SystemTime,
}

/// Steers waves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WaveChange {
    /// Reboots every VM of a place or pool once.
    Start {
        /// The place or pool.
        scope: Path,
    },
    /// Grants nothing new.
    Pause(WaveId),
    /// Goes on.
    Resume(WaveId),
    /// Ends the wave; errands that have begun are finished.
    Cancel(WaveId),
    /// Notes that every VM of the wave is done.
    Close(WaveId),
}

/// What the fold decided about one proposal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It is in the state.
    Applied,
    /// The state already was so.
    Unchanged,
    /// It had no effect.
    Rejected(Reason),
}

/// Why a proposal had no effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Reason {
    /// A second copy of a record.
    #[error("a copy of a record that was taken before")]
    Duplicate,
    /// The log took the record after it had expired.
    #[error("taken by the log after it had expired")]
    Late,
    /// The bytes are no record.
    #[error("not a record that this version understands")]
    Malformed,
    /// The path was changed meanwhile.
    #[error(
        "`{path}` was changed meanwhile at offset {version}, by {by}; read it again and reapply"
    )]
    PathMoved {
        /// The path.
        path: Path,
        /// Its version now.
        version: Offset,
        /// The entry that appended the other change.
        by: EntryId,
    },
    /// A level's upper level is missing.
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
    /// There is no such pool, or it does not admit the VM's hall.
    #[error("no pool `{pool}` for a VM of this hall")]
    NoPool {
        /// The pool.
        pool: PoolId,
    },
    /// The pool has, or is about to have, as many VMs as it asks for.
    #[error("pool `{pool}` has the {asked} VMs that it asks for; raise its `vms` first")]
    PoolFull {
        /// The pool.
        pool: PoolId,
        /// The VMs that it asks for.
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
    /// The VM was changed meanwhile.
    #[error("VM `{vm}` was changed meanwhile at offset {version}")]
    VmMoved {
        /// The VM.
        vm: VmId,
        /// Its version now.
        version: Offset,
    },
    /// The VM is not one that could be taken out of service.
    #[error("VM `{vm}` is out of service already")]
    Busy {
        /// The VM.
        vm: VmId,
    },
    /// A budget does not allow it now.
    #[error("the budget of `{service}` allows {budget} slots and {wanted} would be unavailable")]
    OverBudget {
        /// The service whose budget holds.
        service: Path,
        /// Its budget, in slots.
        budget: u32,
        /// Slots that would be unavailable.
        wanted: u32,
    },
    /// The grant is not the VM's grant any more.
    #[error("grant {grant} of VM `{vm}` is not in force")]
    NoGrant {
        /// The VM.
        vm: VmId,
        /// The grant.
        grant: Offset,
    },
    /// The grant is held by another entry, or the lease has ended.
    #[error("the lease is held by {holder}")]
    Held {
        /// The holder.
        holder: EntryId,
    },
    /// The errand has begun, or has not.
    #[error("the errand of VM `{vm}` is not at that step")]
    WrongStep {
        /// The VM.
        vm: VmId,
    },
    /// The deadline is past or too far ahead.
    #[error("the deadline is past, or further ahead than a lease may be")]
    BadDeadline,
}
