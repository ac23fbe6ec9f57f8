//! Another writer leaves one odd entry among those of the workers: very deeply nested, with a number too large, or with
//! an address that no worker can have.
//!
//! Guards against entries that end when they read the list of workers, stop following it, or give up runs of workers
//! that are running.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

mod entries;

use bytes::Bytes;
use entries::{block_on, count_lines, submit};
use havenladder_soak::site::Site;
use havenladder_standin::users::events::{Event, RunEvent};
use rustix::process::Signal;
use serde_json::{Map, Value};
use std::{
    collections::BTreeSet,
    ops::Range,
    time::{Duration, Instant},
};
use tokio::{net::TcpListener, time};
use yare::parameterized;

/// Name of the folders with the logs.
const NAME: &str = "odd-entries";

/// Topic with the entries of the workers.
const WORKER_TOPIC: &str = "keyed.servers";

/// Time within which all tasks of a job start, and within which a change of the list is in force.
const START_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for a task of [`JOB_BODY`] to end after its start.
const RUN_TIME: Duration = Duration::from_millis(400);

/// Number of tasks of [`JOB_BODY`]; they fill all workers of the site.
const TASKS: usize = 24;

/// Number of VMs of the site.
const VMS: usize = 3;

/// A job that needs all workers of the site.
const JOB_BODY: &str =
    r#"{"spec":"300","steps":[{"count":24,"cpu":1000,"mem-mb":10,"estimated-ms":300}]}"#;

/// A job that one worker can run.
const SMALL_JOB_BODY: &str =
    r#"{"spec":"300","steps":[{"count":8,"cpu":1000,"mem-mb":10,"estimated-ms":300}]}"#;

/// An odd entry of the list.
struct OddEntry {
    /// Key of the entry.
    key: String,
    /// Field that differs from the entry of a worker.
    field: &'static str,
    /// Value of the field.
    value: Vec<u8>,
    /// Whether the entry is logged as one that names no worker.
    refused: bool,
}

/// Returns an odd entry of a worker that does not exist.
fn odd(field: &'static str, value: impl Into<Vec<u8>>, refused: bool) -> OddEntry {
    OddEntry {
        key: "i-odd".to_owned(),
        field,
        value: value.into(),
        refused,
    }
}

/// Returns the value of an entry of the list in which one field has the given value.
fn with_field(entry: &[u8], field: &str, value: &[u8]) -> Vec<u8> {
    let mut fields: Map<String, Value> = serde_json::from_slice(entry).unwrap();
    fields.remove(field);
    let mut text = Value::Object(fields).to_string().into_bytes();
    text.pop();
    text.extend_from_slice(format!(",\"{field}\":").as_bytes());
    text.extend_from_slice(value);
    text.push(b'}');
    text
}

/// Returns an array nested so deeply that its decoder must not recurse.
fn nested_arrays() -> String {
    "[".repeat(100_000) + &"]".repeat(100_000)
}

/// Returns an object nested so deeply that its decoder must not recurse.
fn nested_objects() -> String {
    r#"{"a":"#.repeat(40_000) + "1" + &"}".repeat(40_000)
}

