//! What a record of the lease says.

use fleet::MilliCpu;
use serde::{Deserialize, Serialize};

/// One life of an entry's process.
pub type IncarnationId = u64;

/// Who owns the cell, as the log says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The owner's name.
    pub node: String,
    /// Its life.
    #[serde(rename = "life")]
    pub incarnation: IncarnationId,
    /// Where it takes the calls of other entries.
    pub address: String,
    /// Whether it has given the cell up.
    pub released: bool,
    /// When it has: for how many ms more leases of owners before it may hold.
    #[serde(rename = "waits")]
    pub inherited_lease_ms: u64,
    /// The owner's part of a core; when it gave the cell up for a stronger entry, that one's.
    #[serde(default)]
    pub cpu: MilliCpu,
    /// Whether the owner may have started runs that it has not recorded.
    #[serde(default)]
    pub unrecorded: bool,
    /// Whether the owner may have given orders about VMs that it has not recorded.
    #[serde(default, rename = "orders")]
    pub unrecorded_orders: bool,
}

impl Lease {
    /// Whether another record says the same of who owns the cell.
    pub fn has_same_owner(&self, other: &Lease) -> bool {
        self.incarnation == other.incarnation && self.released == other.released
    }
}
