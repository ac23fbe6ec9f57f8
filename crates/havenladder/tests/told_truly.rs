//! What a caller is told after an attempt that had no answer.
//!
//! A refusal says that nothing of a job runs. Where the owner that an entry asked first has not answered, and the next
//! one refuses, that is not certain: the first may still carry the call out.

mod entries;

use entries::{block_on, owner, send_request};
use havenladder_soak::site::{CORES, HOST, PREFIX, Site, WORKSPACES, key};
use rustix::process::Signal;
use std::time::{Duration, Instant};
use tokio::time;

/// Seeds from here on have workspaces.
const SEED: u64 = 10_930;

/// Long enough for an owner to be found and its workers to be met.
const BEGIN: Duration = Duration::from_secs(4);

/// Half of the time after which the entry gives the call up: an owner that stands still is replaced after some 1.5 s.
const REPLACED: Duration = Duration::from_secs(4);

/// A job of one task, which takes so many cores.
fn body(cores: u64) -> String {
    let cpu = cores * 1_000;
    format!(r#"{{"spec":"50","steps":[{{"count":1,"cpu":{cpu},"mem-mb":10,"estimated-ms":50}}]}}"#)
}

/// A call that hands a job in, of a caller who waits for long enough that an entry meets the next owner.
fn hand_in(id: u64, body: &str) -> String {
    let token = key(WORKSPACES[0], 0);
    format!(
        "POST {PREFIX}{id:016x} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Token {token}\r\n\
         request-deadline-ms: 20000\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// The status of an entry's answer.
async fn status(site: &Site, entry: usize, call: &str) -> String {
    let head = send_request(site.entries[entry].address, call).await;
    head.get(9..12).unwrap_or("none").to_owned()
}

#[test]
fn a_refusal_after_an_attempt_without_an_answer_is_not_said_to_be_one() {
    block_on(async {
        let name = "told-truly";
        let mut site = entries::start(name, SEED, 6).await;
        time::sleep(BEGIN).await;
        let owner = owner(name, SEED, site.entries.len());
        let other = (owner + 1) % site.entries.len();
        assert_eq!(status(&site, other, &hand_in(1, &body(1))).await, "200");
        let too_large = body(CORES + 1);
        assert_eq!(status(&site, other, &hand_in(2, &too_large)).await, "400");
        site.entries[owner].signal(Signal::STOP);
        let began = Instant::now();
        let told = status(&site, other, &hand_in(3, &too_large)).await;
        let took = began.elapsed();
        site.entries[owner].signal(Signal::CONT);
        assert_eq!(told, "504", "the first owner may still read the call");
        assert!(
            took < REPLACED,
            "told by the next owner, not given up: {took:?}"
        );
    });
}