/// Returns a capacity with this text as its processor time.
fn cpu(amount: &str) -> String {
    format!(r#"{{"cpu":{amount},"mem-mb":8000,"gpu":0}}"#)
}

/// Returns the newest entry of each worker of the site.
fn worker_entries(site: &Site) -> Vec<(String, Bytes)> {
    let newest = site.log.records(WORKER_TOPIC).into_iter();
    let names = |key: &str| key.starts_with("i-0");
    newest.filter(|(key, _)| names(key)).collect()
}

/// Returns the starts of a job's tasks.
fn starts(site: &Site, id: u64) -> Vec<Event> {
    let job = format!("{id:016x}.");
    let events = site.events.all().into_iter();
    let is_start = |event: &Event| event.kind == RunEvent::Started && event.task.starts_with(&job);
    events.filter(is_start).collect()
}

/// Submits a job, and returns the workers that have started its tasks once all of them have started.
async fn run_job(site: &Site, id: u64, body: &str, tasks: usize) -> BTreeSet<String> {
    submit(site, id, body).await;
    let until = Instant::now() + START_TIMEOUT;
    while starts(site, id).len() < tasks {
        assert!(Instant::now() < until, "the tasks of job {id} wait");
        time::sleep(Duration::from_millis(20)).await;
    }
    time::sleep(RUN_TIME).await;
    let started = starts(site, id);
    assert_eq!(started.len(), tasks, "each task runs once");
    started.into_iter().map(|event| event.worker).collect()
}

/// Runs jobs for as long as a change of the list may take to be in force, and returns the workers of the last one. Without
/// jobs the pool would give VMs away.
async fn settle(site: &Site, ids: Range<u64>, body: &str, tasks: usize) -> BTreeSet<String> {
    let until = Instant::now() + START_TIMEOUT;
    let mut used = BTreeSet::new();
    for id in ids {
        if Instant::now() < until {
            used = run_job(site, id, body, tasks).await;
        }
    }
    used
}

/// Returns the number of log lines about entries that name no worker.
fn count_refused(seed: u64) -> usize {
    count_lines(NAME, seed, "\"entry names no worker to use\"")
}

/// Asserts that all entries are running, and that the cell has had one owner.
fn assert_unharmed(site: &mut Site, seed: u64) {
    for entry in &mut site.entries {
        assert!(entry.is_running(), "a process has ended");
    }
    assert_eq!(count_lines(NAME, seed, "panicked"), 0);
    assert_eq!(count_lines(NAME, seed, "\"owns the cell\""), 1);
}

/// Starts a site whose list of workers holds an odd entry, adds another one while an owner follows the list, and then
/// changes the entries of workers.
async fn add_odd_entries(seed: u64, odd: OddEntry) {
    let mut site = entries::start(NAME, seed, VMS).await;
    let workers = worker_entries(&site);
    let names: BTreeSet<String> = workers.iter().map(|(name, _)| name.clone()).collect();
    let value = with_field(&workers[0].1, odd.field, &odd.value);
    site.log.put(WORKER_TOPIC, &odd.key, &value);
    assert_eq!(
        site.log.reads(WORKER_TOPIC),
        0,
        "no owner has read the list"
    );
    assert_eq!(run_job(&site, 1, JOB_BODY, TASKS).await, names);
    assert_eq!(count_refused(seed), usize::from(odd.refused));

    let later = odd.key.replacen("i-odd", "i-new", 1);
    site.log.put(WORKER_TOPIC, &later, &value);
    assert_eq!(settle(&site, 10..20, JOB_BODY, TASKS).await, names);
    assert_eq!(count_refused(seed), 2 * usize::from(odd.refused));

    for vm in ["vm-0", "vm-1"] {
        site.cloud.announce_draining(vm);
    }
    let used = settle(&site, 20..30, SMALL_JOB_BODY, 8).await;
    assert_eq!(used, BTreeSet::from(["i-0003".to_owned()]));
    assert_unharmed(&mut site, seed);
}

#[parameterized(
    deep_array_overflows_no_stack = { 2101, odd("labels", nested_arrays(), true) },
    deep_object_in_an_unknown_field_overflows_no_stack = { 2102, odd("extra", nested_objects(), false) },
    number_over_u64_does_not_end_the_reader = { 2103, odd("capacity", cpu("18446744073709551616"), true) },
    number_over_f64_does_not_end_the_reader = { 2104, odd("capacity", cpu("1e400"), true) },
    number_over_f64_in_an_unknown_field_does_not_end_the_reader = { 2105, odd("sequence", "1e400", false) },
    negative_port_does_not_end_the_reader = { 2106, odd("address", r#""127.0.0.1:-1""#, true) },
    port_over_u16_does_not_end_the_reader = { 2107, odd("address", r#""127.0.0.1:65536""#, true) },
    port_0_is_not_called = { 2108, odd("address", r#""127.0.0.1:0""#, true) },
    unspecified_address_is_not_called = { 2109, odd("address", r#""0.0.0.0:8600""#, true) },
    broadcast_address_is_not_called = { 2110, odd("address", r#""255.255.255.255:8600""#, true) },
    invalid_utf8_does_not_end_the_reader = { 2114, odd("service", b"\"\xff\xfe\"".to_vec(), true) },
    long_key_does_not_stop_the_watch = { 2111, OddEntry { key: "i-odd".to_owned() + &"x".repeat(250), ..odd("labels", "[]", false) } },
    largest_value_does_not_stop_the_watch = { 2112, odd("labels", format!("[\"{}\"]", "x".repeat(261_800)), false) },
    start_at_the_end_of_its_range_does_not_overflow = { 2113, odd("born", u64::MAX.to_string(), false) },
)]
fn an_odd_entry_harms_neither_entries_nor_workers(seed: u64, odd: OddEntry) {
    block_on(add_odd_entries(seed, odd));
}

/// A job that needs all workers of the site for longer than their leases.
const LONG_JOB_BODY: &str =
    r#"{"spec":"6000","steps":[{"count":24,"cpu":1000,"mem-mb":10,"estimated-ms":6000}]}"#;

/// Time for a task of [`LONG_JOB_BODY`] to end after its start.
const LONG_RUN_TIME: Duration = Duration::from_millis(6_500);

/// Overwrites the entry of a worker that has runs with an odd one, and writes its own again after the runs have ended.
async fn overwrite_entry(seed: u64, odd: OddEntry) {
    let mut site = entries::start(NAME, seed, VMS).await;
    let workers = worker_entries(&site);
    run_job(&site, 1, JOB_BODY, TASKS).await;
    run_job(&site, 2, LONG_JOB_BODY, TASKS).await;
    let (name, entry) = &workers[0];
    site.log.put(
        WORKER_TOPIC,
        name,
        &with_field(entry, odd.field, &odd.value),
    );
    time::sleep(LONG_RUN_TIME).await;
    let lost = |event: &Event| matches!(event.kind, RunEvent::Ended | RunEvent::Lost);
    let lost: Vec<Event> = site.events.all().into_iter().filter(lost).collect();
    assert!(lost.is_empty(), "{lost:?}");
    assert_eq!(starts(&site, 2).len(), TASKS, "each task runs once");
    site.log.put(WORKER_TOPIC, name, entry);
    let names: BTreeSet<String> = workers.iter().map(|(name, _)| name.clone()).collect();
    assert_eq!(run_job(&site, 3, JOB_BODY, TASKS).await, names);
    assert_unharmed(&mut site, seed);
}

#[parameterized(
    port_0_does_not_cut_off_its_runs = { 2121, odd("address", r#""127.0.0.1:0""#, true) },
    unspecified_address_does_not_cut_off_its_runs = { 2122, odd("address", r#""0.0.0.0:8600""#, true) },
    another_incarnation_does_not_end_its_runs = { 2123, odd("born", "1", false) },
    last_start_time_does_not_end_its_runs = { 2124, odd("born", u64::MAX.to_string(), false) },
    deep_labels_do_not_end_its_runs = { 2125, odd("labels", nested_arrays(), true) },
)]
fn an_odd_entry_of_a_running_worker_does_not_end_its_runs(seed: u64, odd: OddEntry) {
    block_on(overwrite_entry(seed, odd));
}

/// A job that needs all workers of the site twice.
const TWICE_JOB_BODY: &str =
    r#"{"spec":"1000","steps":[{"count":48,"cpu":1000,"mem-mb":10,"estimated-ms":1000}]}"#;

/// Time for which the log cannot be reached while the owner ends.
const OUTAGE: Duration = Duration::from_secs(2);

/// Upper bound on the time from the end of the outage until the tasks of the earlier owner have started. Without the odd
/// entry it is some 2.5 s; an address that does not answer adds 1.5 s, as a worker does that is cut off.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(8);

/// What is at the address that an odd entry names.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Dead {
    /// No process listens there.
    Refuses,
    /// Connections are accepted, and no call is answered.
    IsSilent,
}

/// Lists a large worker at a dead address, and replaces the owner while tasks wait and the log cannot be reached.
async fn list_dead_worker(seed: u64, dead: Dead) {
    let mut site = entries::start(NAME, seed, VMS).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = format!("\"{}\"", listener.local_addr().unwrap());
    let _listener = (dead == Dead::IsSilent).then_some(listener);
    let workers = worker_entries(&site);
    let names: BTreeSet<String> = workers.iter().map(|(name, _)| name.clone()).collect();
    let large = with_field(&workers[0].1, "capacity", cpu("10000000").as_bytes());
    let value = with_field(&large, "address", address.as_bytes());
    site.log.put(WORKER_TOPIC, "i-odd", &value);
    assert_eq!(run_job(&site, 1, JOB_BODY, TASKS).await, names);

    submit(&site, 2, TWICE_JOB_BODY).await;
    site.links.iter().for_each(|link| link.cut(true));
    let owner = entries::owner(NAME, seed, site.entries.len());
    site.entries[owner].signal(Signal::KILL);
    time::sleep(OUTAGE).await;
    site.links.iter().for_each(|link| link.cut(false));
    let healed = Instant::now();
    while starts(&site, 2).len() < 2 * TASKS {
        assert!(healed.elapsed() < TAKEOVER_TIMEOUT, "tasks wait");
        time::sleep(Duration::from_millis(20)).await;
    }
    let used = run_job(&site, 3, JOB_BODY, TASKS).await;
    assert!(used.is_subset(&names), "{used:?}");
}

#[parameterized(
    where_nothing_listens = { 2131, Dead::Refuses },
    where_nothing_answers = { 2132, Dead::IsSilent },
)]
fn a_worker_at_a_dead_address_holds_back_no_takeover(seed: u64, dead: Dead) {
    block_on(list_dead_worker(seed, dead));
}
