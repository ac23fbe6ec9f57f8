//! Workers that restart under their ids and are cut off before anyone has asked the new incarnation for its runs.
//!
//! Guards against a task that is started on another worker while its former run goes on.

mod entries;

use entries::{block_on, owner, request, send_request};
use havenladder_soak::site::Site;
use havenladder_standin::users::{
    events::{Event, RunEvent},
    worker::StartMode,
};
use rustix::process::Signal;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};
use tokio::time;
use yare::parameterized;

/// Time within which a cell has an owner that has contacted its workers.
const STARTUP_TIME: Duration = Duration::from_secs(4);

/// Time within which the owner sends the start of a submitted job.
const START_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after which each lease that a call can have given is over: the longest delay of a call, the longest lease, and
/// the time for which the next owner waits.
const OBSERVATION_TIME: Duration = Duration::from_secs(24);

/// The body of a job of one task that takes longer than any lease lasts.
const LONG_JOB: &str =
    r#"{"spec":"60000","steps":[{"count":1,"cpu":1000,"mem-mb":10,"estimated-ms":60000}]}"#;

/// The body of a job that has a task on each of two workers, so that neither of their VMs is given to another pool.
const FILLER: &str = r#"{"spec":"60000","steps":[{"count":2,"cpu":1000,"mem-mb":10,"estimated-ms":60000,"anti-affinity":1}]}"#;

/// Time within which the runs of a submitted job have begun and their workers have reported them.
const REPORT_TIME: Duration = Duration::from_secs(1);

/// Time within which a restarted worker has written its entry.
const LISTING_TIME: Duration = Duration::from_millis(100);

/// Time after which the entry of a worker that does not reach the store is removed.
const ENTRY_EXPIRY: Duration = Duration::from_millis(4_500);

/// Time within which a start without a response is resent.
const RESEND_TIME: Duration = Duration::from_secs(1);

/// What happens to the owner whose start is carried out late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OwnerFate {
    /// It continues.
    Continues,
    /// It continues, and the entry of the worker expires.
    ContinuesWithoutEntry,
    /// It ends without a release, since a worker has seen a higher fencing token, and claims the cell again.
    ClaimsAgain,
    /// It receives SIGTERM and releases the cell.
    Stops,
    /// It is killed.
    IsKilled,
}

/// Sets how all workers handle further requests to start a run.
fn set_start_modes(site: &Site, mode: StartMode) {
    for name in site.cloud.names() {
        let worker = site.cloud.worker(&name).expect("the VM is up");
        worker.set_start_mode(mode);
    }
}

/// Returns the VM whose worker has received a start without answering it.
async fn wait_for_start(site: &Site) -> String {
    let until = Instant::now() + START_TIMEOUT;
    let received = |name: &String| {
        let worker = site.cloud.worker(name);
        worker.is_some_and(|worker| !worker.withheld_starts().is_empty())
    };
    loop {
        if let Some(name) = site.cloud.names().into_iter().find(received) {
            return name;
        }
        assert!(Instant::now() < until, "no start was sent");
        time::sleep(Duration::from_millis(2)).await;
    }
}

/// Returns the events of each task with two runs at once, up to the second of them.
fn overlapping_runs(events: &[Event]) -> Vec<Vec<Event>> {
    let mut running: BTreeMap<&str, Vec<(&str, u64)>> = BTreeMap::new();
    let mut overlaps = Vec::new();
    for (place, event) in events.iter().enumerate() {
        let runs = running.entry(&event.task).or_default();
        match event.kind {
            RunEvent::Started => {
                runs.push((&event.worker, event.run));
                if runs.len() > 1 {
                    let so_far = events[..=place].iter();
                    overlaps.push(so_far.filter(|e| e.task == event.task).cloned().collect());
                }
            }
            RunEvent::Done | RunEvent::Ended | RunEvent::Lost => {
                runs.retain(|run| *run != (event.worker.as_str(), event.run));
            }
            RunEvent::Acknowledged => {}
        }
    }
    overlaps
}

