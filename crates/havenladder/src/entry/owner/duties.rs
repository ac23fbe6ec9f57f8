//! Whether the owner may give orders about a VM now: recorded first, and not in turn with the owner
//! before it.

use super::Owner;
use crate::entry::inner::{self, Ask, Tell};
use jobs::Holder;
use std::{
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{task, time};
use tracing::info;

/// How long the record of the VMs may take to be durable; it takes 15 ms as a rule.
const RECORDED: Duration = Duration::from_millis(500);

/// How long an earlier owner may take to answer which life of it runs; it takes some ms.
const ANSWER: Duration = Duration::from_millis(200);

/// Time until it is asked again: its process may be starting.
const AGAIN: Duration = Duration::from_millis(100);

impl Owner {
    /// Waits until orders about VMs may be given; false if they may not.
    pub async fn claim_vms(self: &Rc<Self>, vms: &[&str]) -> bool {
        if !self.is_certain() {
            return false;
        }
        let matters = self.node.settings.lease;
        let noted = vms.iter().copied();
        let holder = self.holder();
        let version = self
            .cell
            .borrow_mut()
            .note_orders(noted, &holder, Instant::now(), matters);
        self.wake();
        loop {
            let settled = self.settled.notified();
            if self.cell.borrow().orders_durable(version) {
                return self.is_certain();
            }
            if !self.is_certain() || time::timeout(RECORDED, settled).await.is_err() {
                return false;
            }
        }
    }

    /// Whether an earlier owner may have given an order about a VM that is still under way, also if its
    /// process has ended since: bounds and budgets count such a VM as one that goes.
    pub fn is_doubtful(&self, vm: &str) -> bool {
        Instant::now() < self.duties && self.cell.borrow().earlier_holder(vm).is_some()
    }

    /// Whether a VM is to be left alone because an earlier owner that may still run may have just given
    /// an order about it.
    pub fn must_spare(&self, vm: &str) -> bool {
        if Instant::now() >= self.duties {
            return false;
        }
        let cell = self.cell.borrow();
        let holder = cell.earlier_holder(vm);
        holder.is_some_and(|holder| !self.ended.borrow().contains(&holder.life))
    }

    /// In whose name this owner gives orders.
    fn holder(&self) -> Holder {
        Holder {
            life: self.node.life,
            address: self.node.inner_address(),
        }
    }
}

/// Finds out which of the earlier owners have ended, as long as their orders matter.
pub async fn watch_holders(owner: Rc<Owner>) {
    for holder in owner.cell.borrow().earlier_holders() {
        task::spawn_local(watch_holder(Rc::clone(&owner), holder));
    }
    time::sleep_until(owner.duties.into()).await;
    owner.cell.borrow_mut().forget_holders();
}

/// Asks at an earlier owner's address which life answers there: another one has taken its place.
async fn watch_holder(owner: Rc<Owner>, holder: Holder) {
    while owner.is_alive() && Instant::now() < owner.duties {
        if let Some(life) = ask_life(&owner, &holder).await {
            if life != holder.life {
                info!(address = holder.address, life, "an earlier owner has ended");
                owner.ended.borrow_mut().insert(holder.life);
            }
            return;
        }
        time::sleep(AGAIN).await;
    }
}

/// Which life answers at an earlier owner's address; none if nobody does.
async fn ask_life(owner: &Owner, holder: &Holder) -> Option<u64> {
    let node = &owner.node;
    if holder.address == node.inner_address() {
        return Some(node.life);
    }
    match inner::ask(node, &holder.address, &Ask::Life, Instant::now() + ANSWER).await {
        Ok(Tell::Life(presence)) => Some(presence.life),
        // It may be starting, or out of reach: its orders count until they do not matter any more.
        Ok(_) | Err(_) => None,
    }
}
