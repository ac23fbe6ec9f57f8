//! The platform's log carries out every request but loses a share of its responses.
//!
//! Guards against a lost response being taken for a log that is unavailable, though the same append is answered
//! within milliseconds when it is resent, and is applied only once. The owner waited out the 1.5 s time-out of its
//! client and appended nothing meanwhile; after 0.5 s it refused all new jobs. After 1.5 s without a response to a
//! renewal, another entry replaced it and had the same problem. More jobs were refused or ended late than when the
//! log was down for all.
//!
//! Seen on a day with only this fault, a third of the responses lost for 4.5 s: three appends of jobs had no
//! response, each for 1,501 ms, 4.5 s in all; no other call took more than 150 ms. 299 jobs were refused because of
//! an unavailable log, and 144 were withdrawn.

mod entries;

use entries::{block_on, count_lines, request, send_request};
use havenladder_soak::site::Site;
use std::{collections::BTreeMap, time::Duration};
use tokio::{task, time};

/// Share of the responses to appends that is lost.
const LOST_SHARE: f64 = 0.35;

/// Time for which responses are lost.
const FAULT_DURATION: Duration = Duration::from_secs(5);

/// Time between two jobs.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(25);

/// Time for an entry to become owner of the cell and to contact its workers.
const STARTUP_TIME: Duration = Duration::from_secs(4);

/// Body of a job of one short task.
const JOB_BODY: &str =
    r#"{"spec":"100","steps":[{"count":1,"cpu":100,"mem-mb":10,"estimated-ms":100}]}"#;

/// Submits jobs to all entries in turn while a share of the responses is lost. Returns how often callers got each
/// status line.
async fn submit_while_losing_responses(
    site: &Site,
    lost_share: f64,
    seed: u64,
) -> BTreeMap<String, usize> {
    site.log.lose_responses(lost_share, seed);
    let jobs = (FAULT_DURATION.as_millis() / SUBMIT_INTERVAL.as_millis()) as u64;
    let mut calls = Vec::new();
    for id in 1..=jobs {
        let callers = site.entries[id as usize % site.entries.len()].address;
        calls.push(task::spawn(async move {
            send_request(callers, &request("POST", id, JOB_BODY)).await
        }));
        time::sleep(SUBMIT_INTERVAL).await;
    }
    let mut responses = BTreeMap::new();
    for call in calls {
        let head = call.await.unwrap_or_default();
        let status = head.lines().next().unwrap_or_default().to_owned();
        *responses.entry(status).or_default() += 1;
    }
    site.log.lose_responses(0.0, seed);
    responses
}

/// Message that an entry logs when it becomes owner of the cell.
const OWNER_MESSAGE: &str = "\"owns the cell\"";

/// Message that an entry logs when it puts a configuration into force.
const CONFIGURED_MESSAGE: &str = "\"configuration in force\"";

async fn accept_jobs(seed: u64) {
    let site = entries::start("lost-responses", seed, 4).await;
    time::sleep(STARTUP_TIME).await;
    let responses = submit_while_losing_responses(&site, LOST_SHARE, seed).await;
    let accepted = responses.get("HTTP/1.1 200 OK").copied();
    assert_eq!(accepted, Some(responses.values().sum()), "{responses:?}");
}

async fn keep_owner(seed: u64) {
    let name = "lost-renewals";
    let site = entries::start(name, seed, 4).await;
    time::sleep(STARTUP_TIME).await;
    let before = count_lines(name, seed, OWNER_MESSAGE);
    submit_while_losing_responses(&site, LOST_SHARE, seed).await;
    assert_eq!(count_lines(name, seed, OWNER_MESSAGE), before);
}

async fn survive_silent_connections(seed: u64) {
    let name = "silent-connections";
    let mut site = entries::start(name, seed, 4).await;
    time::sleep(STARTUP_TIME).await;
    let owners = count_lines(name, seed, OWNER_MESSAGE);
    let configured = count_lines(name, seed, CONFIGURED_MESSAGE);
    site.links
        .iter()
        .for_each(|link| link.silence_connections());
    site.configure();
    let responses = submit_while_losing_responses(&site, 0.0, seed).await;
    let accepted = responses.get("HTTP/1.1 200 OK").copied();
    assert_eq!(accepted, Some(responses.values().sum()), "{responses:?}");
    assert_eq!(count_lines(name, seed, OWNER_MESSAGE), owners);
    assert_eq!(
        count_lines(name, seed, CONFIGURED_MESSAGE),
        configured + site.entries.len()
    );
}

#[test]
fn jobs_owner_and_configuration_survive_silent_connections_to_the_log() {
    block_on(survive_silent_connections(933));
}

#[test]
fn jobs_are_accepted_while_responses_of_the_log_are_lost() {
    block_on(accept_jobs(931));
}

#[test]
fn the_owner_stays_while_responses_to_its_renewals_are_lost() {
    block_on(keep_owner(932));
}
