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

/// Time that any call may take, beside what it asks the platform to wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Time in which a connection must stand.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The largest answer that is read.
const ANSWER_LIMIT: u64 = 64 << 20;

/// A list of VMs with the tag by which the platform knows whether it has changed.
#[derive(Debug)]
struct Listed {
    tag: String,
    vms: Vec<VmInfo>,
}

/// The platform, met over HTTP at one address.
#[derive(Debug)]
pub struct HttpPlatform {
    base: String,
    agent: Agent,
    listed: Mutex<BTreeMap<HallId, Listed>>,
}

impl HttpPlatform {
    /// Makes a client for the platform at `addr`, an IP address with a port.
    pub fn new(addr: &str) -> Self {
        let config = Agent::config_builder()
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .http_status_as_error(false)
            .max_idle_age(Duration::from_secs(5))
            .build();
        Self {
            base: format!("http://{addr}"),
            agent: config.into(),
            listed: Mutex::default(),
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
        let answer = self.post(&format!("/log/{stream}"), data)?;
        json(accepted(answer)?)
    }

    fn read(&self, stream: &str, from: Offset, wait: Duration) -> Result<LogSlice, CallError> {
        let path = format!("/log/{stream}?from={from}&wait_ms={}", wait.as_millis());
        let mut answer = accepted(self.get(&path, wait)?)?;
        decode(&bytes(&mut answer)?).map_err(|error| CallError::ResponseLost(error.to_string()))
    }

    fn offset_at(&self, stream: &str, at: SystemTime) -> Result<Offset, CallError> {
        let millis = at
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis();
        let path = format!("/log/{stream}/at?ms={millis}");
        let found: Appended = json(accepted(self.get(&path, Duration::ZERO)?)?)?;
        Ok(found.offset)
    }
}

impl Vms for HttpPlatform {
    fn list(&self, hall: &str) -> Result<Vec<VmInfo>, CallError> {
        let mut listed = self.listed.lock().unwrap_or_else(PoisonError::into_inner);
        let known = listed.get(hall);
        let answer = self.get_if_changed(
            &format!("/vms?hall={hall}"),
            known.map_or("", |known| known.tag.as_str()),
        )?;
        if let Some(known) = known
            && answer.status() == StatusCode::NOT_MODIFIED
        {
            return Ok(known.vms.clone());
        }
        let answer = accepted(answer)?;
        let tag = answer.headers().get(ETAG).and_then(|tag| tag.to_str().ok());
        let tag = tag.unwrap_or_default().to_owned();
        let vms: Vec<VmInfo> = json(answer)?;
        let vms_now = vms.clone();
        listed.insert(hall.to_owned(), Listed { tag, vms });
        Ok(vms_now)
    }

    fn fetch(&self, vm: &str) -> Result<Option<VmInfo>, CallError> {
        let answer = self.get(&format!("/vms/{vm}"), Duration::ZERO)?;
        if answer.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        json(accepted(answer)?).map(Some)
    }

    fn call(&self, vm: &str, call: &VmCall) -> Result<(), CallError> {
        let body =
            serde_json::to_vec(call).map_err(|error| CallError::Refused(error.to_string()))?;
        accepted(self.post(&format!("/vms/{vm}"), &body)?)?;
        Ok(())
    }
}

/// Sorts an answer: a client error is a refusal, and a server error leaves everything open.
fn accepted(mut answer: Response<Body>) -> Result<Response<Body>, CallError> {
    let status = answer.status();
    if status.is_success() {
        return Ok(answer);
    }
    let text = answer.body_mut().read_to_string().unwrap_or_default();
    if status.is_client_error() {
        return Err(CallError::Refused(format!("{status}: {text}")));
    }
    Err(CallError::ResponseLost(format!("{status}: {text}")))
}

fn json<T: DeserializeOwned>(mut answer: Response<Body>) -> Result<T, CallError> {
    let bytes = bytes(&mut answer)?;
    serde_json::from_slice(&bytes).map_err(|error| CallError::ResponseLost(error.to_string()))
}

fn bytes(answer: &mut Response<Body>) -> Result<Vec<u8>, CallError> {
    answer
        .body_mut()
        .with_config()
        .limit(ANSWER_LIMIT)
        .read_to_vec()
        .map_err(|error| CallError::ResponseLost(error.to_string()))
}

/// Only a connection that never stood is certain to have had no effect.
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
