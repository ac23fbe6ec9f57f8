//! The agreed state that results from applying the log.

use crate::{
    budget::PoolCount,
    record::{GrantPurpose, Outcome},
};
use protocol::{EntryId, HallId, Offset, PoolId, RackId, RecordId, VmId};
use serde::{Deserialize, Serialize};
use settings::{Path, Tree};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::{self, Display, Formatter},
    time::SystemTime,
};

/// The pool of VMs that no other pool has asked for. It has no services.
pub const SPARE_POOL: &str = "spare";

/// The id of a wave: the offset of the record that started it.
pub type WaveId = Offset;

/// The complete agreed state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// The offset of the next record to apply.
    pub next: Offset,
    /// The log's time of the last record.
    pub at: SystemTime,
    /// The settings.
    pub tree: Tree,
    /// The version of each path of the settings, including removed paths.
    pub versions: BTreeMap<Path, RecordOrigin>,
    /// The VMs.
    pub vms: BTreeMap<VmId, Vm>,
    /// The VM and slot counts of each pool, kept in step with `vms`.
    pub counts: BTreeMap<PoolId, PoolCount>,
    /// The VMs that have a grant, kept in step with `vms`. These are few compared with all VMs.
    pub granted: BTreeSet<VmId>,
    /// The waves, including those that have ended recently.
    pub waves: BTreeMap<WaveId, Wave>,
    /// The origins of the records that have not expired, so that a second copy of them may still arrive.
    pub recent: BTreeMap<RecordId, RecordOrigin>,
    /// The ids in `recent`, ordered by expiry.
    pub expiring: BTreeMap<(SystemTime, RecordId), ()>,
    /// The outcomes of each record in `recent`.
    pub outcomes: BTreeMap<RecordId, Vec<Outcome>>,
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            next: 0,
            at: SystemTime::UNIX_EPOCH,
            tree: Tree::default(),
            versions: BTreeMap::new(),
            vms: BTreeMap::new(),
            counts: BTreeMap::new(),
            granted: BTreeSet::new(),
            waves: BTreeMap::new(),
            recent: BTreeMap::new(),
            expiring: BTreeMap::new(),
            outcomes: BTreeMap::new(),
        }
    }
}

impl Fleet {
    /// Returns the VMs that have a grant, each with its grant.
    pub fn grants(&self) -> impl Iterator<Item = (&VmId, &Vm, &Grant)> {
        self.granted.iter().filter_map(|id| {
            let vm = self.vms.get(id)?;
            Some((id, vm, vm.grant.as_ref()?))
        })
    }
}

/// The origin of a change: the record and the entry that appended it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordOrigin {
    /// The offset of the record.
    pub offset: Offset,
    /// The entry that appended the record.
    pub by: EntryId,
    /// The time at which the log accepted the record.
    pub at: SystemTime,
}

/// One VM. It belongs to exactly one pool, because it has a single field for the pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The VM's data centre.
    pub hall: HallId,
    /// The VM's rack.
    pub rack: RackId,
    /// The address of the VM's worker.
    pub addr: String,
    /// The VM's number of slots.
    pub slots: u32,
    /// The number of boots so far.
    pub boot: u64,
    /// The time at which the log accepted the record that reported this boot.
    pub booted: SystemTime,
    /// The VM's pool.
    pub pool: PoolId,
    /// The VM's health.
    pub health: Health,
    /// The grant that keeps the VM out of service, if there is one.
    pub grant: Option<Grant>,
    /// The offset of the record that changed the VM last.
    pub version: Offset,
}

impl Vm {
    /// Returns whether the VM accepts new work.
    pub fn is_available(&self) -> bool {
        self.health == Health::Up && self.grant.is_none()
    }
}

/// The health of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// The VM responds.
    Up,
    /// The platform will soon take the VM away.
    Leaving,
    /// The VM does not respond, or is suspected not to.
    Down,
    /// The platform no longer lists the VM. It is charged until it is replaced or removed.
    Gone,
}

/// The permission to take one VM out of service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The id of the grant: its offset.
    pub id: Offset,
    /// The operation for which the VM is taken out of service.
    #[serde(rename = "errand")]
    pub purpose: GrantPurpose,
    /// The entry that carries out the operation.
    pub holder: EntryId,
    /// The end of the holder's lease.
    pub deadline: SystemTime,
    /// The fencing token of calls to the platform: the offset of the last change of the grant after which the
    /// platform must refuse earlier calls.
    pub token: Offset,
    /// The progress of the operation.
    pub step: Step,
    /// The VM's number of boots when the grant was made.
    pub boot: u64,
}

/// The progress of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// The VM is to be drained. This can still be undone.
    Draining,
    /// The call that cannot be undone has been announced.
    Begun,
    /// The grant was taken back. The VM is charged until its drain is known to have ended.
    Returning,
}

impl Display for Step {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Draining => "draining",
            Self::Begun => "begun",
            Self::Returning => "returning",
        })
    }
}

/// One maintenance wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// The place or pool that the wave covers.
    pub scope: Path,
    /// The start of the wave. A VM that has booted since then is done.
    pub from: SystemTime,
    /// The state of the wave.
    pub state: WaveState,
}

/// The state of a wave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaveState {
    /// VMs get grants as far as the budgets allow.
    Running,
    /// VMs get no new grants.
    Paused,
    /// The wave was ended by an operator.
    Cancelled,
    /// Every VM of the scope is done.
    Done,
}
