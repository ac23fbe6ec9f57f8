//! Applies the configuration of workspaces to the cell, and logs which of them are blocked by their
//! bounds.

use super::Owner;
use crate::entry::node::Node;
use jobs::BoundWait;
use tracing::info;

impl Owner {
    /// Applies the bounds and weights of workspaces in the newest configuration to the cell, unless
    /// it has them already.
    pub fn update_workspaces(&self) {
        let in_force = self.node.in_force.borrow();
        let version = in_force.config().map(|config| config.version);
        if !self.loaded.get() || self.bounds_version.get() == version {
            return;
        }
        let workspaces = in_force.keyring().workspaces();
        let (bounds, weights): (Vec<_>, Vec<_>) = workspaces
            .map(|row| ((row.id.clone(), row.bound), (row.id.clone(), row.rate)))
            .unzip();
        let mut cell = self.cell.borrow_mut();
        cell.set_bounds(bounds);
        cell.set_weights(weights);
        drop(cell);
        self.bounds_version.set(version);
    }
}

/// Logs each workspace that has become blocked by its bound, or is no longer blocked.
pub fn log_bound_waits(node: &Node, waits: Vec<BoundWait>) {
    let version = node.in_force.borrow().version();
    for BoundWait {
        workspace,
        waits,
        used,
        bound,
    } in waits
    {
        node.metrics.waited_for_bound(waits);
        let limits = bound.amounts();
        info!(
            workspace,
            waits,
            ?used,
            most = ?limits,
            version,
            "workspace is blocked by its bound, or no longer blocked"
        );
    }
}
