//! Logs transfers of operators' records that were abandoned.
//!
//! An entry without a new configuration looks the same whether its source is silent or its link is full. The bytes
//! that arrived during the request tell these apart.

use super::node::Node;
use adapter::{http::CallError, traffic::Party};
use clock::Instant;
use tracing::info;

/// Bytes received from the kind of source below which an abandoned request was not a transfer: a request without an
/// update takes some hundred bytes.
const MIN_LOGGED_BYTES: u64 = 16 << 10;

/// Transfer in progress.
#[derive(Clone, Copy, Debug)]
pub struct Transfer {
    began: Instant,
    party: Party,
    /// Bytes received from all sources of this kind when the transfer began.
    received: u64,
}

impl Transfer {
    /// Begins a transfer from this kind of source.
    pub fn begin(node: &Node, party: Party) -> Self {
        Transfer {
            began: Instant::now(),
            party,
            received: node.client.traffic().volume(party).received,
        }
    }
}

/// Logs that a transfer was abandoned, if part of it had arrived, with the bytes that arrived meanwhile from all
/// sources of its kind.
pub fn log_abandoned(node: &Node, source: &str, error: CallError, transfer: &Transfer) {
    let received = node.client.traffic().volume(transfer.party).received - transfer.received;
    if received >= MIN_LOGGED_BYTES {
        let ms = transfer.began.elapsed().as_millis() as u64;
        info!(source, %error, received, ms, "transfer of operators' records abandoned");
    }
}
