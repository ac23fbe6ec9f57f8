//! Workers carry out what they are told, and their answers are lost.
//!
//! What users saw: with one order in twenty left unanswered, two fifths of what was owed was not earned. What happened:
//! a start without an answer was waited for up to a second, its run was then stopped, though it worked, and its task
//! began anew elsewhere once a later report no longer listed the run.
//!
//! The cause: a lost answer was taken for a worker that is away, though the same start, sent again, is answered in
//! ms, and a worker has a run once however often it is told to start it. Questions to workers met the same: a worker
//! was not asked again for half a second after its answer was due, and got nothing new meanwhile.
//!
//! The evidence: a day with nothing but this fault for 30 s, one order in twenty without an answer. With starts sent
//! once more, queues that earned 0.54 and 0.58 of what was owed earned 0.75 and 0.73; with questions as well, 0.91
//! and 0.90.

mod entries;

use entries::{block_on, count_lines, request, send_request};
use havenladder_soak::site::Site;
use havenladder_standin::users::events::RunEvent;
use rustix::process::Signal;
use std::time::Duration;
use tokio::time;

/// Long enough for a run that is stopped to be started anew.
const SETTLED: Duration = Duration::from_secs(6);

/// Two tasks of a second and a half: longer than a start was waited for.
const BODY: &str =
    r#"{"spec":"1500","steps":[{"count":2,"cpu":1000,"mem-mb":100,"estimated-ms":1500}]}"#;

/// For how long entries stand still: longer than an answer may be overdue, shorter than a lease; and for how long
/// they run between.
const PAUSE: Duration = Duration::from_millis(700);

/// How often they do.
const PAUSES: usize = 4;

/// Connections that may be made meanwhile: half of one for each of 8 workers and each pause. An owner that asks
/// again before it reads makes 32; one that reads first makes 6.
const FEW: u64 = 16;

/// What an owner logs of a worker that gets nothing new until it answers.
const SILENT: &str = "worker does not answer";

/// How often something happened to runs.
fn count(site: &Site, what: RunEvent) -> usize {
    let events = site.events.all();
    events.iter().filter(|event| event.kind == what).count()
}

async fn run_once() {
    let site = entries::start("lost-starts", 941, 2).await;
    time::sleep(Duration::from_secs(4)).await;
    // A first job leaves a kept connection for starts to each worker.
    let answer = send_request(site.entries[0].address, &request("POST", 0xc1, BODY)).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    time::sleep(SETTLED).await;
    assert_eq!(count(&site, RunEvent::Done), 2);
    for name in site.cloud.names() {
        let link = site.cloud.link(&name).expect("a VM of the site");
        link.silence_connections();
    }
    let answer = send_request(site.entries[0].address, &request("POST", 0xc2, BODY)).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    time::sleep(SETTLED).await;
    assert_eq!(count(&site, RunEvent::Ended), 0, "{:?}", site.events.all());
    assert_eq!(count(&site, RunEvent::Done), 4);
}

async fn ask_again() {
    let (name, seed) = ("lost-reports", 942);
    let site = entries::start(name, seed, 2).await;
    time::sleep(Duration::from_secs(4)).await;
    let before = count_lines(name, seed, SILENT);
    for name in site.cloud.names() {
        let link = site.cloud.link(&name).expect("a VM of the site");
        link.silence_connections();
    }
    time::sleep(SETTLED).await;
    assert_eq!(count_lines(name, seed, SILENT), before);
}

/// Connections to workers that were made so far.
fn connections(site: &Site) -> u64 {
    let names = site.cloud.names();
    let links = names.iter().filter_map(|name| site.cloud.link(name));
    links.map(|link| link.connections()).sum()
}

/// Lets all entries stand still for a moment, several times; how many connections to workers that makes.
async fn stand_still(seed: u64) -> u64 {
    let mut site = entries::start("stood-still", seed, 8).await;
    time::sleep(Duration::from_secs(4)).await;
    let before = connections(&site);
    for _ in 0..PAUSES {
        for signal in [Signal::STOP, Signal::CONT] {
            site.entries.iter_mut().for_each(|e| e.signal(signal));
            time::sleep(PAUSE).await;
        }
    }
    connections(&site) - before
}

async fn ask_once() {
    let made = stand_still(943).await;
    assert!(made <= FEW, "{made}");
}

#[test]
fn an_owner_that_stood_still_reads_what_was_answered_before_it_asks_again() {
    block_on(ask_once());
}

#[test]
fn a_run_whose_start_has_no_answer_works_on() {
    block_on(run_once());
}

#[test]
fn a_worker_whose_answer_is_lost_is_asked_once_more() {
    block_on(ask_again());
}
