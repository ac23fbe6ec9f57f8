//! Starts entries as separate processes against stand-ins of the users' machines, for tests.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

use havenladder_soak::{
    Plan,
    site::{HOST, PREFIX, Site},
};
use havenladder_standin::users::settings::Resources;
use std::{
    fs, io,
    net::SocketAddr,
    path::PathBuf,
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};

/// Upper bound on every wait; generous, so that a busy machine does not fail a test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the folder with the logs of a site.
#[allow(
    dead_code,
    clippy::allow_attributes,
    reason = "not every test reads the logs"
)]
pub fn log_dir(name: &str, seed: u64) -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{seed}"))
}

/// Starts a site with three entries, the first and the last of them in the same data centre, and the given number of
/// VMs. The logs of an earlier run under the same name and seed are deleted.
#[allow(
    dead_code,
    clippy::allow_attributes,
    reason = "not every test needs three entries"
)]
pub async fn start(name: &str, seed: u64, vms: usize) -> Site {
    start_with(name, seed, vms, 3).await
}

/// Does the same for any number of entries, which are placed in two data centres alternately.
pub async fn start_with(name: &str, seed: u64, vms: usize, entries: usize) -> Site {
    start_plan(name, plan(name, seed, vms, entries)).await
}

/// Starts a site with three entries that know the bandwidth of their links, in Mbit/s.
#[allow(
    dead_code,
    clippy::allow_attributes,
    reason = "not every test limits links"
)]
pub async fn start_with_link(name: &str, seed: u64, vms: usize, mbps: f64) -> Site {
    let plan = Plan {
        link_mbps: Some(mbps),
        ..plan(name, seed, vms, 3)
    };
    start_plan(name, plan).await
}

/// Starts a site with three entries whose machines have these resources.
#[allow(
    dead_code,
    clippy::allow_attributes,
    reason = "not every test limits resources"
)]
pub async fn start_with_resources(name: &str, seed: u64, vms: usize, resources: Resources) -> Site {
    let plan = Plan {
        resources: Some(resources),
        ..plan(name, seed, vms, 3)
    };
    start_plan(name, plan).await
}

/// Returns the plan of a site without faults.
fn plan(name: &str, seed: u64, vms: usize, entries: usize) -> Plan {
    Plan {
        program: PathBuf::from(env!("CARGO_BIN_EXE_havenladder")),
        seed,
        span: Duration::ZERO,
        entries,
        vms,
        logs: log_dir(name, seed),
        link_mbps: None,
        resources: None,
    }
}

/// Starts a site, after deleting the logs of an earlier run under the same name and seed.
async fn start_plan(name: &str, plan: Plan) -> Site {
    let _ = fs::remove_dir_all(log_dir(name, plan.seed));
    Site::start(&plan).await.unwrap()
}

/// Counts how often a text occurs in the logs of the entries of a site.
#[allow(
    dead_code,
    clippy::allow_attributes,
    reason = "not every test reads the logs"
)]
pub fn count_lines(name: &str, seed: u64, text: &str) -> usize {
    let files = fs::read_dir(log_dir(name, seed))
        .into_iter()
        .flatten()
        .flatten();
    let logs = files.filter(|file| file.path().extension().is_some_and(|end| end == "log"));
    let texts = logs.filter_map(|file| fs::read_to_string(file.path()).ok());
    texts.map(|log| log.matches(text).count()).sum()
}

/// Returns the index of the first entry whose log says that it became the owner of the cell.
#[allow(
    dead_code,
    clippy::allow_attributes,
    reason = "not every test needs to know the owner"
)]
pub fn owner(name: &str, seed: u64, entries: usize) -> usize {
    let owns = |number: &usize| {
        let log = fs::read_to_string(log_dir(name, seed).join(format!("entry-{number}.log")));
        log.is_ok_and(|log| log.contains("\"owns the cell\""))
    };
    (0..entries).find(owns).expect("an entry owns the cell")
}

/// Time in ms for which a caller waits for a response; an entry abandons the request after two fifths of it.
const REQUEST_TIMEOUT_MS: u64 = 3_000;

/// Returns an HTTP request about a job.
#[allow(
    dead_code,
    clippy::allow_attributes,
    reason = "not every test sends requests itself"
)]
pub fn request(method: &str, id: u64, body: &str) -> String {
    format!(
        "{method} {PREFIX}{id:016x} HTTP/1.1\r\nhost: {HOST}\r\nrequest-deadline-ms: {REQUEST_TIMEOUT_MS}\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends a request to an entry and returns the head of the response, or an empty text if none arrived.
#[allow(
    dead_code,
    clippy::allow_attributes,
    reason = "not every test sends requests itself"
)]
pub async fn send_request(address: SocketAddr, request: &str) -> String {
    let response = time::timeout(WAIT_TIMEOUT, exchange(address, request)).await;
    response.map(Result::unwrap_or_default).unwrap_or_default()
}

/// Sends a request over a new connection and reads the head of the response.
async fn exchange(address: SocketAddr, request: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(request.as_bytes()).await?;
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    Ok(String::from_utf8_lossy(&head).into_owned())
}

/// Submits a job to one entry after the other until one of them accepts it; panics if none does within
/// `WAIT_TIMEOUT`.
#[allow(
    dead_code,
    clippy::allow_attributes,
    reason = "not every test submits jobs"
)]
pub async fn submit(site: &Site, id: u64, body: &str) {
    let until = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < until {
        for entry in &site.entries {
            let head = send_request(entry.address, &request("POST", id, body)).await;
            if head.starts_with("HTTP/1.1 200") {
                return;
            }
        }
        time::sleep(Duration::from_millis(50)).await;
    }
    panic!("no entry accepted job {id}");
}

/// Runs a test on a runtime of one thread until it returns.
pub fn block_on(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(test);
}
