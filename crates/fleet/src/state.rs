//! The state that the fold keeps.

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

/// The pool of VMs that no other pool asks for; it has no services.
pub const SPARE_POOL: &str = "spare";

/// A wave's id: the offset of the record that started it.
pub type WaveId = Offset;

/// Everything that is agreed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// The next offset to be applied.
    pub next: Offset,
    /// The log's time of the last record.
    pub at: SystemTime,
    /// The settings.
    pub tree: Tree,
    /// Version of each path of the settings, also of removed ones.
    pub versions: BTreeMap<Path, RecordOrigin>,
    /// The VMs.
    pub vms: BTreeMap<VmId, Vm>,
    /// Slots by pool, kept in step with `vms`.
    pub counts: BTreeMap<PoolId, PoolCount>,
    /// VMs that have a grant, kept in step with `vms`: a few of many.
    pub granted: BTreeSet<VmId>,
    /// The waves, also those that have ended lately.
    pub waves: BTreeMap<WaveId, Wave>,
    /// Records that a second copy may still follow, with when that ends and what was decided.
    pub recent: BTreeMap<RecordId, RecordOrigin>,
    /// The same ids by the end of their time.
    pub expiring: BTreeMap<(SystemTime, RecordId), ()>,
    /// What was decided about each recent record.
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
    /// Returns the VMs that have a grant, with it.
    pub fn grants(&self) -> impl Iterator<Item = (&VmId, &Vm, &Grant)> {
        self.granted.iter().filter_map(|id| {
            let vm = self.vms.get(id)?;
            Some((id, vm, vm.grant.as_ref()?))
        })
    }
}

/// Which record did something, and who appended it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordOrigin {
    /// The record's offset.
    pub offset: Offset,
    /// Who appended it.
    pub by: EntryId,
    /// When the log took it.
    pub at: SystemTime,
}

/// One VM. It belongs to exactly one pool because there is one field for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Its hall.
    pub hall: HallId,
    /// Its rack.
    pub rack: RackId,
    /// Where its worker listens.
    pub addr: String,
    /// Its slots.
    pub slots: u32,
    /// Its count of boots.
    pub boot: u64,
    /// When the log took the record that told of this boot.
    pub booted: SystemTime,
    /// Its pool.
    pub pool: PoolId,
    /// Whether it is up.
    pub health: Health,
    /// The grant that keeps it out of service, if one does.
    pub grant: Option<Grant>,
    /// The offset of the record that changed it last.
    pub version: Offset,
}

impl Vm {
    /// Tells whether the VM takes new work.
    pub fn is_available(&self) -> bool {
        self.health == Health::Up && self.grant.is_none()
    }
}

/// Whether a VM is up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// It answers.
    Up,
    /// The platform will take it away soon.
    Leaving,
    /// It does not answer, or is suspected not to.
    Down,
    /// The platform no longer lists it; it is charged until replaced or forgotten.
    Gone,
}

/// Leave to take one VM out of service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The offset of the grant: its id.
    pub id: Offset,
    /// What for.
    #[serde(rename = "errand")]
    pub purpose: GrantPurpose,
    /// The entry that carries it out.
    pub holder: EntryId,
    /// When the holder's lease ends.
    pub deadline: SystemTime,
    /// The fencing token: the offset of the grant's last change that calls to the platform must
    /// be told apart by.
    pub token: Offset,
    /// How far the errand has come.
    pub step: Step,
    /// The VM's count of boots when the grant was made.
    pub boot: u64,
}

/// How far an errand has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// The VM is to be drained; this can be taken back.
    Draining,
    /// The call that cannot be undone has been announced.
    Begun,
    /// The grant was taken back; the VM is charged until its drain is known to have ended.
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
    /// The place or pool that it covers.
    pub scope: Path,
    /// A VM that booted later than this is done.
    pub from: SystemTime,
    /// Whether it goes on.
    pub state: WaveState,
}

/// Whether a wave goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaveState {
    /// VMs are granted as the budgets allow.
    Running,
    /// Nothing new is granted.
    Paused,
    /// Ended by an operator.
    Cancelled,
    /// Every VM of the scope is done.
    Done,
}
