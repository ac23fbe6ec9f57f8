//! Checks what this entry reaches, which decides whether it reports that it is ready.
//!
//! The checks cost nothing while renewals of the owner's lease arrive. If they do not, or if the
//! owner does not answer, the owner and entries of other data centres are polled until one of them
//! answers.

use super::{
    node::{IncarnationId, Node},
    peer::{self, PeerRequest, PeerResponse},
};
use clock::{Instant, timer};
use fleet::FollowerInfo;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, rc::Rc, time::Duration};
use tokio::{task, time};
use tracing::info;

/// Timeout of a poll of another entry, which usually answers within some ms.
const INCARNATION_TIMEOUT: Duration = Duration::from_millis(150);

/// Interval between two rounds of polls.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of entries of other data centres that are remembered. It suffices for some of them
/// to be running.
const MAX_DIRECTORY_ENTRIES: usize = 6;

/// Address on which an entry serves other entries, as IP and port.
type Address = String;

/// Known entries of other data centres, each with its data centre.
pub type Directory = BTreeMap<Address, String>;

/// Description that an entry gives of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Presence {
    /// Incarnation of the entry's process.
    #[serde(rename = "life")]
    pub incarnation: IncarnationId,
    /// Data centre of the entry.
    pub hall: String,
    /// Other entries that it knows, each with its data centre.
    pub known: Directory,
}

/// Returns the description of this entry.
pub fn presence(node: &Node) -> Presence {
    Presence {
        incarnation: node.incarnation,
        hall: node.settings.hall.clone(),
        known: node.directory.borrow().clone(),
    }
}

/// Checks what this entry reaches, whenever that is uncertain.
pub async fn run(node: Rc<Node>) {
    // The first round learns the addresses of other entries while everything works.
    poll_entries(&node).await;
    loop {
        wait_until_check_due(&node).await;
        poll_entries(&node).await;
        evaluate(&node);
        time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until nothing outside has answered for a while, or until the owner did not answer a request.
/// Returns at once while this entry is cut off.
async fn wait_until_check_due(node: &Node) {
    if node.cut_off.get() {
        return;
    }
    let at = node.reach.get().probe_at();
    tokio::select! {
        () = timer::sleep_until(at) => {}
        () = node.reach_due.notified() => {}
    }
}

/// Polls the owner, the seeds and the known entries of other data centres at the same time.
async fn poll_entries(node: &Rc<Node>) {
    let owner = owner_address(node);
    let deadline = Instant::now() + INCARNATION_TIMEOUT;
    let requests: Vec<_> = node
        .known_entries()
        .into_iter()
        .map(|address| {
            let node = Rc::clone(node);
            task::spawn_local(async move {
                let response =
                    peer::call(&node, &address, &PeerRequest::Incarnation, deadline).await;
                (address, response)
            })
        })
        .collect();
    let began = Instant::now();
    let mut missing = Vec::new();
    for request in requests {
        let Ok((address, response)) = request.await else {
            continue;
        };
        if response.is_err() {
            missing.push(address.clone());
        }
        let is_owner = owner.as_ref() == Some(&address);
        match response {
            Ok(PeerResponse::Incarnation(presence)) => {
                record_presence(node, address, presence, is_owner)
            }
            // A port that refuses the connection shows that the owner's process has ended, not that
            // it is out of reach.
            Err(error) if is_owner && !error.is_refused() => {
                node.update_reach(|reach| reach.on_owner_timeout(Instant::now()));
            }
            Ok(_) | Err(_) => {}
        }
    }
    remove_missing(node, &missing, began);
}

/// Removes the entries that did not answer, provided that one of another data centre did. They may
/// be gone for good, and entries that the others know can take their places in the directory.
fn remove_missing(node: &Node, missing: &[Address], began: Instant) {
    if node.reach.get().has_peer_answered(began) {
        let mut directory = node.directory.borrow_mut();
        directory.retain(|address, _| !missing.contains(address));
    }
}

/// Returns the address of the owner, if it is another entry.
fn owner_address(node: &Node) -> Option<Address> {
    let lease = node.lease.borrow();
    let other = lease
        .as_ref()
        .filter(|lease| lease.incarnation != node.incarnation && !lease.released);
    other.map(|lease| lease.address.clone())
}

/// Records that an entry has answered, and the entries that it knows.
fn record_presence(node: &Node, address: Address, presence: Presence, is_owner: bool) {
    if is_owner {
        node.update_reach(|reach| reach.on_owner_response(Instant::now()));
    }
    let own_hall = &node.settings.hall;
    if presence.hall != *own_hall {
        node.update_reach(|reach| reach.on_peer_response(Instant::now()));
    }
    let reported = presence.known.into_iter().chain([(address, presence.hall)]);
    for (address, hall) in reported {
        add_to_directory(node, address, hall);
    }
}

/// Records an entry that has asked for a source or for records, so that this entry and those that poll it know more
/// entries than the seeds and the owner.
pub fn record_follower(node: &Node, follower: &FollowerInfo) {
    add_to_directory(node, follower.address.clone(), follower.hall.clone());
}

/// Adds an entry to the directory if it is of another data centre and there is room.
fn add_to_directory(node: &Node, address: Address, hall: String) {
    let mut directory = node.directory.borrow_mut();
    if hall != node.settings.hall && directory.len() < MAX_DIRECTORY_ENTRIES {
        directory.entry(address).or_insert(hall);
    }
}

/// Determines from the answers whether this entry is cut off, and whether the owner may be replaced
/// earlier.
fn evaluate(node: &Node) {
    let now = Instant::now();
    if node.reach.get().is_owner_silent(now) {
        node.claim_due.notify_one();
    }
    // The lease and the answers to polls arrive behind a large transfer on the same link.
    let cut_off = node.reach.get().is_cut_off(now) && !node.replication.is_transferring();
    if node.cut_off.replace(cut_off) == cut_off {
        return;
    }
    info!(cut_off, reach = ?node.reach.get(), "what the entry reaches has changed");
    node.reach_changed.notify_waiters();
}
