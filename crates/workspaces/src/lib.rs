//! Workspaces as configured by operators, the keys that open them, and the decision how long an entry may
//! rely on its copy of both. The crate does no I/O and reads no clock.

mod freshness;
mod key;
mod keyring;

pub use freshness::{Freshness, FreshnessAction};
pub use key::{Authorization, Key, KeyDigest, read_authorization};
pub use keyring::Keyring;

use jobs::{Bound, WorkspaceId};

/// A workspace as described in a configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// The name of the workspace.
    pub id: WorkspaceId,
    /// The digests of the keys that open the workspace.
    pub keys: Vec<KeyDigest>,
    /// The number of jobs per second that the workspace is entitled to, or infinity if operators set no
    /// rate.
    pub rate: f64,
    /// The limit on the work that the workspace may have running.
    pub bound: Bound,
}
