//! Calls to peers and operators' listeners, by `ureq`.

use fleet::{Fleet, decode_snapshot};
use protocol::{BurnReply, HEADER_KEY, LogRecord, Offset, Slice, SnapshotReply, Status, decode};
use serde::de::DeserializeOwned;
use std::time::Duration;
use ureq::Agent;

/// Time that a call to a peer may take, beside what it asks the peer to wait.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time in which a connection must stand.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which a peer may hold a request for records.
pub const MAX_RELAY_WAIT: Duration = Duration::from_millis(500);

/// The largest answer that is read.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// Calls to peers.
pub struct PeerClient {
    agent: Agent,
    key: String,
}

impl PeerClient {
    /// Makes a client that sends `key`.
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

    /// Asks a peer for its status.
    pub fn status(&self, addr: &str) -> Option<Status> {
        self.get(addr, "/status")
    }

    /// Asks a peer for records from `from` on.
    pub fn relay(&self, addr: &str, from: Offset) -> Option<Slice> {
        self.get(addr, &format!("/relay?from={from}"))
    }

    /// Asks a peer for its burn counts.
    pub fn burn(&self, addr: &str) -> Option<BurnReply> {
        self.get(addr, "/burn")
    }

    /// Asks a peer for its state, and applies the records that it sends along.
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

/// Why an operator's call failed.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// The entry could not be reached, or its answer was lost.
    #[error("{addr} does not answer: {cause}; is the entry running, and is --config its file?")]
    Unreachable {
        /// Its address.
        addr: String,
        /// What went wrong.
        cause: String,
    },
    /// The entry refused.
    #[error("{0}")]
    Refused(String),
}

/// Time that an operator's call may take.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(60);

/// Calls to an entry's listener for operators.
pub struct OperatorClient {
    agent: Agent,
    addr: String,
    key: String,
}

impl OperatorClient {
    /// Makes a client for the entry at `addr`.
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

    /// Asks for something.
    ///
    /// # Errors
    ///
    /// Fails when the entry cannot be reached or refuses.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, OperatorError> {
        let call = self
            .agent
            .get(format!("http://{}{path}", self.addr))
            .header(HEADER_KEY, &self.key)
            .call();
        self.read_response(call)
    }

    /// Asks to change something.
    ///
    /// # Errors
    ///
    /// Fails when the entry cannot be reached or refuses.
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

/// Returns what a problem says, or the whole text if it is none.
fn problem_detail(body: &[u8]) -> String {
    let value: Option<serde_json::Value> = serde_json::from_slice(body).ok();
    let detail = value.as_ref().and_then(|value| value["detail"].as_str());
    detail.map_or_else(|| String::from_utf8_lossy(body).into_owned(), str::to_owned)
}
