//! More runs end on a worker than it lists at once, while the owner is frozen.
//!
//! Guards against starting tasks again that have succeeded: the next owner took the runs that a worker's first report
//! did not list for runs that did not exist, although their ends were on the next page.

mod entries;

use entries::{block_on, owner, submit};
use havenladder_soak::site::Site;
use havenladder_standin::users::events::RunEvent;
use rustix::process::Signal;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};
use tokio::time;

/// Name of the folder with the logs.
const NAME: &str = "listed-ends";

/// Seed of the site.
const SEED: u64 = 996;

/// Number of tasks, all of which fit on the only worker. It lists 500 ends at once.
const TASKS: usize = 600;

/// Time that each task takes, in ms: longer than it takes to start all of them.
const RUN_MS: u64 = 10_000;

/// Time between the freeze of the owner and the first end. The ends that come before it are acknowledged as usual.
const FREEZE_LEAD: Duration = Duration::from_millis(500);

/// Time for which the owner is frozen, longer than the time after which another entry takes over.
const FREEZE_TIME: Duration = Duration::from_secs(6);

/// Time within which a cell has an owner that has contacted its workers.
const STARTUP_TIME: Duration = Duration::from_secs(4);

/// Time within which all tasks have started, and within which they have ended after the next owner is there.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Returns how many runs of each task have had an event.
fn runs_with(site: &Site, kind: RunEvent) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for event in site.events.all() {
        if event.kind == kind {
            *counts.entry(event.task).or_default() += 1;
        }
    }
    counts
}

/// Waits until this number of tasks has had an event.
async fn wait_for(site: &Site, kind: RunEvent, tasks: usize) {
    let until = Instant::now() + TIMEOUT;
    while runs_with(site, kind).len() < tasks {
        let count = runs_with(site, kind).len();
        assert!(Instant::now() < until, "{count} of {tasks} tasks: {kind:?}");
        time::sleep(Duration::from_millis(100)).await;
    }
}

async fn freeze_while_tasks_end() {
    let mut site = entries::start_with(NAME, SEED, 1, 3).await;
    time::sleep(STARTUP_TIME).await;
    let body = format!(
        r#"{{"spec":"small {RUN_MS}","steps":[{{"count":{TASKS},"cpu":10,"mem-mb":10,"estimated-ms":{RUN_MS}}}]}}"#
    );
    submit(&site, 1, &body).await;
    wait_for(&site, RunEvent::Started, 1).await;
    let first_end = Instant::now() + Duration::from_millis(RUN_MS);
    wait_for(&site, RunEvent::Started, TASKS).await;
    let owner = owner(NAME, SEED, 3);
    time::sleep((first_end - FREEZE_LEAD).saturating_duration_since(Instant::now())).await;
    assert!(runs_with(&site, RunEvent::Done).is_empty());
    site.entries[owner].signal(Signal::STOP);
    time::sleep(FREEZE_TIME).await;
    site.entries[owner].signal(Signal::CONT);
    wait_for(&site, RunEvent::Done, TASKS).await;
    time::sleep(STARTUP_TIME).await;
    let again = runs_with(&site, RunEvent::Started);
    let again = again.values().filter(|starts| **starts > 1).count();
    assert_eq!(again, 0, "{again} tasks started again");
}

#[test]
fn tasks_whose_ends_are_on_a_later_page_stay_ended() {
    block_on(freeze_while_tasks_end());
}
