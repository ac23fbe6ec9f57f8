//! Drains VMs so that other pools can use them.

use super::{Moves, Round};
use crate::entry::logs::kind;
use clock::Instant;
use fleet::Resize;
use std::time::Duration;
use tracing::info;

/// Maximum time to drain a VM, both as forecast and as measured. A move to another pool takes another 1.5 s, and
/// capacity that stays idle for longer is more useful where it is.
pub(super) const MAX_DRAIN_TIME: Duration = Duration::from_millis(2_000);

/// Maximum time for which a VM gets no new runs before its move is ordered. Orders wait for the platform's rate limit
/// and for the record of the owner's claim; a job must not wait for 3 s beside a VM that has room for it.
const MAX_CLOSED_TIME: Duration = Duration::from_millis(2_500);

/// Time for which a VM is skipped after it took too long to drain.
const STUCK_RETRY_INTERVAL: Duration = Duration::from_millis(4_000);

impl Moves {
    /// Keeps new runs off the VMs that are to be drained and off drained ones that move now, and reopens all others.
    pub(super) fn drain(&mut self, round: Round<'_>, plan: &Resize) {
        let stuck = self.skip_stuck(round.now);
        let going = plan.moves.iter().map(|shift| &shift.vm);
        let drained = going.filter(|name| {
            let since = self.draining.get(*name);
            since.is_some_and(|since| round.now < *since + MAX_CLOSED_TIME)
        });
        let draining = plan.drains.iter().filter(|name| !stuck.contains(name));
        let wanted: Vec<&String> = draining.chain(drained).collect();
        self.reopen_others(round, &wanted);
        self.begin_drains(round, &wanted);
    }

    /// Marks the VMs that took too long to drain as stuck for a while, and returns them.
    fn skip_stuck(&mut self, now: Instant) -> Vec<String> {
        let is_stuck = |since: &Instant| now >= *since + MAX_DRAIN_TIME;
        let stuck = self.draining.iter().filter(|(_, since)| is_stuck(since));
        let stuck: Vec<String> = stuck.map(|(vm, _)| vm.clone()).collect();
        self.stuck.retain(|_, until| now < *until);
        self.stuck.extend(
            stuck
                .iter()
                .map(|vm| (vm.clone(), now + STUCK_RETRY_INTERVAL)),
        );
        stuck
    }

    /// Allows new runs again on VMs that no longer need to be drained, unless a maintenance wave is disrupting them.
    fn reopen_others(&mut self, round: Round<'_>, wanted: &[&String]) {
        let mut cell = round.owner.cell.borrow_mut();
        let others = self.draining.keys().filter(|name| !wanted.contains(name));
        let ended: Vec<String> = others.cloned().collect();
        for name in ended {
            self.draining.remove(&name);
            if let Some(id) = round
                .worker(&name)
                .filter(|_| !round.waves.is_disrupting(&name))
            {
                cell.set_closed(id, false);
            }
        }
    }

    /// Starts to drain those of the given VMs that are not being drained yet.
    fn begin_drains(&mut self, round: Round<'_>, wanted: &[&String]) {
        let mut cell = round.owner.cell.borrow_mut();
        for &name in wanted {
            let id = round.worker(name);
            if let Some(id) = id.filter(|_| !self.draining.contains_key(name)) {
                cell.set_closed(id, true);
                let moved = cell.drain_worker(id, round.now);
                info!(target: kind::WORKER, vm = name, worker = %id, moved, "VM is being drained");
                self.draining.insert(name.clone(), round.now);
            }
        }
    }
}
