//! Whether the store is away for all, or this entry is cut off from it.
//!
//! An owner whose appends stall asks entries that it knows whether the store answers them. Only where one
//! in another data centre says that it does not, and none says that it does, nobody can have taken over. Where it answers
//! a third of them or more, and not this entry, the owner gives the cell up through one of them.

use super::{
    inner::{self, Ask, Tell},
    node::Node,
    owner::Owner,
};
use adapter::http::Connection;
use clock::Instant;
use fleet::{ServiceReport, is_isolated, is_unavailable};
use std::{rc::Rc, time::Duration};
use tokio::{task, time};
use tracing::info;

/// How long the store may take to answer a question that needs no waiting: 60 times what it takes.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// How long an entry may take to tell, with its own question to the store.
const TELL_TIMEOUT: Duration = Duration::from_millis(400);

/// For how long it is relied on that the store is away.
const TRUSTED: Duration = Duration::from_millis(900);

/// Time between two rounds of questions.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Tells another entry whether the store answers this one.
pub async fn tell(node: &Node) -> Tell {
    let probe = node.store.probe();
    let answered = time::timeout(PROBE_TIMEOUT, probe).await.unwrap_or(false);
    Tell::Outage {
        hall: node.settings.hall.clone(),
        silent: !answered,
    }
}

/// How many questions of an owner the store must leave without an answer, each on a connection of its own, to count as
/// turning it away: where a third of all answers is lost, one time in 27 that is by chance.
const PROBES: usize = 3;

/// Within which time another entry must tell that the store answers it, its own question to the store included, to show that
/// this entry is turned away: a store that is slow for all may answer one of them just in time, and gives each 60 times what it
/// takes as a rule.
const PROMPT: Duration = Duration::from_millis(100);

/// How long an owner must have had the cell before it gives it up for this: its workers are met by then, and the cell does
/// not go round while the store is in trouble for all.
const SETTLED: Duration = fleet::MIN_OWNERSHIP_AGE;

/// What the last round of questions showed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outage {
    asked: Option<Instant>,
    confirmed: Option<Instant>,
}

impl Outage {
    /// Whether the store is away for all, as far as is known.
    pub fn is_confirmed(self) -> bool {
        self.confirmed.is_some_and(|at| at.elapsed() < TRUSTED)
    }

    fn is_due(self) -> bool {
        self.asked.is_none_or(|at| at.elapsed() >= RETRY_INTERVAL)
    }
}

/// Begins a round of questions, unless one was begun a moment ago.
pub fn ask(owner: &Rc<Owner>) {
    let last = owner.outage.get();
    if !last.is_due() {
        return;
    }
    owner.outage.set(Outage {
        asked: Some(Instant::now()),
        ..last
    });
    let owner = Rc::clone(owner);
    task::spawn_local(async move { ask_all(&owner).await });
}

async fn ask_all(owner: &Rc<Owner>) {
    let began = Instant::now();
    let own = task::spawn_local(is_answered(Rc::clone(&owner.node)));
    let deadline = began + TELL_TIMEOUT;
    // Those that read say most: an owner may know few others, all turned away together with it.
    let mut peers = owner.node.known_entries();
    peers.extend(owner.node.feed.known_readers());
    peers.sort();
    peers.dedup();
    let asked = peers.len();
    let asks: Vec<_> = peers
        .into_iter()
        .map(|peer| {
            let node = Rc::clone(&owner.node);
            task::spawn_local(async move {
                let answer = inner::ask(&node, &peer, &Ask::Outage, deadline).await;
                (peer, answer, began.elapsed())
            })
        })
        .collect();
    let mut told = Vec::new();
    let mut prompt = Vec::new();
    let mut reaching = Vec::new();
    for ask in asks {
        // An entry that does not answer tells nothing.
        if let Ok((peer, Ok(Tell::Outage { hall, silent }), took)) = ask.await {
            let answered = !silent && took <= PROMPT;
            prompt.push(ServiceReport {
                hall: hall.clone(),
                silent: !answered,
            });
            told.push(ServiceReport { hall, silent });
            reaching.extend(answered.then_some(peer));
        }
    }
    let settled = owner.began.elapsed() >= SETTLED;
    // The store may have answered by now.
    let stalls = || owner.is_alive() && owner.is_stalled(began.elapsed());
    if settled && is_isolated(&prompt) && !own.await.unwrap_or(true) && stalls() {
        info!(
            epoch = owner.epoch,
            reaching = reaching.len(),
            "the store answers others, not this entry"
        );
        *owner.relays.borrow_mut() = reaching;
        owner.lease_due.notify_one();
        owner.relays_known.notify_one();
    }
    if is_unavailable(&owner.node.settings.hall, &told, asked) {
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
async fn is_answered(node: Rc<Node>) -> bool {
    let probes: Vec<_> = (0..PROBES)
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
