//! Holds back tasks that waited under an earlier owner until their workers have been contacted.

use crate::{Cell, ServiceId, Worker, WorkerName};
use clock::Instant;
use std::collections::HashMap;

/// The conditions that must hold before tasks that waited under an earlier owner may start.
#[derive(Debug, Default)]
pub(crate) struct TakeoverBarrier {
    /// The position of the first job that this owner accepted in the order of arrival. Earlier jobs are held
    /// back.
    first_own_order: u64,
    /// The time after which no run of the earlier owner can exist any more.
    expires: Option<Instant>,
    /// Whether the list of workers has been read.
    pub(crate) listed: bool,
    /// Whether the list of VMs still has to be read as well.
    awaits_vm_list: bool,
    /// The workers on listed VMs that have not been contacted yet.
    pub(crate) expected_workers: HashMap<WorkerName, ServiceId>,
}

impl Cell {
    /// Keeps tasks that waited under an earlier owner from starting until its workers have been contacted:
    /// during a store outage, that owner may have started runs that it could not record. Its leases have
    /// expired by `expires`. After a recent store outage the list of workers may lack some that are alive, so
    /// that the list of VMs is read as well.
    pub fn raise_takeover_barrier(&mut self, expires: Instant, store_outage: bool) {
        self.takeover_barrier = TakeoverBarrier {
            first_own_order: self.next_order,
            expires: Some(expires),
            awaits_vm_list: store_outage,
            ..TakeoverBarrier::default()
        };
        self.charge_unrecorded();
    }

    /// Removes the charges for runs that an earlier owner may have started without a record, for each service
    /// in which no unknown run can exist any more.
    pub(crate) fn release_unrecorded_charges(&mut self, now: Instant) {
        for service in self.unrecorded_services() {
            if !self.may_have_unknown_runs(&service, now) {
                self.release_unrecorded(&service);
            }
        }
    }

    /// Records that the list of workers has been read for the first time.
    pub fn mark_listed(&mut self) {
        self.takeover_barrier.listed = true;
    }

    /// Records that the list of VMs has been read for the first time; these are the workers that run on them.
    pub fn expect_workers(&mut self, workers: impl IntoIterator<Item = (WorkerName, ServiceId)>) {
        let current = |name: &WorkerName| self.workers.get(self.incarnations.current(name)?);
        let was_contacted =
            |name: &WorkerName| current(name).is_some_and(|worker| worker.contacted);
        let uncontacted = workers.into_iter().filter(|(name, _)| !was_contacted(name));
        let expected_workers = uncontacted.collect();
        self.takeover_barrier.expected_workers = expected_workers;
        self.takeover_barrier.awaits_vm_list = false;
    }

    /// Returns whether workers of a service may have runs that an earlier owner has started without a record. Tasks
    /// of inherited jobs are held back meanwhile.
    pub(crate) fn may_have_unknown_runs(&self, service: &str, now: Instant) -> bool {
        let barrier = &self.takeover_barrier;
        if barrier.first_own_order == 0 {
            return false;
        }
        if barrier.expires.is_some_and(|at| now >= at) {
            // Such a worker has answered in time and its lease has been extended, so that its ends still count.
            return self.workers.of(service).any(Worker::withholds_ends);
        }
        !barrier.listed
            || barrier.awaits_vm_list
            || barrier.expected_workers.values().any(|of| of == service)
            || self.workers.of(service).any(|w| !w.contacted)
    }

    /// Returns whether a job with this position in the order of arrival was accepted by an earlier owner.
    pub(crate) fn is_inherited(&self, order: u64) -> bool {
        order < self.takeover_barrier.first_own_order
    }

    /// Returns how many workers may have runs although no list has named them: those with runs of an earlier
    /// owner, and those on listed VMs; at least 1 until both lists have been read.
    pub(crate) fn count_unlisted_workers(&self) -> usize {
        let barrier = &self.takeover_barrier;
        let unread = usize::from(!barrier.listed || barrier.awaits_vm_list);
        let expected = barrier.expected_workers.keys();
        let unnamed = expected.filter(|name| self.incarnations.current(name).is_none());
        unread.max(self.orphans.len() + unnamed.count())
    }
}
