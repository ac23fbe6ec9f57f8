//! The response to a caller after an attempt that had no response.
//!
//! A refusal promises that nothing of a job runs. When the owner that an entry asked first has not responded and the
//! next owner refuses, this is unconfirmed: the first owner may still carry out the call.

mod entries;

use entries::{block_on, owner, send_request};
use havenladder_soak::site::{CORES, HOST, PREFIX, Site, WORKSPACES, key};
use rustix::process::Signal;
use std::time::{Duration, Instant};
use tokio::time;

/// From this seed on, sites have workspaces.
const SEED: u64 = 10_930;

/// Time for an entry to become owner of the cell and to contact its workers.
const STARTUP_TIME: Duration = Duration::from_secs(4);

/// Half of the time after which the entry fails the call. A stopped owner is replaced after some 1.5 s.
const MAX_RESPONSE_TIME: Duration = Duration::from_secs(4);

/// Returns the body of a job of one task that takes `cores` cores.
fn job_body(cores: u64) -> String {
    let cpu = cores * 1_000;
    format!(r#"{{"spec":"50","steps":[{{"count":1,"cpu":{cpu},"mem-mb":10,"estimated-ms":50}}]}}"#)
}

/// Returns a request that submits a job, with a deadline long enough for the entry to reach the next owner.
fn submission(id: u64, body: &str) -> String {
    let token = key(WORKSPACES[0], 0);
    format!(
        "POST {PREFIX}{id:016x} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Token {token}\r\n\
         request-deadline-ms: 20000\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns the status code of an entry's response.
async fn status(site: &Site, entry: usize, call: &str) -> String {
    let head = send_request(site.entries[entry].address, call).await;
    head.get(9..12).unwrap_or("none").to_owned()
}

#[test]
fn a_refusal_after_an_attempt_without_a_response_is_reported_as_unconfirmed() {
    block_on(async {
        let name = "unconfirmed-calls";
        let mut site = entries::start(name, SEED, 6).await;
        time::sleep(STARTUP_TIME).await;
        let owner = owner(name, SEED, site.entries.len());
        let other = (owner + 1) % site.entries.len();
        assert_eq!(
            status(&site, other, &submission(1, &job_body(1))).await,
            "200"
        );
        let too_large = job_body(CORES + 1);
        assert_eq!(
            status(&site, other, &submission(2, &too_large)).await,
            "400"
        );
        site.entries[owner].signal(Signal::STOP);
        let began = Instant::now();
        let code = status(&site, other, &submission(3, &too_large)).await;
        let elapsed = began.elapsed();
        site.entries[owner].signal(Signal::CONT);
        assert_eq!(code, "504", "the first owner may still carry out the call");
        assert!(
            elapsed < MAX_RESPONSE_TIME,
            "the response is the next owner's, not a time-out: {elapsed:?}"
        );
    });
}
