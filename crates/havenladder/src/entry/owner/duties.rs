//! Whether the owner may give orders about a VM now: recorded first, and not in turn with the owner
//! before it.

use super::Owner;
use std::{
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::time;

/// How long the record of the VMs may take to be durable; it takes 15 ms as a rule.
const RECORDED: Duration = Duration::from_millis(500);

impl Owner {
    /// Waits until orders about VMs may be given; false if they may not.
    pub async fn claim_vms(self: &Rc<Self>, vms: &[&str]) -> bool {
        if !self.is_certain() {
            return false;
        }
        let matters = self.node.settings.lease;
        let noted = vms.iter().copied();
        let version = self
            .cell
            .borrow_mut()
            .note_orders(noted, Instant::now(), matters);
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

    /// Whether a VM is to be left alone because an earlier owner may have just given an order about it.
    pub fn must_spare(&self, vm: &str) -> bool {
        Instant::now() < self.duties && self.cell.borrow().was_ordered(vm)
    }
}
