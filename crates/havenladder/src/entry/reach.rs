//! What this entry reaches, and whether it says that it is ready.
//!
//! Costs nothing while renewals of the owner's lease come in. Where they do not, or the owner does not
//! answer, the owner and entries of other data centres are asked until one of them answers.

use super::{
    node::{IncarnationId, Node},
    peer::{self, PeerRequest, PeerResponse},
};
use clock::{Instant, timer};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, rc::Rc, time::Duration};
use tokio::{task, time};
use tracing::info;

/// How long an entry may take to say that it is there; it takes some ms.
const INCARNATION_TIMEOUT: Duration = Duration::from_millis(150);

/// Time between two rounds of questions.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How many entries of other data centres are remembered: enough that some of them live.
const MAX_DIRECTORY_ENTRIES: usize = 6;

/// Where an entry takes the calls of others, as IP and port.
type Address = String;

/// The entries of other data centres that this one has heard of, each with its data centre.
pub type Directory = BTreeMap<Address, String>;

/// What an entry says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Presence {
    /// This life of its process.
    #[serde(rename = "life")]
    pub incarnation: IncarnationId,
    /// Its data centre.
    pub hall: String,
    /// Other entries that it knows, each with its data centre.
    pub known: Directory,
}

/// What this entry says of itself.
pub fn presence(node: &Node) -> Presence {
    Presence {
        incarnation: node.incarnation,
        hall: node.settings.hall.clone(),
        known: node.directory.borrow().clone(),
    }
}

/// Finds out what this entry reaches, whenever that is in doubt.
pub async fn run(node: Rc<Node>) {
    // Who there is to be asked is learnt while all is well.
    poll_entries(&node).await;
    loop {
        wait_until_check_due(&node).await;
        poll_entries(&node).await;
        evaluate(&node);
        time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until nothing has been heard from outside for a while, or the owner did not answer.
async fn wait_until_check_due(node: &Node) {
    if node.cut_off.get() {
        return;
    }
    let at = node.reach.get().ask_at();
    tokio::select! {
        () = timer::sleep_until(at) => {}
        () = node.reach_due.notified() => {}
    }
}

/// Asks the owner, the seeds and some entries of other data centres at the same time whether they are there.
async fn poll_entries(node: &Rc<Node>) {
    let owner = owner_address(node);
    let deadline = Instant::now() + INCARNATION_TIMEOUT;
    let requests: Vec<_> = node
        .known_entries()
        .into_iter()
        .map(|address| {
            let node = Rc::clone(node);
            task::spawn_local(async move {
                let answer = peer::call(&node, &address, &PeerRequest::Incarnation, deadline).await;
                (address, answer)
            })
        })
        .collect();
    let began = Instant::now();
    let mut missing = Vec::new();
    for request in requests {
        let Ok((address, answer)) = request.await else {
            continue;
        };
        if answer.is_err() {
            missing.push(address.clone());
        }
        let is_owner = owner.as_ref() == Some(&address);
        match answer {
            Ok(PeerResponse::Incarnation(presence)) => {
                record_presence(node, address, presence, is_owner)
            }
            // A port that refuses shows that the owner's process has ended.
            Err(error) if is_owner && !error.is_refused() => {
                node.update_reach(|reach| reach.note_silence(Instant::now()));
            }
            Ok(_) | Err(_) => {}
        }
    }
    remove_missing(node, &missing, began);
}

/// Forgets the entries that did not answer where others of other data centres did: they may be gone for good,
/// and make room for those that the others know.
fn remove_missing(node: &Node, missing: &[Address], began: Instant) {
    if node.reach.get().was_peer_heard(began) {
        let mut directory = node.directory.borrow_mut();
        directory.retain(|address, _| !missing.contains(address));
    }
}

/// Where the owner takes calls, if it is another entry.
fn owner_address(node: &Node) -> Option<Address> {
    let lease = node.lease.borrow();
    let other = lease
        .as_ref()
        .filter(|lease| lease.incarnation != node.incarnation && !lease.released);
    other.map(|lease| lease.address.clone())
}

/// Takes note of an entry that answered.
fn record_presence(node: &Node, address: Address, presence: Presence, is_owner: bool) {
    if is_owner {
        node.update_reach(|reach| reach.note_answer(Instant::now()));
    }
    let own_hall = &node.settings.hall;
    if presence.hall != *own_hall {
        node.update_reach(|reach| reach.note_peer(Instant::now()));
    }
    let reported = presence.known.into_iter().chain([(address, presence.hall)]);
    let mut directory = node.directory.borrow_mut();
    for (address, hall) in reported.filter(|(_, hall)| hall != own_hall) {
        if directory.len() < MAX_DIRECTORY_ENTRIES {
            directory.entry(address).or_insert(hall);
        }
    }
}

/// Draws from what was heard whether the entry is cut off, and whether the owner may be replaced sooner.
fn evaluate(node: &Node) {
    let now = Instant::now();
    if node.reach.get().is_owner_silent(now) {
        node.claim_due.notify_one();
    }
    let cut_off = node.reach.get().is_cut_off(now);
    if node.cut_off.replace(cut_off) == cut_off {
        return;
    }
    info!(cut_off, reach = ?node.reach.get(), "what the entry reaches has changed");
    node.reach_changed.notify_waiters();
}
