//! What this entry reaches, and whether it says that it is ready.
//!
//! Costs nothing while renewals of the owner's lease come in. Where they do not, or the owner does not
//! answer, the owner and entries of other data centres are asked until one of them answers.

use super::{
    inner::{self, Ask, Tell},
    node::{LifeId, Node},
};
use clock::{Instant, timer};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, rc::Rc, time::Duration};
use tokio::{task, time};
use tracing::info;

/// How long an entry may take to say that it is there; it takes some ms.
const LIFE_TIMEOUT: Duration = Duration::from_millis(150);

/// Time between two rounds of questions.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How many entries of other data centres are remembered: enough that some of them live.
const REMEMBERED: usize = 6;

/// Where an entry takes the calls of others, as IP and port.
type Address = String;

/// The entries of other data centres that this one has heard of, each with its data centre.
pub type Directory = BTreeMap<Address, String>;

/// What an entry says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Presence {
    /// This life of its process.
    pub life: LifeId,
    /// Its data centre.
    pub hall: String,
    /// Other entries that it knows, each with its data centre.
    pub known: Directory,
}

/// What this entry says of itself.
pub fn presence(node: &Node) -> Presence {
    Presence {
        life: node.life,
        hall: node.settings.hall.clone(),
        known: node.directory.borrow().clone(),
    }
}

/// Finds out what this entry reaches, whenever that is in doubt.
pub async fn run(node: Rc<Node>) {
    // Who there is to be asked is learnt while all is well.
    ask_all(&node).await;
    loop {
        wait_for_doubt(&node).await;
        ask_all(&node).await;
        judge(&node);
        time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until nothing has been heard from outside for a while, or the owner did not answer.
async fn wait_for_doubt(node: &Node) {
    if node.cut_off.get() {
        return;
    }
    let at = node.reach.get().probe_at();
    tokio::select! {
        () = timer::sleep_until(at) => {}
        () = node.reach_due.notified() => {}
    }
}

/// Asks the owner, the seeds and some entries of other data centres at the same time whether they are there.
async fn ask_all(node: &Rc<Node>) {
    let owner = owner_address(node);
    let deadline = Instant::now() + LIFE_TIMEOUT;
    let asks: Vec<_> = node
        .known_entries()
        .into_iter()
        .map(|address| {
            let node = Rc::clone(node);
            task::spawn_local(async move {
                let answer = inner::ask(&node, &address, &Ask::Life, deadline).await;
                (address, answer)
            })
        })
        .collect();
    let began = Instant::now();
    let mut missing = Vec::new();
    for ask in asks {
        let Ok((address, answer)) = ask.await else {
            continue;
        };
        if answer.is_err() {
            missing.push(address.clone());
        }
        let is_owner = owner.as_ref() == Some(&address);
        match answer {
            Ok(Tell::Life(presence)) => note_presence(node, address, presence, is_owner),
            // A port that refuses shows that the owner's process has ended.
            Err(error) if is_owner && !error.is_refused() => {
                node.note_reach(|reach| reach.on_owner_timeout(Instant::now()));
            }
            Ok(_) | Err(_) => {}
        }
    }
    forget_missing(node, &missing, began);
}

/// Forgets the entries that did not answer where others of other data centres did: they may be gone for good,
/// and make room for those that the others know.
fn forget_missing(node: &Node, missing: &[Address], began: Instant) {
    if node.reach.get().has_peer_answered(began) {
        let mut directory = node.directory.borrow_mut();
        directory.retain(|address, _| !missing.contains(address));
    }
}

/// Where the owner takes calls, if it is another entry.
fn owner_address(node: &Node) -> Option<Address> {
    let lease = node.lease.borrow();
    let other = lease
        .as_ref()
        .filter(|lease| lease.life != node.life && !lease.released);
    other.map(|lease| lease.address.clone())
}

/// Takes note of an entry that answered.
fn note_presence(node: &Node, address: Address, presence: Presence, is_owner: bool) {
    if is_owner {
        node.note_reach(|reach| reach.on_owner_response(Instant::now()));
    }
    let own = &node.settings.hall;
    if presence.hall != *own {
        node.note_reach(|reach| reach.on_peer_response(Instant::now()));
    }
    let heard = presence.known.into_iter().chain([(address, presence.hall)]);
    let mut directory = node.directory.borrow_mut();
    for (address, hall) in heard.filter(|(_, hall)| hall != own) {
        if directory.len() < REMEMBERED {
            directory.entry(address).or_insert(hall);
        }
    }
}

/// Draws from what was heard whether the entry is cut off, and whether the owner may be replaced sooner.
fn judge(node: &Node) {
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
