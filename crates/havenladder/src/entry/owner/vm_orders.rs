//! Whether the owner may give orders about a VM now: recorded first, and not in turn with the owner
//! before it.

use super::Owner;
use crate::entry::peer::{self, PeerRequest, PeerResponse};
use clock::{Instant, timer};
use jobs::Holder;
use std::{rc::Rc, time::Duration};
use tokio::{task, time};
use tracing::info;

/// How long the record of the VMs is waited for before a renewal of the lease tells of the orders in its
/// place: ten times what it takes as a rule.
const RECORD_TIMEOUT: Duration = Duration::from_millis(150);

/// How long a renewal that tells of them may take: one that is under way, and the next, 360 ms each at 89
/// times the usual.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long an earlier owner may take to answer which life of it runs; it takes some ms.
const INCARNATION_TIMEOUT: Duration = Duration::from_millis(200);

/// Time until it is asked again: its process may be starting.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

impl Owner {
    /// Waits until orders about VMs may be given; false if they may not.
    pub async fn claim_vms(self: &Rc<Self>, vms: &[&str]) -> bool {
        if !self.is_certain() {
            return false;
        }
        let relevance = self.node.settings.lease;
        let names = vms.iter().copied();
        let holder = self.holder();
        let version = self
            .cell
            .borrow_mut()
            .note_orders(names, &holder, Instant::now(), relevance);
        self.wake();
        let recorded = || self.cell.borrow().orders_durable(version);
        if self.wait_until(RECORD_TIMEOUT, recorded).await {
            return self.is_certain();
        }
        self.unrecorded_order_at.set(Some(Instant::now()));
        self.lease_due.notify_one();
        // A renewal that succeeded after the store became slow is enough: each one repeats it.
        let announced = || recorded() || self.orders_announced.get();
        self.wait_until(ANNOUNCEMENT_TIMEOUT, announced).await && self.is_certain()
    }

    /// Waits until something holds; false if it does not in time, or this owner cannot be certain any more.
    async fn wait_until(&self, within: Duration, is_met: impl Fn() -> bool) -> bool {
        let until = Instant::now() + within;
        loop {
            let settled = self.settled.notified();
            if is_met() {
                return true;
            }
            if !self.is_certain() || timer::timeout_at(until, settled).await.is_err() {
                return false;
            }
        }
    }

    /// Whether orders about VMs that are not recorded may have been given, or may be soon: the next owner is
    /// to know as long as they matter.
    pub fn may_have_unrecorded_orders(&self) -> bool {
        let inherited =
            Instant::now() < self.inherited_orders_until && self.cell.borrow().doubts_all_vms();
        let relevance = self.node.settings.lease + ANNOUNCEMENT_TIMEOUT;
        inherited
            || self
                .unrecorded_order_at
                .get()
                .is_some_and(|at| at.elapsed() < relevance)
    }

    /// Whether an earlier owner may have given an order about a VM that is still under way, also if its
    /// process has ended since: bounds and budgets count such a VM as one that goes.
    pub fn has_unconfirmed_order(&self, vm: &str) -> bool {
        Instant::now() < self.inherited_orders_until && self.cell.borrow().may_be_ordered(vm)
    }

    /// Whether a VM is to be left alone because an earlier owner that may still run may have just given
    /// an order about it.
    pub fn must_skip(&self, vm: &str) -> bool {
        let are_relevant = Instant::now() < self.inherited_orders_until;
        are_relevant
            && self
                .cell
                .borrow()
                .must_spare(vm, &self.ended_owners.borrow())
    }

    /// In whose name this owner gives orders.
    fn holder(&self) -> Holder {
        Holder {
            life: self.node.incarnation,
            address: self.node.peer_address(),
        }
    }
}

/// Finds out which of the earlier owners have ended, as long as their orders matter.
pub async fn watch_earlier_owners(owner: Rc<Owner>) {
    for holder in owner.cell.borrow().earlier_holders() {
        task::spawn_local(watch_earlier_owner(Rc::clone(&owner), holder));
    }
    timer::sleep_until(owner.inherited_orders_until).await;
    owner.cell.borrow_mut().forget_holders();
}

/// Asks at an earlier owner's address which life answers there: another one has taken its place.
async fn watch_earlier_owner(owner: Rc<Owner>, holder: Holder) {
    while owner.is_alive() && Instant::now() < owner.inherited_orders_until {
        if let Some(incarnation) = poll_incarnation(&owner, &holder).await {
            if incarnation != holder.life {
                info!(
                    address = holder.address,
                    life = incarnation,
                    "an earlier owner has ended"
                );
                owner.ended_owners.borrow_mut().insert(holder.life);
            }
            return;
        }
        time::sleep(RETRY_INTERVAL).await;
    }
}

/// Which life answers at an earlier owner's address; none if nobody does.
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
        // It may be starting, or out of reach: its orders count until they do not matter any more.
        Ok(_) | Err(_) => None,
    }
}
