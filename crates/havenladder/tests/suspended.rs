//! The machines of the entries are suspended for seconds.
//!
//! What users would see: callers who had given up long ago were answered late; an owner went on as if it still had its
//! lease. The cause: all times were measured by the steady clock, which stands still while a machine is suspended.
//!
//! A test cannot suspend its machine. The entries take from a file by how much their clock is to be put forward, while
//! their timers, which stand on the steady clock, are left as they are: that is what a process sees as it wakes.

mod entries;

use entries::{block_on, count_lines, request, send_request};
use havenladder_soak::site::Site;
use std::time::{Duration, Instant};
use tokio::{task, time};
use yare::parameterized;

/// Long enough for an owner to be found and its workers to be met.
const BEGIN: Duration = Duration::from_secs(4);

/// How long a call waits for an entry before the suspension. It would be answered after 1.2 s by the steady clock.
const WAITED: Duration = Duration::from_millis(200);

/// Within this a call is answered whose time has passed meanwhile: half of what the steady clock leaves it.
const AT_ONCE: Duration = Duration::from_millis(500);

/// A job of one short task.
const BODY: &str =
    r#"{"spec":"100","steps":[{"count":1,"cpu":100,"mem-mb":10,"estimated-ms":100}]}"#;

/// What an entry logs that has noticed a suspension.
const WOKE: &str = "\"the machine was suspended\"";

/// Suspends the machines of all entries.
fn suspend_all(site: &mut Site, span: Duration) {
    for entry in &mut site.entries {
        entry.suspend(span).expect("its file can be written");
    }
}

async fn answer_at_once(seed: u64, span: Duration) {
    let mut site = entries::start("suspended-callers", seed, 2).await;
    time::sleep(BEGIN).await;
    // Nothing can be recorded, so that the call waits.
    site.links.iter().for_each(|link| link.stall(true, true));
    let callers = site.entries[0].address;
    let call = task::spawn(async move { send_request(callers, &request("POST", 1, BODY)).await });
    time::sleep(WAITED).await;
    let woke = Instant::now();
    suspend_all(&mut site, span);
    let answer = call.await.unwrap_or_default();
    let took = woke.elapsed();
    assert!(answer.starts_with("HTTP/1.1 50"), "{answer}");
    assert!(took < AT_ONCE, "answered after {took:?}");
}

async fn go_on(seed: u64, span: Duration) {
    let name = "suspended-owner";
    let mut site = entries::start(name, seed, 2).await;
    time::sleep(BEGIN).await;
    let before = count_lines(name, seed, WOKE);
    suspend_all(&mut site, span);
    time::sleep(BEGIN).await;
    assert_eq!(count_lines(name, seed, WOKE), before + site.entries.len());
    let answer = send_request(site.entries[0].address, &request("POST", 2, BODY)).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

#[parameterized(
    three_seconds = { 991, 3_000 },
    thirty_seconds = { 992, 30_000 },
)]
fn callers_whose_time_passed_in_a_suspension_are_answered_at_once(seed: u64, ms: u64) {
    block_on(answer_at_once(seed, Duration::from_millis(ms)));
}

#[parameterized(
    half_a_second = { 993, 500 },
    three_seconds = { 994, 3_000 },
    thirty_seconds = { 995, 30_000 },
)]
fn entries_notice_a_suspension_and_go_on(seed: u64, ms: u64) {
    block_on(go_on(seed, Duration::from_millis(ms)));
}
