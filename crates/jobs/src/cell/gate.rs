//! What a new owner has to know before the tasks that waited under the one before it may start.

use crate::{Cell, ServiceId, WorkerName};
use clock::Instant;
use std::collections::HashMap;

/// What has to be known before the tasks that waited under an earlier owner start.
#[derive(Debug, Default)]
pub(crate) struct Gate {
    /// The jobs before this place in the order of arrival are held.
    order: u64,
    /// When nothing of the earlier owner can run any more.
    expires: Option<Instant>,
    /// Whether the list of workers has been read.
    pub(crate) listed: bool,
    /// Whether the list of VMs is to be read, too.
    wants_vms: bool,
    /// Workers of VMs that have not been met.
    pub(crate) expected: HashMap<WorkerName, ServiceId>,
}

impl Cell {
    /// Keeps what waited under an earlier owner from starting until its workers have been met: while
    /// the log was away, that owner may have started runs that it could not record. Its leases have
    /// run out at `expires`. If the log was away of late, the list of workers may lack some that live,
    /// and the list of VMs is asked, too.
    pub fn close_gate(&mut self, expires: Instant, troubled: bool) {
        self.gate = Gate {
            order: self.next_order,
            expires: Some(expires),
            wants_vms: troubled,
            ..Gate::default()
        };
        self.charge_unrecorded();
    }

    /// Frees the accounts of what an earlier owner may have started without a record, by service, once nothing of it can
    /// run unknown.
    pub(crate) fn settle_unrecorded(&mut self, now: Instant) {
        for service in self.unrecorded_services() {
            if !self.is_gated(0, &service, now) {
                self.forget_unrecorded(&service);
            }
        }
    }

    /// The list of workers has been read for the first time.
    pub fn mark_listed(&mut self) {
        self.gate.listed = true;
    }

    /// The list of VMs has been read for the first time: these workers run on them.
    pub fn expect_workers(&mut self, workers: impl IntoIterator<Item = (WorkerName, ServiceId)>) {
        let life = |name: &WorkerName| self.workers.get(self.lives.current(name)?);
        let met = |name: &WorkerName| life(name).is_some_and(|worker| worker.contacted);
        let unmet = workers.into_iter().filter(|(name, _)| !met(name));
        let expected = unmet.collect();
        self.gate.expected = expected;
        self.gate.wants_vms = false;
    }

    /// Whether a task waits for workers to be met.
    pub(crate) fn is_gated(&self, order: u64, service: &str, now: Instant) -> bool {
        let gate = &self.gate;
        if order >= gate.order || gate.expires.is_some_and(|at| now >= at) {
            return false;
        }
        !gate.listed
            || gate.wants_vms
            || gate.expected.values().any(|of| of == service)
            || self.workers.of(service).any(|w| !w.contacted)
    }
}
