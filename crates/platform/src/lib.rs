//! The interface to the platform: its log, its list of VMs, the calls that change a VM, and the names of its workers'
//! task interface.
//!
//! Other packages only depend on the traits. The wire format is private to this package, so that it can be replaced.

mod error;
mod http;
mod log;
pub mod task;
mod vms;

pub use error::{CallError, Certainty};
pub use http::HttpPlatform;
pub use log::{Appended, Log};
pub use vms::{VmCall, VmInfo, VmLifecycle, Vms};
