//! Replication of the operators' records and of the owner's lease from entry to entry.
//!
//! Without it each entry would read both topics from the platform's store, which takes 4 calls a
//! second. An entry that follows another one sends it requests continuously, and each is answered
//! as soon as there is an update. An entry whose source does not answer or knows too little reads
//! from the store until it is assigned another source. [`fleet::Readers`] and [`fleet::Followers`]
//! decide who reads from the store and who follows. `replication_client` sends the requests and
//! `replication_server` answers them.

mod recent;

pub use recent::{Missing, Recent};

use super::lease_state::Lease;
use crate::record::CompressedRecord;
use adapter::store::Offset;
use clock::{Instant, timer};
use fleet::{Address, FollowerInfo, Followers, Readers};
use serde::{Deserialize, Serialize};
use std::{
    cell::{Cell, RefCell},
    time::Duration,
};
use tokio::sync::Notify;
use tracing::info;

/// Maximum time for which a response without an update is held back. The owner renews its lease
/// more often than that.
pub const MAX_HOLD: Duration = Duration::from_millis(500);

/// Time for which an entry that has just started waits for a seed before it reads from the store.
const SEED_TIMEOUT: Duration = Duration::from_millis(400);

/// State of replication on this entry.
#[derive(Default)]
pub struct Replication {
    /// Entry that this one follows. `None` while it reads from the store.
    source: RefCell<Option<Address>>,
    /// Notified whenever there is an update, and when the source has changed or is lost.
    pub updated: Notify,
    /// Notified when the store must be read at once.
    pub read_due: Notify,
    /// Notified when a read of the store has ended.
    pub read_ended: Notify,
    /// Number of transfers of operators' records that have begun and not ended.
    transfers: Cell<usize>,
    /// Notified when such a transfer ends.
    transferred: Notify,
    /// Most recent records of operators.
    pub recent: RefCell<Recent>,
    /// Entries that read from the store. Maintained while this entry owns the cell.
    pub readers: RefCell<Readers>,
    /// Entries that follow this one.
    pub followers: RefCell<Followers>,
}

impl Replication {
    /// Returns whether this entry follows another one.
    pub fn follows(&self) -> bool {
        self.source.borrow().is_some()
    }

    /// Waits until this entry follows no other one and reads from the store.
    pub async fn wait_until_unfollowing(&self) {
        wait_until(&self.updated, || !self.follows()).await;
    }

    /// Waits until an entry that has just started has received its first update, or the time for it
    /// is over. All entries may start together, and the first update of each is large.
    pub async fn wait_for_first_update(&self) {
        let until = Instant::now() + SEED_TIMEOUT;
        while self.recent.borrow().end().is_none() {
            let update = self.updated.notified();
            if timer::timeout_at(until, update).await.is_err() {
                return;
            }
        }
    }

    /// Counts a transfer of operators' records as in progress until the result is dropped.
    pub fn begin_transfer(&self) -> ActiveTransfer<'_> {
        self.transfers.set(self.transfers.get() + 1);
        ActiveTransfer(self)
    }

    /// Returns whether operators' records are arriving.
    pub fn is_transferring(&self) -> bool {
        self.transfers.get() > 0
    }

    /// Waits until no operators' records are arriving. What arrives is usually what the waiting task would ask for,
    /// and a second copy would delay it.
    pub async fn wait_for_transfers(&self) {
        wait_until(&self.transferred, || !self.is_transferring()).await;
    }

    /// Returns the addresses of the entries that recently reported to read from the store. Only an
    /// owner knows any.
    pub fn known_readers(&self) -> Vec<Address> {
        self.readers.borrow().addresses(Instant::now())
    }

    /// Sets the entry that this one follows.
    pub fn set_source(&self, source: Option<&Address>) {
        if self.source.borrow().as_ref() == source {
            return;
        }
        info!(source, "replication source has changed");
        *self.source.borrow_mut() = source.cloned();
        self.updated.notify_waiters();
    }
}

/// Waits until a condition is met, which `changed` is notified of.
async fn wait_until(changed: &Notify, is_met: impl Fn() -> bool) {
    loop {
        let change = changed.notified();
        if is_met() {
            return;
        }
        change.await;
    }
}

/// Transfer of operators' records that is in progress.
pub struct ActiveTransfer<'r>(&'r Replication);

impl Drop for ActiveTransfer<'_> {
    fn drop(&mut self) {
        self.0.transfers.set(self.0.transfers.get() - 1);
        self.0.transferred.notify_waiters();
    }
}

/// Request of a follower.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Request {
    /// Description of the follower.
    #[serde(rename = "seeker")]
    pub follower: FollowerInfo,
    /// Offset up to which the follower has the records of operators. `None` if it has none.
    pub from: Option<Offset>,
    /// End of the lease's log, as far as the follower knows it.
    pub end: Offset,
}

/// Update for a follower.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Records of operators that the follower does not have.
    pub records: Vec<CompressedRecord>,
    /// End of the topic, if `records` are the newest record of each key. `None` if they continue
    /// what the follower has.
    pub newest: Option<Offset>,
    /// The lease and the end of its log, if they are newer.
    pub lease: Option<(Lease, Offset)>,
    /// Time for which the response was held back.
    pub held: Duration,
    /// Time between the last confirmation that the records were the newest ones and the response.
    pub age: Duration,
    /// Time between the last answer of the platform or of another data centre and the response.
    #[serde(rename = "heard")]
    pub contact_age: Duration,
}

/// Response to a follower.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// There is an update.
    #[serde(rename = "News")]
    Update(Update),
    /// The follower should follow this entry instead.
    #[serde(rename = "At")]
    Redirect(Address),
    /// The receiver knows too little itself to send an update.
    Nothing,
}
