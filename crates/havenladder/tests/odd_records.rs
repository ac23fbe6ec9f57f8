//! Others leave odd records where entries read: very deeply nested, with numbers too large, or under the key of another
//! record.
//!
//! Guards against entries that end when they read such a record, against a list of VMs that is never read for one odd
//! row, and against waves and configurations that an odd record hides.

mod entries;

use entries::{block_on, count_lines, submit};
use havenladder_soak::site::Site;
use havenladder_standin::users::{events::RunEvent, operator::write_wave};
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};
use tokio::time;
use yare::parameterized;

/// Name of the folders with the logs.
const NAME: &str = "odd-records";

/// Topic for operators' records.
const OPERATOR_TOPIC: &str = "keyed.op";

/// Topic with the status of waves.
const STATUS_TOPIC: &str = "keyed.status";

/// Upper bound on the wait for a wave of the site's VMs; it takes some 6 s.
const WAVE_TIMEOUT: Duration = Duration::from_secs(20);

/// Upper bound on the wait for the tasks of a job.
const JOB_TIMEOUT: Duration = Duration::from_secs(5);

/// A job that fills the site's workers.
const JOB_BODY: &str =
    r#"{"spec":"200","steps":[{"count":16,"cpu":1000,"mem-mb":10,"estimated-ms":200}]}"#;

/// Returns an array nested so deeply that its decoder must not recurse.
fn nested_arrays() -> String {
    "[".repeat(100_000) + &"]".repeat(100_000)
}

/// Returns a record of the lease or of a job, nested so deeply that its decoder must not recurse.
fn deep_record() -> Vec<u8> {
    vec![0x91; 200_000]
}

/// Waits until a condition holds.
async fn wait_until(what: &str, timeout: Duration, condition: impl Fn() -> bool) {
    let until = Instant::now() + timeout;
    while !condition() {
        assert!(Instant::now() < until, "waited in vain for {what}");
        time::sleep(Duration::from_millis(50)).await;
    }
}

/// Submits a job and waits until each of its tasks has ended well, after one start.
async fn run_job(site: &Site, id: u64) {
    submit(site, id, JOB_BODY).await;
    let job = format!("{id:016x}.");
    let count = |kind: RunEvent| {
        let events = site.events.all().into_iter();
        let of_job = events.filter(|event| event.task.starts_with(&job) && event.kind == kind);
        of_job.count()
    };
    wait_until("the tasks", JOB_TIMEOUT, || count(RunEvent::Done) == 16).await;
    assert_eq!(count(RunEvent::Started), 16);
}

/// Waits until operators are told that a wave has succeeded.
async fn wait_for_wave(site: &Site, wave: u64) {
    let succeeded = || {
        let status = site.log.get(STATUS_TOPIC, &format!("wave/{wave}"));
        status.is_some_and(|status| String::from_utf8_lossy(&status).contains("succeeded"))
    };
    wait_until("the wave", WAVE_TIMEOUT, succeeded).await;
    let ordered: BTreeSet<String> = site
        .cloud
        .orders()
        .into_iter()
        .map(|order| order.vm)
        .collect();
    assert_eq!(ordered, site.cloud.names().into_iter().collect());
}

/// Asserts that all entries are running, and that the cell has had one owner.
fn assert_unharmed(site: &mut Site, seed: u64) {
    for entry in &mut site.entries {
        assert!(entry.is_running(), "a process has ended");
    }
    assert_eq!(count_lines(NAME, seed, "panicked"), 0);
    assert_eq!(count_lines(NAME, seed, "\"owns the cell\""), 1);
}

/// Writes the odd records that a run is about.
fn put(site: &Site, records: &[(&str, &str, Vec<u8>)]) {
    for (topic, key, value) in records {
        site.log.put(topic, key, value);
    }
}

/// Runs jobs and a wave on a site with odd records, which are written before an entry owns the cell and again later.
async fn add_odd_records(seed: u64, records: Vec<(&'static str, &'static str, Vec<u8>)>) {
    let mut site = entries::start(NAME, seed, 2).await;
    put(&site, &records);
    run_job(&site, 1).await;
    put(&site, &records);
    write_wave(&site.log, 1, &site.cloud.names());
    wait_for_wave(&site, 1).await;
    run_job(&site, 2).await;
    assert_unharmed(&mut site, seed);
}

/// Returns a wave without VMs.
fn wave(number: &str, duration: &str, bound: &str) -> Vec<u8> {
    let text = format!(
        r#"{{"wave":{number},"machines":["vm-9"],"duration-s":{duration},"upper-bound":{bound}}}"#
    );
    text.into()
}

