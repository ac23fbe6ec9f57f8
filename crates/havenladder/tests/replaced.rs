//! An owner that was paused and replaced: it does not deny the jobs that the next one has taken.

mod entries;

use entries::{block_on, request, send_request};
use havenladder_soak::site::Site;
use rustix::process::Signal;
use std::time::Duration;
use tokio::{task, time};

/// How long an entry stands still: longer than it takes to replace an owner (1.5 s).
const PAUSE: Duration = Duration::from_millis(2_500);

/// Long enough for a call to wait in the socket of the entry that stands still.
const QUEUED: Duration = Duration::from_millis(100);

/// How many calls wait there: one is read before the entry hears of its successor.
const CALLS: usize = 8;

/// Pauses an entry, has another take a job, and asks the paused one for it as it wakes.
async fn wake_to_questions(site: &mut Site, number: usize) {
    let (paused, other) = (number, (number + 1) % site.entries.len());
    let id = 0xc0 + number as u64;
    site.entries[paused].signal(Signal::STOP);
    time::sleep(PAUSE).await;
    let body = r#"{"spec":"100","steps":[{"count":1,"cpu":1000,"mem-mb":100,"estimated-ms":100}]}"#;
    let answer = send_request(site.entries[other].address, &request("POST", id, body)).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let callers = site.entries[paused].address;
    let asked: Vec<_> = (0..CALLS)
        .map(|_| task::spawn(async move { send_request(callers, &request("GET", id, "")).await }))
        .collect();
    time::sleep(QUEUED).await;
    site.entries[paused].signal(Signal::CONT);
    for answer in asked {
        let answer = answer.await.unwrap_or_default();
        assert!(!answer.starts_with("HTTP/1.1 410"), "{answer}");
        assert!(answer.starts_with("HTTP/1.1"), "no answer");
    }
}

async fn never_deny() {
    let mut site = entries::start("replaced", 941, 2).await;
    time::sleep(Duration::from_secs(4)).await;
    // One of them owns the cell.
    for number in 0..site.entries.len() {
        wake_to_questions(&mut site, number).await;
    }
}

#[test]
fn an_owner_that_was_replaced_does_not_deny_what_the_next_one_has_taken() {
    block_on(never_deny());
}
