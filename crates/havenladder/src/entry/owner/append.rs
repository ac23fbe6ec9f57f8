//! Makes records durable, and goes on meanwhile with what needs none.

use super::Owner;
use crate::entry::{
    node::wall_ms,
    outage,
    store_calls::{self, Matter},
};
use adapter::store::{Appended, Condition, frame_keyed};
use clock::Instant;
use jobs::{Entry, Order};
use std::{pin::pin, rc::Rc, time::Duration};
use tokio::time;
use tracing::warn;

/// The topic with the jobs of the cell.
pub(super) const TOPIC: &str = "keyed.jobs";

/// The name under which owners append to it; their epochs shut out earlier owners.
const PRODUCER: &str = "owner";

/// How long an append may take before work goes on without it: ten times what it takes as a rule.
pub(super) const SLOW: Duration = Duration::from_millis(150);

/// Time between two looks at what can be done while an append is under way.
const STALL_INTERVAL: Duration = Duration::from_millis(50);

/// Time until an append that did not succeed is tried again.
pub(super) const RETRY_INTERVAL: Duration = Duration::from_millis(60);

/// Makes records durable, however often it takes; false if a newer owner shut this one out. What can
/// be done without them is done meanwhile.
pub async fn append(
    owner: &Rc<Owner>,
    entries: &[Entry],
    sequence: u64,
    starts: &mut Vec<Order>,
) -> bool {
    owner.appending.set(Some(Instant::now()));
    let durable = try_append(owner, entries, sequence, starts).await;
    if let Some(since) = owner.appending.take() {
        owner.node.metrics.appended(since.elapsed());
    }
    durable
}

/// Calls the store until it takes the records or refuses them for good.
async fn try_append(
    owner: &Rc<Owner>,
    entries: &[Entry],
    sequence: u64,
    starts: &mut Vec<Order>,
) -> bool {
    let rows = entries
        .iter()
        .map(|entry| (entry.key.as_str(), entry.value.as_deref()));
    let body = frame_keyed(rows);
    let condition = Condition::Producer {
        name: PRODUCER,
        epoch: owner.epoch,
        sequence,
    };
    while owner.is_alive() {
        let call = store_calls::append(&owner.node, Matter::Jobs, TOPIC, condition, body.clone());
        match meanwhile(owner, call, starts).await {
            Ok(Appended::Done(_)) => return true,
            Ok(Appended::Fenced) => owner.end("a newer owner appends"),
            Ok(Appended::Busy) | Err(_) => {
                let pause = time::sleep(RETRY_INTERVAL);
                meanwhile(owner, pause, starts).await;
            }
            Ok(odd) => {
                warn!(?odd, sequence, "an append was refused");
                owner.end("an append was refused");
            }
        }
    }
    false
}

/// Waits for something and, where an append takes long, goes on with jobs that the log holds.
async fn meanwhile<T>(
    owner: &Rc<Owner>,
    call: impl Future<Output = T>,
    starts: &mut Vec<Order>,
) -> T {
    let mut call = pin!(call);
    loop {
        if let Ok(outcome) = time::timeout(STALL_INTERVAL, call.as_mut()).await {
            return outcome;
        }
        if owner.has_waited(SLOW) && owner.loaded.get() && owner.may_hold() {
            outage::ask(owner);
            if owner.stall().may_go_on() {
                owner.unrecorded.set(Some(Instant::now()));
                go_on(owner, starts);
            } else {
                // A renewal tells the next owner first.
                owner.lease_due.notify_one();
            }
        }
    }
}

/// Starts what is due of jobs that the log holds, though the starts themselves are not recorded: a
/// new owner meets all workers before it starts what waited.
fn go_on(owner: &Rc<Owner>, starts: &mut Vec<Order>) {
    let now = Instant::now();
    owner.update_workspaces();
    if !owner.update_evacuations() {
        return;
    }
    let mut cell = owner.cell.borrow_mut();
    cell.mark_due(wall_ms());
    cell.stop_stalled(now);
    cell.schedule_unrecorded(now);
    let mut known = cell.take_known(starts);
    known.extend(cell.take_unrecorded());
    drop(cell);
    owner.send_urgent();
    owner.send(known);
}
