//! Empties VMs so that other pools can have them.

use super::{Moves, Round};
use clock::Instant;
use fleet::Resize;
use std::time::Duration;
use tracing::info;

/// How long a VM may take to be emptied, as foreseen and in fact: a VM's way to another pool takes 1.5 s,
/// and room that stands empty for longer does more good where it is.
pub(super) const EMPTYING: Duration = Duration::from_millis(2_000);

/// How long a VM that took longer is left alone.
const STUCK_REST: Duration = Duration::from_millis(4_000);

impl Moves {
    /// Keeps new runs off the VMs that are to be emptied, and off those that have been and are to go now;
    /// lets them come again to the others.
    pub(super) fn drain(&mut self, round: Round<'_>, plan: &Resize) {
        let late = self.leave_late(round.now);
        let going = plan.shifts.iter().map(|shift| &shift.vm);
        let emptied = going.filter(|name| self.draining.contains_key(*name));
        let emptying = plan.drains.iter().filter(|name| !late.contains(name));
        let wanted: Vec<&String> = emptying.chain(emptied).collect();
        self.reopen_others(round, &wanted);
        self.empty(round, &wanted);
    }

    /// Leaves the VMs alone for a while that took too long to be emptied, and returns them.
    fn leave_late(&mut self, now: Instant) -> Vec<String> {
        let stuck = |since: &Instant| now >= *since + EMPTYING;
        let late = self.draining.iter().filter(|(_, since)| stuck(since));
        let late: Vec<String> = late.map(|(vm, _)| vm.clone()).collect();
        self.stuck.retain(|_, until| now < *until);
        self.stuck
            .extend(late.iter().map(|vm| (vm.clone(), now + STUCK_REST)));
        late
    }

    /// Lets runs come again to the VMs that are not to be emptied any more; those of a wave stay closed.
    fn reopen_others(&mut self, round: Round<'_>, wanted: &[&String]) {
        let mut cell = round.owner.cell.borrow_mut();
        let others = self.draining.keys().filter(|name| !wanted.contains(name));
        let ended: Vec<String> = others.cloned().collect();
        for name in ended {
            self.draining.remove(&name);
            if let Some(id) = round.worker(&name).filter(|_| !round.waves.holds(&name)) {
                cell.set_closed(id, false);
            }
        }
    }

    /// Begins to empty the VMs among these that are not being emptied yet.
    fn empty(&mut self, round: Round<'_>, wanted: &[&String]) {
        let mut cell = round.owner.cell.borrow_mut();
        for &name in wanted {
            let id = round.worker(name);
            if let Some(id) = id.filter(|_| !self.draining.contains_key(name)) {
                cell.set_closed(id, true);
                let moved = cell.drain_worker(id, round.now);
                info!(vm = name, worker = %id, moved, "VM is emptied");
                self.draining.insert(name.clone(), round.now);
            }
        }
    }
}
