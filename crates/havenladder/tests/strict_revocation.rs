//! Strict revocation: an entry that cannot make sure of its configuration for long takes no calls, since keys may have been
//! taken away meanwhile.

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

/// Seeds from here on have workspaces.
const SEED: u64 = 10_950;

/// For how long an entry may go on without being sure, in ms, as its settings say.
const REVOKE_MS: u64 = 1_500;

/// By how much later it may refuse: a look at the store that is under way as it goes away, and one more.
const SLACK: Duration = Duration::from_millis(1_000);

/// Limit of a wait; generous, so that a busy machine changes no verdict.
const LIMIT: Duration = Duration::from_secs(30);

/// A job of one short task.
const BODY: &str =
    r#"{"spec":"50","steps":[{"count":1,"cpu":1000,"mem-mb":10,"estimated-ms":50}]}"#;

/// A call about the first job.
fn call(method: &str, body: &str) -> String {
    let token = key(WORKSPACES[0], 0);
    format!(
        "{method} {PREFIX}{:016x} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Token {token}\r\n\
         request-deadline-ms: 3000\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        1,
        body.len()
    )
}

/// The status of an entry's answer.
async fn status(site: &Site, entry: usize, call: &str) -> String {
    let head = send_request(site.entries[entry].address, call).await;
    head.get(9..12).unwrap_or("none").to_owned()
}

/// Waits until an entry answers a call so; how long that took.
async fn wait_for(site: &Site, entry: usize, call: &str, wanted: &str) -> Duration {
    let began = Instant::now();
    while status(site, entry, call).await != wanted {
        assert!(began.elapsed() < LIMIT, "entry {entry} never says {wanted}");
        time::sleep(Duration::from_millis(20)).await;
    }
    began.elapsed()
}

/// Starts a site of which every entry has started anew with these settings.
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
        // One that has not ended yet would not be started anew.
        while entry.is_running() {
            time::sleep(Duration::from_millis(10)).await;
        }
        entry.ensure_running().unwrap();
    }
    for entry in 0..site.entries.len() {
        wait_for(&site, entry, &call("POST", BODY), "200").await;
    }
    site
}

#[test]
fn an_entry_that_cannot_make_sure_for_long_takes_no_calls() {
    block_on(async {
        let bounds = format!("strict-revocation = true\nrevoke-ms = {REVOKE_MS}\n");
        let site = start("strict", SEED, &bounds).await;
        site.links.iter().for_each(|link| link.stall(true, true));
        let most = Duration::from_millis(REVOKE_MS) + SLACK;
        time::sleep(most).await;
        for entry in 0..site.entries.len() {
            assert_eq!(status(&site, entry, &call("GET", "")).await, "503");
        }
        site.links.iter().for_each(|link| link.stall(false, false));
        for entry in 0..site.entries.len() {
            wait_for(&site, entry, &call("GET", ""), "200").await;
        }
    });
}

#[test]
fn an_entry_that_need_not_make_sure_goes_on() {
    block_on(async {
        let bounds = format!("strict-revocation = false\nrevoke-ms = {REVOKE_MS}\n");
        let site = start("not-strict", SEED + 1, &bounds).await;
        site.links.iter().for_each(|link| link.stall(true, true));
        time::sleep(Duration::from_millis(REVOKE_MS) + SLACK).await;
        for entry in 0..site.entries.len() {
            assert_eq!(status(&site, entry, &call("GET", "")).await, "200");
        }
    });
}
