//! Applies the drain orders for data centres to the cell, and stops runs there that can continue
//! elsewhere.

use super::Owner;
use clock::Instant;
use std::rc::Rc;
use tracing::info;

impl Owner {
    /// Applies the newest drain orders to the cell, unless it has them already. Returns false while
    /// no orders are known, in which case nothing may be started yet.
    pub fn update_hall_drains(&self) -> bool {
        let in_force = self.node.in_force.borrow();
        let hall_drains = in_force.hall_drains();
        let as_of = hall_drains.as_of();
        if self.hall_drains_as_of.replace(as_of) != as_of {
            let halls = hall_drains.halls().clone();
            self.cell.borrow_mut().set_drained_halls(halls);
        }
        as_of > 0
    }

    /// Stops runs in the data centres that are to be drained, as far as they can continue elsewhere
    /// now.
    pub fn drain_halls(self: &Rc<Self>) {
        if !self.may_hold() {
            return;
        }
        let stopped = self.cell.borrow_mut().drain_halls(Instant::now());
        if stopped > 0 {
            let left = self.cell.borrow().count_runs_in_drained_halls();
            self.node.metrics.drained_runs(stopped);
            info!(
                stopped,
                left, "stopped runs in data centres that are to be drained"
            );
            self.wake();
        }
    }
}
