//! News of operators and of the owner's lease, passed on from entry to entry.
//!
//! Without it each entry would read both topics of the platform for itself, 4 calls a second. An entry that follows another
//! asks it again and again, and is answered as soon as there is news; one whose source is silent or knows too little reads
//! for itself until it has another place. Who reads and who follows is decided in [`fleet::Readers`] and
//! [`fleet::Followers`]; `following` asks and `feeding` answers.

mod recent;

pub use recent::{Lacking, Recent};

use super::lease_state::Lease;
use adapter::store::Offset;
use clock::{Instant, timer};
use fleet::{Address, FollowerInfo, Followers, Readers};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::{cell::RefCell, time::Duration};
use tokio::sync::Notify;
use tracing::info;

/// How long an answer without news is held back: the owner renews its lease more often.
pub const HOLD: Duration = Duration::from_millis(500);

/// How long an entry that begins waits for what a seed tells until it reads for itself.
const SEED_WAIT: Duration = Duration::from_millis(400);

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
    pub readers: RefCell<Readers>,
    /// Who follows this entry.
    pub followers: RefCell<Followers>,
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

    /// Waits until an entry that has just begun has been told something, or is to read for itself: all entries may begin
    /// together, and what each of them needs to know has many bytes.
    pub async fn wait_begun(&self) {
        let until = Instant::now() + SEED_WAIT;
        while self.recent.borrow().end().is_none() {
            let news = self.news.notified();
            if timer::timeout_at(until, news).await.is_err() {
                return;
            }
        }
    }

    /// Where the entries take calls that have said of late that they read; only an owner knows any.
    pub fn known_readers(&self) -> Vec<Address> {
        self.readers.borrow().addresses(Instant::now())
    }

    /// Notes which entry this one follows.
    pub fn set_source(&self, source: Option<&Address>) {
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
    pub seeker: FollowerInfo,
    /// The offset from which on it has no records of operators; none if it has none at all.
    pub from: Option<Offset>,
    /// The end of the lease's log, as far as it knows.
    pub end: Offset,
}

/// What a follower is told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// The records of operators that it does not have.
    pub records: Vec<ByteBuf>,
    /// The end of the topic of which these are the newest records of each key; none if they go on from what it has.
    pub newest: Option<Offset>,
    /// The lease and the end of its log, if it is newer.
    pub lease: Option<(Lease, Offset)>,
    /// For how long the answer was held back.
    pub held: Duration,
    /// How long before the answer what it says was the newest for certain.
    pub age: Duration,
    /// How long before the answer the platform, or another data centre, was last heard of.
    pub heard: Duration,
}

/// What a follower is answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// This is new.
    News(News),
    /// This entry is to be followed instead.
    At(Address),
    /// The entry that was asked knows too little itself.
    Nothing,
}
