//! Jobs whose records are larger than the log accepts, beside small jobs.
//!
//! Guards against an accepted job that ends the owner and each next one, because the log refuses the record of its state,
//! so that nothing of any caller runs any more.

mod entries;

use entries::{block_on, count_lines, owner, request, send_request, submit};
use havenladder_soak::site::Site;
use havenladder_standin::users::events::RunEvent;
use rustix::process::Signal;
use std::{
    collections::BTreeMap,
    ops::Range,
    time::{Duration, Instant},
};
use tokio::time;

/// Name of the folder with the logs.
const NAME: &str = "large-job";

/// Size above which the log refuses records in the test in which it accepts less than the settings say. A part of the
/// large job is larger, all records of small jobs are smaller.
const RECORD_LIMIT: usize = 1_500;

/// Number of VMs.
const VMS: usize = 4;

/// Time within which a cell has an owner that has contacted its workers.
const STARTUP_TIME: Duration = Duration::from_secs(4);

/// Id of the job that occupies all workers.
const FILLER: u64 = 1;

/// Id of the large job.
const LARGE: u64 = 2;

/// Number of tasks of the large job.
const TASKS: usize = 15_000;

/// Ids of the small jobs.
const SMALL: Range<u64> = 3..7;

/// Time within which the tasks of the small jobs are done once the workers are free.
const SMALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Time within which the tasks of the large job are done, on any machine.
const LARGE_TIMEOUT: Duration = Duration::from_secs(180);

/// Returns the body of a job with one step.
fn body(spec: &str, count: usize, cpu: u64) -> String {
    format!(
        r#"{{"spec":"{spec}","steps":[{{"count":{count},"cpu":{cpu},"mem-mb":10,"estimated-ms":300}}]}}"#
    )
}

/// Returns how many runs of each task of a job have had an event.
fn runs_of(site: &Site, job: u64, kind: RunEvent) -> BTreeMap<String, usize> {
    let prefix = format!("{job:016x}.");
    let mut counts = BTreeMap::new();
    for event in site.events.all() {
        if event.kind == kind && event.task.starts_with(&prefix) {
            *counts.entry(event.task).or_default() += 1;
        }
    }
    counts
}

/// Waits until this number of tasks of a job has had an event.
async fn wait_for(site: &Site, job: u64, kind: RunEvent, tasks: usize, within: Duration) {
    let until = Instant::now() + within;
    loop {
        let count = runs_of(site, job, kind).len();
        if count >= tasks {
            return;
        }
        assert!(
            Instant::now() < until,
            "job {job}: {count} of {tasks} tasks: {kind:?}"
        );
        time::sleep(Duration::from_millis(200)).await;
    }
}

/// Starts a site and waits until an entry owns the cell.
async fn start(seed: u64) -> Site {
    let site = entries::start(NAME, seed, VMS).await;
    time::sleep(STARTUP_TIME).await;
    site
}

/// Submits the small jobs and waits until their tasks are done.
async fn finish_small_jobs(site: &Site) {
    for job in SMALL {
        submit(site, job, &body("300", 2, 500)).await;
    }
    for job in SMALL {
        wait_for(site, job, RunEvent::Done, 2, SMALL_TIMEOUT).await;
    }
}

/// Checks that the owner has not ended.
fn check_owner(seed: u64) {
    assert_eq!(count_lines(NAME, seed, "owns the cell no longer"), 0);
}

/// Occupies all workers for 4 s.
async fn occupy_workers(site: &Site) {
    let places = 8 * VMS;
    submit(site, FILLER, &body("4000", places, 1_000)).await;
    wait_for(site, FILLER, RunEvent::Started, places, SMALL_TIMEOUT).await;
}

async fn submit_while_workers_are_busy() {
    let site = start(997).await;
    occupy_workers(&site).await;
    submit(&site, LARGE, &body("small 300", TASKS, 10)).await;
    finish_small_jobs(&site).await;
    wait_for(&site, LARGE, RunEvent::Done, TASKS, LARGE_TIMEOUT).await;
    let again = runs_of(&site, LARGE, RunEvent::Started);
    let again = again.values().filter(|starts| **starts > 1).count();
    assert_eq!(again, 0, "{again} tasks started again");
    check_owner(997);
}

async fn kill_the_owner_of_a_large_job() {
    let mut site = start(1_000).await;
    submit(&site, LARGE, &body("small 300", TASKS, 10)).await;
    wait_for(&site, LARGE, RunEvent::Done, TASKS / 4, LARGE_TIMEOUT).await;
    let killed = owner(NAME, 1_000, 3);
    site.entries[killed].signal(Signal::KILL);
    wait_for(&site, LARGE, RunEvent::Done, TASKS, LARGE_TIMEOUT).await;
    let again = runs_of(&site, LARGE, RunEvent::Done);
    let again = again.values().filter(|ends| **ends > 1).count();
    assert_eq!(again, 0, "{again} tasks were done twice");
    check_owner(1_000);
}

async fn submit_more_tasks_than_are_kept() {
    let site = start(998).await;
    let large = format!(
        r#"{{"spec":"300","steps":[{{"count":{TASKS},"cpu":10}}],"start-at-ms":1,"interval-ms":1,"repeat-count":2}}"#
    );
    let call = request("POST", LARGE, &large);
    let head = send_request(site.entries[0].address, &call).await;
    assert!(head.starts_with("HTTP/1.1 503"), "{head}");
    finish_small_jobs(&site).await;
    check_owner(998);
}

async fn submit_to_a_log_with_a_lower_limit() {
    let site = start(999).await;
    occupy_workers(&site).await;
    site.log.limit_records(RECORD_LIMIT);
    submit(&site, LARGE, &body("small 300", TASKS, 10)).await;
    finish_small_jobs(&site).await;
    assert!(runs_of(&site, LARGE, RunEvent::Started).is_empty());
    assert_eq!(count_lines(NAME, 999, "gave up a job"), 1);
    check_owner(999);
}

#[test]
fn small_jobs_and_a_job_of_15_000_tasks_are_done() {
    block_on(submit_while_workers_are_busy());
}

#[test]
fn a_job_of_15_000_tasks_is_done_although_its_owner_is_killed() {
    block_on(kill_the_owner_of_a_large_job());
}

#[test]
fn a_job_of_more_tasks_than_an_owner_keeps_is_refused_at_once() {
    block_on(submit_more_tasks_than_are_kept());
}

#[test]
fn a_job_whose_records_the_log_refuses_fails_alone() {
    block_on(submit_to_a_log_with_a_lower_limit());
}
