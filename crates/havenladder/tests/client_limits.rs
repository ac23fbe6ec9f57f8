//! What single clients meet: requests within the limits, a stop, a system with few descriptors, and the log.

mod crowd_checks;
mod entries;
mod small_site;

use crowd_checks::{WAIT_TIMEOUT, run_alone};
use entries::{block_on, log_dir, owner, request, send_request};
use havenladder_soak::{
    crowd::{Crowd, Return, Shape},
    site::{HOST, PREFIX},
};
use rustix::process::Signal;
use small_site::{
    BODY_BYTES, JOB, JOB_BODY, Listener, NAME, RESOURCES, VMS, start, submit_to,
    wait_for_first_job, wait_until_done, within_limit,
};
use std::{
    fs,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time;

/// Maximum length of a log line about a request, in bytes.
const MAX_LINE_BYTES: usize = 1_024;

async fn send_long_words() {
    let seed = 6_829;
    let site = start(seed).await;
    let address = site.entries[0].address;
    let word = "a".repeat(8_000);
    let text = format!(r#"{{"steps":"{}"}}"#, "a".repeat(BODY_BYTES - 20));
    let unknown = format!("GET /{word} HTTP/1.1\r\nhost: {word}\r\nconnection: close\r\n\r\n");
    for (call, status) in [(request("POST", JOB, &text), 400), (unknown, 404)] {
        let response = send_request(address, &call).await;
        assert!(
            response.starts_with(&format!("HTTP/1.1 {status}")),
            "{response}"
        );
    }
    let log = log_dir(NAME, seed).join("entry-0.log");
    for message in ["the job is not valid", "no such queue"] {
        let line = async {
            loop {
                let text = fs::read_to_string(&log).unwrap_or_default();
                let line = text.lines().find(|line| line.contains(message));
                if let Some(line) = line {
                    break line.len();
                }
                time::sleep(Duration::from_millis(20)).await;
            }
        };
        let length = within_limit("a log line", line).await;
        assert!(length <= MAX_LINE_BYTES, "{message}: {length} bytes");
    }
}

#[test]
fn log_lines_repeat_little_of_what_callers_send() {
    let _alone = run_alone();
    block_on(send_long_words());
}

/// What a single client may send within the limits of a call, on a machine as small as in the other tests.
async fn serve_the_largest_requests() {
    let seed = 6_831;
    let site = start(seed).await;
    let address = site.entries[owner(NAME, seed, site.entries.len())].address;
    let line = |id: u64| {
        format!("POST {PREFIX}{id:016x} HTTP/1.1\r\nhost: {HOST}\r\nconnection: close\r\n")
    };
    let padded = format!("{JOB_BODY}{}", " ".repeat(BODY_BYTES - JOB_BODY.len()));
    let chunks: String = padded
        .chars()
        .map(|byte| format!("1\r\n{byte}\r\n"))
        .chain(["0\r\n\r\n".to_owned()])
        .collect();
    let plain = format!("{}content-length: {BODY_BYTES}\r\n", line(10));
    let chunked = format!("{}transfer-encoding: chunked\r\n", line(11));
    let long = format!(
        "{}content-length: {}\r\nx-long: {}\r\n",
        line(12),
        JOB_BODY.len(),
        "a".repeat(16_000)
    );
    for (head, body) in [
        (plain, &padded),
        (chunked, &chunks),
        (long, &JOB_BODY.to_owned()),
    ] {
        let response = send_request(address, &format!("{head}\r\n{body}")).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
    for job in 10..13 {
        within_limit("the job", wait_until_done(&site, job)).await;
    }
}

#[test]
fn one_request_within_the_limits_is_served() {
    let _alone = run_alone();
    block_on(serve_the_largest_requests());
}

/// The system may let a process open fewer descriptors than its settings file says, also later.
async fn lower_the_limit_of_descriptors() {
    let seed = 6_827;
    let mut site = entries::start(NAME, seed, VMS).await;
    wait_for_first_job(&site, seed).await;
    let crowded = owner(NAME, seed, site.entries.len());
    let address = site.entries[crowded].address;
    site.entries[crowded]
        .limit_descriptors(RESOURCES.descriptors)
        .expect("the process runs");
    let target = Listener::Callers.target(address);
    let shape = Shape::Chunks {
        bytes: 1_000,
        chunk: 100,
    };
    let crowd = Crowd::gather(&target, shape, 400, Return::Always);
    within_limit("the crowd", crowd.wait_settled()).await;
    // The entry needs descriptors for its own calls, since all of its connections break.
    let names = site.cloud.names();
    let workers = names.iter().filter_map(|name| site.cloud.link(name));
    let links: Vec<_> = workers.chain([Arc::clone(&site.links[crowded])]).collect();
    links.iter().for_each(|link| link.cut(true));
    time::sleep(Duration::from_millis(200)).await;
    links.iter().for_each(|link| link.cut(false));
    within_limit("an ordinary job", submit_to(address, JOB)).await;
    within_limit("its task", wait_until_done(&site, JOB)).await;
    assert!(site.entries[crowded].is_running(), "the process has ended");
}

#[test]
fn a_low_system_limit_of_descriptors_leaves_some_for_calls() {
    let _alone = run_alone();
    block_on(lower_the_limit_of_descriptors());
}

/// Stops an entry while clients have sent a part of a body each: each gets a 503.
async fn stop_with_unended_bodies() {
    const CLIENTS: usize = 20;
    let seed = 6_825;
    let mut site = start(seed).await;
    let target = Listener::Callers.target(site.entries[0].address);
    let shape = Shape::Chunks {
        bytes: 1_000,
        chunk: 100,
    };
    let mut crowd = Crowd::gather(&target, shape, CLIENTS, Return::Never);
    within_limit("the crowd", crowd.wait_settled()).await;
    site.entries[0].signal(Signal::TERM);
    within_limit("the end of the connections", crowd.wait_closed()).await;
    let limit = Instant::now() + WAIT_TIMEOUT;
    while site.entries[0].is_running() {
        assert!(Instant::now() < limit, "the process does not end");
        time::sleep(Duration::from_millis(50)).await;
    }
    let responses = crowd.responses();
    let refusals = responses
        .iter()
        .filter(|response| response.starts_with("HTTP/1.1 503"));
    assert_eq!(refusals.count(), CLIENTS, "{responses:?}");
}

#[test]
fn a_stopping_entry_refuses_requests_that_are_not_whole() {
    let _alone = run_alone();
    block_on(stop_with_unended_bodies());
}