#[parameterized(
    deep_wave = { 2201, vec![(OPERATOR_TOPIC, "wave/7", nested_arrays().into())] },
    wave_with_numbers_at_the_end_of_their_ranges = { 2202, vec![(OPERATOR_TOPIC, "wave/18446744073709551615", wave("18446744073709551615", "1e308", "18446744073709551615"))] },
    wave_under_another_key_does_not_replace_the_one_requested = { 2203, vec![(OPERATOR_TOPIC, "wave/7", wave("1", "20", "1"))] },
    deep_drain = { 2204, vec![(OPERATOR_TOPIC, "evacuate/a", nested_arrays().into())] },
    drain_without_a_name = { 2205, vec![(OPERATOR_TOPIC, "evacuate/", b"{}".to_vec())] },
    deep_job_records = { 2208, vec![("keyed.jobs", "g0000000000000009", deep_record()), ("keyed.jobs", "s0000000000000009", deep_record())] },
    deep_lease_record = { 2210, vec![("owner", "", deep_record())] },
    job_record_of_a_huge_length = { 2209, vec![("keyed.jobs", "g0000000000000009", vec![0x92, 0x01, 0xdd, 0xff, 0xff, 0xff, 0xff]), ("keyed.jobs", "w0000000000000009", vec![0xdd, 0xff, 0xff, 0xff, 0xff])] },
)]
fn an_odd_record_harms_no_entry_and_hides_no_other(
    seed: u64,
    records: Vec<(&'static str, &'static str, Vec<u8>)>,
) {
    block_on(add_odd_records(seed, records));
}

/// Runs a wave on a site whose list of VMs holds an odd row.
async fn add_odd_vm(seed: u64, row: String) {
    let mut site = entries::start(NAME, seed, 2).await;
    site.cloud.add_odd_row(&row);
    run_job(&site, 1).await;
    write_wave(&site.log, 1, &site.cloud.names());
    wait_for_wave(&site, 1).await;
    assert_unharmed(&mut site, seed);
}

#[parameterized(
    deep_array = { 2211, nested_arrays() },
    number_over_f64 = { 2212, r#"{"machine":"odd","capacity":{"cpu":1e400}}"#.to_owned() },
)]
fn an_odd_row_does_not_hide_the_list_of_vms(seed: u64, row: String) {
    block_on(add_odd_vm(seed, row));
}

/// Requests a wave whose bound lets all VMs be down at once.
async fn request_unbounded_wave(seed: u64) {
    let mut site = entries::start(NAME, seed, 2).await;
    run_job(&site, 1).await;
    let wave = br#"{"wave":1,"machines":["vm-0","vm-1"],"duration-s":20,"upper-bound":18446744073709551615}"#;
    site.log.put(OPERATOR_TOPIC, "wave/1", wave);
    wait_for_wave(&site, 1).await;
    assert_unharmed(&mut site, seed);
}

#[test]
fn a_bound_at_the_end_of_its_range_does_not_stop_waves() {
    block_on(request_unbounded_wave(2213));
}

/// Writes an invalid configuration while another one is in force.
async fn write_invalid_configuration(seed: u64, value: Vec<u8>) {
    let mut site = entries::start(NAME, seed, 2).await;
    run_job(&site, 1).await;
    site.log.put(OPERATOR_TOPIC, "config", &value);
    let refusals = || count_lines(NAME, seed, "\"cannot decode a configuration");
    wait_until("the entries", JOB_TIMEOUT, || refusals() == 3).await;
    run_job(&site, 2).await;
    site.configure();
    let versions = || count_lines(NAME, seed, "\"configuration in force\"");
    wait_until("the next one", JOB_TIMEOUT, || versions() == 6).await;
    assert_unharmed(&mut site, seed);
}

#[parameterized(
    deep_array = { 2221, nested_arrays().into() },
    version_over_u64 = { 2222, br#"{"version":18446744073709551616,"routes":[]}"#.to_vec() },
    invalid_utf8 = { 2223, b"{\"version\":9,\"routes\":[{\"name\":\"\xff\"}]}".to_vec() },
)]
fn an_invalid_configuration_leaves_the_last_one_in_force(seed: u64, value: Vec<u8>) {
    block_on(write_invalid_configuration(seed, value));
}

/// Starts entries whose configuration holds an odd queue and an odd service.
async fn add_odd_rows(seed: u64, row: String) {
    let mut site = entries::start(NAME, seed, 2).await;
    let config = site
        .log
        .get(OPERATOR_TOPIC, "config")
        .expect("a configuration");
    let mut text = String::from_utf8_lossy(&config).into_owned();
    for rows in ["\"routes\":[", "\"services\":["] {
        text = text.replacen(rows, &format!("{rows}{row},"), 1);
    }
    site.log.put(OPERATOR_TOPIC, "config", text.as_bytes());
    assert_eq!(site.log.reads(OPERATOR_TOPIC), 0, "no entry has read it");
    run_job(&site, 1).await;
    let in_force = || count_lines(NAME, seed, "\"odd_rows\":2");
    wait_until("the entries", JOB_TIMEOUT, || in_force() == 3).await;
    assert_unharmed(&mut site, seed);
}

#[parameterized(
    deep_array = { 2231, nested_arrays() },
    number_over_f64 = { 2232, r#"{"name":1e400}"#.to_owned() },
)]
fn an_odd_queue_or_service_does_not_hide_the_others(seed: u64, row: String) {
    block_on(add_odd_rows(seed, row));
}
