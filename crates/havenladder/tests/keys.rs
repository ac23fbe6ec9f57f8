//! Keys and bounds of workspaces, with entries as processes of their own.
//!
//! What users saw: calls under keys that there never were, and under keys that had been taken away, were served. The cause:
//! no entry read a key.

mod entries;

use entries::{block_on, log_dir, owner, send_request};
use havenladder_soak::site::{CORES, HOST, PREFIX, Site, WORKSPACES, key};
use havenladder_standin::users::events::RunEvent;
use rustix::process::Signal;
use std::{
    collections::HashSet,
    fs,
    time::{Duration, Instant},
};
use tokio::time;

/// Seeds from here on have workspaces.
const SEED: u64 = 10_900;

/// Long enough for an owner to be found and its workers to be met.
const BEGIN: Duration = Duration::from_secs(4);

/// The time within which a change must be in force on every entry in touch, by the shortest bound that there is.
const IN_FORCE: Duration = Duration::from_millis(2_000);

/// A job of one short task.
const BODY: &str =
    r#"{"spec":"50","steps":[{"count":1,"cpu":1000,"mem-mb":10,"estimated-ms":50}]}"#;

/// A call about a job, with what it shows to be let in.
fn call(method: &str, id: u64, shown: Option<&str>, body: &str) -> String {
    let shown = shown.map_or(String::new(), |text| format!("authorization: {text}\r\n"));
    format!(
        "{method} {PREFIX}{id:016x} HTTP/1.1\r\nhost: {HOST}\r\n{shown}request-deadline-ms: 3000\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// What a caller of a workspace shows.
fn token(workspace: &str, number: u64) -> String {
    format!("Token {}", key(workspace, number))
}

/// The status of an entry's answer; 0 without one.
async fn status(site: &Site, entry: usize, call: &str) -> u16 {
    let head = send_request(site.entries[entry].address, call).await;
    head.get(9..12)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}

/// Waits until an entry answers a call so.
async fn wait_for(site: &Site, entry: usize, call: &str, wanted: u16) -> Duration {
    let began = Instant::now();
    loop {
        let status = status(site, entry, call).await;
        if status == wanted {
            return began.elapsed();
        }
        assert!(
            began.elapsed() < Duration::from_secs(20),
            "entry {entry} says {status}"
        );
        time::sleep(Duration::from_millis(20)).await;
    }
}

async fn start(name: &str, seed: u64) -> Site {
    let site = entries::start(name, seed, 6).await;
    time::sleep(BEGIN).await;
    let first = call("POST", 1, Some(&token(WORKSPACES[0], 0)), BODY);
    for entry in 0..site.entries.len() {
        wait_for(&site, entry, &first, 200).await;
    }
    site
}

#[test]
fn only_its_workspace_may_touch_a_job() {
    block_on(async {
        let site = start("keys", SEED).await;
        let (own, other) = (token(WORKSPACES[0], 0), token(WORKSPACES[1], 0));
        for entry in 0..site.entries.len() {
            for (shown, expected) in [
                (Some(own.as_str()), 200),
                (Some(other.as_str()), 410),
                (Some("Token nobodys"), 401),
                (Some("Basic nobodys"), 401),
                (Some("Token"), 401),
                (None, 401),
            ] {
                let state = call("GET", 1, shown, "");
                assert_eq!(status(&site, entry, &state).await, expected, "{shown:?}");
            }
            let cancel = call("DELETE", 1, Some(&other), "");
            assert_eq!(status(&site, entry, &cancel).await, 410);
            // Another workspace's id: it is not taken, and nothing tells that it is there.
            let again = call("POST", 1, Some(&other), BODY);
            assert_eq!(status(&site, entry, &again).await, 503);
            let barred = call("POST", 0xbad, Some("Token nobodys"), BODY);
            let head = send_request(site.entries[entry].address, &barred).await;
            assert!(
                head.to_lowercase().contains("www-authenticate: token"),
                "{head}"
            );
        }
        time::sleep(Duration::from_secs(1)).await;
        let events = site.events.all();
        assert!(
            events.iter().all(|event| !event.task.contains("bad.")),
            "{events:?}"
        );
    });
}

#[test]
fn a_key_that_was_taken_away_is_refused_also_where_the_store_is_out_of_reach() {
    block_on(async {
        let (name, seed) = ("keys-cut", SEED + 1);
        let mut site = start(name, seed).await;
        let owner = owner(name, seed, site.entries.len());
        // One entry that owns nothing does not reach the store; the owner and the seeds answer it.
        let cut = (owner + 1) % site.entries.len();
        site.links[cut].cut(true);
        site.change_keys();
        let old = call("GET", 1, Some(&token(WORKSPACES[0], 1)), "");
        for entry in 0..site.entries.len() {
            let took = wait_for(&site, entry, &old, 401).await;
            assert!(took < IN_FORCE, "entry {entry} took {took:?}");
        }
        let kept = call("GET", 1, Some(&token(WORKSPACES[0], 0)), "");
        assert_eq!(status(&site, cut, &kept).await, 200, "the other key holds");
    });
}

#[test]
fn an_entry_that_stood_still_makes_sure_before_it_takes_calls() {
    block_on(async {
        let mut site = start("keys-frozen", SEED + 2).await;
        let old = call("GET", 1, Some(&token(WORKSPACES[0], 1)), "");
        for entry in 0..site.entries.len() {
            site.entries[entry].signal(Signal::STOP);
        }
        site.change_keys();
        time::sleep(Duration::from_millis(2_500)).await;
        let addresses: Vec<_> = site.entries.iter().map(|entry| entry.address).collect();
        let waiting: Vec<_> = addresses
            .iter()
            .map(|at| {
                tokio::spawn({
                    let (at, old) = (*at, old.clone());
                    async move { send_request(at, &old).await }
                })
            })
            .collect();
        time::sleep(Duration::from_millis(200)).await;
        for entry in &mut site.entries {
            entry.signal(Signal::CONT);
        }
        for answer in waiting {
            let head = answer.await.unwrap_or_default();
            assert!(!head.starts_with("HTTP/1.1 200"), "{head}");
        }
    });
}

#[test]
fn a_new_key_opens_at_once() {
    block_on(async {
        let mut site = start("keys-new", SEED + 3).await;
        for round in 0..4 {
            site.change_keys();
            let workspaces = site.workspaces.as_ref().expect("there are workspaces");
            let newest = workspaces[0].keys.last().expect("it has keys").clone();
            let state = call("GET", 1, Some(&format!("Token {newest}")), "");
            for entry in 0..site.entries.len() {
                let status = status(&site, entry, &state).await;
                assert_eq!(status, 200, "round {round}, entry {entry}");
            }
        }
    });
}

/// How many runs go on at once at the most, of all jobs.
fn most_at_once(site: &Site) -> usize {
    let mut running = HashSet::new();
    let mut most = 0;
    for event in site.events.all() {
        let run = (event.worker, event.task, event.run);
        match event.what {
            RunEvent::Started => drop(running.insert(run)),
            RunEvent::Done | RunEvent::Ended | RunEvent::Lost => drop(running.remove(&run)),
            RunEvent::Noted => {}
        }
        most = most.max(running.len());
    }
    most
}

#[test]
fn a_bound_holds_while_the_owner_is_killed() {
    block_on(async {
        let (name, seed) = ("keys-bound", SEED + 4);
        let mut site = start(name, seed).await;
        let wide =
            r#"{"spec":"700","steps":[{"count":40,"cpu":1000,"mem-mb":10,"estimated-ms":700}]}"#;
        let hand_in = call("POST", 2, Some(&token(WORKSPACES[0], 0)), wide);
        wait_for(&site, 0, &hand_in, 200).await;
        time::sleep(Duration::from_millis(300)).await;
        let owner = owner(name, seed, site.entries.len());
        site.entries[owner].signal(Signal::KILL);
        time::sleep(Duration::from_millis(200)).await;
        site.entries[owner].revive().expect("it starts again");
        time::sleep(Duration::from_secs(8)).await;
        let state = call("GET", 2, Some(&token(WORKSPACES[0], 0)), "");
        wait_for(&site, (owner + 1) % 3, &state, 200).await;
        let most = most_at_once(&site);
        assert!(most as u64 <= CORES, "{most} at once");
        assert!(
            most as u64 >= CORES / 2,
            "{most} at once: the bound was not reached"
        );
        let done = site
            .events
            .all()
            .iter()
            .filter(|e| e.what == RunEvent::Done)
            .count();
        assert!(done > 40, "{done} runs are done");
        let never =
            r#"{"spec":"1","steps":[{"count":1,"cpu":99000,"mem-mb":10,"estimated-ms":1}]}"#;
        let refused = call("POST", 3, Some(&token(WORKSPACES[0], 0)), never);
        assert_eq!(status(&site, (owner + 1) % 3, &refused).await, 400);
    });
}

#[test]
fn no_log_and_no_metric_tells_a_key() {
    block_on(async {
        let (name, seed) = ("keys-logs", SEED + 5);
        let mut site = start(name, seed).await;
        site.change_keys();
        for shown in ["Token secret-guess", "Basic secret-guess", "secret-guess"] {
            let state = call("GET", 1, Some(shown), "");
            assert_eq!(status(&site, 1, &state).await, 401);
        }
        time::sleep(Duration::from_secs(1)).await;
        drop(site);
        for file in fs::read_dir(log_dir(name, seed)).expect("its logs") {
            let path = file.expect("a file").path();
            let text = fs::read_to_string(&path).unwrap_or_default();
            assert!(!text.contains("secret-"), "{}", path.display());
        }
    });
}
