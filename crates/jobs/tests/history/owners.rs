//! Changes of owner, after which leases are counted as the entry does.

use super::{History, LEASE_MS, LOG_OUTAGE_LIMIT_MS, TICK_MS, restarts::MAX_LEASE_MS};
use clock::Instant;
use havenladder_jobs::{
    Cell, Decoded, HeldLeases, InheritedLeases, Loss, RemainingLeases, WorkerId, WorkerInfo,
    decode_entry,
};
use rand::Rng;
use std::time::Duration;

/// Time after an outage of the log for which the next owner is told that runs may have no record, in ms.
const UNRECORDED_AGE_MS: u64 = 3_000;

/// The next owner and how its predecessor ended.
pub(super) struct NextOwner {
    at: u64,
    predecessor: PredecessorEnd,
}

/// How the previous owner ended.
enum PredecessorEnd {
    Released(RemainingLeases),
    /// Its last renewal was sent at this time.
    Replaced(Instant),
}

/// Returns the maximum time for which a lease of this duration holds, in steps of the simulation.
pub(super) fn max_lease_duration(lease_ms: u64) -> Duration {
    Duration::from_millis(lease_ms + TICK_MS)
}

/// Returns the maximum time for which the longest lease holds.
pub(super) fn longest_lease() -> Duration {
    max_lease_duration(MAX_LEASE_MS)
}

impl History {
    /// Ends the owner, which says in its record for how long leases hold.
    pub(super) fn release_cell(&mut self) {
        if self.unasked().next_owner.is_some() {
            return;
        }
        let now = self.instant();
        let cell = &self.cell;
        let unasked = self.unasked.as_mut().unwrap();
        let contacts = unasked.contacts.iter();
        let workers = cell.workers.keys();
        let held = HeldLeases {
            known: contacts
                .map(|(id, contact)| (id.clone(), contact.lease_until))
                .collect(),
            unasked: workers
                .filter_map(|id| Some((id.clone(), cell.unreported_until(id)?)))
                .collect(),
        };
        let leases = unasked
            .inherited
            .at_release(held, max_lease_duration(LEASE_MS), now);
        let at = self.now + unasked.rng.random_range(0..300);
        unasked.next_owner = Some(NextOwner {
            at,
            predecessor: PredecessorEnd::Released(leases),
        });
        self.forget_owner();
    }

    /// Ends the owner without a release.
    pub(super) fn replace_owner(&mut self) {
        let now = self.now;
        let start = self.start;
        let outage = self.log_unavailable_until > now;
        let unasked = self.unasked();
        if unasked.next_owner.is_some() {
            return;
        }
        let mut renewed = now - unasked.rng.random_range(0..300);
        if let Some(since) = unasked.outage_since.filter(|_| outage) {
            renewed = renewed.min(since);
        }
        // The next owner counts all calls, late ones included, as carried out within this time.
        unasked.drop_calls_after(renewed + LOG_OUTAGE_LIMIT_MS);
        let at = now + unasked.rng.random_range(0..1_000);
        let renewed = start + Duration::from_millis(renewed);
        unasked.next_owner = Some(NextOwner {
            at,
            predecessor: PredecessorEnd::Replaced(renewed),
        });
        self.forget_owner();
    }

    /// Begins the next owner, which loads the log and reads the list of workers.
    fn begin_owner(&mut self, end: &PredecessorEnd) {
        if let Some(batch) = self.pending.take()
            && self.unasked().rng.random_bool(0.5)
        {
            self.append_entries(&batch.entries);
        }
        let now = self.instant();
        let usual = max_lease_duration(LEASE_MS);
        let inherited = match end {
            PredecessorEnd::Released(leases) => InheritedLeases::remaining(leases, usual, now),
            PredecessorEnd::Replaced(renewed) => InheritedLeases::until(
                *renewed + Duration::from_millis(LOG_OUTAGE_LIMIT_MS) + longest_lease(),
            ),
        };
        self.fence += 1;
        self.owner_since = self.now;
        self.log_unavailable_until = 0;
        self.acknowledged.clear();
        let log = self.log.iter();
        let decoded: Vec<Decoded> = log
            .map(|(key, value)| decode_entry(key, value).unwrap())
            .collect();
        self.cell = Cell::new(self.cell.limits.clone());
        self.cell.load_records(decoded);
        let leases = inherited.latest();
        if self.now < self.unasked().unrecorded_until {
            self.cell.raise_takeover_barrier(leases, true);
            // These runs may go on until the leases have expired.
            let until = leases.saturating_duration_since(self.start).as_millis() as u64;
            let unrecorded_until = &mut self.unasked().unrecorded_until;
            *unrecorded_until = until.max(*unrecorded_until);
        }
        self.unasked().inherited = inherited;
        self.list_workers();
        // The list of VMs names the workers that the other list lacks.
        let names = self.names().into_iter();
        let vms: Vec<_> = names
            .map(|name| (name.clone(), self.entry(&name).service))
            .collect();
        self.cell.expect_workers(vms);
    }

    /// Reads the list of workers for the first time.
    pub(super) fn list_workers(&mut self) {
        let now = self.instant();
        let listed: Vec<WorkerId> = self.unasked().listed.values().cloned().collect();
        for id in listed {
            let entry = WorkerInfo {
                id: id.clone(),
                ..self.entry(id.name())
            };
            self.cell.list_worker(entry, now);
        }
        self.cell.mark_listed();
    }

    /// Does what the owner of the cell does in a step.
    pub(super) fn own_cell(&mut self) {
        let now = self.now;
        let due = self.unasked().next_owner.take_if(|next| next.at <= now);
        if let Some(next) = due {
            self.begin_owner(&next.predecessor);
        }
        if self.unasked().next_owner.is_some() {
            return;
        }
        self.abandon_orphans();
        self.watch_workers();
        self.apply_start_outcomes();
        self.send_stops();
        if now < self.log_unavailable_until {
            // Durable jobs start tasks now.
            self.unasked().unrecorded_until = now + UNRECORDED_AGE_MS;
        }
        self.schedule();
    }

    /// Abandons the workers that no list has named once their leases have expired.
    fn abandon_orphans(&mut self) {
        let now = self.instant();
        for id in self.cell.orphaned_workers() {
            if self.unasked().inherited.of(id.name()) <= now {
                self.cell.abandon_worker(&id, Loss::Ended, now);
            }
        }
    }
}
