//! Releases the cell of an owner that is isolated from the store, through an entry that the store
//! answers.
//!
//! Other entries cannot notice that this owner is isolated: it answers them, and they would wait
//! until its lease expires. The owner has ended before it asks another entry, so the record that the
//! other entry appends is as valid as one of the owner's own. A late record does no harm, since the
//! log accepts it only directly after the owner's newest one.

use super::log::set_lease;
use crate::entry::{
    node::{Lease, Node},
    peer::{self, PeerRequest, PeerResponse, Update},
};
use clock::Instant;
use std::time::Duration;
use tracing::info;

/// Timeout of a request to append the record, which usually takes 20 ms.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(250);

/// Asks one entry after the other to append the record by which this one releases the cell, until
/// one has done so.
pub(super) async fn release_through(node: &Node, relays: &[String], released: &Lease) {
    for relay in relays {
        let request = PeerRequest::Release(Box::new(released.clone()));
        let response = peer::call(node, relay, &request, Instant::now() + RELEASE_TIMEOUT).await;
        if let Ok(PeerResponse::Update(Update {
            lease: Some((lease, end)),
            ..
        })) = response
        {
            return set_lease(node, lease, end);
        }
        info!(relay, answer = ?response, "cannot release the cell through this entry");
    }
}
