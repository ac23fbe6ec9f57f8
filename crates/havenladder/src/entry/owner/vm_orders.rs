//! Decides whether the owner may give orders about a VM now. The orders are recorded first, and the
//! previous owner must no longer be able to give orders about the same VM.

use super::Owner;
use crate::entry::{
    fleet::ORDER_TIMEOUT,
    peer::{self, PeerRequest, PeerResponse},
};
use clock::{Instant, timer};
use jobs::Holder;
use std::{rc::Rc, time::Duration};
use tokio::{task, time};
use tracing::info;

/// Time for which the record of the VMs is awaited before a renewal of the lease announces the
/// orders instead: ten times the usual duration of an append.
const RECORD_TIMEOUT: Duration = Duration::from_millis(150);

/// Time for which a renewal that announces the orders is awaited. It covers a renewal in progress and
/// the next one, of 360 ms each if the store is 89 times slower than usual.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Timeout of a poll of an earlier owner's incarnation, which usually takes some ms.
const INCARNATION_TIMEOUT: Duration = Duration::from_millis(200);

/// Delay before the poll of an incarnation is retried, since the process may be starting.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

impl Owner {
    /// Waits until orders about these VMs may be given. Returns false if they may not.
    pub async fn claim_vms(self: &Rc<Self>, vms: &[&str]) -> bool {
        if !self.is_certain() {
            return false;
        }
        let relevance = self.node.settings.order_lease;
        let names = vms.iter().copied();
        let holder = self.holder();
        let version =
            self.cell
                .borrow_mut()
                .record_vm_orders(names, &holder, Instant::now(), relevance);
        self.wake();
        let recorded = || self.cell.borrow().are_vm_orders_durable(version);
        if self.wait_until(RECORD_TIMEOUT, recorded).await {
            return self.is_certain();
        }
        self.unrecorded_order_at.set(Some(Instant::now()));
        self.lease_due.notify_one();
        // A renewal that succeeded after the store became slow is enough, since each renewal
        // repeats the announcement.
        let announced = || recorded() || self.orders_announced.get();
        self.wait_until(ANNOUNCEMENT_TIMEOUT, announced).await && self.is_certain()
    }

    /// Waits until maintenance of these VMs may be ordered, and records that it may begin. Returns false if it may not
    /// be ordered.
    pub async fn claim_for_maintenance(self: &Rc<Self>, vms: &[&str]) -> bool {
        let until = Instant::now() + ORDER_TIMEOUT;
        let names = vms.iter().copied();
        self.cell.borrow_mut().add_pending_maintenance(names, until);
        let claimed = self.claim_vms(vms).await;
        if !claimed {
            self.withdraw_maintenance(vms);
        }
        claimed
    }

    /// Records that this owner does not order maintenance of these VMs after all.
    pub fn withdraw_maintenance(&self, vms: &[&str]) {
        let mut cell = self.cell.borrow_mut();
        vms.iter().for_each(|vm| cell.withdraw_maintenance(vm));
    }

    /// Waits until a condition is met. Returns false if it is not met in time, or if this owner is
    /// no longer certain of its lease.
    async fn wait_until(&self, within: Duration, is_met: impl Fn() -> bool) -> bool {
        let until = Instant::now() + within;
        loop {
            let change = self.state_changed.notified();
            if is_met() {
                return true;
            }
            if !self.is_certain() || timer::timeout_at(until, change).await.is_err() {
                return false;
            }
        }
    }

    /// Returns whether unrecorded orders about VMs may have been given, or may be soon. The next
    /// owner has to know for as long as they are relevant.
    pub fn may_have_unrecorded_orders(&self) -> bool {
        let inherited = Instant::now() < self.inherited_orders_until
            && self.cell.borrow().are_all_vms_unconfirmed();
        let relevance = self.node.settings.order_lease + ANNOUNCEMENT_TIMEOUT;
        inherited
            || self
                .unrecorded_order_at
                .get()
                .is_some_and(|at| at.elapsed() < relevance)
    }

    /// Returns whether an order of an earlier owner about a VM may still be in progress, even if
    /// that owner's process has ended. Bounds and budgets count such a VM as one that is leaving.
    pub fn has_unconfirmed_order(&self, vm: &str) -> bool {
        let now = Instant::now();
        let cell = self.cell.borrow();
        now < self.inherited_orders_until && cell.may_be_ordered(vm)
            || cell.has_pending_maintenance(vm, now)
    }

    /// Returns whether maintenance of a VM that was ordered may still begin.
    pub fn has_pending_maintenance(&self, vm: &str) -> bool {
        let cell = self.cell.borrow();
        cell.has_pending_maintenance(vm, Instant::now())
    }

    /// Returns whether a VM has to be skipped because an earlier owner that may still run may have
    /// just given an order about it.
    pub fn must_skip(&self, vm: &str) -> bool {
        let are_relevant = Instant::now() < self.inherited_orders_until;
        are_relevant
            && self
                .cell
                .borrow()
                .must_skip(vm, &self.ended_owners.borrow())
    }

    /// Returns the identity under which this owner gives orders.
    fn holder(&self) -> Holder {
        Holder {
            incarnation: self.node.incarnation,
            address: self.node.peer_address(),
        }
    }
}

/// Finds out which of the earlier owners have ended, for as long as their orders are relevant.
pub async fn watch_earlier_owners(owner: Rc<Owner>) {
    for holder in owner.cell.borrow().earlier_holders() {
        task::spawn_local(watch_earlier_owner(Rc::clone(&owner), holder));
    }
    timer::sleep_until(owner.inherited_orders_until).await;
    owner.cell.borrow_mut().forget_earlier_holders();
}

/// Polls an earlier owner's address until an incarnation answers. If it is not the earlier owner's
/// own, that owner has ended.
async fn watch_earlier_owner(owner: Rc<Owner>, holder: Holder) {
    while owner.is_alive() && Instant::now() < owner.inherited_orders_until {
        if let Some(incarnation) = poll_incarnation(&owner, &holder).await {
            if incarnation != holder.incarnation {
                info!(
                    address = holder.address,
                    life = incarnation,
                    "an earlier owner has ended"
                );
                owner.ended_owners.borrow_mut().insert(holder.incarnation);
            }
            return;
        }
        time::sleep(RETRY_INTERVAL).await;
    }
}

/// Returns the incarnation that answers at an earlier owner's address, or `None` if there is no
/// answer.
async fn poll_incarnation(owner: &Owner, holder: &Holder) -> Option<u64> {
    let node = &owner.node;
    if holder.address == node.peer_address() {
        return Some(node.incarnation);
    }
    match peer::call(
        node,
        &holder.address,
        &PeerRequest::Incarnation,
        Instant::now() + INCARNATION_TIMEOUT,
    )
    .await
    {
        Ok(PeerResponse::Incarnation(presence)) => Some(presence.incarnation),
        // The process may be starting or unreachable. Its orders count until they are no longer
        // relevant.
        Ok(_) | Err(_) => None,
    }
}
