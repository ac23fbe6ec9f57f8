//! Follows what operators publish: the configuration and waves of upkeep.

use super::{
    inner::{self, Ask, News, Tell},
    lease::set_lease,
    node::Node,
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
use workspaces::FreshnessAction;

/// How long a read waits for the next record. A connection that fell silent is noticed soon after
/// this, and a change must be in force within 2 s.
const WAIT: Duration = Duration::from_millis(800);

/// How long a peer may take to tell what is new.
const PEER: Duration = Duration::from_millis(150);

/// Time until the store is asked again after it did not answer once.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// The same after several times: a change must be in force within 2 s.
const LONGEST_RETRY: Duration = Duration::from_millis(750);

/// How long a call waits for a look at what is newest: an answer takes some ms, a fifth of a second at 50 times the
/// usual.
const LOOK_WAIT: Duration = Duration::from_millis(250);

/// Follows the topic for ever, while no other entry tells what is new.
pub async fn run(node: Rc<Node>) {
    if !node.settings.is_seed && !node.settings.seeds.is_empty() {
        node.feed.wait_begun().await;
    }
    let mut backoff = Backoff::new(RETRY_INTERVAL, LONGEST_RETRY);
    loop {
        node.feed.wait_unfed().await;
        let known = node.feed.recent.borrow().end();
        let answered = match known {
            None => restart(&node).await,
            Some(from) => read_on(&node, from).await,
        };
        if answered {
            backoff.reset();
        } else {
            ask_peers(&node).await;
            time::sleep(backoff.next_delay(rand::random())).await;
        }
    }
}

/// Reads the newest records; false without an answer.
async fn restart(node: &Node) -> bool {
    let sent = Instant::now();
    let Ok(Some(newest)) = store_calls::newest(node, TOPIC).await else {
        return false;
    };
    take_newest(node, newest.records, newest.end);
    node.feed.recent.borrow_mut().confirm(sent);
    node.note_freshness(|freshness| freshness.confirm(sent, sent));
    true
}

/// Takes in the newest record of each key of the topic, which ended at `end`.
pub fn take_newest(node: &Node, newest: Vec<Keyed>, end: Offset) {
    node.feed.recent.borrow_mut().restart(&newest, end);
    node.in_force.borrow_mut().restart(newest, end);
    node.feed.news.notify_waiters();
}

/// Reads what stands from an offset on, waiting for it if there is nothing; false without an answer.
async fn read_on(node: &Node, from: Offset) -> bool {
    let sent = Instant::now();
    match store_calls::read(node, TOPIC, from, WAIT).await {
        Ok(Read::Records(_, records)) => {
            take_read(node, from, &records, sent, WAIT);
            true
        }
        Ok(Read::Gone(first)) => {
            info!(
                from,
                first, "records of operators are gone; the newest are read again"
            );
            node.feed.recent.borrow_mut().lose();
            true
        }
        Ok(Read::Busy) | Err(_) => false,
    }
}

/// Takes in what a read from an offset on has brought that was sent at `sent` and waited for so long if there was nothing.
fn take_read(node: &Node, from: Offset, records: &[Bytes], sent: Instant, wait: Duration) {
    // An answer without records is given when the wait is over; one with records, at any time. This process may have stood
    // still since.
    let given = if records.is_empty() {
        sent + wait
    } else {
        sent
    };
    let confirmed = given.min(Instant::now());
    node.note_freshness(|freshness| freshness.confirm(sent, confirmed));
    node.feed.recent.borrow_mut().confirm(confirmed);
    take_records(node, from, records);
}

/// Takes in the records of operators from an offset on.
pub fn take_records(node: &Node, from: Offset, records: &[Bytes]) {
    let mut in_force = node.in_force.borrow_mut();
    let mut recent = node.feed.recent.borrow_mut();
    for (offset, record) in (from..).zip(records) {
        recent.note(offset, record);
        if let Some(record) = split_keyed(record.clone()) {
            in_force.take(record, offset);
        }
    }
    if !records.is_empty() {
        node.feed.news.notify_waiters();
    }
}

/// Asks other entries for what the platform does not tell this one; true if one has answered.
async fn ask_peers(node: &Node) -> bool {
    let version = node.in_force.borrow().version();
    let ask = Ask::News {
        version,
        end: node.lease_end.get(),
    };
    for peer in node.peers() {
        let sent = Instant::now();
        if let Ok(Tell::News(news)) = inner::ask(node, &peer, &ask, sent + PEER).await {
            take_news(node, news, sent);
            return true;
        }
    }
    false
}

/// Takes in what another entry knows, which was asked at `sent`.
pub fn take_news(node: &Node, news: News, sent: Instant) {
    if let Some((lease, end)) = news.lease {
        set_lease(node, lease, end);
    }
    node.in_force
        .borrow_mut()
        .adopt(news.config, news.evacuations);
    let confirmed = sent - Duration::from_millis(news.age);
    node.note_freshness(|freshness| freshness.confirm(sent, confirmed));
}

/// What a call is about to rely on.
#[derive(Clone, Copy)]
pub enum Reliance {
    /// That the configuration is the newest.
    Newest,
    /// That what it does not know of does not exist, at the moment when the call came.
    Unknown(Instant),
}

/// Makes sure of the configuration before a call relies on it, as far as that can be done in a short time. False if the
/// call is to be refused because that has not been possible for too long.
pub async fn make_sure(node: &Rc<Node>, reliance: Reliance) -> bool {
    let until = Instant::now() + LOOK_WAIT;
    loop {
        let now = Instant::now();
        let looked = node.looked.notified();
        let next = match reliance {
            Reliance::Newest => node.freshness.get().next_action(now),
            Reliance::Unknown(came) => node.freshness.get().next_action_for_unknown(came, now),
        };
        match next {
            FreshnessAction::Proceed => return true,
            FreshnessAction::Refuse => return false,
            FreshnessAction::Poll => begin_look(node),
            FreshnessAction::JoinPoll => {}
            FreshnessAction::WaitUntil(due) => {
                timer::sleep_until(due.min(until)).await;
                if due < until {
                    continue;
                }
            }
        }
        let ended = now < until && timer::timeout_at(until, looked).await.is_ok();
        if !ended {
            return node.freshness.get().action_without_poll(Instant::now())
                != FreshnessAction::Refuse;
        }
    }
}

/// Begins a look, unless one is under way or was a moment ago.
pub fn look_soon(node: &Rc<Node>) {
    let now = Instant::now();
    if node.freshness.get().next_action_for_unknown(now, now) == FreshnessAction::Poll {
        begin_look(node);
    }
}

/// Begins a look for what is newer than what this entry knows; all calls that wait share it.
fn begin_look(node: &Rc<Node>) {
    node.note_freshness(|freshness| freshness.begin_poll(Instant::now()));
    let node = Rc::clone(node);
    task::spawn_local(async move {
        let answered = look(&node).await;
        node.note_freshness(|freshness| freshness.end_poll(answered));
        node.looked.notify_waiters();
    });
}

/// Asks the store, then other entries, for what is newer; true if one has answered.
async fn look(node: &Node) -> bool {
    let sent = Instant::now();
    let known = node.feed.recent.borrow().end();
    if let Some(from) = known
        && let Ok(Read::Records(_, records)) = store_calls::read_once(node, TOPIC, from).await
    {
        take_read(node, from, &records, sent, Duration::ZERO);
        return true;
    }
    ask_peers(node).await
}
