//! Whether the store is away for all, or this entry is cut off from it.
//!
//! An owner whose appends stall asks entries that it knows whether the store answers them. Only where one
//! in another data centre says that it does not, and none says that it does, nobody can have taken over. Where it answers
//! a third of them or more, and not this entry, the owner gives the cell up through one of them.

use super::{
    node::Node,
    owner::Owner,
    peer::{self, PeerRequest, PeerResponse},
};
use adapter::http::Connection;
use clock::Instant;
use fleet::{Hearing, is_away, is_turned_away};
use std::{rc::Rc, time::Duration};
use tokio::{task, time};
use tracing::info;

/// How long the store may take to answer a question that needs no waiting: 60 times what it takes.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// How long an entry may take to tell, with its own question to the store.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// For how long it is relied on that the store is away.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(900);

/// Time between two rounds of questions.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Tells another entry whether the store answers this one.
pub async fn report(node: &Node) -> PeerResponse {
    let probe = node.store.probe();
    let answered = time::timeout(PROBE_TIMEOUT, probe).await.unwrap_or(false);
    PeerResponse::Outage {
        hall: node.settings.hall.clone(),
        silent: !answered,
    }
}

/// How many questions of an owner the store must leave without an answer, each on a connection of its own, to count as
/// turning it away: where a third of all answers is lost, one time in 27 that is by chance.
const PROBE_COUNT: usize = 3;

/// Within which time another entry must tell that the store answers it, its own question to the store included, to show that
/// this entry is turned away: a store that is slow for all may answer one of them just in time, and gives each 60 times what it
/// takes as a rule.
const PROMPT_TIMEOUT: Duration = Duration::from_millis(100);

/// How long an owner must have had the cell before it gives it up for this: its workers are met by then, and the cell does
/// not go round while the store is in trouble for all.
const MIN_OWNERSHIP_AGE: Duration = fleet::SETTLED;

/// What the last round of questions showed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outage {
    last_check: Option<Instant>,
    confirmed: Option<Instant>,
}

impl Outage {
    /// Whether the store is away for all, as far as is known.
    pub fn is_confirmed(self) -> bool {
        self.confirmed
            .is_some_and(|at| at.elapsed() < MAX_CONFIRMATION_AGE)
    }

    fn is_due(self) -> bool {
        self.last_check
            .is_none_or(|at| at.elapsed() >= RETRY_INTERVAL)
    }
}

/// Begins a round of questions, unless one was begun a moment ago.
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

async fn check(owner: &Rc<Owner>) {
    let began = Instant::now();
    let own_probes = task::spawn_local(probe_store(Rc::clone(&owner.node)));
    let deadline = began + REPORT_TIMEOUT;
    // Those that read say most: an owner may know few others, all turned away together with it.
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
                let answer = peer::call(&node, &peer, &PeerRequest::Outage, deadline).await;
                (peer, answer, began.elapsed())
            })
        })
        .collect();
    let mut reports = Vec::new();
    let mut prompt_reports = Vec::new();
    let mut relays = Vec::new();
    for request in requests {
        // An entry that does not answer tells nothing.
        if let Ok((peer, Ok(PeerResponse::Outage { hall, silent }), took)) = request.await {
            let answered = !silent && took <= PROMPT_TIMEOUT;
            prompt_reports.push(Hearing {
                hall: hall.clone(),
                silent: !answered,
            });
            reports.push(Hearing { hall, silent });
            relays.extend(answered.then_some(peer));
        }
    }
    let is_settled = owner.began.elapsed() >= MIN_OWNERSHIP_AGE;
    // The store may have answered by now.
    let is_stalled = || owner.is_alive() && owner.is_stalled(began.elapsed());
    if is_settled
        && is_turned_away(&prompt_reports)
        && !own_probes.await.unwrap_or(true)
        && is_stalled()
    {
        info!(
            epoch = owner.epoch,
            reaching = relays.len(),
            "the store answers others, not this entry"
        );
        *owner.relays.borrow_mut() = relays;
        owner.lease_due.notify_one();
        owner.relays_known.notify_one();
    }
    if is_away(&owner.node.settings.hall, &reports, peer_count) {
        let last = owner.outage.get();
        if !last.is_confirmed() {
            info!(epoch = owner.epoch, "the store is away for others, too");
        }
        owner.outage.set(Outage {
            confirmed: Some(Instant::now()),
            ..last
        });
    }
}

/// Whether the store answers this entry, asked on new connections: kept ones may have fallen silent.
async fn probe_store(node: Rc<Node>) -> bool {
    let probes: Vec<_> = (0..PROBE_COUNT)
        .map(|_| {
            let store = node.store.over(Connection::Fresh);
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
