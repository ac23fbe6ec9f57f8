//! Starts at a worker that falls silent: only a few are sent to it, and the others go to other workers at once.

mod entries;

use entries::{block_on, request, send_request};
use havenladder_soak::site::Site;
use havenladder_standin::users::events::RunEvent;
use std::{collections::BTreeSet, time::Duration};
use tokio::time;

/// Number of tasks of the job. They fill both VMs, which have eight cores each.
const TASKS: usize = 16;

/// Maximum number of starts that an owner sends to one worker at a time.
const MAX_PENDING_STARTS: usize = 3;

/// Much longer than the tasks take, and shorter than the 3.7 s for which the lease of a silent worker is valid.
const COMPLETION_TIME: Duration = Duration::from_millis(2_500);

/// Counts the tasks of the job that have succeeded.
fn count_done(site: &Site) -> usize {
    let events = site.events.all();
    let done = events.iter().filter(|event| event.kind == RunEvent::Done);
    done.map(|event| event.task.clone())
        .collect::<BTreeSet<_>>()
        .len()
}

async fn start_elsewhere() {
    let site = entries::start("silent-worker", 931, 2).await;
    time::sleep(Duration::from_secs(4)).await;
    let link = site.cloud.link("vm-0").expect("a VM of the site");
    link.stall(true, true);
    let body = format!(
        r#"{{"spec":"100","steps":[{{"count":{TASKS},"cpu":1000,"mem-mb":100,"estimated-ms":100}}]}}"#
    );
    let response = send_request(site.entries[0].address, &request("POST", 0xb1, &body)).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    time::sleep(COMPLETION_TIME).await;
    let done = count_done(&site);
    assert!(done >= TASKS - MAX_PENDING_STARTS, "{done} of {TASKS}");
}

#[test]
fn starts_queued_for_a_silent_worker_go_to_other_workers() {
    block_on(start_elsewhere());
}
