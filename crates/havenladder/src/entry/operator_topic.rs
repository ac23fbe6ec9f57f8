//! Follows the topic of operators: the configuration, the waves of maintenance and the orders to
//! drain data centres.

use super::{
    lease::set_lease,
    node::Node,
    peer::{self, PeerRequest, PeerResponse, Update},
    store_calls,
    transfers::{self, Transfer},
};
use adapter::{
    operator::TOPIC,
    store::{KeyedRecord, Offset, ReadResponse, decode_keyed},
    traffic::Party,
};
use bytes::Bytes;
use clock::{Instant, timer};
use fleet::Backoff;
use std::{rc::Rc, time::Duration};
use tokio::{task, time};
use tracing::info;
use workspaces::FreshnessAction;

/// Time for which a read waits for the next record. A connection that fell silent is detected soon
/// after this, and a change must be in force within 2 s.
const READ_HOLD: Duration = Duration::from_millis(800);

/// Timeout of a request for newer state to another entry.
const PEER_TIMEOUT: Duration = Duration::from_millis(150);

/// Delay before the store is called again after its first failure to answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum delay after repeated failures. A change must be in force within 2 s.
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(750);

/// Name of the platform's store as the source of a transfer in the log.
const STORE_NAME: &str = "store";

/// Time for which a call waits for a refresh. A response usually takes some ms, and 0.2 s if the
/// store is 50 times slower than usual.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(250);

/// Follows the topic forever, except while this entry replicates from another one.
pub async fn run(node: Rc<Node>) {
    if !node.settings.is_seed && !node.settings.seeds.is_empty() {
        node.replication.wait_for_first_update().await;
    }
    let mut backoff = Backoff::new(RETRY_INTERVAL, MAX_RETRY_INTERVAL);
    loop {
        node.replication.wait_until_unfollowing().await;
        let known = node.replication.recent.borrow().end();
        let answered = match known {
            None => read_newest(&node).await,
            Some(from) => read_from(&node, from).await,
        };
        if answered {
            backoff.reset();
        } else {
            poll_peers(&node).await;
            time::sleep(backoff.next_delay(rand::random())).await;
        }
    }
}

/// Reads the newest records. Returns false if the store did not answer.
async fn read_newest(node: &Node) -> bool {
    let sent = Instant::now();
    let Ok(Some(newest)) = store_calls::newest(node, TOPIC).await else {
        return false;
    };
    apply_newest(node, newest.records, newest.end);
    node.replication.recent.borrow_mut().confirm(sent);
    node.update_freshness(|freshness| freshness.confirm(sent, sent));
    true
}

/// Applies the newest record of each key of the topic, which ended at `end`.
pub fn apply_newest(node: &Node, newest: Vec<KeyedRecord>, end: Offset) {
    node.replication.recent.borrow_mut().restart(&newest, end);
    node.in_force.borrow_mut().restart(newest, end);
    node.replication.updated.notify_waiters();
}

/// Reads the records from an offset on, waiting for the next one if there is none. Returns false if
/// the store did not answer.
async fn read_from(node: &Node, from: Offset) -> bool {
    let sent = Instant::now();
    let transfer = Transfer::begin(node, Party::Store);
    match store_calls::read(node, TOPIC, from, READ_HOLD).await {
        Ok(ReadResponse::Records(end, records)) => {
            match apply_read(node, from, end, &records, sent, READ_HOLD) {
                Remainder::Many => read_newest(node).await,
                Remainder::Nothing | Remainder::One => true,
            }
        }
        Ok(ReadResponse::Gone(first)) => {
            info!(
                from,
                first, "records of operators were removed from the log; reading the newest ones"
            );
            node.replication.recent.borrow_mut().clear();
            true
        }
        Ok(ReadResponse::Busy) => false,
        Err(error) => {
            transfers::log_abandoned(node, STORE_NAME, error, &transfer);
            false
        }
    }
}

/// What a read has left in the topic, since the size of a response is limited.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Remainder {
    /// There was no further record.
    Nothing,
    /// There was one further record, which the next read returns.
    One,
    /// There were several further records, or one that is too large for a read. Most of them are older versions of
    /// the configuration, so that the newest record of each key is less to transfer.
    Many,
}

