//! An owner that the store turns away gives the cell up through an entry that the store answers.
//!
//! Nobody else knows that it cannot go on: it answers other entries, and they would wait for its lease to run out. It has
//! ended before it asks, so that the record that the other entry appends for it is as true as one of its own. A record that
//! comes late does no harm: it is taken only in the place behind the owner's newest one.

use super::log::set_lease;
use crate::entry::{
    node::{Lease, Node},
    peer::{self, PeerRequest, PeerResponse, Update},
};
use clock::Instant;
use std::time::Duration;
use tracing::info;

/// How long an entry may take to append the record: 20 ms as a rule.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(250);

/// Asks one entry after the other to append the record with which this one gives the cell up, until one has.
pub(super) async fn release_through(node: &Node, relays: &[String], released: &Lease) {
    for relay in relays {
        let request = PeerRequest::Release(Box::new(released.clone()));
        let answer = peer::call(node, relay, &request, Instant::now() + RELEASE_TIMEOUT).await;
        if let Ok(PeerResponse::Update(Update {
            lease: Some((lease, end)),
            ..
        })) = answer
        {
            return set_lease(node, lease, end);
        }
        info!(
            relay,
            ?answer,
            "the cell is not given up through this entry"
        );
    }
}
