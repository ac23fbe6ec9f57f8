//! Puts the bounds of workspaces in force, and tells which of them wait for theirs.

use super::Owner;
use crate::entry::node::Node;
use jobs::BoundWait;
use tracing::info;

impl Owner {
    /// Puts the bounds of the newest configuration in force, unless they are.
    pub fn update_bounds(&self) {
        let in_force = self.node.in_force.borrow();
        let version = in_force.config().map(|config| config.version);
        if !self.loaded.get() || self.bounds.get() == version {
            return;
        }
        let workspaces = in_force.keyring().workspaces();
        let bounds = workspaces.map(|workspace| (workspace.id.clone(), workspace.bound));
        let mut cell = self.cell.borrow_mut();
        cell.set_bounds(bounds);
        let workspaces = in_force.keyring().workspaces();
        cell.set_weights(workspaces.map(|workspace| (workspace.id.clone(), workspace.rate)));
        drop(cell);
        self.bounds.set(version);
    }
}

/// One line for each workspace that begins or ceases to wait for its bound.
pub fn tell(node: &Node, waits: Vec<BoundWait>) {
    let version = node.in_force.borrow().version();
    for BoundWait {
        workspace,
        waits,
        used,
        bound,
    } in waits
    {
        node.metrics.waited_for_bound(waits);
        let most = bound.most();
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
