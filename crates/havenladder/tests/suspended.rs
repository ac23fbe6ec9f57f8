//! The machines of the entries are suspended for seconds.
//!
//! Guards against times that are measured by the monotonic clock, which stops while a machine is suspended:
//! callers that had timed out long ago would get late responses, and an owner would act as if it still held its lease.
//!
//! A test cannot suspend its machine. Instead, the entries read from a file how far to advance their clock, while their
//! timers stay on the monotonic clock: this is what a process observes when its machine resumes.

mod entries;

use entries::{block_on, count_lines, request, send_request};
use havenladder_soak::site::Site;
use std::time::{Duration, Instant};
use tokio::{task, time};
use yare::parameterized;

/// Time for an entry to become owner of the cell and to contact its workers.
const STARTUP_TIME: Duration = Duration::from_secs(4);

/// Time for which a call waits before the suspension. By the monotonic clock it would get its response after 1.2 s.
const CALL_WAIT: Duration = Duration::from_millis(200);

/// Time within which a call whose deadline passed in the suspension must get its response: half of what the
/// monotonic clock leaves it.
const MAX_RESPONSE_TIME: Duration = Duration::from_millis(500);

/// Body of a job of one short task.
const JOB_BODY: &str =
    r#"{"spec":"100","steps":[{"count":1,"cpu":100,"mem-mb":10,"estimated-ms":100}]}"#;

/// Message that an entry logs when it has detected a suspension.
const SUSPENSION_MESSAGE: &str = "\"the machine was suspended\"";

/// Suspends the machines of all entries.
fn suspend_all(site: &mut Site, span: Duration) {
    for entry in &mut site.entries {
        entry.suspend(span).expect("its file can be written");
    }
}

async fn respond_at_once(seed: u64, span: Duration) {
    let mut site = entries::start("suspended-callers", seed, 2).await;
    time::sleep(STARTUP_TIME).await;
    // Nothing can be recorded while the log is silent, so the call waits.
    site.links.iter().for_each(|link| link.stall(true, true));
    let callers = site.entries[0].address;
    let call =
        task::spawn(async move { send_request(callers, &request("POST", 1, JOB_BODY)).await });
    time::sleep(CALL_WAIT).await;
    let resumed_at = Instant::now();
    suspend_all(&mut site, span);
    let response = call.await.unwrap_or_default();
    let elapsed = resumed_at.elapsed();
    assert!(response.starts_with("HTTP/1.1 50"), "{response}");
    assert!(elapsed < MAX_RESPONSE_TIME, "response after {elapsed:?}");
}

async fn keep_serving(seed: u64, span: Duration) {
    let name = "suspended-owner";
    let mut site = entries::start(name, seed, 2).await;
    time::sleep(STARTUP_TIME).await;
    let before = count_lines(name, seed, SUSPENSION_MESSAGE);
    suspend_all(&mut site, span);
    time::sleep(STARTUP_TIME).await;
    assert_eq!(
        count_lines(name, seed, SUSPENSION_MESSAGE),
        before + site.entries.len()
    );
    let response = send_request(site.entries[0].address, &request("POST", 2, JOB_BODY)).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

#[parameterized(
    three_seconds = { 991, 3_000 },
    thirty_seconds = { 992, 30_000 }
)]
fn callers_whose_deadline_passed_in_a_suspension_get_a_response_at_once(seed: u64, ms: u64) {
    block_on(respond_at_once(seed, Duration::from_millis(ms)));
}

#[parameterized(
    half_a_second = { 993, 500 },
    three_seconds = { 994, 3_000 },
    thirty_seconds = { 995, 30_000 }
)]
fn entries_detect_a_suspension_and_keep_serving(seed: u64, ms: u64) {
    block_on(keep_serving(seed, Duration::from_millis(ms)));
}
