//! Jobs that are submitted while the users' log does not respond.
//!
//! A job of which nothing was sent to the log is withdrawn: its caller is refused in time to submit it again, and the
//! job does not run.

mod entries;

use entries::{block_on, request, send_request};
use havenladder_soak::site::Site;
use std::{net::SocketAddr, time::Duration};
use tokio::{task, time};

/// Time for the owner to pass the record of the first job to the log. It is shorter than the half second without a
/// response after which the owner accepts no jobs at all.
const APPEND_DELAY: Duration = Duration::from_millis(150);

/// Longer than the time from the record of a job to its start.
const START_TIMEOUT: Duration = Duration::from_secs(3);

/// Body of a job of one short task.
const JOB_BODY: &str =
    r#"{"spec":"100","steps":[{"count":1,"cpu":1000,"mem-mb":100,"estimated-ms":100}]}"#;

/// Returns whether a worker was ever ordered to start a task of the job.
fn has_started(site: &Site, id: u64) -> bool {
    let name = format!("{id:016x}.");
    let events = site.events.all();
    events.iter().any(|event| event.task.starts_with(&name))
}

fn mute_log(site: &Site, silent: bool) {
    for link in &site.links {
        link.stall(silent, silent);
    }
}

async fn submit(callers: SocketAddr, id: u64) -> String {
    send_request(callers, &request("POST", id, JOB_BODY)).await
}

async fn refuse_withdrawn_job() {
    let site = entries::start("withdrawn-jobs", 921, 2).await;
    time::sleep(Duration::from_secs(4)).await;
    let callers = site.entries[0].address;
    mute_log(&site, true);
    // The record of this job is sent to the silent log: whether it is appended is unconfirmed.
    let first_call = task::spawn(submit(callers, 1));
    time::sleep(APPEND_DELAY).await;
    let response = submit(callers, 2).await;
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(
        response.to_lowercase().contains("retry-after:"),
        "{response}"
    );
    let response = first_call.await.unwrap_or_default();
    assert!(response.starts_with("HTTP/1.1 504"), "{response}");
    mute_log(&site, false);
    time::sleep(START_TIMEOUT).await;
    assert!(!has_started(&site, 2), "a job that was refused has run");
    let response = submit(callers, 2).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    time::sleep(START_TIMEOUT).await;
    assert!(has_started(&site, 2));
}

#[test]
fn a_refused_job_of_which_nothing_was_sent_to_the_log_never_runs() {
    block_on(refuse_withdrawn_job());
}
