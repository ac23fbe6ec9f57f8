//! Keys and bounds of workspaces, with entries as separate processes.
//!
//! Guards against serving calls with unknown or revoked keys, which once happened because no entry checked keys.

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

/// First seed for which the site has workspaces.
const SEED: u64 = 10_900;

/// Time within which a cell has an owner that has contacted its workers.
const STARTUP_TIME: Duration = Duration::from_secs(4);

/// Time within which a change of keys must be in force on every entry that is in contact with others; the shortest
/// bound that can be configured.
const KEY_CHANGE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// The body of a job with one short task.
const BODY: &str =
    r#"{"spec":"50","steps":[{"count":1,"cpu":1000,"mem-mb":10,"estimated-ms":50}]}"#;

/// Returns an HTTP request about a job, with the given `authorization` header if there is one.
fn call(method: &str, id: u64, authorization: Option<&str>, body: &str) -> String {
    let header = authorization.map_or(String::new(), |text| format!("authorization: {text}\r\n"));
    format!(
        "{method} {PREFIX}{id:016x} HTTP/1.1\r\nhost: {HOST}\r\n{header}request-deadline-ms: 3000\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns the `authorization` header for a key of a workspace.
fn token(workspace: &str, number: u64) -> String {
    format!("Token {}", key(workspace, number))
}

/// Sends a request to an entry and returns the status of the response, or 0 if none arrived.
async fn status(site: &Site, entry: usize, call: &str) -> u16 {
    let head = send_request(site.entries[entry].address, call).await;
    head.get(9..12)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}

/// Sends a request to an entry until the response has the wanted status, and returns how long that took.
async fn wait_for(site: &Site, entry: usize, call: &str, wanted: u16) -> Duration {
    let began = Instant::now();
    loop {
        let status = status(site, entry, call).await;
        if status == wanted {
            return began.elapsed();
        }
        assert!(
            began.elapsed() < Duration::from_secs(20),
            "entry {entry} responds with {status}"
        );
        time::sleep(Duration::from_millis(20)).await;
    }
}

/// Starts a site and waits until every entry accepts the first job of the first workspace.
async fn start(name: &str, seed: u64) -> Site {
    let site = entries::start(name, seed, 6).await;
    time::sleep(STARTUP_TIME).await;
    let first = call("POST", 1, Some(&token(WORKSPACES[0], 0)), BODY);
    for entry in 0..site.entries.len() {
        wait_for(&site, entry, &first, 200).await;
    }
    site
}

#[test]
fn a_job_is_accessible_only_to_its_workspace() {
    block_on(async {
        let site = start("keys", SEED).await;
        let (own, other) = (token(WORKSPACES[0], 0), token(WORKSPACES[1], 0));
        for entry in 0..site.entries.len() {
            for (authorization, expected) in [
                (Some(own.as_str()), 200),
                (Some(other.as_str()), 410),
                (Some("Token nobodys"), 401),
                (Some("Basic nobodys"), 401),
                (Some("Token"), 401),
                (None, 401),
            ] {
                let state = call("GET", 1, authorization, "");
                assert_eq!(
                    status(&site, entry, &state).await,
                    expected,
                    "{authorization:?}"
                );
            }
            let cancel = call("DELETE", 1, Some(&other), "");
            assert_eq!(status(&site, entry, &cancel).await, 410);
            // The id belongs to a job of another workspace: the submission fails, and the response does not reveal
            // that such a job exists.
            let submission = call("POST", 1, Some(&other), BODY);
            assert_eq!(status(&site, entry, &submission).await, 503);
            let unauthorized = call("POST", 0xbad, Some("Token nobodys"), BODY);
            let head = send_request(site.entries[entry].address, &unauthorized).await;
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
fn a_revoked_key_is_refused_by_an_entry_that_cannot_reach_the_store() {
    block_on(async {
        let (name, seed) = ("keys-cut", SEED + 1);
        let mut site = start(name, seed).await;
        let owner = owner(name, seed, site.entries.len());
        // One entry, not the owner, cannot reach the store; the owner and the seeds still answer it.
        let cut = (owner + 1) % site.entries.len();
        site.links[cut].cut(true);
        site.rotate_keys();
        let old = call("GET", 1, Some(&token(WORKSPACES[0], 1)), "");
        for entry in 0..site.entries.len() {
            let took = wait_for(&site, entry, &old, 401).await;
            assert!(took < KEY_CHANGE_TIMEOUT, "entry {entry} took {took:?}");
        }
        let kept = call("GET", 1, Some(&token(WORKSPACES[0], 0)), "");
        assert_eq!(
            status(&site, cut, &kept).await,
            200,
            "the other key stays valid"
        );
    });
}

#[test]
fn a_suspended_entry_refreshes_its_keys_before_it_serves_calls() {
    block_on(async {
        let mut site = start("keys-frozen", SEED + 2).await;
        let old = call("GET", 1, Some(&token(WORKSPACES[0], 1)), "");
        for entry in 0..site.entries.len() {
            site.entries[entry].signal(Signal::STOP);
        }
        site.rotate_keys();
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
        for response in waiting {
            let head = response.await.unwrap_or_default();
            assert!(!head.starts_with("HTTP/1.1 200"), "{head}");
        }
    });
}

#[test]
fn a_new_key_is_accepted_immediately() {
    block_on(async {
        let mut site = start("keys-new", SEED + 3).await;
        for round in 0..4 {
            site.rotate_keys();
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

/// Returns the largest number of runs, of all jobs, that were in progress at the same time.
fn max_concurrent_runs(site: &Site) -> usize {
    let mut running = HashSet::new();
    let mut max = 0;
    for event in site.events.all() {
        let run = (event.worker, event.task, event.run);
        match event.kind {
            RunEvent::Started => drop(running.insert(run)),
            RunEvent::Done | RunEvent::Ended | RunEvent::Lost => drop(running.remove(&run)),
            RunEvent::Acknowledged => {}
        }
        max = max.max(running.len());
    }
    max
}

#[test]
fn a_workspace_bound_holds_when_the_owner_is_killed() {
    block_on(async {
        let (name, seed) = ("keys-bound", SEED + 4);
        let mut site = start(name, seed).await;
        let many_tasks =
            r#"{"spec":"700","steps":[{"count":40,"cpu":1000,"mem-mb":10,"estimated-ms":700}]}"#;
        let submission = call("POST", 2, Some(&token(WORKSPACES[0], 0)), many_tasks);
        wait_for(&site, 0, &submission, 200).await;
        time::sleep(Duration::from_millis(300)).await;
        let owner = owner(name, seed, site.entries.len());
        site.entries[owner].signal(Signal::KILL);
        time::sleep(Duration::from_millis(200)).await;
        site.entries[owner]
            .ensure_running()
            .expect("it starts again");
        time::sleep(Duration::from_secs(8)).await;
        let state = call("GET", 2, Some(&token(WORKSPACES[0], 0)), "");
        wait_for(&site, (owner + 1) % 3, &state, 200).await;
        let max = max_concurrent_runs(&site);
        assert!(max as u64 <= CORES, "{max} concurrent runs");
        assert!(
            max as u64 >= CORES / 2,
            "{max} concurrent runs: the bound was not reached"
        );
        let done = site
            .events
            .all()
            .iter()
            .filter(|e| e.kind == RunEvent::Done)
            .count();
        assert!(done > 40, "{done} runs are done");
        let oversized =
            r#"{"spec":"1","steps":[{"count":1,"cpu":99000,"mem-mb":10,"estimated-ms":1}]}"#;
        let refused = call("POST", 3, Some(&token(WORKSPACES[0], 0)), oversized);
        assert_eq!(status(&site, (owner + 1) % 3, &refused).await, 400);
    });
}

#[test]
fn logs_and_metrics_contain_no_key() {
    block_on(async {
        let (name, seed) = ("keys-logs", SEED + 5);
        let mut site = start(name, seed).await;
        site.rotate_keys();
        for authorization in ["Token secret-guess", "Basic secret-guess", "secret-guess"] {
            let state = call("GET", 1, Some(authorization), "");
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
