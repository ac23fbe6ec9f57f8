//! The edges towards the platform: its log, its list of VMs, the calls that change a VM, and the
//! names of the task interface of its workers.
//!
//! The traits are what the rest of the system knows; the wire form behind them stays in here, so
//! that another one fits.

mod error;
mod http;
mod log;
pub mod task;
mod vms;

pub use error::{CallError, Certainty};
pub use http::HttpPlatform;
pub use log::{Appended, Log};
pub use vms::{VmCall, VmInfo, VmLifecycle, Vms};
