//! Entries as processes of their own against the stand-ins of the users' machines, for tests.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

use havenladder_soak::{
    Plan,
    site::{HOST, PREFIX, Site},
};
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

/// Limit of every wait; generous, so that a busy machine changes no verdict.
const LIMIT: Duration = Duration::from_secs(30);

/// Where the logs of a site lie.
#[allow(
    dead_code,
    clippy::allow_attributes,
    reason = "not every test reads them"
)]
pub fn log_dir(name: &str, seed: u64) -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{seed}"))
}

/// Starts three entries, the first and the last in one data centre, and so many VMs; the logs lie under `name`, without
/// those of an earlier run.
#[allow(
    dead_code,
    clippy::allow_attributes,
    reason = "not every test needs three entries"
)]
pub async fn start(name: &str, seed: u64, vms: usize) -> Site {
    start_with(name, seed, vms, 3).await
}

/// The same with so many entries, in two data centres in turn.
pub async fn start_with(name: &str, seed: u64, vms: usize, entries: usize) -> Site {
    let _ = fs::remove_dir_all(log_dir(name, seed));
    let plan = Plan {
        program: PathBuf::from(env!("CARGO_BIN_EXE_havenladder")),
        seed,
        span: Duration::ZERO,
        entries,
        vms,
        logs: log_dir(name, seed),
    };
    Site::start(&plan).await.unwrap()
}

/// How often a text stands in the logs of a site's entries.
#[allow(
    dead_code,
    clippy::allow_attributes,
    reason = "not every test reads them"
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

/// Which entry owns the cell, by its log.
#[allow(
    dead_code,
    clippy::allow_attributes,
    reason = "not every test asks for the owner"
)]
pub fn owner(name: &str, seed: u64, entries: usize) -> usize {
    let owns = |number: &usize| {
        let log = fs::read_to_string(log_dir(name, seed).join(format!("entry-{number}.log")));
        log.is_ok_and(|log| log.contains("\"owns the cell\""))
    };
    (0..entries).find(owns).expect("an entry owns the cell")
}

/// How long a caller waits for an answer, in ms; an entry gives up after two fifths of it.
const PATIENCE: u64 = 3_000;

/// A call about a job.
#[allow(
    dead_code,
    clippy::allow_attributes,
    reason = "not every test asks an entry itself"
)]
pub fn request(method: &str, id: u64, body: &str) -> String {
    format!(
        "{method} {PREFIX}{id:016x} HTTP/1.1\r\nhost: {HOST}\r\nrequest-deadline-ms: {PATIENCE}\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// The head of an entry's answer; empty without one.
#[allow(
    dead_code,
    clippy::allow_attributes,
    reason = "not every test asks an entry itself"
)]
pub async fn send_request(address: SocketAddr, request: &str) -> String {
    let answer = time::timeout(LIMIT, exchange(address, request)).await;
    answer.map(Result::unwrap_or_default).unwrap_or_default()
}

async fn exchange(address: SocketAddr, request: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(request.as_bytes()).await?;
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    Ok(String::from_utf8_lossy(&head).into_owned())
}

/// Hands a job in, to one entry after the other until one takes it.
#[allow(
    dead_code,
    clippy::allow_attributes,
    reason = "not every test hands jobs in"
)]
pub async fn submit(site: &Site, id: u64, body: &str) {
    let until = Instant::now() + LIMIT;
    while Instant::now() < until {
        for entry in &site.entries {
            let head = send_request(entry.address, &request("POST", id, body)).await;
            if head.starts_with("HTTP/1.1 200") {
                return;
            }
        }
        time::sleep(Duration::from_millis(50)).await;
    }
    panic!("job {id} is not taken in");
}

/// Runs a test to its end.
pub fn block_on(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(test);
}
