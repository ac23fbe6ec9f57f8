//! Makes records durable, and continues in the meantime with work that needs none.

use super::Owner;
use crate::entry::{
    node::wall_ms,
    outage,
    store_calls::{self, AppendKind},
};
use adapter::store::{AppendResponse, Condition, frame_keyed};
use clock::Instant;
use jobs::{Batch, Calls, Entry, NextCall, Order};
use std::{mem, ops::ControlFlow, pin::pin, rc::Rc, time::Duration};
use tokio::time;
use tracing::{error, warn};

/// Topic of the jobs of the cell.
pub(super) const TOPIC: &str = "keyed.jobs";

/// Producer name under which owners append to the topic. Their epochs fence earlier owners off.
const PRODUCER: &str = "owner";

/// Duration of an append after which work continues without it: ten times the usual one.
pub(super) const SLOW_APPEND_THRESHOLD: Duration = Duration::from_millis(150);

/// Interval between two checks for work that is possible while an append is in progress.
const STALL_INTERVAL: Duration = Duration::from_millis(50);

/// Delay before a failed append is retried.
pub(super) const RETRY_INTERVAL: Duration = Duration::from_millis(60);

/// What became of one call.
enum CallOutcome {
    /// Its records are durable.
    Durable,
    /// The store refuses the records as they are.
    Invalid,
    /// The owner has ended.
    Ended,
}

/// Makes the records of a batch durable, in as many calls as the limits of the store require, and retrying as often as
/// needed. A job with a record that the store never accepts is abandoned and removed from the batch. Returns false if
/// the owner has ended. Work that needs no records is done in the meantime. `sequence` is the number of the next call.
pub async fn append(owner: &Rc<Owner>, batch: &mut Batch, sequence: &mut u64) -> bool {
    timed(owner, append_in_calls(owner, batch, sequence)).await
}

/// Fences earlier owners off, by a call without records. Returns false if a newer owner has fenced this one off.
pub async fn fence(owner: &Rc<Owner>) -> bool {
    let outcome = timed(owner, call(owner, &[], 0, &mut Vec::new())).await;
    matches!(outcome, CallOutcome::Durable)
}

/// Waits for an append that begins now, and records how long it takes.
async fn timed<T>(owner: &Owner, append: impl Future<Output = T>) -> T {
    owner.appending.set(Some(Instant::now()));
    let outcome = append.await;
    if let Some(since) = owner.appending.take() {
        owner.node.metrics.appended(since.elapsed());
    }
    outcome
}

/// Makes the records of a batch durable in one call after the other.
async fn append_in_calls(owner: &Rc<Owner>, batch: &mut Batch, sequence: &mut u64) -> bool {
    let entries = mem::take(&mut batch.entries);
    let mut calls = Calls::new(&entries, owner.node.settings.append_limits);
    loop {
        match calls.next_call() {
            NextCall::Done => return true,
            NextCall::GiveUp(entry) => {
                if give_up(owner, entry, batch, &mut calls).is_break() {
                    return false;
                }
            }
            NextCall::Append(records) => {
                match call(owner, &records, *sequence, &mut batch.starts).await {
                    CallOutcome::Durable => {
                        *sequence += 1;
                        calls.remove(records.len());
                    }
                    CallOutcome::Invalid => calls.refuse(records.len()),
                    CallOutcome::Ended => return false,
                }
            }
        }
    }
}

/// Gives up the job of a record that the store never accepts. Ends the owner if the record belongs to no job.
fn give_up(
    owner: &Owner,
    entry: &Entry,
    batch: &mut Batch,
    calls: &mut Calls<'_>,
) -> ControlFlow<()> {
    let Some(job) = entry.job() else {
        warn!(key = entry.key, "the store refuses a record");
        owner.end("the store refuses a record");
        return ControlFlow::Break(());
    };
    let bytes = entry.size();
    error!(
        job = format!("{job:016x}"),
        key = entry.key,
        bytes,
        "gave up a job whose record the store refuses"
    );
    owner.cell.borrow_mut().give_up(job);
    batch.remove_job(job);
    calls.give_up(job);
    ControlFlow::Continue(())
}

/// Calls the store until it accepts the records or refuses them for good.
async fn call(
    owner: &Rc<Owner>,
    records: &[&Entry],
    sequence: u64,
    starts: &mut Vec<Order>,
) -> CallOutcome {
    let rows = records
        .iter()
        .map(|entry| (entry.key.as_str(), entry.value.as_deref()));
    let body = frame_keyed(rows);
    let condition = Condition::Producer {
        name: PRODUCER,
        epoch: owner.epoch,
        sequence,
    };
    while owner.is_alive() {
        let call = store_calls::append(
            &owner.node,
            AppendKind::Jobs,
            TOPIC,
            condition,
            body.clone(),
        );
        match work_while_waiting(owner, call, starts).await {
            Ok(AppendResponse::Done(_)) => return CallOutcome::Durable,
            Ok(AppendResponse::Fenced) => owner.end("a newer owner appends"),
            Ok(AppendResponse::Busy) | Err(_) => {
                let pause = time::sleep(RETRY_INTERVAL);
                work_while_waiting(owner, pause, starts).await;
            }
            Ok(AppendResponse::Invalid) if !records.is_empty() => return CallOutcome::Invalid,
            Ok(odd) => {
                warn!(?odd, sequence, "an append was refused");
                owner.end("an append was refused");
            }
        }
    }
    CallOutcome::Ended
}

/// Waits for a call. While an append is slow, work continues with jobs that are already in the log.
async fn work_while_waiting<T>(
    owner: &Rc<Owner>,
    call: impl Future<Output = T>,
    starts: &mut Vec<Order>,
) -> T {
    let mut call = pin!(call);
    loop {
        if let Ok(outcome) = time::timeout(STALL_INTERVAL, call.as_mut()).await {
            return outcome;
        }
        if owner.is_append_pending_for(SLOW_APPEND_THRESHOLD)
            && owner.loaded.get()
            && owner.may_hold()
        {
            outage::start_check(owner);
            if owner.stall().may_start_unrecorded() {
                owner.unrecorded_start_at.set(Some(Instant::now()));
                start_unrecorded(owner, starts);
            } else {
                // A renewal of the lease has to announce unrecorded runs to the next owner before
                // any is started.
                owner.lease_due.notify_one();
            }
        }
    }
}

/// Starts due tasks of jobs that are in the log, although the starts themselves are not recorded. A
/// new owner contacts all workers before it starts any task that waited.
fn start_unrecorded(owner: &Rc<Owner>, starts: &mut Vec<Order>) {
    let now = Instant::now();
    owner.update_workspaces();
    if !owner.update_hall_drains() {
        return;
    }
    let mut cell = owner.cell.borrow_mut();
    cell.mark_due(wall_ms());
    cell.stop_stalled(now);
    cell.schedule_unrecorded(now);
    let mut due_starts = cell.extract_durable_starts(starts);
    due_starts.extend(cell.take_durable_starts());
    drop(cell);
    owner.send_urgent();
    owner.send(due_starts);
}
