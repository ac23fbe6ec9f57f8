//! Puts in force in the cell which data centres are to be emptied, and has what may go on elsewhere leave them.

use super::Owner;
use clock::Instant;
use std::rc::Rc;
use tracing::info;

impl Owner {
    /// Puts the newest orders in force, unless they are. False while nothing is known of them: nothing may begin yet.
    pub fn update_evacuations(&self) -> bool {
        let in_force = self.node.in_force.borrow();
        let evacuations = in_force.evacuations();
        let as_of = evacuations.as_of();
        if self.evacuated.replace(as_of) != as_of {
            let halls = evacuations.halls().clone();
            self.cell.borrow_mut().set_drained_halls(halls);
        }
        as_of > 0
    }

    /// Has runs leave the data centres that are to be emptied, as far as that is possible now.
    pub fn empty_halls(self: &Rc<Self>) {
        if !self.may_hold() {
            return;
        }
        let stopped = self.cell.borrow_mut().drain_halls(Instant::now());
        if stopped > 0 {
            let left = self.cell.borrow().count_runs_in_drained_halls();
            self.node.metrics.left_halls(stopped);
            info!(
                stopped,
                left, "runs leave data centres that are to be emptied"
            );
            self.wake();
        }
    }
}
