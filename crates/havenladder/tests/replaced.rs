//! An owner that was paused and replaced does not deny the jobs that the next owner has accepted.

mod entries;

use entries::{block_on, request, send_request};
use havenladder_soak::site::Site;
use rustix::process::Signal;
use std::time::Duration;
use tokio::{task, time};

/// Time for which an entry is stopped: longer than it takes to replace an owner (1.5 s).
const PAUSE_DURATION: Duration = Duration::from_millis(2_500);

/// Time for the calls to arrive in the socket of the stopped entry.
const QUEUE_DELAY: Duration = Duration::from_millis(100);

/// Number of calls in that socket: one of them is read before the entry learns of its successor.
const CALLS: usize = 8;

/// Stops an entry, submits a job to another one, and requests the job from the stopped entry as it continues.
async fn resume_with_queued_requests(site: &mut Site, number: usize) {
    let (paused, other) = (number, (number + 1) % site.entries.len());
    let id = 0xc0 + number as u64;
    site.entries[paused].signal(Signal::STOP);
    time::sleep(PAUSE_DURATION).await;
    let body = r#"{"spec":"100","steps":[{"count":1,"cpu":1000,"mem-mb":100,"estimated-ms":100}]}"#;
    let response = send_request(site.entries[other].address, &request("POST", id, body)).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    let callers = site.entries[paused].address;
    let calls: Vec<_> = (0..CALLS)
        .map(|_| task::spawn(async move { send_request(callers, &request("GET", id, "")).await }))
        .collect();
    time::sleep(QUEUE_DELAY).await;
    site.entries[paused].signal(Signal::CONT);
    for call in calls {
        let response = call.await.unwrap_or_default();
        assert!(!response.starts_with("HTTP/1.1 410"), "{response}");
        assert!(response.starts_with("HTTP/1.1"), "no response");
    }
}

async fn resume_each_entry() {
    let mut site = entries::start("replaced", 941, 2).await;
    time::sleep(Duration::from_secs(4)).await;
    // One of the entries owns the cell.
    for number in 0..site.entries.len() {
        resume_with_queued_requests(&mut site, number).await;
    }
}

#[test]
fn a_replaced_owner_does_not_deny_jobs_that_the_next_owner_has_accepted() {
    block_on(resume_each_entry());
}
