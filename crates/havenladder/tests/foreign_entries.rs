//! Another writer adds entries to the list of workers and overwrites those of workers that are running.
//!
//! Guards against starts at workers whose entries are unreadable or have an undefined state. Every state but one
//! counted as ready, and an entry that could not be read left the previous one in force.

mod entries;

use bytes::Bytes;
use entries::{block_on, count_lines, request, send_request};
use havenladder_soak::site::Site;
use havenladder_standin::users::events::RunEvent;
use std::{collections::BTreeSet, time::Duration};
use tokio::time;
use yare::parameterized;

/// Time for an entry to become owner of the cell and to contact its workers.
const STARTUP_TIME: Duration = Duration::from_secs(4);

/// Time for the list of workers to be refreshed, and for a job of one short task to end.
const REFRESH_TIME: Duration = Duration::from_secs(2);

/// Topic with the entries of the workers.
const WORKER_TOPIC: &str = "keyed.servers";

/// Body of a job of one short task.
const JOB_BODY: &str =
    r#"{"spec":"100","steps":[{"count":1,"cpu":1000,"mem-mb":10,"estimated-ms":100}]}"#;

/// Submits jobs and returns the workers that have run them.
async fn run_jobs(site: &Site, ids: std::ops::Range<u64>) -> BTreeSet<String> {
    for id in ids.clone() {
        let head = send_request(site.entries[0].address, &request("POST", id, JOB_BODY)).await;
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    }
    time::sleep(REFRESH_TIME).await;
    let jobs: Vec<String> = ids.map(|id| format!("{id:016x}.")).collect();
    let events = site.events.all();
    let started = events
        .iter()
        .filter(|event| event.kind == RunEvent::Started)
        .filter(|event| jobs.iter().any(|job| event.task.starts_with(job)));
    started.map(|event| event.worker.clone()).collect()
}

/// Returns the newest entry of each listed worker.
fn worker_entries(site: &Site) -> Vec<(String, Bytes)> {
    let newest = site.log.records(WORKER_TOPIC).into_iter();
    newest.filter(|(_, value)| !value.is_empty()).collect()
}

/// Returns the entry with a state that the documentation does not define.
fn with_unknown_state(entry: &Bytes) -> Vec<u8> {
    String::from_utf8_lossy(entry)
        .replace("\"ready\"", "\"resting\"")
        .into()
}

/// Returns bytes that are not valid UTF-8.
fn non_utf8(_: &Bytes) -> Vec<u8> {
    vec![0xff, 0x00, 0xfe]
}

/// Returns an object whose fields have the wrong types.
fn with_wrong_types(_: &Bytes) -> Vec<u8> {
    br#"{"service":7,"state":["ready"]}"#.to_vec()
}

async fn overwrite_entries(seed: u64, foreign: fn(&Bytes) -> Vec<u8>) {
    let name = "foreign-entries";
    let site = entries::start(name, seed, 3).await;
    time::sleep(STARTUP_TIME).await;
    let before = worker_entries(&site);
    let (intact, others) = before.split_last().expect("there are workers");
    for (id, value) in others {
        site.log.put(WORKER_TOPIC, id, &foreign(value));
    }
    // An entry under an id that no worker has.
    site.log
        .put(WORKER_TOPIC, "i-of-nobody", &foreign(&intact.1));
    time::sleep(REFRESH_TIME).await;
    let used = run_jobs(&site, 1..9).await;
    assert_eq!(used, BTreeSet::from([intact.0.clone()]));
    let unreadable = count_lines(name, seed, "\"entry names no worker to use\"");
    for (id, value) in others {
        site.log.put(WORKER_TOPIC, id, &foreign(value));
    }
    time::sleep(REFRESH_TIME).await;
    let unreadable_after = count_lines(name, seed, "\"entry names no worker to use\"");
    assert_eq!(
        unreadable_after, unreadable,
        "one log line per change of an entry"
    );
    for (id, value) in others {
        site.log.put(WORKER_TOPIC, id, value);
    }
    site.log.put(WORKER_TOPIC, &intact.0, b"{}");
    time::sleep(REFRESH_TIME).await;
    let used = run_jobs(&site, 9..17).await;
    assert!(!used.contains(&intact.0) && !used.is_empty(), "{used:?}");
}

#[parameterized(
    unknown_state = { 971, with_unknown_state },
    invalid_utf8 = { 972, non_utf8 },
    wrong_types = { 973, with_wrong_types }
)]
fn workers_with_unusable_entries_get_no_tasks_and_the_others_work_on(
    seed: u64,
    foreign: fn(&Bytes) -> Vec<u8>,
) {
    block_on(overwrite_entries(seed, foreign));
}

/// Writes entries of workers that do not exist, several times, at the address of one that does.
async fn write_ghost_entries(seed: u64) {
    let name = "foreign-address";
    let site = entries::start(name, seed, 3).await;
    time::sleep(STARTUP_TIME).await;
    let (_, entry) = worker_entries(&site).remove(0);
    for id in ["i-ghost", "i-gone"] {
        site.log.put(WORKER_TOPIC, id, &entry);
    }
    time::sleep(REFRESH_TIME).await;
    let before = count_lines(name, seed, "\"worker\":\"i-ghost");
    assert!(before > 0, "the entry was checked");
    let unknown = count_lines(name, seed, "i-nobody");
    for _ in 0..5 {
        site.log.put(WORKER_TOPIC, "i-ghost", &entry);
        site.log.put(WORKER_TOPIC, "i-nobody", b"");
        time::sleep(REFRESH_TIME / 4).await;
    }
    let after = count_lines(name, seed, "\"worker\":\"i-ghost");
    assert_eq!(after, before, "the entry is checked only once");
    assert_eq!(count_lines(name, seed, "i-nobody"), unknown);
    let used = run_jobs(&site, 1..9).await;
    assert!(!used.is_empty(), "the other workers stay in use");
}

#[test]
fn an_entry_at_the_address_of_another_worker_is_checked_once() {
    block_on(write_ghost_entries(974));
}
