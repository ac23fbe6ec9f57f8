//! Content of a record of the lease.

use fleet::MilliCpu;
use jobs::{RemainingLeases, WorkerId, WorkerName};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Identifier of one incarnation of an entry's process.
pub type IncarnationId = u64;

/// Ownership of the cell, as written to the lease's log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Name of the owner.
    pub node: String,
    /// Incarnation of the owner's process.
    #[serde(rename = "life")]
    pub incarnation: IncarnationId,
    /// Address on which the owner serves other entries.
    pub address: String,
    /// Whether the owner has released the cell.
    pub released: bool,
    /// In a release: time in ms for which leases of earlier owners may still hold, for workers without a time of their
    /// own.
    #[serde(rename = "waits")]
    pub inherited_lease_ms: u64,
    /// Share of a CPU core that the owner has. In a release for a stronger entry, the share of that
    /// entry.
    #[serde(default)]
    pub cpu: MilliCpu,
    /// Whether the owner may have started runs that it has not recorded.
    #[serde(default)]
    pub unrecorded: bool,
    /// Whether the owner may have given orders about VMs that it has not recorded.
    #[serde(default, rename = "orders")]
    pub unrecorded_orders: bool,
    /// In a release: times in ms for which leases may hold on workers where they may hold longer than usual.
    #[serde(default)]
    pub worker_leases: Vec<(WorkerName, u64)>,
    /// In a release: the incarnations that have not reported all starts that they were sent, with the times in ms for
    /// which these runs may exist at another incarnation.
    #[serde(default)]
    pub unasked_leases: Vec<(WorkerId, u64)>,
}

impl Lease {
    /// Returns for how long leases may hold after the release.
    pub fn remaining_leases(&self) -> RemainingLeases {
        let known = self.worker_leases.iter();
        let unasked = self.unasked_leases.iter();
        RemainingLeases {
            others: Duration::from_millis(self.inherited_lease_ms),
            known: known
                .map(|(name, ms)| (name.clone(), Duration::from_millis(*ms)))
                .collect(),
            unasked: unasked
                .map(|(id, ms)| (id.clone(), Duration::from_millis(*ms)))
                .collect(),
        }
    }

    /// Returns whether both records name the same incarnation as owner and agree on whether it has
    /// released the cell.
    pub fn has_same_owner(&self, other: &Lease) -> bool {
        self.incarnation == other.incarnation && self.released == other.released
    }
}
