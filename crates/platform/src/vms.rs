//! The platform's list of VMs and the calls that change a VM.

use crate::error::CallError;
use protocol::{HallId, Offset, PoolId, RackId, VmId};
use serde::{Deserialize, Serialize};

/// Whether the platform will keep a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmLifecycle {
    /// The platform keeps the VM.
    Live,
    /// The platform will remove the VM soon.
    Leaving,
}

/// A VM as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmInfo {
    /// The VM's name.
    pub id: VmId,
    /// The VM's data centre.
    pub hall: HallId,
    /// The VM's rack.
    pub rack: RackId,
    /// The address of the VM's worker, as an IP address with a port.
    pub addr: String,
    /// Number of tasks that the worker can run at the same time.
    pub slots: u32,
    /// Number of times that the VM has booted.
    pub boot: u64,
    /// Whether the platform will keep the VM.
    pub state: VmLifecycle,
    /// Whether the worker responds to the platform.
    pub up: bool,
    /// Whether the worker refuses new tasks.
    pub drained: bool,
    /// Number of tasks that the worker is running.
    pub running: u32,
    /// The pool whose tasks the worker accepts, or an empty string if it accepts those of any pool.
    pub pool: PoolId,
    /// The highest fencing token that any call for the VM has carried.
    pub token: Offset,
}

/// A call that changes a VM. The platform refuses a call whose fencing token is lower than the highest it has seen
/// for the VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "call")]
pub enum VmCall {
    /// Refuses new tasks and lets running tasks finish.
    Drain {
        /// The fencing token.
        token: Offset,
    },
    /// Accepts new tasks again.
    Undrain {
        /// The fencing token.
        token: Offset,
    },
    /// Reboots the VM if its number of boots is still `boot`.
    Reboot {
        /// The fencing token.
        token: Offset,
        /// The number of boots that the caller knows.
        boot: u64,
    },
    /// Returns the VM to the platform.
    Release {
        /// The fencing token.
        token: Offset,
    },
    /// Assigns the VM to another pool and ends its drain.
    Assign {
        /// The fencing token.
        token: Offset,
        /// The name of the pool.
        pool: PoolId,
    },
}

/// The platform's VMs.
pub trait Vms: Send + Sync {
    /// Lists the VMs of a data centre. The list may be out of date, and its counts of running tasks are approximate.
    ///
    /// # Errors
    ///
    /// Fails if the platform cannot be reached.
    fn list(&self, hall: &str) -> Result<Vec<VmInfo>, CallError>;

    /// Reads the current state of one VM. Returns `None` if the platform has no VM of that name.
    ///
    /// # Errors
    ///
    /// Fails if the platform cannot be reached.
    fn fetch(&self, vm: &str) -> Result<Option<VmInfo>, CallError>;

    /// Changes a VM.
    ///
    /// # Errors
    ///
    /// After [`CallError::ResponseLost`] the call may have taken effect, or may do so later.
    fn call(&self, vm: &str, call: &VmCall) -> Result<(), CallError>;
}
