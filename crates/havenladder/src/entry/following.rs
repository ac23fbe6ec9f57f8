//! Follows another entry, or finds one that can be followed.

use super::{
    feed::{Answer, HOLD, News, Question},
    follow,
    inner::{self, Ask, Tell},
    lease::set_lease,
    node::Node,
};
use adapter::store::{Offset, split_keyed};
use clock::Instant;
use fleet::{Address, FollowerInfo, STALE_AGE, Source};
use std::{rc::Rc, time::Duration};
use tokio::time;

/// How long a source may take beyond that.
const SLACK: Duration = Duration::from_millis(400);

/// How often an entry without a source asks for a place, and a reader says that it is there. The first time is drawn
/// below it, so that entries that start together do not ask together.
const PLACE_INTERVAL: Duration = Duration::from_millis(1_000);

/// How long the owner may take to give a place.
const PLACE_TIMEOUT: Duration = Duration::from_millis(400);

/// How old what an entry knows counts as that knows nothing.
const NEVER: Duration = Duration::from_secs(3_600);

/// How often an entry is sent on from one to another before it gives up: the depth of a tree of many thousands.
const MOST_HOPS: usize = 16;

/// What this entry says of itself.
fn seeker(node: &Node) -> FollowerInfo {
    let age = node.feed.recent.borrow().age(Instant::now());
    FollowerInfo {
        address: node.inner_address(),
        hall: node.settings.hall.clone(),
        cpu: node.settings.cpu,
        age: age.unwrap_or(NEVER),
    }
}

/// Finds a source whenever there is none, and follows it: a seed at first.
pub async fn run(node: Rc<Node>) {
    let seeds = &node.settings.seeds;
    if !node.settings.is_seed && !seeds.is_empty() {
        let seed = &seeds[rand::random_range(0..seeds.len())];
        let address = format!("{seed}:{}", node.settings.inner_port);
        follow_from(&node, address).await;
        node.feed.set_source(None);
    }
    time::sleep(PLACE_INTERVAL.mul_f64(rand::random())).await;
    loop {
        if let Some(Source::Entry(source)) = ask_place(&node).await {
            follow_from(&node, source).await;
            node.feed.set_source(None);
        }
        time::sleep(PLACE_INTERVAL.mul_f64(0.5 + rand::random::<f64>() / 2.0)).await;
    }
}

/// Asks the owner where this entry is to have its news from; none where that cannot be known now.
async fn ask_place(node: &Node) -> Option<Source> {
    if node.own().is_some() || node.stopping.get() {
        return None;
    }
    let lease = node.lease.borrow().clone();
    let owner = lease.filter(|lease| lease.life != node.life && !lease.released)?;
    let deadline = Instant::now() + PLACE_TIMEOUT;
    match inner::ask(node, &owner.address, &Ask::Place(seeker(node)), deadline).await {
        Ok(Tell::Place(source)) => Some(source),
        Ok(_) | Err(_) => None,
    }
}

/// Follows an entry, or those to which it is sent on, for as long as that has news.
async fn follow_from(node: &Node, mut source: Address) {
    let mut hops = 0;
    while node.own().is_none() && !node.stopping.get() {
        let from = node.feed.recent.borrow().end();
        let sent = Instant::now();
        let question = Ask::Feed(Question {
            seeker: seeker(node),
            from,
            end: node.lease_end.get(),
        });
        match inner::ask(node, &source, &question, sent + HOLD + SLACK).await {
            Ok(Tell::Feed(Answer::News(news))) => {
                if !take(node, from, news, sent) {
                    return;
                }
                node.feed.set_source(Some(&source));
                hops = 0;
            }
            Ok(Tell::Feed(Answer::At(next)))
                if hops < MOST_HOPS && next != node.inner_address() =>
            {
                source = next;
                hops += 1;
            }
            Ok(_) | Err(_) => return,
        }
    }
}

/// Takes in news that were asked for at `sent`; false if their source knows too little to be followed.
fn take(node: &Node, from: Option<Offset>, news: News, sent: Instant) -> bool {
    // The answer was given when it had been held back, or later: this process may have stood still since.
    let given = (sent + news.held).min(Instant::now());
    let (confirmed, heard) = (given - news.age, given - news.heard);
    let records = news.records.into_iter();
    let records: Vec<_> = records.map(|record| record.into_vec().into()).collect();
    node.note_freshness(|freshness| freshness.confirm(confirmed, confirmed));
    node.note_reach(|reach| reach.on_store_response(heard));
    if let Some((lease, end)) = news.lease {
        set_lease(node, lease, end);
    }
    match news.newest {
        Some(end) => {
            let newest = records.into_iter().filter_map(split_keyed).collect();
            follow::take_newest(node, newest, end);
        }
        None => follow::take_records(node, from.unwrap_or_default(), &records),
    }
    node.feed.recent.borrow_mut().confirm(confirmed);
    confirmed.elapsed() <= STALE_AGE
}
