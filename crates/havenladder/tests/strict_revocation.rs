//! Strict revocation: an entry that has been unable to confirm its configuration for too long refuses calls, since
//! keys may have been revoked meanwhile.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

mod entries;

use entries::{block_on, log_dir, send_request};
use havenladder_soak::site::{HOST, PREFIX, Site, WORKSPACES, key};
use rustix::process::Signal;
use std::{
    fs,
    time::{Duration, Instant},
};
use tokio::time;

/// From this seed on, sites have workspaces.
const SEED: u64 = 10_950;

/// Time in ms for which an entry may accept calls with an unconfirmed configuration, as its settings say.
const REVOKE_MS: u64 = 1_500;

/// Additional time until an entry refuses calls: a poll that is under way as the store's outage begins, and one more.
const DETECTION_SLACK: Duration = Duration::from_millis(1_000);

/// Limit of every wait. It is generous, so that no test fails because the machine is busy.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Body of a job of one short task.
const JOB_BODY: &str =
    r#"{"spec":"50","steps":[{"count":1,"cpu":1000,"mem-mb":10,"estimated-ms":50}]}"#;

/// Returns a request about the first job.
fn job_request(method: &str, body: &str) -> String {
    let token = key(WORKSPACES[0], 0);
    format!(
        "{method} {PREFIX}{:016x} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Token {token}\r\n\
         request-deadline-ms: 3000\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        1,
        body.len()
    )
}

/// Returns the status code of an entry's response.
async fn status(site: &Site, entry: usize, call: &str) -> String {
    let head = send_request(site.entries[entry].address, call).await;
    head.get(9..12).unwrap_or("none").to_owned()
}

/// Waits until an entry responds to a call with the expected status. Returns how long that took.
async fn wait_for_status(site: &Site, entry: usize, call: &str, expected: &str) -> Duration {
    let began = Instant::now();
    while status(site, entry, call).await != expected {
        assert!(
            began.elapsed() < WAIT_TIMEOUT,
            "entry {entry} never responds {expected}"
        );
        time::sleep(Duration::from_millis(20)).await;
    }
    began.elapsed()
}

/// Starts a site and restarts each of its entries with these bounds in its settings.
async fn start(name: &str, seed: u64, bounds: &str) -> Site {
    let mut site = entries::start(name, seed, 4).await;
    for (number, entry) in site.entries.iter_mut().enumerate() {
        let file = log_dir(name, seed).join(format!("entry-{number}.toml"));
        let text = fs::read_to_string(&file).unwrap();
        let text = text.replace("[bounds]\n", &format!("[bounds]\n{bounds}"));
        fs::write(&file, text).unwrap();
        entry.signal(Signal::KILL);
    }
    for entry in &mut site.entries {
        // An entry that has not ended yet would not be restarted.
        while entry.is_running() {
            time::sleep(Duration::from_millis(10)).await;
        }
        entry.ensure_running().unwrap();
    }
    for entry in 0..site.entries.len() {
        wait_for_status(&site, entry, &job_request("POST", JOB_BODY), "200").await;
    }
    site
}

#[test]
fn an_entry_with_an_unconfirmed_configuration_refuses_calls() {
    block_on(async {
        let bounds = format!("strict-revocation = true\nrevoke-ms = {REVOKE_MS}\n");
        let site = start("strict", SEED, &bounds).await;
        site.links.iter().for_each(|link| link.stall(true, true));
        let max_wait = Duration::from_millis(REVOKE_MS) + DETECTION_SLACK;
        time::sleep(max_wait).await;
        for entry in 0..site.entries.len() {
            assert_eq!(status(&site, entry, &job_request("GET", "")).await, "503");
        }
        site.links.iter().for_each(|link| link.stall(false, false));
        for entry in 0..site.entries.len() {
            wait_for_status(&site, entry, &job_request("GET", ""), "200").await;
        }
    });
}

#[test]
fn an_entry_without_strict_revocation_keeps_accepting_calls() {
    block_on(async {
        let bounds = format!("strict-revocation = false\nrevoke-ms = {REVOKE_MS}\n");
        let site = start("not-strict", SEED + 1, &bounds).await;
        site.links.iter().for_each(|link| link.stall(true, true));
        time::sleep(Duration::from_millis(REVOKE_MS) + DETECTION_SLACK).await;
        for entry in 0..site.entries.len() {
            assert_eq!(status(&site, entry, &job_request("GET", "")).await, "200");
        }
    });
}
