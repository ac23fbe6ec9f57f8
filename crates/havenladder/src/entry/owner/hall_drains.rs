//! Applies the drain orders for data centres to the cell, stops runs there that can continue elsewhere, and reports the
//! state of each data centre.

use super::Owner;
use clock::Instant;
use jobs::{EarlierRuns, HallChange, HallState};
use std::{rc::Rc, time::Duration};
use tracing::info;

/// Time between two updates of the states of data centres. Each update visits all workers.
const STATE_INTERVAL: Duration = Duration::from_millis(500);

/// Time until runs in drained data centres are looked at again after none could be stopped. Each look takes some ms
/// with thousands of workers there.
const IDLE_DRAIN_INTERVAL: Duration = Duration::from_millis(300);

/// Duration of an append from which on the store counts as down for a drain: the tasks of runs that are stopped start
/// again only once their records are durable. With a store that is 90 times slower than usual an append takes 540 ms.
const STORE_DOWN_THRESHOLD: Duration = Duration::from_millis(1_000);

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
            let now = Instant::now();
            self.hall_drain_due.set(now);
            self.update_hall_states(now);
        }
        as_of > 0
    }

    /// Stops runs in the data centres that are to be drained, as far as they can continue elsewhere
    /// now, and updates the states of data centres.
    pub fn drain_halls(self: &Rc<Self>) {
        let now = Instant::now();
        if now >= self.hall_states_due.get() {
            self.update_hall_states(now);
        }
        if now < self.hall_drain_due.get() || !self.may_stop_runs() {
            return;
        }
        let stopped = self.cell.borrow_mut().drain_halls(now);
        if stopped == 0 {
            self.hall_drain_due.set(now + IDLE_DRAIN_INTERVAL);
        }
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

    /// Returns whether runs may be stopped so that their tasks start elsewhere. They may not while the store does not
    /// accept the owner's records.
    fn may_stop_runs(&self) -> bool {
        self.is_certain() && !self.is_stalled(STORE_DOWN_THRESHOLD)
    }

    /// Updates the state of each data centre, and logs and exports it. The states stay as they are while another entry
    /// may own the cell, or while no orders are known.
    fn update_hall_states(&self, now: Instant) {
        if !self.is_certain() || self.hall_drains_as_of.get() == 0 {
            return;
        }
        self.hall_states_due.set(now + STATE_INTERVAL);
        let earlier = if now < self.inherited_leases_until {
            EarlierRuns::Possible
        } else {
            EarlierRuns::Excluded
        };
        let mut cell = self.cell.borrow_mut();
        let changes = cell.update_hall_states(earlier, now);
        changes.iter().for_each(log_change);
        let halls = cell.hall_states().halls().clone();
        self.node.metrics.set_halls(halls);
    }
}

/// Logs a change of a data centre's state.
fn log_change(change: &HallChange) {
    let HallChange { hall, from, to } = change;
    info!(
        data_centre = hall,
        from = from.map_or("unknown", HallState::name),
        state = to.state.name(),
        finite = to.runs.finite,
        long_running = to.runs.long_running,
        unknown_workers = to.runs.unknown_workers,
        "state of a data centre changed"
    );
    if to.state == HallState::Drained {
        info!(
            data_centre = hall,
            "nothing runs in the data centre; it is safe to switch off"
        );
    }
}
