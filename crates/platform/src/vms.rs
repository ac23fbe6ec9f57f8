//! The platform's list of VMs and the calls that change one.

use crate::error::CallError;
use protocol::{HallId, Offset, PoolId, RackId, VmId};
use serde::{Deserialize, Serialize};

/// Whether the platform will keep a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmLifecycle {
    /// It stays.
    Live,
    /// The platform will take it away soon.
    Leaving,
}

/// One VM as the platform shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmInfo {
    /// Its name.
    pub id: VmId,
    /// Its hall.
    pub hall: HallId,
    /// Its rack.
    pub rack: RackId,
    /// Where its worker listens, as an IP address with a port.
    pub addr: String,
    /// Tasks that its worker runs at once.
    pub slots: u32,
    /// How often it has booted.
    pub boot: u64,
    /// Whether the platform will keep it.
    pub state: VmLifecycle,
    /// Whether its worker answers the platform.
    pub up: bool,
    /// Whether its worker refuses new tasks.
    pub drained: bool,
    /// Tasks that its worker runs.
    pub running: u32,
    /// The pool that its worker takes tasks for; empty for any.
    pub pool: PoolId,
    /// The highest fencing token that a call has carried.
    pub token: Offset,
}

/// A call that changes a VM. Each carries a fencing token: the platform refuses one that is lower
/// than the highest it has seen for the VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "call")]
pub enum VmCall {
    /// Refuse new tasks; those that run are finished.
    Drain {
        /// The fencing token.
        token: Offset,
    },
    /// Take new tasks again.
    Undrain {
        /// The fencing token.
        token: Offset,
    },
    /// Reboot, if the VM has booted just so often.
    Reboot {
        /// The fencing token.
        token: Offset,
        /// The count of boots that the caller knows.
        boot: u64,
    },
    /// Take the VM back.
    Release {
        /// The fencing token.
        token: Offset,
    },
    /// Take tasks of another pool, and end the drain.
    Assign {
        /// The fencing token.
        token: Offset,
        /// The pool.
        pool: PoolId,
    },
}

/// The platform's VMs.
pub trait Vms: Send + Sync {
    /// Lists the VMs of a hall; the list lags, and counts of running tasks in it are rough.
    ///
    /// # Errors
    ///
    /// Fails when the platform cannot be reached.
    fn list(&self, hall: &str) -> Result<Vec<VmInfo>, CallError>;

    /// Reads one VM afresh; `None` when the platform has none of that name.
    ///
    /// # Errors
    ///
    /// Fails when the platform cannot be reached.
    fn fetch(&self, vm: &str) -> Result<Option<VmInfo>, CallError>;

    /// Changes a VM.
    ///
    /// # Errors
    ///
    /// After [`CallError::ResponseLost`] the call may have taken effect, or may do so later.
    fn call(&self, vm: &str, call: &VmCall) -> Result<(), CallError>;
}
