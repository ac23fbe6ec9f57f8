//! Follows the topic of operators: the configuration, the waves of maintenance and the orders to
//! drain data centres.

use super::{
    lease::set_lease,
    node::Node,
    peer::{self, PeerRequest, PeerResponse, Update},
    store_calls,
    transfer_meter::TransferMeter,
};
use crate::record::Record;
use adapter::{
    http::CallError,
    operator::TOPIC,
    store::{Offset, OpenedRead, ReadResponse, encode_keyed},
    traffic::Party,
};
use clock::Instant;
use fleet::{Backoff, STALE_AGE};
use std::{pin::pin, rc::Rc, time::Duration};
use tokio::time;
use tracing::{info, warn};

/// Time for which a read waits for the next record. A connection that fell silent is detected soon
/// after this, and a change must be in force within 2 s.
const READ_HOLD: Duration = Duration::from_millis(800);

/// Time until the response to a request for newer state to another entry must begin.
const PEER_TIMEOUT: Duration = Duration::from_millis(150);

/// Delay before the store is called again after its first failure to answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum delay after repeated failures. A change must be in force within 2 s.
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(750);

/// Name of the platform's store as the source of a transfer in the log.
const STORE_NAME: &str = "store";

/// Follows the topic forever, except while this entry replicates from another one.
pub async fn run(node: Rc<Node>) {
    if !node.settings.is_seed && !node.settings.seeds.is_empty() {
        node.replication.wait_for_first_update().await;
    }
    let mut backoff = Backoff::new(RETRY_INTERVAL, MAX_RETRY_INTERVAL);
    loop {
        node.replication.wait_until_unfollowing().await;
        node.replication.wait_for_transfers().await;
        let known = node.replication.recent.borrow().end();
        let answered = match known {
            None => read_newest(&node).await,
            Some(from) => read_from(&node, from).await,
        };
        node.replication.read_ended.notify_waiters();
        if answered {
            backoff.reset();
        } else {
            node.replication.wait_for_transfers().await;
            poll_peers(&node).await;
            let pause = time::sleep(backoff.next_delay(rand::random()));
            tokio::select! {
                () = pause => {}
                () = node.replication.read_due.notified() => {}
            }
        }
    }
}

/// Reads the newest records. Returns false if the store did not answer.
async fn read_newest(node: &Node) -> bool {
    let sent = Instant::now();
    let Ok(Some(newest)) = store_calls::newest(node, TOPIC).await else {
        return false;
    };
    let records: Vec<Record> = newest
        .records
        .iter()
        .map(|record| Record::new(encode_keyed(record)))
        .collect();
    apply_newest(node, &records, newest.end);
    node.replication.recent.borrow_mut().confirm(sent);
    node.update_freshness(|freshness| freshness.confirm(sent, sent));
    true
}

/// Applies the newest record of each key of the topic, which ended at `end`.
pub fn apply_newest(node: &Node, newest: &[Record], end: Offset) {
    node.replication.recent.borrow_mut().restart(newest, end);
    let keyed = newest.iter().filter_map(Record::decode).collect();
    node.in_force.borrow_mut().restart(keyed, end);
    node.replication.updated.notify_waiters();
}

/// Reads the records from an offset on, waiting for the next one if there is none. Returns false if
/// the store did not answer.
async fn read_from(node: &Node, from: Offset) -> bool {
    let sent = Instant::now();
    let meter = TransferMeter::start(node, Party::Store);
    let mut held = pin!(store_calls::open_read(node, TOPIC, from, READ_HOLD));
    let outcome = loop {
        tokio::select! {
            opened = held.as_mut() => break apply_opened(node, from, opened, sent, READ_HOLD).await,
            () = node.replication.read_due.notified() => {}
        }
        // Of the two reads, the first one that begins to be answered counts: a record that arrives now would be the
        // response to both.
        let sent = Instant::now();
        tokio::select! {
            opened = held.as_mut() => break apply_opened(node, from, opened, sent, READ_HOLD).await,
            opened = store_calls::open_read_once(node, TOPIC, from) => {
                let outcome = apply_opened(node, from, opened, sent, Duration::ZERO).await;
                if !matches!(outcome, Ok(Applied::Nothing)) {
                    break outcome;
                }
                node.replication.read_ended.notify_waiters();
            }
        }
    };
    complete_read(node, outcome, meter).await
}

/// Completes a read: reads the newest records if it brought only part, and logs a transfer that was abandoned. Returns
/// false if the store did not answer.
async fn complete_read(
    node: &Node,
    outcome: Result<Applied, CallError>,
    meter: TransferMeter,
) -> bool {
    match outcome {
        Ok(Applied::Nothing | Applied::All) => true,
        Ok(Applied::Part) => read_newest(node).await,
        Ok(Applied::Busy) => false,
        Err(error) => {
            meter.log_abandoned(node, STORE_NAME, error);
            false
        }
    }
}

