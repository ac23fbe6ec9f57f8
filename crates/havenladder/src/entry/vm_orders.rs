//! Sends orders about VMs concurrently, within the platform's rate limit.

use super::{logs::kind, owner::Owner};
use adapter::cloud::OrderOutcome;
use clock::Instant;
use std::rc::Rc;
use tokio::task;
use tracing::info;

/// The operation that is ordered for a VM.
#[derive(Clone, Debug)]
pub enum VmOperation {
    /// A move to this pool.
    Move(String),
    /// Maintenance in the wave with this number.
    Upkeep(u64),
}

impl VmOperation {
    /// Returns the name of the operation in the metrics.
    fn name(&self) -> &'static str {
        match self {
            VmOperation::Move(_) => "move",
            VmOperation::Upkeep(_) => "upkeep",
        }
    }
}

/// An order about a VM.
#[derive(Clone, Debug)]
pub struct VmOrder {
    /// The name of the VM.
    pub vm: String,
    /// The operation to carry out.
    pub operation: VmOperation,
}

/// Returns how many orders may be sent now.
pub fn available(owner: &Owner) -> usize {
    owner.vm_rate.borrow_mut().available(Instant::now())
}

/// Sends orders concurrently and returns their outcomes in the same order. An outcome is `None` if the platform did
/// not respond, so the order may still be carried out. If the owner is no longer allowed to send orders, the outcome
/// is [`OrderOutcome::Later`].
pub async fn send_all(owner: &Rc<Owner>, orders: Vec<VmOrder>) -> Vec<Option<OrderOutcome>> {
    let calls: Vec<_> = orders
        .into_iter()
        .map(|order| {
            let owner = Rc::clone(owner);
            task::spawn_local(async move { send(&owner, &order).await })
        })
        .collect();
    let mut outcomes = Vec::new();
    for call in calls {
        // The call may have been made before its task panicked.
        outcomes.push(call.await.unwrap_or(None));
    }
    outcomes
}

/// Sends one order.
async fn send(owner: &Owner, order: &VmOrder) -> Option<OrderOutcome> {
    if !owner.is_certain() {
        return Some(OrderOutcome::Later);
    }
    owner.vm_rate.borrow_mut().take();
    owner.node.metrics.ordered_vm(order.operation.name());
    let cloud = &owner.node.cloud;
    let outcome = match &order.operation {
        VmOperation::Move(pool) => cloud.move_vm(&order.vm, pool, owner.epoch).await,
        VmOperation::Upkeep(wave) => cloud.order_maintenance(&order.vm, *wave, owner.epoch).await,
    };
    info!(target: kind::WORKER, vm = order.vm, errand = ?order.operation, epoch = owner.epoch, ?outcome, "VM order sent");
    outcome.ok()
}