/// Stops the owner while a start that it has sent has no response, and counts how often that start was sent.
async fn stop_during_a_start(seed: u64) -> usize {
    let name = "stopped-during-a-start";
    let mut site = entries::start(name, seed, 2).await;
    time::sleep(STARTUP_TIME).await;
    set_start_modes(&site, StartMode::Late(OBSERVATION_TIME));
    let owner = owner(name, seed, 3);
    let (address, call) = (site.entries[owner].address, request("POST", 1, LONG_JOB));
    tokio::spawn(async move { send_request(address, &call).await });
    let vm = wait_for_start(&site).await;
    site.entries[owner].signal(Signal::TERM);
    time::sleep(RESEND_TIME).await;
    let worker = site.cloud.worker(&vm).expect("the VM is up");
    let starts = worker.withheld_starts();
    starts.iter().filter(|(_, run)| *run == 1).count()
}

/// Lets a worker restart and be cut off while a start is on its way to it; the next incarnation carries the start out
/// after `delay`.
async fn start_on_the_next_incarnation(seed: u64, delay: Duration, fate: OwnerFate) {
    let name = "restarted-and-cut-off";
    let entries = match fate {
        OwnerFate::ClaimsAgain => 1,
        _ => 3,
    };
    let mut site = entries::start_with(name, seed, 2, entries).await;
    time::sleep(STARTUP_TIME).await;
    entries::submit(&site, 2, FILLER).await;
    time::sleep(REPORT_TIME).await;
    set_start_modes(&site, StartMode::Late(delay));
    let owner = owner(name, seed, entries);
    let call = request("POST", 1, LONG_JOB);
    let job = format!("{:016x}.", 1);
    let (head, vm) = tokio::join!(
        send_request(site.entries[owner].address, &call),
        wait_for_start(&site)
    );
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    site.cloud.link(&vm).expect("the VM is up").cut(true);
    site.cloud.restart(&vm, Duration::ZERO);
    set_start_modes(&site, StartMode::Answered);
    // The next owner finds the entry of the new incarnation in the list.
    time::sleep(LISTING_TIME).await;
    match fate {
        OwnerFate::Continues => {}
        OwnerFate::ContinuesWithoutEntry => {
            time::sleep(ENTRY_EXPIRY).await;
            let worker = site.cloud.worker(&vm).expect("the VM is up");
            site.log.put("keyed.servers", &worker.id, b"");
        }
        OwnerFate::ClaimsAgain => {
            let others = site.cloud.names().into_iter().filter(|name| *name != vm);
            for worker in others.filter_map(|name| site.cloud.worker(&name)) {
                worker.raise_fence(1);
            }
        }
        OwnerFate::Stops => site.entries[owner].signal(Signal::TERM),
        OwnerFate::IsKilled => site.entries[owner].signal(Signal::KILL),
    }
    time::sleep(OBSERVATION_TIME).await;
    let events = site.events.all();
    let overlaps = overlapping_runs(&events);
    assert!(overlaps.is_empty(), "two runs at once: {overlaps:#?}");
    let started = |event: &&Event| event.kind == RunEvent::Started && event.task.starts_with(&job);
    let starts = events.iter().filter(started).count();
    assert_eq!(starts, 2, "the task starts again: {events:#?}");
}

#[parameterized(
    while_the_owner_continues = { 9_310, Duration::from_millis(2_000), OwnerFate::Continues },
    while_its_entry_expires = { 9_313, Duration::from_millis(2_000), OwnerFate::ContinuesWithoutEntry },
    after_its_owner_has_claimed_the_cell_again = { 9_314, Duration::from_millis(300), OwnerFate::ClaimsAgain },
    after_its_owner_has_released_the_cell = { 9_311, Duration::from_millis(300), OwnerFate::Stops },
    after_its_owner_was_killed = { 9_312, Duration::from_millis(2_500), OwnerFate::IsKilled },
)]
fn a_task_runs_once_where_the_next_incarnation_may_have_it(
    seed: u64,
    delay: Duration,
    fate: OwnerFate,
) {
    block_on(start_on_the_next_incarnation(seed, delay, fate));
}

#[test]
fn an_owner_that_has_released_the_cell_resends_no_start() {
    block_on(async { assert_eq!(stop_during_a_start(9_315).await, 1) });
}
