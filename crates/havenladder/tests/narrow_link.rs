//! Many starts at once fill the link of the owner for longer than a worker may take to respond.
//!
//! Guards against an owner that takes the wait for its own link for silent workers: it sent each start and each poll a
//! second time over a new connection, so that a burst which the link carries within half a second kept it full for
//! good. Workers counted as silent, their leases expired, and their tasks were started elsewhere.

mod entries;

use entries::{block_on, count_lines, request, send_request, submit};
use havenladder_soak::site::Site;
use havenladder_standin::{proxy::Link, users::events::RunEvent};
use std::{sync::Arc, time::Duration};
use tokio::time;

/// Bandwidth of the link that all calls to workers share.
const BYTES_PER_S: u64 = 100_000;

/// Number of jobs that are submitted at once. All their tasks fit on the workers.
const JOB_COUNT: u64 = 8;

/// Number of tasks of each job.
const TASK_COUNT: usize = 6;

/// Length of the text of a job, which each start carries: the starts of all tasks take the link 0.6 s.
const SPEC_BYTES: usize = 1_100;

/// Time in which all tasks end, including any that are started again.
const SETTLE_TIME: Duration = Duration::from_secs(8);

/// Maximum number of starts that are sent again: one in ten. Each worker has responded within 1 s, so that none is
/// needed.
const MAX_RESENT: usize = JOB_COUNT as usize * TASK_COUNT / 10;

/// Returns the body of a job whose tasks take 1.5 s. The worker reads its text as a number, so zeros fill it up.
fn job_body() -> String {
    format!(
        r#"{{"spec":"{:0>SPEC_BYTES$}","steps":[{{"count":{TASK_COUNT},"cpu":1000,"mem-mb":100,"estimated-ms":1500}}]}}"#,
        1_500
    )
}

/// Counts the events of one kind.
fn count_events(site: &Site, kind: RunEvent) -> usize {
    let events = site.events.all();
    events.iter().filter(|event| event.kind == kind).count()
}

/// Lets all calls to workers share one link.
fn narrow_links(site: &Site) {
    let link = Arc::new(Link::new(BYTES_PER_S));
    for name in site.cloud.names() {
        let faults = site.cloud.link(&name).expect("a VM of the site");
        faults.share_link(Some(Arc::clone(&link)));
    }
}

async fn send_burst() {
    let (name, seed) = ("narrow-link", 951);
    let site = entries::start(name, seed, 8).await;
    time::sleep(Duration::from_secs(4)).await;
    narrow_links(&site);
    let body = job_body();
    for number in 0..JOB_COUNT {
        submit(&site, 0xd0 + number, &body).await;
    }
    time::sleep(SETTLE_TIME).await;
    let tasks = JOB_COUNT as usize * TASK_COUNT;
    assert_eq!(count_events(&site, RunEvent::Done), tasks);
    assert_eq!(count_events(&site, RunEvent::Started), tasks);
    assert_eq!(count_events(&site, RunEvent::Ended), 0);
    let resent = count_lines(name, seed, "\"start resent\"");
    assert!(resent <= MAX_RESENT, "{resent} starts were sent again");
}

/// Number of jobs that are submitted where the owner knows its link: their starts take it three times as long as their
/// objective of 3.6 s allows.
const MANY_JOBS: u64 = 100;

/// Time in which all accepted jobs end: their objective, and the time of their submission.
const MANY_JOBS_TIME: Duration = Duration::from_secs(8);

async fn send_too_much() {
    let (name, seed) = ("known-link", 952);
    let mbps = BYTES_PER_S as f64 * 8.0 / 1e6;
    let site = entries::start_with_link(name, seed, 12, mbps).await;
    time::sleep(Duration::from_secs(4)).await;
    narrow_links(&site);
    let body = job_body();
    let mut accepted = 0;
    let mut rejected = 0;
    for number in 0..MANY_JOBS {
        let address = site.entries[0].address;
        let response = send_request(address, &request("POST", 0x100 + number, &body)).await;
        if response.starts_with("HTTP/1.1 200") {
            accepted += 1;
        } else {
            assert!(response.starts_with("HTTP/1.1 429"), "{response}");
            assert!(response.contains("retry-after"), "{response}");
            rejected += 1;
        }
    }
    assert!(rejected > 0, "all {accepted} jobs are accepted");
    time::sleep(MANY_JOBS_TIME).await;
    let done = count_events(&site, RunEvent::Done);
    assert_eq!(done, accepted * TASK_COUNT, "{accepted} jobs are accepted");
    assert_eq!(count_events(&site, RunEvent::Ended), 0);
    assert_eq!(count_lines(name, seed, "\"owns the cell\""), 1);
}

#[test]
fn an_owner_that_cannot_send_all_starts_rejects_jobs_and_keeps_the_others() {
    block_on(send_too_much());
}

#[test]
fn a_burst_of_starts_that_fills_the_link_is_not_sent_twice() {
    block_on(send_burst());
}
