//! Another writer leaves entries in the list of workers, and overwrites those of workers that live.
//!
//! What users would see: starts at workers whose entries say nothing that can be read any more, or a state that no page
//! names. The cause: every state but one counted as ready, and an entry that could not be read left the one before in
//! force.

mod entries;

use bytes::Bytes;
use entries::{block_on, count_lines, request, send_request};
use havenladder_soak::site::Site;
use havenladder_standin::users::events::RunEvent;
use std::{collections::BTreeSet, time::Duration};
use tokio::time;
use yare::parameterized;

/// Long enough for an owner to be found and its workers to be met.
const BEGIN: Duration = Duration::from_secs(4);

/// Long enough for the list to be read again, and for a job of one short task.
const SOON: Duration = Duration::from_secs(2);

/// The topic with the workers' entries.
const WORKERS: &str = "keyed.servers";

/// A job of one short task.
const BODY: &str =
    r#"{"spec":"100","steps":[{"count":1,"cpu":1000,"mem-mb":10,"estimated-ms":100}]}"#;

/// Hands jobs in, and returns the workers that have run them.
async fn run_jobs(site: &Site, ids: std::ops::Range<u64>) -> BTreeSet<String> {
    for id in ids.clone() {
        let head = send_request(site.entries[0].address, &request("POST", id, BODY)).await;
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    }
    time::sleep(SOON).await;
    let jobs: Vec<String> = ids.map(|id| format!("{id:016x}.")).collect();
    let events = site.events.all();
    let started = events
        .iter()
        .filter(|event| event.kind == RunEvent::Started)
        .filter(|event| jobs.iter().any(|job| event.task.starts_with(job)));
    started.map(|event| event.worker.clone()).collect()
}

/// The newest entries of the workers.
fn listed(site: &Site) -> Vec<(String, Bytes)> {
    let newest = site.log.records(WORKERS).into_iter();
    newest.filter(|(_, value)| !value.is_empty()).collect()
}

/// Its own entry, in a state that no page names.
fn in_another_state(entry: &Bytes) -> Vec<u8> {
    String::from_utf8_lossy(entry)
        .replace("\"ready\"", "\"resting\"")
        .into()
}

/// Bytes that are no text.
fn no_text(_: &Bytes) -> Vec<u8> {
    vec![0xff, 0x00, 0xfe]
}

/// An object whose fields are of other types.
fn of_another_type(_: &Bytes) -> Vec<u8> {
    br#"{"service":7,"state":["ready"]}"#.to_vec()
}

async fn overwrite(seed: u64, foreign: fn(&Bytes) -> Vec<u8>) {
    let name = "foreign-entries";
    let site = entries::start(name, seed, 3).await;
    time::sleep(BEGIN).await;
    let before = listed(&site);
    let (kept, others) = before.split_last().expect("there are workers");
    for (id, value) in others {
        site.log.put(WORKERS, id, &foreign(value));
    }
    // Such as name no worker at all.
    site.log.put(WORKERS, "i-of-nobody", &foreign(&kept.1));
    time::sleep(SOON).await;
    let used = run_jobs(&site, 1..9).await;
    assert_eq!(used, BTreeSet::from([kept.0.clone()]));
    let unreadable = count_lines(name, seed, "\"entry names no worker to use\"");
    for (id, value) in others {
        site.log.put(WORKERS, id, &foreign(value));
    }
    time::sleep(SOON).await;
    let again = count_lines(name, seed, "\"entry names no worker to use\"");
    assert_eq!(again, unreadable, "one line a change");
    for (id, value) in others {
        site.log.put(WORKERS, id, value);
    }
    site.log.put(WORKERS, &kept.0, b"{}");
    time::sleep(SOON).await;
    let used = run_jobs(&site, 9..17).await;
    assert!(!used.contains(&kept.0) && !used.is_empty(), "{used:?}");
}

#[parameterized(
    state = { 971, in_another_state },
    bytes = { 972, no_text },
    type_of_fields = { 973, of_another_type },
)]
fn entries_of_another_writer_name_no_worker_and_the_others_hold(
    seed: u64,
    foreign: fn(&Bytes) -> Vec<u8>,
) {
    block_on(overwrite(seed, foreign));
}

/// Entries of a worker that there is not, at the address of one that lives, written again and again.
async fn haunt(seed: u64) {
    let name = "foreign-address";
    let site = entries::start(name, seed, 3).await;
    time::sleep(BEGIN).await;
    let (_, entry) = listed(&site).remove(0);
    for id in ["i-ghost", "i-gone"] {
        site.log.put(WORKERS, id, &entry);
    }
    time::sleep(SOON).await;
    let before = count_lines(name, seed, "\"worker\":\"i-ghost");
    assert!(before > 0, "it was looked at");
    let unknown = count_lines(name, seed, "i-nobody");
    for _ in 0..5 {
        site.log.put(WORKERS, "i-ghost", &entry);
        site.log.put(WORKERS, "i-nobody", b"");
        time::sleep(SOON / 4).await;
    }
    let after = count_lines(name, seed, "\"worker\":\"i-ghost");
    assert_eq!(after, before, "one look is enough");
    assert_eq!(count_lines(name, seed, "i-nobody"), unknown);
    let used = run_jobs(&site, 1..9).await;
    assert!(!used.is_empty(), "the others hold");
}

#[test]
fn an_entry_at_the_address_of_another_worker_is_looked_at_once() {
    block_on(haunt(974));
}
