//! Distinguishes a store outage for all entries from an isolation of this one.
//!
//! An owner whose appends stall asks the entries that it knows whether the store answers them. If
//! more than half report that the store does not, one of them in another data centre, and no entry
//! reports that it does, then no other entry can have taken over. If the store answers at least a
//! third of the entries that report but not this one, the owner releases the cell through one of
//! those that it answers.

use super::{
    node::Node,
    owner::Owner,
    peer::{self, PeerRequest, PeerResponse},
};
use adapter::http::Connection;
use clock::Instant;
use fleet::{ServiceReport, is_isolated, is_unavailable};
use std::{rc::Rc, time::Duration};
use tokio::{task, time};
use tracing::info;

/// Timeout of a request to the store that needs no waiting: 60 times its usual duration.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Timeout of a report by another entry, including that entry's own probe of the store.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum age of a confirmation that the store is unavailable for all.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(900);

/// Interval between two rounds of checks.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Reports to another entry whether the store answers this one.
pub async fn report(node: &Node) -> PeerResponse {
    let probe = node.store.probe();
    let answered = time::timeout(PROBE_TIMEOUT, probe).await.unwrap_or(false);
    PeerResponse::Outage {
        hall: node.settings.hall.clone(),
        silent: !answered,
    }
}

/// Number of probes, each on a new connection, that the store must leave unanswered before the
/// owner counts as isolated. If a third of all responses is lost, three probes fail by chance one
/// time in 27.
const PROBE_COUNT: usize = 3;

/// Time within which another entry must report that the store answers it, including its own probe,
/// to count as evidence that this entry is isolated. A store that is slow for all may answer one of
/// them just before its timeout, which is 60 times the usual duration.
const PROMPT_TIMEOUT: Duration = Duration::from_millis(100);

/// Time for which an owner must have owned the cell before it releases it because of an isolation.
/// By then it has contacted its workers, and the cell does not move from entry to entry while the
/// store is unavailable for all.
const MIN_OWNERSHIP_AGE: Duration = fleet::MIN_OWNERSHIP_AGE;

/// Result of the last round of checks.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outage {
    last_check: Option<Instant>,
    confirmed: Option<Instant>,
}

impl Outage {
    /// Returns whether the store is known to be unavailable for all entries.
    pub fn is_confirmed(self) -> bool {
        self.confirmed
            .is_some_and(|at| at.elapsed() < MAX_CONFIRMATION_AGE)
    }

    fn is_due(self) -> bool {
        self.last_check
            .is_none_or(|at| at.elapsed() >= RETRY_INTERVAL)
    }
}

/// Starts a round of checks, unless one was started less than [`RETRY_INTERVAL`] ago.
pub fn start_check(owner: &Rc<Owner>) {
    let last = owner.outage.get();
    if !last.is_due() {
        return;
    }
    owner.outage.set(Outage {
        last_check: Some(Instant::now()),
        ..last
    });
    let owner = Rc::clone(owner);
    task::spawn_local(async move { check(&owner).await });
}

/// Asks the known entries whether the store answers them. Records the entries through which to release
/// the cell if this one is isolated, and the time of the check if the store is unavailable for all.
async fn check(owner: &Rc<Owner>) {
    let began = Instant::now();
    let own_probes = task::spawn_local(probe_store(Rc::clone(&owner.node)));
    let deadline = began + REPORT_TIMEOUT;
    // Readers are asked as well, since an owner may know only few other entries, which may all be
    // isolated together with it.
    let mut peers = owner.node.known_entries();
    peers.extend(owner.node.replication.known_readers());
    peers.sort();
    peers.dedup();
    let peer_count = peers.len();
    let requests: Vec<_> = peers
        .into_iter()
        .map(|peer| {
            let node = Rc::clone(&owner.node);
            task::spawn_local(async move {
                let response = peer::call(&node, &peer, &PeerRequest::Outage, deadline).await;
                (peer, response, began.elapsed())
            })
        })
        .collect();
    let mut reports = Vec::new();
    let mut prompt_reports = Vec::new();
    let mut relays = Vec::new();
    for request in requests {
        // An entry that does not respond gives no evidence.
        if let Ok((peer, Ok(PeerResponse::Outage { hall, silent }), took)) = request.await {
            let answered = !silent && took <= PROMPT_TIMEOUT;
            prompt_reports.push(ServiceReport {
                hall: hall.clone(),
                silent: !answered,
            });
            reports.push(ServiceReport { hall, silent });
            relays.extend(answered.then_some(peer));
        }
    }
    let is_settled = owner.began.elapsed() >= MIN_OWNERSHIP_AGE;
    // The store may have answered in the meantime.
    let is_stalled = || owner.is_alive() && owner.is_stalled(began.elapsed());
    if is_settled
        && is_isolated(&prompt_reports)
        && !own_probes.await.unwrap_or(true)
        && is_stalled()
    {
        info!(
            epoch = owner.epoch,
            reaching = relays.len(),
            "the store answers other entries but not this one"
        );
        *owner.relays.borrow_mut() = relays;
        owner.lease_due.notify_one();
        owner.relays_known.notify_one();
    }
    if is_unavailable(&owner.node.settings.hall, &reports, peer_count) {
        let last = owner.outage.get();
        if !last.is_confirmed() {
            info!(
                epoch = owner.epoch,
                "the store is unavailable for other entries too"
            );
        }
        owner.outage.set(Outage {
            confirmed: Some(Instant::now()),
            ..last
        });
    }
}

/// Probes the store on new connections, since kept ones may have fallen silent, and returns whether
/// it answers this entry.
async fn probe_store(node: Rc<Node>) -> bool {
    let probes: Vec<_> = (0..PROBE_COUNT)
        .map(|_| {
            let store = node.store.with_connection(Connection::New);
            task::spawn_local(async move { time::timeout(PROBE_TIMEOUT, store.probe()).await })
        })
        .collect();
    for probe in probes {
        if let Ok(Ok(true)) = probe.await {
            return true;
        }
    }
    false
}
