//! A site whose entries have small machines, and what a test asks of it.

#![allow(
    dead_code,
    clippy::allow_attributes,
    reason = "each test file uses only some of these items"
)]

use crate::{
    crowd_checks::WAIT_TIMEOUT,
    entries::{self, count_lines, request, send_request, submit},
};
use havenladder_soak::{
    crowd::Target,
    site::{HOST, PREFIX, Site},
};
use havenladder_standin::users::{events::RunEvent, settings::Resources};
use std::{net::SocketAddr, time::Duration};
use tokio::time;

/// Name of the folder with the logs.
pub const NAME: &str = "misbehaving";

/// Memory and descriptors of each entry's machine. An entry without callers uses 24 MB.
pub const RESOURCES: Resources = Resources {
    memory_mb: 64,
    descriptors: 300,
};

/// Memory of the machine in bytes.
pub const MEMORY_BYTES: u64 = RESOURCES.memory_mb << 20;

/// Number of descriptors that are reserved for files; sockets share the others.
pub const FILE_DESCRIPTORS: u64 = 200;

/// Number of VMs.
pub const VMS: usize = 2;

/// Largest body of a job, in bytes.
pub const BODY_BYTES: usize = 262_144;

/// Id of the job that is done before the crowd comes.
pub const FIRST_JOB: u64 = 1;

/// Id of the job that an ordinary caller submits beside the crowd.
pub const JOB: u64 = 2;

/// Body of a job of one short task.
pub const JOB_BODY: &str =
    r#"{"spec":"50","steps":[{"count":1,"cpu":1000,"mem-mb":10,"estimated-ms":50}]}"#;

/// A listener of an entry.
#[derive(Clone, Copy, Debug)]
pub enum Listener {
    Callers,
    Readiness,
    Peers,
    Metrics,
}

impl Listener {
    /// Returns the listener of an entry whose callers connect to `callers`.
    pub fn target(self, callers: SocketAddr) -> Target {
        let (port, path) = match self {
            Listener::Callers => (callers.port(), format!("POST {PREFIX}")),
            Listener::Readiness => (callers.port() + 1, "GET /readiness/".into()),
            Listener::Peers => (callers.port() + 4, "POST /ask/".into()),
            Listener::Metrics => (9_460, "GET /metrics/".into()),
        };
        Target {
            address: SocketAddr::new(callers.ip(), port),
            host: HOST.into(),
            path,
        }
    }
}

/// Waits for a future within the generous limit.
pub async fn within_limit<T>(what: &str, future: impl Future<Output = T>) -> T {
    let outcome = time::timeout(WAIT_TIMEOUT, future).await;
    outcome.unwrap_or_else(|_| panic!("{what}: not within {WAIT_TIMEOUT:?}"))
}

/// Waits until the task of a job is done.
pub async fn wait_until_done(site: &Site, job: u64) {
    let prefix = format!("{job:016x}.");
    let is_done = || {
        let events = site.events.all();
        events
            .iter()
            .any(|event| event.kind == RunEvent::Done && event.task.starts_with(&prefix))
    };
    while !is_done() {
        time::sleep(Duration::from_millis(50)).await;
    }
}

/// Starts a site whose entries have small machines, and waits until it has done a job.
pub async fn start(seed: u64) -> Site {
    let site = entries::start_with_resources(NAME, seed, VMS, RESOURCES).await;
    wait_for_first_job(&site, seed).await;
    site
}

/// Waits until a site has done a job and the log says which entry owns the cell.
pub async fn wait_for_first_job(site: &Site, seed: u64) {
    submit(site, FIRST_JOB, JOB_BODY).await;
    within_limit("the first job", wait_until_done(site, FIRST_JOB)).await;
    // An entry writes its log a little later than it acts.
    let owned = async {
        while count_lines(NAME, seed, "\"owns the cell\"") == 0 {
            time::sleep(Duration::from_millis(20)).await;
        }
    };
    within_limit("an owner's log line", owned).await;
}

/// Submits a job to an entry until it accepts it, as a caller that obeys `Retry-After` does.
pub async fn submit_to(address: SocketAddr, job: u64) {
    let submission = request("POST", job, JOB_BODY);
    while !send_request(address, &submission)
        .await
        .starts_with("HTTP/1.1 200")
    {
        time::sleep(Duration::from_millis(100)).await;
    }
}
