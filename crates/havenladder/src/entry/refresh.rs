//! Confirms, before a call is handled, that the configuration is recent enough for it.

use super::{node::Node, operator_topic};
use clock::{Instant, timer};
use std::{rc::Rc, time::Duration};
use tokio::task;
use workspaces::FreshnessAction;

/// Time for which a call waits for a refresh. A response usually takes some ms, and 0.2 s if the
/// store is 50 times slower than usual.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(250);

/// Time that the reader of the topic has for a read before other entries are polled instead.
const READ_TIMEOUT: Duration = Duration::from_millis(700);

/// Property of the configuration that a call relies on.
#[derive(Clone, Copy)]
pub enum FreshnessRequirement {
    /// The configuration is the newest one.
    Newest,
    /// The configuration is as new as this time, at which the call arrived. A queue or a key that it
    /// does not contain did not exist then.
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
/// of them has answered. Records that are arriving are waited for instead.
async fn refresh(node: &Node) -> bool {
    if node.replication.is_transferring() {
        node.replication.wait_for_transfers().await;
        return true;
    }
    let answered = match node.replication.follows() {
        true => operator_topic::read_now(node).await,
        false => request_read(node).await,
    };
    answered || node.replication.is_transferring() || operator_topic::poll_peers(node).await
}

/// Lets the reader of the topic ask the store at once. A read of its own beside would transfer each new record twice.
/// Returns false if the store does not answer the reader in time.
async fn request_read(node: &Node) -> bool {
    let asked_at = Instant::now();
    node.replication.read_due.notify_one();
    loop {
        let ended = node.replication.read_ended.notified();
        if node.freshness.get().was_answered_since(asked_at) {
            return true;
        }
        if timer::timeout_at(asked_at + READ_TIMEOUT, ended)
            .await
            .is_err()
        {
            return false;
        }
    }
}
