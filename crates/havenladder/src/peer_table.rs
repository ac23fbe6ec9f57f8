//! Latest status that each peer has reported.

use crate::{configs::Config, sync::lock};
use protocol::{EntryId, HallId, PeerStatus};
use std::{
    collections::BTreeMap,
    sync::Mutex,
    time::{Duration, Instant},
};

/// Latest status of each peer, with the time until which it is valid.
#[derive(Default)]
pub struct PeerTable {
    statuses: Mutex<BTreeMap<EntryId, (PeerStatus, Instant)>>,
}

impl PeerTable {
    /// Records a peer's status, which is valid until `expires`.
    pub fn record(&self, status: PeerStatus, expires: Instant) {
        lock(&self.statuses).insert(status.entry.clone(), (status, expires));
    }

    /// Returns the statuses that are still valid.
    pub fn live(&self) -> Vec<PeerStatus> {
        let now = Instant::now();
        lock(&self.statuses)
            .values()
            .filter(|(_, expires)| now < *expires)
            .map(|(status, _)| status.clone())
            .collect()
    }

    /// Returns the live entries that can carry out work on VMs, with their data centres. This entry
    /// is included if `reaches_log` is true.
    pub fn members(&self, config: &Config, reaches_log: bool) -> BTreeMap<EntryId, HallId> {
        let mut members: BTreeMap<EntryId, HallId> = self
            .live()
            .into_iter()
            .filter(|status| status.reaches_platform && !status.leaving)
            .map(|status| (status.entry, status.hall))
            .collect();
        if reaches_log {
            members.insert(config.entry.name.clone(), config.entry.hall.clone());
        }
        members
    }
}

/// Returns the time until which a status that arrives now is valid. It covers at least two polls,
/// so that one lost response does not make a peer count as down.
pub fn status_expiry(config: &Config) -> Instant {
    let two_rounds: Duration = config.peers.interval * 2;
    Instant::now() + config.peers.patience.max(two_rounds)
}