/// Applies the result of a read from an offset on of a topic that ended at `end`. The read was sent
/// at `sent` and waited for up to `wait` if there were no records.
fn apply_read(
    node: &Node,
    from: Offset,
    end: Offset,
    records: &[Bytes],
    sent: Instant,
    wait: Duration,
) -> Remainder {
    apply_records(node, from, records);
    match end.saturating_sub(from + records.len() as u64) {
        0 => {
            confirm_read(node, records.is_empty(), sent, wait);
            Remainder::Nothing
        }
        1 if !records.is_empty() => Remainder::One,
        _ => Remainder::Many,
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
pub fn apply_records(node: &Node, from: Offset, records: &[Bytes]) {
    let mut in_force = node.in_force.borrow_mut();
    let mut recent = node.replication.recent.borrow_mut();
    for (offset, record) in (from..).zip(records) {
        recent.append(offset, record);
        if let Some(record) = decode_keyed(record.clone()) {
            in_force.apply(record, offset);
        }
    }
    if !records.is_empty() {
        node.replication.updated.notify_waiters();
    }
}

/// Requests newer state from other entries, one after the other. Returns true once one has
/// responded.
async fn poll_peers(node: &Node) -> bool {
    let version = node.in_force.borrow().version();
    let request = PeerRequest::Update {
        version,
        end: node.lease_end.get(),
    };
    for peer in node.peers() {
        let sent = Instant::now();
        let transfer = Transfer::begin(node, Party::Peer);
        match peer::call(node, &peer, &request, sent + PEER_TIMEOUT).await {
            Ok(PeerResponse::Update(update)) => {
                apply_update(node, update, sent);
                return true;
            }
            Ok(_) => {}
            Err(error) => transfers::log_abandoned(node, &peer, error, &transfer),
        }
    }
    false
}

/// Applies the state that another entry sent in response to a request of the time `sent`.
pub fn apply_update(node: &Node, update: Update, sent: Instant) {
    if let Some((lease, end)) = update.lease {
        set_lease(node, lease, end);
    }
    node.in_force
        .borrow_mut()
        .adopt(update.config, update.hall_drains);
    let confirmed = sent - Duration::from_millis(update.age);
    node.update_freshness(|freshness| freshness.confirm(sent, confirmed));
}

/// Property of the configuration that a call relies on.
#[derive(Clone, Copy)]
pub enum FreshnessRequirement {
    /// The configuration is the newest one.
    Newest,
    /// The configuration is as new as this time, at which the call arrived. A key that it does not
    /// contain did not exist then.
    AsOf(Instant),
}

impl FreshnessRequirement {
    /// Returns the next action for a call with this requirement.
    fn next_action(self, node: &Node, now: Instant) -> FreshnessAction {
        let freshness = node.freshness.get();
        match self {
            FreshnessRequirement::Newest => freshness.next_action(now),
            FreshnessRequirement::AsOf(received_at) => {
                freshness.next_action_for_unknown(received_at, now)
            }
        }
    }

    /// Returns whether a call with this requirement is handled if the wait for a refresh is over.
    fn is_met_without_refresh(self, node: &Node) -> bool {
        let freshness = node.freshness.get();
        let action = match self {
            FreshnessRequirement::Newest => freshness.action_without_poll(Instant::now()),
            FreshnessRequirement::AsOf(received_at) => {
                freshness.action_for_unknown_without_poll(received_at)
            }
        };
        action != FreshnessAction::Refuse
    }
}

/// Waits, for a short time, until the configuration meets a requirement. Returns false if the call
/// is to be refused because the configuration could not be confirmed for too long.
pub async fn ensure_fresh(node: &Rc<Node>, requirement: FreshnessRequirement) -> bool {
    let until = Instant::now() + REFRESH_TIMEOUT;
    loop {
        let now = Instant::now();
        let refreshed = node.refreshed.notified();
        match requirement.next_action(node, now) {
            FreshnessAction::Proceed => return true,
            FreshnessAction::Refuse => return false,
            FreshnessAction::Poll => start_refresh(node),
            FreshnessAction::JoinPoll => {}
            FreshnessAction::WaitUntil(due) => {
                timer::sleep_until(due.min(until)).await;
                if due < until {
                    continue;
                }
            }
        }
        let ended = now < until && timer::timeout_at(until, refreshed).await.is_ok();
        if !ended {
            return requirement.is_met_without_refresh(node);
        }
    }
}

/// Starts a refresh, unless one is in progress or the last one was started only recently.
pub fn refresh_soon(node: &Rc<Node>) {
    let now = Instant::now();
    if node.freshness.get().next_action_for_unknown(now, now) == FreshnessAction::Poll {
        start_refresh(node);
    }
}

/// Starts a refresh of the operators' settings and orders. All calls that wait share it.
fn start_refresh(node: &Rc<Node>) {
    node.update_freshness(|freshness| freshness.begin_poll(Instant::now()));
    let node = Rc::clone(node);
    task::spawn_local(async move {
        let answered = refresh(&node).await;
        node.update_freshness(|freshness| freshness.end_poll(answered));
        node.refreshed.notify_waiters();
    });
}

/// Requests newer records from the store, then newer state from other entries. Returns true if one
/// of them has answered.
async fn refresh(node: &Node) -> bool {
    match read_now(node).await {
        Some(Remainder::Nothing) => true,
        Some(Remainder::One | Remainder::Many) => read_newest(node).await,
        None => poll_peers(node).await,
    }
}

/// Reads the records that the store has now. Returns `None` if it does not answer.
async fn read_now(node: &Node) -> Option<Remainder> {
    let from = node.replication.recent.borrow().end()?;
    let sent = Instant::now();
    let transfer = Transfer::begin(node, Party::Store);
    match store_calls::read_once(node, TOPIC, from).await {
        Ok(ReadResponse::Records(end, records)) => {
            let remainder = apply_read(node, from, end, &records, sent, Duration::ZERO);
            Some(remainder)
        }
        Ok(ReadResponse::Gone(_) | ReadResponse::Busy) => None,
        Err(error) => {
            transfers::log_abandoned(node, STORE_NAME, error, &transfer);
            None
        }
    }
}
