//! Follows what operators publish: the configuration and waves of upkeep.

use super::{
    lease::set_lease,
    node::Node,
    peer::{self, PeerRequest, PeerResponse, Update},
    store_calls,
};
use adapter::{
    operator::TOPIC,
    store::{Keyed, Offset, Read, split_keyed},
};
use bytes::Bytes;
use clock::{Instant, timer};
use fleet::Backoff;
use std::{rc::Rc, time::Duration};
use tokio::{task, time};
use tracing::info;
use workspaces::Next;

/// How long a read waits for the next record. A connection that fell silent is noticed soon after
/// this, and a change must be in force within 2 s.
const READ_HOLD: Duration = Duration::from_millis(800);

/// How long a peer may take to tell what is new.
const PEER_TIMEOUT: Duration = Duration::from_millis(150);

/// Time until the store is asked again after it did not answer once.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// The same after several times: a change must be in force within 2 s.
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(750);

/// How long a call waits for a look at what is newest: an answer takes some ms, a fifth of a second at 50 times the
/// usual.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(250);

/// Follows the topic for ever, while no other entry tells what is new.
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
            time::sleep(backoff.pause(rand::random())).await;
        }
    }
}

/// Reads the newest records; false without an answer.
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

/// Takes in the newest record of each key of the topic, which ended at `end`.
pub fn apply_newest(node: &Node, newest: Vec<Keyed>, end: Offset) {
    node.replication.recent.borrow_mut().restart(&newest, end);
    node.in_force.borrow_mut().restart(newest, end);
    node.replication.updated.notify_waiters();
}

/// Reads what stands from an offset on, waiting for it if there is nothing; false without an answer.
async fn read_from(node: &Node, from: Offset) -> bool {
    let sent = Instant::now();
    match store_calls::read(node, TOPIC, from, READ_HOLD).await {
        Ok(Read::Records(_, records)) => {
            apply_read(node, from, &records, sent, READ_HOLD);
            true
        }
        Ok(Read::Gone(first)) => {
            info!(
                from,
                first, "records of operators are gone; the newest are read again"
            );
            node.replication.recent.borrow_mut().clear();
            true
        }
        Ok(Read::Busy) | Err(_) => false,
    }
}

/// Takes in what a read from an offset on has brought that was sent at `sent` and waited for so long if there was nothing.
fn apply_read(node: &Node, from: Offset, records: &[Bytes], sent: Instant, wait: Duration) {
    // An answer without records is given when the wait is over; one with records, at any time. This process may have stood
    // still since.
    let answered_at = if records.is_empty() {
        sent + wait
    } else {
        sent
    };
    let confirmed = answered_at.min(Instant::now());
    node.update_freshness(|freshness| freshness.confirm(sent, confirmed));
    node.replication.recent.borrow_mut().confirm(confirmed);
    apply_records(node, from, records);
}

/// Takes in the records of operators from an offset on.
pub fn apply_records(node: &Node, from: Offset, records: &[Bytes]) {
    let mut in_force = node.in_force.borrow_mut();
    let mut recent = node.replication.recent.borrow_mut();
    for (offset, record) in (from..).zip(records) {
        recent.append(offset, record);
        if let Some(record) = split_keyed(record.clone()) {
            in_force.apply(record, offset);
        }
    }
    if !records.is_empty() {
        node.replication.updated.notify_waiters();
    }
}

/// Asks other entries for what the platform does not tell this one; true if one has answered.
async fn poll_peers(node: &Node) -> bool {
    let version = node.in_force.borrow().version();
    let request = PeerRequest::Update {
        version,
        end: node.lease_end.get(),
    };
    for peer in node.peers() {
        let sent = Instant::now();
        if let Ok(PeerResponse::Update(update)) =
            peer::call(node, &peer, &request, sent + PEER_TIMEOUT).await
        {
            apply_update(node, update, sent);
            return true;
        }
    }
    false
}

/// Takes in what another entry knows, which was asked at `sent`.
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

/// What a call is about to rely on.
#[derive(Clone, Copy)]
pub enum FreshnessRequirement {
    /// That the configuration is the newest.
    Newest,
    /// That what it does not know of does not exist, at the moment when the call came.
    AsOf(Instant),
}

/// Makes sure of the configuration before a call relies on it, as far as that can be done in a short time. False if the
/// call is to be refused because that has not been possible for too long.
pub async fn ensure_fresh(node: &Rc<Node>, requirement: FreshnessRequirement) -> bool {
    let until = Instant::now() + REFRESH_TIMEOUT;
    loop {
        let now = Instant::now();
        let refreshed = node.refreshed.notified();
        let next = match requirement {
            FreshnessRequirement::Newest => node.freshness.get().next(now),
            FreshnessRequirement::AsOf(received_at) => {
                node.freshness.get().next_unknown(received_at, now)
            }
        };
        match next {
            Next::Go => return true,
            Next::Refuse => return false,
            Next::Look => start_refresh(node),
            Next::Join => {}
            Next::Wait(due) => {
                timer::sleep_until(due.min(until)).await;
                if due < until {
                    continue;
                }
            }
        }
        let ended = now < until && timer::timeout_at(until, refreshed).await.is_ok();
        if !ended {
            return node.freshness.get().unsure(Instant::now()) != Next::Refuse;
        }
    }
}

/// Begins a look, unless one is under way or was a moment ago.
pub fn refresh_soon(node: &Rc<Node>) {
    let now = Instant::now();
    if node.freshness.get().next_unknown(now, now) == Next::Look {
        start_refresh(node);
    }
}

/// Begins a look for what is newer than what this entry knows; all calls that wait share it.
fn start_refresh(node: &Rc<Node>) {
    node.update_freshness(|freshness| freshness.begin_look(Instant::now()));
    let node = Rc::clone(node);
    task::spawn_local(async move {
        let answered = refresh(&node).await;
        node.update_freshness(|freshness| freshness.end_look(answered));
        node.refreshed.notify_waiters();
    });
}

/// Asks the store, then other entries, for what is newer; true if one has answered.
async fn refresh(node: &Node) -> bool {
    let sent = Instant::now();
    let known = node.replication.recent.borrow().end();
    if let Some(from) = known
        && let Ok(Read::Records(_, records)) = store_calls::read_once(node, TOPIC, from).await
    {
        apply_read(node, from, &records, sent, Duration::ZERO);
        return true;
    }
    poll_peers(node).await
}
