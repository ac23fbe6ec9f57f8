//! Measures transfers of operators' records, and logs those that were abandoned.
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

/// Duration and bytes of a request for operators' records.
#[derive(Clone, Copy, Debug)]
pub struct TransferMeter {
    began: Instant,
    party: Party,
    /// Bytes received from all sources of this kind when the request was sent.
    received: u64,
}

impl TransferMeter {
    /// Starts to measure a request to this kind of source.
    pub fn start(node: &Node, party: Party) -> Self {
        TransferMeter {
            began: Instant::now(),
            party,
            received: node.client.traffic().volume(party).received,
        }
    }

    /// Logs that the request ended without a whole response, if part of one had arrived, with the bytes that all
    /// sources of its kind have sent meanwhile.
    pub fn log_abandoned(&self, node: &Node, source: &str, error: CallError) {
        let received = node.client.traffic().volume(self.party).received - self.received;
        if received >= MIN_LOGGED_BYTES {
            let ms = self.began.elapsed().as_millis() as u64;
            info!(source, %error, received, ms, "transfer of operators' records abandoned");
        }
    }
}
