//! Gives orders about VMs: several at once, within the rate that the platform takes.

use super::owner::Owner;
use adapter::cloud::OrderOutcome;
use clock::Instant;
use std::rc::Rc;
use tokio::task;
use tracing::info;

/// What is to become of a VM.
#[derive(Clone, Debug)]
pub enum Errand {
    /// It is to move to this pool.
    Move(String),
    /// It is to have its upkeep in this wave.
    Upkeep(u64),
}

impl Errand {
    /// Its name in the metrics.
    fn name(&self) -> &'static str {
        match self {
            Errand::Move(_) => "move",
            Errand::Upkeep(_) => "upkeep",
        }
    }
}

/// An order about a VM.
#[derive(Clone, Debug)]
pub struct VmOrder {
    /// The VM.
    pub vm: String,
    /// What is to become of it.
    pub errand: Errand,
}

/// How many orders may be given now.
pub fn available(owner: &Owner) -> usize {
    owner.vm_rate.borrow_mut().available(Instant::now())
}

/// Gives orders, all at once, and returns their outcomes in the same order: none where the platform did
/// not answer, so that the order may still be carried out. An owner that may no longer give an order
/// does not: that counts as one that may be tried later.
pub async fn give_all(owner: &Rc<Owner>, orders: Vec<VmOrder>) -> Vec<Option<OrderOutcome>> {
    let calls: Vec<_> = orders
        .into_iter()
        .map(|order| {
            let owner = Rc::clone(owner);
            task::spawn_local(async move { give(&owner, &order).await })
        })
        .collect();
    let mut outcomes = Vec::new();
    for call in calls {
        // A call that panicked may have been made.
        outcomes.push(call.await.unwrap_or(None));
    }
    outcomes
}

/// Gives one order.
async fn give(owner: &Owner, order: &VmOrder) -> Option<OrderOutcome> {
    if !owner.is_certain() {
        return Some(OrderOutcome::Later);
    }
    owner.vm_rate.borrow_mut().take();
    owner.node.metrics.ordered_vm(order.errand.name());
    let cloud = &owner.node.cloud;
    let outcome = match &order.errand {
        Errand::Move(pool) => cloud.move_vm(&order.vm, pool, owner.epoch).await,
        Errand::Upkeep(wave) => cloud.order_maintenance(&order.vm, *wave, owner.epoch).await,
    };
    info!(vm = order.vm, errand = ?order.errand, epoch = owner.epoch, ?outcome, "VM ordered");
    outcome.ok()
}
