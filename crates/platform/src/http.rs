//! The platform over HTTP: JSON for VMs, MessagePack for records.

use crate::{
    error::CallError,
    log::{Appended, Log},
    vms::{VmCall, VmInfo, Vms},
};
use protocol::{HallId, LogSlice, Offset, decode};
use serde::de::DeserializeOwned;
use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use ureq::{
    Agent, Body, Error,
    http::{
        Response, StatusCode,
        header::{ETAG, IF_NONE_MATCH},
    },
};

/// Timeout of a call, in addition to the time that the platform is asked to wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of a response in bytes.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// A list of VMs, with the tag by which the platform recognizes whether the list has changed.
#[derive(Debug)]
struct CachedList {
    tag: String,
    vms: Vec<VmInfo>,
}

/// Client of the platform at one HTTP address.
#[derive(Debug)]
pub struct HttpPlatform {
    base: String,
    agent: Agent,
    cached: Mutex<BTreeMap<HallId, CachedList>>,
}

impl HttpPlatform {
    /// Creates a client of the platform at `addr`, an IP address with a port.
    pub fn new(addr: &str) -> Self {
        let config = Agent::config_builder()
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .http_status_as_error(false)
            .max_idle_age(Duration::from_secs(5))
            .build();
        Self {
            base: format!("http://{addr}"),
            agent: config.into(),
            cached: Mutex::default(),
        }
    }

    fn get(&self, path: &str, wait: Duration) -> Result<Response<Body>, CallError> {
        self.agent
            .get(format!("{}{path}", self.base))
            .config()
            .timeout_global(Some(CALL_TIMEOUT + wait))
            .build()
            .call()
            .map_err(call_error)
    }

    fn get_if_changed(&self, path: &str, tag: &str) -> Result<Response<Body>, CallError> {
        self.agent
            .get(format!("{}{path}", self.base))
            .header(IF_NONE_MATCH, tag)
            .config()
            .timeout_global(Some(CALL_TIMEOUT))
            .build()
            .call()
            .map_err(call_error)
    }

    fn post(&self, path: &str, body: &[u8]) -> Result<Response<Body>, CallError> {
        self.agent
            .post(format!("{}{path}", self.base))
            .config()
            .timeout_global(Some(CALL_TIMEOUT))
            .build()
            .send(body)
            .map_err(call_error)
    }
}

impl Log for HttpPlatform {
    fn append(&self, stream: &str, data: &[u8]) -> Result<Appended, CallError> {
        let response = self.post(&format!("/log/{stream}"), data)?;
        json(check_status(response)?)
    }

    fn read(&self, stream: &str, from: Offset, wait: Duration) -> Result<LogSlice, CallError> {
        let path = format!("/log/{stream}?from={from}&wait_ms={}", wait.as_millis());
        let mut response = check_status(self.get(&path, wait)?)?;
        decode(&bytes(&mut response)?).map_err(|error| CallError::ResponseLost(error.to_string()))
    }

    fn offset_at(&self, stream: &str, at: SystemTime) -> Result<Offset, CallError> {
        let millis = at
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis();
        let path = format!("/log/{stream}/at?ms={millis}");
        let found: Appended = json(check_status(self.get(&path, Duration::ZERO)?)?)?;
        Ok(found.offset)
    }
}

impl Vms for HttpPlatform {
    fn list(&self, hall: &str) -> Result<Vec<VmInfo>, CallError> {
        let mut cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        let known = cached.get(hall);
        let response = self.get_if_changed(
            &format!("/vms?hall={hall}"),
            known.map_or("", |known| known.tag.as_str()),
        )?;
        if let Some(known) = known
            && response.status() == StatusCode::NOT_MODIFIED
        {
            return Ok(known.vms.clone());
        }
        let response = check_status(response)?;
        let tag = response
            .headers()
            .get(ETAG)
            .and_then(|tag| tag.to_str().ok());
        let tag = tag.unwrap_or_default().to_owned();
        let vms: Vec<VmInfo> = json(response)?;
        let current = vms.clone();
        cached.insert(hall.to_owned(), CachedList { tag, vms });
        Ok(current)
    }

    fn fetch(&self, vm: &str) -> Result<Option<VmInfo>, CallError> {
        let response = self.get(&format!("/vms/{vm}"), Duration::ZERO)?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        json(check_status(response)?).map(Some)
    }

    fn call(&self, vm: &str, call: &VmCall) -> Result<(), CallError> {
        let body =
            serde_json::to_vec(call).map_err(|error| CallError::Refused(error.to_string()))?;
        check_status(self.post(&format!("/vms/{vm}"), &body)?)?;
        Ok(())
    }
}

/// Returns a successful response. A client error counts as a refusal, while after a server error it is unknown
/// whether the call has had an effect.
fn check_status(mut response: Response<Body>) -> Result<Response<Body>, CallError> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let text = response.body_mut().read_to_string().unwrap_or_default();
    if status.is_client_error() {
        return Err(CallError::Refused(format!("{status}: {text}")));
    }
    Err(CallError::ResponseLost(format!("{status}: {text}")))
}

fn json<T: DeserializeOwned>(mut response: Response<Body>) -> Result<T, CallError> {
    let bytes = bytes(&mut response)?;
    serde_json::from_slice(&bytes).map_err(|error| CallError::ResponseLost(error.to_string()))
}

fn bytes(response: &mut Response<Body>) -> Result<Vec<u8>, CallError> {
    response
        .body_mut()
        .with_config()
        .limit(MAX_RESPONSE_BYTES)
        .read_to_vec()
        .map_err(|error| CallError::ResponseLost(error.to_string()))
}

/// Converts an error of the HTTP client. A call is certain to have had no effect only if no connection was
/// established.
fn call_error(error: Error) -> CallError {
    match &error {
        Error::ConnectionFailed | Error::HostNotFound => CallError::Unreachable(error.to_string()),
        Error::Timeout(ureq::Timeout::Connect) => CallError::Unreachable(error.to_string()),
        Error::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
            CallError::Unreachable(error.to_string())
        }
        _ => CallError::ResponseLost(error.to_string()),
    }
}
