//! Jobs that come while the users' log does not answer: one of which nothing was sent is refused in time to be
//! handed in again, and the refusal is true.

mod entries;

use entries::{block_on, request, send_request};
use havenladder_soak::site::Site;
use std::{net::SocketAddr, time::Duration};
use tokio::{task, time};

/// Long enough for the owner to hand the record of the first job on, and shorter than the half second after
/// which it takes no jobs in at all.
const BEHIND: Duration = Duration::from_millis(150);

/// Longer than a job that runs takes from its record to its start.
const LONG: Duration = Duration::from_secs(3);

/// A job of one short task.
const BODY: &str =
    r#"{"spec":"100","steps":[{"count":1,"cpu":1000,"mem-mb":100,"estimated-ms":100}]}"#;

/// Whether a worker was ever told to start a task of a job.
fn has_started(site: &Site, id: u64) -> bool {
    let name = format!("{id:016x}.");
    let events = site.events.all();
    events.iter().any(|event| event.task.starts_with(&name))
}

fn silence(site: &Site, silent: bool) {
    for link in &site.links {
        link.stall(silent, silent);
    }
}

async fn hand_in(callers: SocketAddr, id: u64) -> String {
    send_request(callers, &request("POST", id, BODY)).await
}

async fn refuse_truly() {
    let site = entries::start("given-back", 921, 2).await;
    time::sleep(Duration::from_secs(4)).await;
    let callers = site.entries[0].address;
    silence(&site, true);
    // The record of this one is under way when the log falls silent: what becomes of it is not known.
    let sent = task::spawn(hand_in(callers, 1));
    time::sleep(BEHIND).await;
    let answer = hand_in(callers, 2).await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.to_lowercase().contains("retry-after:"), "{answer}");
    let answer = sent.await.unwrap_or_default();
    assert!(answer.starts_with("HTTP/1.1 504"), "{answer}");
    silence(&site, false);
    time::sleep(LONG).await;
    assert!(!has_started(&site, 2), "a job that was refused has run");
    let answer = hand_in(callers, 2).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    time::sleep(LONG).await;
    assert!(has_started(&site, 2));
}

#[test]
fn a_job_of_which_nothing_was_sent_to_the_log_is_refused_truly() {
    block_on(refuse_truly());
}
