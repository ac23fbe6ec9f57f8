//! Starts at a worker that falls silent: only few are sent there, the others go elsewhere at once.

mod entries;

use entries::{block_on, request, send_request};
use havenladder_soak::site::Site;
use havenladder_standin::users::events::RunEvent;
use std::{collections::BTreeSet, time::Duration};
use tokio::time;

/// The tasks of the job: they fill both VMs, of eight cores each.
const TASKS: usize = 16;

/// How many starts an owner sends to one worker at a time.
const SENT: usize = 3;

/// Much longer than the tasks take, and shorter than the 3.7 s for which the lease of a silent worker holds.
const SOON: Duration = Duration::from_millis(2_500);

/// How many tasks of the job have ended well.
fn done(site: &Site) -> usize {
    let events = site.events.all();
    let done = events.iter().filter(|event| event.kind == RunEvent::Done);
    done.map(|event| event.task.clone())
        .collect::<BTreeSet<_>>()
        .len()
}

async fn start_elsewhere() {
    let site = entries::start("turns", 931, 2).await;
    time::sleep(Duration::from_secs(4)).await;
    let silent = site.cloud.link("vm-0").expect("a VM of the site");
    silent.stall(true, true);
    let body = format!(
        r#"{{"spec":"100","steps":[{{"count":{TASKS},"cpu":1000,"mem-mb":100,"estimated-ms":100}}]}}"#
    );
    let answer = send_request(site.entries[0].address, &request("POST", 0xb1, &body)).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    time::sleep(SOON).await;
    let done = done(&site);
    assert!(done >= TASKS - SENT, "{done} of {TASKS}");
}

#[test]
fn starts_that_wait_behind_a_silent_one_go_elsewhere() {
    block_on(start_elsewhere());
}
