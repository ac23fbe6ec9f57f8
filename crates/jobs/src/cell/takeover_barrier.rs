//! What a new owner has to know before the tasks that waited under the one before it may start.

use crate::{Cell, ServiceId, WorkerName};
use clock::Instant;
use std::collections::HashMap;

/// What has to be known before the tasks that waited under an earlier owner start.
#[derive(Debug, Default)]
pub(crate) struct TakeoverBarrier {
    /// The jobs before this place in the order of arrival are held.
    first_own_order: u64,
    /// When nothing of the earlier owner can run any more.
    expires: Option<Instant>,
    /// Whether the list of workers has been read.
    pub(crate) listed: bool,
    /// Whether the list of VMs is to be read, too.
    awaits_vm_list: bool,
    /// Workers of VMs that have not been met.
    pub(crate) expected_workers: HashMap<WorkerName, ServiceId>,
}

impl Cell {
    /// Keeps what waited under an earlier owner from starting until its workers have been met: while
    /// the log was away, that owner may have started runs that it could not record. Its leases have
    /// run out at `expires`. If the log was away of late, the list of workers may lack some that live,
    /// and the list of VMs is asked, too.
    pub fn raise_takeover_barrier(&mut self, expires: Instant, store_outage: bool) {
        self.takeover_barrier = TakeoverBarrier {
            first_own_order: self.next_order,
            expires: Some(expires),
            awaits_vm_list: store_outage,
            ..TakeoverBarrier::default()
        };
        self.charge_unrecorded();
    }

    /// Frees the accounts of what an earlier owner may have started without a record, by service, once nothing of it can
    /// run unknown.
    pub(crate) fn release_unrecorded_charges(&mut self, now: Instant) {
        for service in self.unrecorded_services() {
            if !self.is_blocked_by_barrier(0, &service, now) {
                self.release_unrecorded(&service);
            }
        }
    }

    /// The list of workers has been read for the first time.
    pub fn mark_listed(&mut self) {
        self.takeover_barrier.listed = true;
    }

    /// The list of VMs has been read for the first time: these workers run on them.
    pub fn expect_workers(&mut self, workers: impl IntoIterator<Item = (WorkerName, ServiceId)>) {
        let current = |name: &WorkerName| self.workers.get(self.incarnations.current(name)?);
        let was_contacted = |name: &WorkerName| current(name).is_some_and(|worker| worker.met);
        let uncontacted = workers.into_iter().filter(|(name, _)| !was_contacted(name));
        let expected_workers = uncontacted.collect();
        self.takeover_barrier.expected_workers = expected_workers;
        self.takeover_barrier.awaits_vm_list = false;
    }

    /// Whether a task waits for workers to be met.
    pub(crate) fn is_blocked_by_barrier(&self, order: u64, service: &str, now: Instant) -> bool {
        let barrier = &self.takeover_barrier;
        if order >= barrier.first_own_order || barrier.expires.is_some_and(|at| now >= at) {
            return false;
        }
        !barrier.listed
            || barrier.awaits_vm_list
            || barrier.expected_workers.values().any(|of| of == service)
            || self.workers.of(service).any(|w| !w.met)
    }
}
