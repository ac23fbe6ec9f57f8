//! News of operators and of the owner's lease, passed on from entry to entry.
//!
//! Without it each entry would read both topics of the platform for itself, 4 calls a second. An entry that follows another
//! asks it again and again, and is answered as soon as there is news; one whose source is silent or knows too little reads
//! for itself until it has another place. Who reads and who follows is decided in [`fleet::Readers`] and
//! [`fleet::Followers`].

mod recent;
mod serve;

pub use recent::Recent;
pub use serve::{answer, place};

use super::{
    follow,
    inner::{self, Ask, Tell},
    lease::set_lease,
    node::{Lease, Node},
};
use adapter::store::{Offset, split_keyed};
use clock::{Instant, timer};
use fleet::{Address, Followers, Readers, STALE, Seeker, Source};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::{cell::RefCell, rc::Rc, time::Duration};
use tokio::{sync::Notify, time};
use tracing::info;

/// How long an answer without news is held back: the owner renews its lease more often.
const HOLD: Duration = Duration::from_millis(500);

/// How long a source may take beyond that.
const SLACK: Duration = Duration::from_millis(400);

/// How often an entry without a source asks for a place, and a reader says that it is there. The first time is drawn
/// below it, so that entries that start together do not ask together.
const PLACE_INTERVAL: Duration = Duration::from_millis(1_000);

/// How long the owner may take to give a place.
const PLACE_TIMEOUT: Duration = Duration::from_millis(400);

/// How old what an entry knows counts as that knows nothing.
const NEVER: Duration = Duration::from_secs(3_600);

/// How long an entry that begins waits for what a seed tells until it reads for itself.
const SEED_WAIT: Duration = Duration::from_millis(400);

/// How often an entry is sent on from one to another before it gives up: the depth of a tree of many thousands.
const MOST_HOPS: usize = 16;

/// What an entry knows of the feed.
#[derive(Default)]
pub struct Feed {
    /// The entry that this one follows; none while it reads for itself.
    source: RefCell<Option<Address>>,
    /// Told whenever something new is known, and when the source is lost.
    pub news: Notify,
    /// The last records of operators.
    pub recent: RefCell<Recent>,
    /// Who reads, while this entry owns the cell.
    readers: RefCell<Readers>,
    /// Who follows this entry.
    followers: RefCell<Followers>,
}

impl Feed {
    /// Whether this entry follows another.
    pub fn follows(&self) -> bool {
        self.source.borrow().is_some()
    }

    /// Waits until this entry reads for itself.
    pub async fn wait_unfed(&self) {
        loop {
            let news = self.news.notified();
            if !self.follows() {
                return;
            }
            news.await;
        }
    }

    /// Where the entries take calls that have said of late that they read; only an owner knows any.
    pub fn readers(&self) -> Vec<Address> {
        self.readers.borrow().addresses(Instant::now())
    }

    /// Notes which entry this one follows.
    fn set_source(&self, source: Option<&Address>) {
        if self.source.borrow().as_ref() == source {
            return;
        }
        info!(source, "news come from another source");
        *self.source.borrow_mut() = source.cloned();
        self.news.notify_waiters();
    }
}

/// A follower's question.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Question {
    /// Who asks.
    pub seeker: Seeker,
    /// The offset from which on it has no records of operators; none if it has none at all.
    pub from: Option<Offset>,
    /// The end of the lease's log, as far as it knows.
    pub end: Offset,
}

/// What a follower is told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// The records of operators that it does not have.
    records: Vec<ByteBuf>,
    /// The end of the topic of which these are the newest records of each key; none if they go on from what it has.
    newest: Option<Offset>,
    /// The lease and the end of its log, if it is newer.
    lease: Option<(Lease, Offset)>,
    /// For how long the answer was held back.
    held: Duration,
    /// How long before the answer what it says was the newest for certain.
    age: Duration,
    /// How long before the answer the platform, or another data centre, was last heard of.
    heard: Duration,
}

/// What this entry says of itself.
fn seeker(node: &Node) -> Seeker {
    let age = node.feed.recent.borrow().age(Instant::now());
    Seeker {
        address: node.inner_address(),
        hall: node.settings.hall.clone(),
        cpu: node.settings.cpu,
        age: age.unwrap_or(NEVER),
    }
}

/// Waits until an entry that has just begun has been told something, or is to read for itself: all entries may begin
/// together, and what each of them needs to know has many bytes. Those that all others know read at once.
pub async fn wait_begun(node: &Node) {
    let seeds = &node.settings.seeds;
    if seeds.is_empty() || node.settings.is_seed {
        return;
    }
    let until = Instant::now() + SEED_WAIT;
    while node.feed.recent.borrow().end().is_none() {
        if timer::timeout_at(until, node.feed.news.notified())
            .await
            .is_err()
        {
            return;
        }
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
            Ok(Tell::Feed(news)) => {
                if !take(node, from, news, sent) {
                    return;
                }
                node.feed.set_source(Some(&source));
                hops = 0;
            }
            Ok(Tell::FeedAt(next)) if hops < MOST_HOPS && next != node.inner_address() => {
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
    node.note_reach(|reach| reach.note_store(heard));
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
    confirmed.elapsed() <= STALE
}
