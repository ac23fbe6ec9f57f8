//! Puts what a configuration says of workspaces in force in the cell, and tells which of them wait for their bounds.

use super::Owner;
use crate::entry::node::Node;
use jobs::BoundWait;
use tracing::info;

impl Owner {
    /// Puts the bounds and weights of the newest configuration's workspaces in force, unless they are.
    pub fn update_workspaces(&self) {
        let in_force = self.node.in_force.borrow();
        let version = in_force.config().map(|config| config.version);
        if !self.loaded.get() || self.bounds.get() == version {
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
        self.bounds.set(version);
    }
}

/// One line for each workspace that begins or ceases to wait for its bound.
pub fn tell_bound_waits(node: &Node, waits: Vec<BoundWait>) {
    let version = node.in_force.borrow().version();
    for BoundWait {
        workspace,
        waits,
        used,
        bound,
    } in waits
    {
        node.metrics.waited_for_bound(waits);
        let most = bound.amounts();
        info!(
            workspace,
            waits,
            ?used,
            ?most,
            version,
            "wait for a workspace's bound"
        );
    }
}