/// What a read has brought.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Applied {
    /// There was no record.
    Nothing,
    /// All records, or all but one, which the next read returns.
    All,
    /// Part of the records, since the size of a response is limited. Most of the others are older versions of the
    /// configuration, so that the newest record of each key is less to transfer.
    Part,
    /// The store did not serve the read.
    Busy,
}

/// Receives the response to a read that was sent at `sent`, and waited for up to `wait` if there were no records, and
/// applies the records.
///
/// # Errors
///
/// Fails if the read did, or if the transfer ends or stalls.
async fn apply_opened(
    node: &Node,
    from: Offset,
    opened: Result<OpenedRead, CallError>,
    sent: Instant,
    wait: Duration,
) -> Result<Applied, CallError> {
    let opened = opened?;
    let transfer = node.replication.begin_transfer();
    let response = opened.receive().await;
    drop(transfer);
    match response? {
        ReadResponse::Records(end, records) => {
            let records: Vec<Record> = records.into_iter().map(Record::new).collect();
            Ok(apply_read(node, from, end, &records, sent, wait))
        }
        ReadResponse::Gone(first) => {
            info!(
                from,
                first, "records of operators were removed from the log; reading the newest ones"
            );
            node.replication.recent.borrow_mut().clear();
            Ok(Applied::Part)
        }
        ReadResponse::Busy => Ok(Applied::Busy),
    }
}

/// Reads the records that the store has now, on an entry that follows another one. Returns false if the store did not
/// answer.
pub async fn read_now(node: &Node) -> bool {
    let Some(from) = node.replication.recent.borrow().end() else {
        return false;
    };
    let sent = Instant::now();
    let meter = TransferMeter::start(node, Party::Store);
    let opened = store_calls::open_read_once(node, TOPIC, from).await;
    let outcome = apply_opened(node, from, opened, sent, Duration::ZERO).await;
    complete_read(node, outcome, meter).await
}

/// Applies the result of a read from an offset on of a topic that ended at `end`. The read was sent
/// at `sent` and waited for up to `wait` if there were no records.
fn apply_read(
    node: &Node,
    from: Offset,
    end: Offset,
    records: &[Record],
    sent: Instant,
    wait: Duration,
) -> Applied {
    apply_records(node, from, records);
    let left = end.saturating_sub(from + records.len() as u64);
    if left == 0 {
        confirm_read(node, records.is_empty(), sent, wait);
    }
    match (left, records.is_empty()) {
        (0, true) => Applied::Nothing,
        (0 | 1, false) => Applied::All,
        _ => Applied::Part,
    }
}

/// Records that a read has returned all records there were, or none at all if it `was_empty`.
fn confirm_read(node: &Node, was_empty: bool, sent: Instant, wait: Duration) {
    // The store sends a response without records when the wait is over, and one with records at any
    // time. The time of arrival does not count, since this process may have been paused meanwhile.
    let answered_at = if was_empty { sent + wait } else { sent };
    let confirmed = answered_at.min(Instant::now());
    node.update_freshness(|freshness| freshness.confirm(sent, confirmed));
    node.replication.recent.borrow_mut().confirm(confirmed);
}

/// Applies the records of operators from an offset on.
pub fn apply_records(node: &Node, from: Offset, records: &[Record]) {
    let mut in_force = node.in_force.borrow_mut();
    let mut recent = node.replication.recent.borrow_mut();
    for (offset, record) in (from..).zip(records) {
        recent.append(offset, record);
        if let Some(record) = record.decode() {
            in_force.apply(record, offset);
        }
    }
    if !records.is_empty() {
        node.replication.updated.notify_waiters();
    }
}

/// Requests newer state from other entries, one after the other, until one has responded whose state is recent. An
/// entry that the store does not answer either, which may be the owner or all seeds, knows no more than this one.
/// Returns whether there was such a response.
pub async fn poll_peers(node: &Node) -> bool {
    for peer in node.known_entries() {
        let request = PeerRequest::Update {
            version: node.in_force.borrow().version(),
            end: node.lease_end.get(),
        };
        let sent = Instant::now();
        let meter = TransferMeter::start(node, Party::Peer);
        match peer::transfer(node, &peer, &request, sent + PEER_TIMEOUT).await {
            Ok(PeerResponse::Update(update)) => {
                let age = Duration::from_millis(update.age);
                apply_update(node, update, sent);
                if age <= STALE_AGE {
                    return true;
                }
            }
            Ok(_) => {}
            Err(error) => meter.log_abandoned(node, &peer, error),
        }
    }
    false
}

/// Applies the state that another entry sent in response to a request of the time `sent`.
fn apply_update(node: &Node, update: Update, sent: Instant) {
    if let Some((lease, end)) = update.lease {
        set_lease(node, lease, end);
    }
    let adopted = node
        .in_force
        .borrow_mut()
        .adopt(update.config, update.hall_drains);
    if let Err(error) = adopted {
        return warn!(%error, "cannot decompress the configuration of another entry");
    }
    let confirmed = sent - Duration::from_millis(update.age);
    node.update_freshness(|freshness| freshness.confirm(sent, confirmed));
}
