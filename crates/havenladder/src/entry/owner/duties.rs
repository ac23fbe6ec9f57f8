//! Whether the owner may give orders about a VM now: recorded first, and not in turn with the owner
//! before it.

use super::Owner;
use crate::entry::inner::{self, Ask, Tell};
use clock::{Instant, timer};
use jobs::Holder;
use std::{rc::Rc, time::Duration};
use tokio::{task, time};
use tracing::info;

/// How long the record of the VMs is waited for before a renewal of the lease tells of the orders in its
/// place: ten times what it takes as a rule.
const RECORDED_WITHIN: Duration = Duration::from_millis(150);

/// How long a renewal that tells of them may take: one that is under way, and the next, 360 ms each at 89
/// times the usual.
const ANNOUNCED_WITHIN: Duration = Duration::from_millis(1_000);

/// How long an earlier owner may take to answer which life of it runs; it takes some ms.
const LIFE_TIMEOUT: Duration = Duration::from_millis(200);

/// Time until it is asked again: its process may be starting.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

impl Owner {
    /// Waits until orders about VMs may be given; false if they may not.
    pub async fn claim_vms(self: &Rc<Self>, vms: &[&str]) -> bool {
        if !self.is_certain() {
            return false;
        }
        let matters = self.node.settings.lease;
        let noted = vms.iter().copied();
        let holder = self.holder();
        let version =
            self.cell
                .borrow_mut()
                .record_vm_orders(noted, &holder, Instant::now(), matters);
        self.wake();
        let recorded = || self.cell.borrow().are_vm_orders_durable(version);
        if self.wait_until(RECORDED_WITHIN, recorded).await {
            return self.is_certain();
        }
        self.order_due.set(Some(Instant::now()));
        self.lease_due.notify_one();
        // A renewal that succeeded after the store became slow is enough: each one repeats it.
        let told = || recorded() || self.orders_told.get();
        self.wait_until(ANNOUNCED_WITHIN, told).await && self.is_certain()
    }

    /// Waits until something holds; false if it does not in time, or this owner cannot be certain any more.
    async fn wait_until(&self, within: Duration, holds: impl Fn() -> bool) -> bool {
        let until = Instant::now() + within;
        loop {
            let settled = self.settled.notified();
            if holds() {
                return true;
            }
            if !self.is_certain() || timer::timeout_at(until, settled).await.is_err() {
                return false;
            }
        }
    }

    /// Whether orders about VMs that are not recorded may have been given, or may be soon: the next owner is
    /// to know as long as they matter.
    pub fn may_order_unrecorded(&self) -> bool {
        let inherited =
            Instant::now() < self.duties && self.cell.borrow().are_all_vms_unconfirmed();
        let matters = self.node.settings.lease + ANNOUNCED_WITHIN;
        inherited
            || self
                .order_due
                .get()
                .is_some_and(|at| at.elapsed() < matters)
    }

    /// Whether an earlier owner may have given an order about a VM that is still under way, also if its
    /// process has ended since: bounds and budgets count such a VM as one that goes.
    pub fn is_doubtful(&self, vm: &str) -> bool {
        Instant::now() < self.duties && self.cell.borrow().may_be_ordered(vm)
    }

    /// Whether a VM is to be left alone because an earlier owner that may still run may have just given
    /// an order about it.
    pub fn must_spare(&self, vm: &str) -> bool {
        let matters = Instant::now() < self.duties;
        matters && self.cell.borrow().must_skip(vm, &self.ended.borrow())
    }

    /// In whose name this owner gives orders.
    fn holder(&self) -> Holder {
        Holder {
            incarnation: self.node.life,
            address: self.node.inner_address(),
        }
    }
}

/// Finds out which of the earlier owners have ended, as long as their orders matter.
pub async fn watch_holders(owner: Rc<Owner>) {
    for holder in owner.cell.borrow().earlier_holders() {
        task::spawn_local(watch_holder(Rc::clone(&owner), holder));
    }
    timer::sleep_until(owner.duties).await;
    owner.cell.borrow_mut().forget_earlier_holders();
}

/// Asks at an earlier owner's address which life answers there: another one has taken its place.
async fn watch_holder(owner: Rc<Owner>, holder: Holder) {
    while owner.is_alive() && Instant::now() < owner.duties {
        if let Some(life) = ask_life(&owner, &holder).await {
            if life != holder.incarnation {
                info!(address = holder.address, life, "an earlier owner has ended");
                owner.ended.borrow_mut().insert(holder.incarnation);
            }
            return;
        }
        time::sleep(RETRY_INTERVAL).await;
    }
}

/// Which life answers at an earlier owner's address; none if nobody does.
async fn ask_life(owner: &Owner, holder: &Holder) -> Option<u64> {
    let node = &owner.node;
    if holder.address == node.inner_address() {
        return Some(node.life);
    }
    match inner::ask(
        node,
        &holder.address,
        &Ask::Life,
        Instant::now() + LIFE_TIMEOUT,
    )
    .await
    {
        Ok(Tell::Life(presence)) => Some(presence.life),
        // It may be starting, or out of reach: its orders count until they do not matter any more.
        Ok(_) | Err(_) => None,
    }
}
