//! What the peers last said of themselves.

use crate::{configs::Config, sync::lock};
use protocol::{EntryId, HallId, Status};
use std::{
    collections::BTreeMap,
    sync::Mutex,
    time::{Duration, Instant},
};

/// The newest status of each peer that answers.
#[derive(Default)]
pub struct PeerTable {
    statuses: Mutex<BTreeMap<EntryId, (Status, Instant)>>,
}

impl PeerTable {
    /// Notes a peer's status, which holds until `until`.
    pub fn record(&self, status: Status, expires: Instant) {
        lock(&self.statuses).insert(status.entry.clone(), (status, expires));
    }

    /// Returns the status of each peer that has answered lately.
    pub fn live(&self) -> Vec<Status> {
        let now = Instant::now();
        lock(&self.statuses)
            .values()
            .filter(|(_, expires)| now < *expires)
            .map(|(status, _)| status.clone())
            .collect()
    }

    /// Returns the live entries that can carry out errands, this one included, with their halls.
    pub fn members(&self, config: &Config, reaches_log: bool) -> BTreeMap<EntryId, HallId> {
        let mut members: BTreeMap<EntryId, HallId> = self
            .live()
            .into_iter()
            .filter(|status| status.platform && !status.leaving)
            .map(|status| (status.entry, status.hall))
            .collect();
        if reaches_log {
            members.insert(config.entry.name.clone(), config.entry.hall.clone());
        }
        members
    }
}

/// Time for which a status holds: several rounds, so that one lost answer means nothing.
pub fn status_expiry(config: &Config) -> Instant {
    let two_rounds: Duration = config.peers.interval * 2;
    Instant::now() + config.peers.patience.max(two_rounds)
}
