//! HTTP clients for the listeners of peers and operators, based on `ureq`.

use fleet::{Fleet, decode_snapshot};
use protocol::{
    BurnReply, HEADER_KEY, LogRecord, LogSlice, Offset, PeerStatus, SnapshotReply, decode,
};
use serde::de::DeserializeOwned;
use std::time::Duration;
use ureq::Agent;

/// Time limit of a call to a peer, in addition to the time for which the peer may hold the request.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum time for which a peer may hold a request for log records before it responds.
pub const MAX_RELAY_WAIT: Duration = Duration::from_millis(500);

/// Largest response body that is read.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// HTTP client for calls to peers.
pub struct PeerClient {
    agent: Agent,
    key: String,
}

impl PeerClient {
    /// Creates a client that authenticates with `key`.
    pub fn new(key: &str) -> Self {
        let config = Agent::config_builder()
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(PEER_TIMEOUT + MAX_RELAY_WAIT))
            .build();
        Self {
            agent: config.into(),
            key: key.to_owned(),
        }
    }

    /// Requests the status of a peer.
    pub fn status(&self, addr: &str) -> Option<PeerStatus> {
        self.get(addr, "/status")
    }

    /// Requests the log records from offset `from` on.
    pub fn relay(&self, addr: &str, from: Offset) -> Option<LogSlice> {
        self.get(addr, &format!("/relay?from={from}"))
    }

    /// Requests the burn counts of a peer.
    pub fn burn(&self, addr: &str) -> Option<BurnReply> {
        self.get(addr, "/burn")
    }

    /// Requests a snapshot of a peer's state and applies the records that are sent with it.
    pub fn snapshot(&self, addr: &str) -> Option<Fleet> {
        let reply: SnapshotReply = self.get(addr, "/snapshot")?;
        let mut fleet = decode_snapshot(&reply.bytes).ok()?;
        let is_next = |fleet: &Fleet, record: &LogRecord| record.offset == fleet.next;
        for record in &reply.tail {
            if is_next(&fleet, record) {
                fleet.apply(record);
            }
        }
        Some(fleet)
    }

    fn get<T: DeserializeOwned>(&self, addr: &str, path: &str) -> Option<T> {
        let mut response = self
            .agent
            .get(format!("http://{addr}{path}"))
            .header(HEADER_KEY, &self.key)
            .call()
            .ok()?;
        let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES);
        decode(&body.read_to_vec().ok()?).ok()
    }
}

/// Reason why an operator's call failed.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// The entry could not be reached, or its response was lost.
    #[error("{addr} does not answer: {cause}; is the entry running, and is --config its file?")]
    Unreachable {
        /// Address of the entry.
        addr: String,
        /// Error of the HTTP client.
        cause: String,
    },
    /// The entry refused the request.
    #[error("{0}")]
    Refused(String),
}

/// Time limit of an operator's call.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(60);

/// HTTP client for the operators' listener of an entry.
pub struct OperatorClient {
    agent: Agent,
    addr: String,
    key: String,
}

impl OperatorClient {
    /// Creates a client for the entry at `addr`.
    pub fn new(addr: String, key: String) -> Self {
        let config = Agent::config_builder()
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(OPERATOR_TIMEOUT))
            .http_status_as_error(false)
            .build();
        Self {
            agent: config.into(),
            addr,
            key,
        }
    }

    /// Sends a GET request and decodes the response.
    ///
    /// # Errors
    ///
    /// Returns an error when the entry cannot be reached or refuses the request.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, OperatorError> {
        let call = self
            .agent
            .get(format!("http://{}{path}", self.addr))
            .header(HEADER_KEY, &self.key)
            .call();
        self.read_response(call)
    }

    /// Sends a POST request with a JSON body and decodes the response.
    ///
    /// # Errors
    ///
    /// Returns an error when the entry cannot be reached or refuses the request.
    pub fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl serde::Serialize,
    ) -> Result<T, OperatorError> {
        let call = self
            .agent
            .post(format!("http://{}{path}", self.addr))
            .header(HEADER_KEY, &self.key)
            .send_json(body);
        self.read_response(call)
    }

    fn read_response<T: DeserializeOwned>(
        &self,
        call: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    ) -> Result<T, OperatorError> {
        let unreachable = |cause: String| OperatorError::Unreachable {
            addr: self.addr.clone(),
            cause,
        };
        let mut response = call.map_err(|error| unreachable(error.to_string()))?;
        let is_success = response.status().is_success();
        let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES);
        let body = body
            .read_to_vec()
            .map_err(|error| unreachable(error.to_string()))?;
        if !is_success {
            return Err(OperatorError::Refused(problem_detail(&body)));
        }
        serde_json::from_slice(&body).map_err(|error| unreachable(error.to_string()))
    }
}

/// Returns the `detail` field of a problem document, or the whole body if it is not one.
fn problem_detail(body: &[u8]) -> String {
    let value: Option<serde_json::Value> = serde_json::from_slice(body).ok();
    let detail = value.as_ref().and_then(|value| value["detail"].as_str());
    detail.map_or_else(|| String::from_utf8_lossy(body).into_owned(), str::to_owned)
}
