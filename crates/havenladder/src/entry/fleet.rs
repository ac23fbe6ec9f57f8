//! The VMs: their list, and what the owner does about them, one look after the other.

use super::{moves::Moves, owner::Owner, upkeep::Waves};
use adapter::cloud::{Vm, VmState};
use std::{
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::time;

/// The VMs by name.
pub type VmList = BTreeMap<String, Vm>;

/// Time between two looks at what the pools need.
const LOOK: Duration = Duration::from_millis(100);

/// Age of the list at which it is read again while VMs are on their way or down: these take 1.5 to
/// 2 s, and each reading has a price.
const FRESH: Duration = Duration::from_millis(250);

/// Age of the list at which it is read again in any case.
const STALE: Duration = Duration::from_millis(3_000);

/// How long an order without an answer, or with one that the list doesn't show, is waited for: orders
/// may be carried out 12 s late.
pub const LOST: Duration = Duration::from_millis(13_000);

/// Runs until the owner ends.
pub async fn run(owner: Rc<Owner>) {
    expect_workers(&owner).await;
    let mut waves = Waves::default();
    let mut moves = Moves::default();
    let mut list = VmList::new();
    let mut read: Option<Instant> = None;
    while owner.is_alive() {
        let busy = waves.is_open(&owner) || moves.is_open();
        let age = if busy { FRESH } else { STALE };
        if read.is_none_or(|at| at.elapsed() >= age)
            && let Ok(Some(vms)) = owner.node.cloud.vms().await
        {
            list = vms.into_iter().map(|vm| (vm.name.clone(), vm)).collect();
            read = Some(Instant::now());
            moves.see(&owner, &list);
            if waves.advance(&owner, &list).await {
                read = None;
                continue;
            }
        }
        if read.is_some() {
            moves.advance(&owner, &list, &waves).await;
        }
        time::sleep(LOOK).await;
    }
}

/// Tells the cell, once, which workers run on the VMs that are up.
async fn expect_workers(owner: &Rc<Owner>) {
    while owner.is_alive() {
        if let Ok(Some(vms)) = owner.node.cloud.vms().await {
            let up = vms.into_iter().filter(|vm| vm.state == VmState::Up);
            let workers = up.filter_map(|vm| Some((vm.worker?, vm.pool)));
            owner.cell.borrow_mut().expect_workers(workers);
            return owner.wake();
        }
        time::sleep(FRESH).await;
    }
}
