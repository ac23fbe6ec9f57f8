//! Workspaces as operators describe them, the keys that open them, and how sure an entry may be that it knows the newest
//! of both. Nothing in here knows a socket or reads a clock.

mod freshness;
mod key;
mod keyring;

pub use freshness::{Freshness, FreshnessAction};
pub use key::{Authorization, Key, KeyDigest, read_authorization};
pub use keyring::Keyring;

use jobs::{Bound, WorkspaceId};

/// A workspace, as a configuration describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Its name.
    pub id: WorkspaceId,
    /// The digests of the keys that open it.
    pub keys: Vec<KeyDigest>,
    /// How many jobs a second it is owed; infinite where operators name none.
    pub rate: f64,
    /// How much it may have running.
    pub bound: Bound,
}
