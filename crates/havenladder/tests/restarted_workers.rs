//! Workers that restart under their previous ids.
//!
//! Guards against starting tasks again and again although each of their runs succeeds. This happened when a worker
//! ended without notice and was back under its id before the owner polled it again. The worker numbered the ends of
//! its runs from 1, but the owner continued from the number that the previous incarnation had reached: it ignored
//! these ends and told the worker to forget them. The runs were then neither listed nor ended, so the owner started
//! their tasks again, until the numbers had passed the remembered one. The cause was state under a worker's id that
//! outlived the incarnation of the worker.
//!
//! The failure shows in the logs as `end of a run that goes on is passed over`, with a number up to `noted`, and as
//! `run is gone without an end`. Neither line appears as long as no worker restarts.

mod entries;

use entries::{block_on, count_lines, submit};
use havenladder_soak::site::Site;
use havenladder_standin::users::events::RunEvent;
use rustix::process::Signal;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};
use tokio::time;

/// Name of the folder with the logs.
const NAME: &str = "restarted-workers";

/// Time within which a cell has an owner that has contacted its workers.
const STARTUP_TIME: Duration = Duration::from_secs(4);

/// Time within which all jobs must be done: several times the sum of a failover (4 s), the lease of a worker that
/// cannot be contacted (4 s), and the work itself.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(40);

/// Time within which the next owner has contacted the workers and their runs have ended. A claim takes 1.5 s and
/// the runs 3 s; for workers that it cannot contact, the owner waits 10.7 s until their leases have expired.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(8);

/// Time between the end of a worker and its restart. Users saw 0.25 s and more, and such an absence may go unnoticed.
const RESTART_DELAY: Duration = Duration::from_millis(250);

/// Number of tasks of each job.
const TASKS_PER_JOB: u64 = 4;

/// Returns the body of a job whose tasks take 100 ms.
fn short_job() -> String {
    job(100)
}

/// Returns the body of a job whose tasks take this many ms.
fn job(ms: u64) -> String {
    format!(
        r#"{{"spec":"{ms}","steps":[{{"count":{TASKS_PER_JOB},"cpu":1000,"mem-mb":10,"estimated-ms":100}}]}}"#
    )
}

/// Counts the successful runs of each task.
fn successful_runs(site: &Site) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for event in site.events.all() {
        if event.kind == RunEvent::Done {
            *counts.entry(event.task).or_default() += 1;
        }
    }
    counts
}

/// Waits until all tasks of this number of jobs are done.
async fn wait_done(site: &Site, jobs: u64) {
    let until = Instant::now() + COMPLETION_TIMEOUT;
    while (successful_runs(site).len() as u64) < jobs * TASKS_PER_JOB {
        assert!(
            Instant::now() < until,
            "not done: {:?}",
            successful_runs(site)
        );
        time::sleep(Duration::from_millis(50)).await;
    }
}

/// Checks that no task starts after its successful end was acknowledged, that no task has two runs at once, and
/// that the logs have no new lines about ends that match no run. Ends that an incarnation of a worker had not yet
/// reported when it ended are lost, so such a task may run again.
fn check_events(site: &Site, seed: u64, before: usize) {
    let mut running: BTreeMap<String, (String, u64)> = BTreeMap::new();
    let mut acknowledged: BTreeMap<String, u64> = BTreeMap::new();
    for event in site.events.all() {
        let run = (event.worker.clone(), event.run);
        match event.kind {
            RunEvent::Started => {
                let done = acknowledged.get(&event.task);
                assert_eq!(
                    done, None,
                    "{} was done before run {}",
                    event.task, event.run
                );
                let other = running.insert(event.task.clone(), run);
                assert_eq!(
                    other, None,
                    "{} had another run beside run {}",
                    event.task, event.run
                );
            }
            RunEvent::Done | RunEvent::Ended | RunEvent::Lost => {
                if running.get(&event.task) == Some(&run) {
                    running.remove(&event.task);
                }
            }
            RunEvent::Acknowledged => {
                acknowledged.insert(event.task, event.run);
            }
        }
    }
    assert_eq!(
        count_odd_ends(seed),
        before,
        "lines about ends that match no run"
    );
}

/// Counts the log lines about ends that contradict what the owner knows of their runs.
fn count_odd_ends(seed: u64) -> usize {
    let passed_over = count_lines(NAME, seed, "is passed over");
    passed_over + count_lines(NAME, seed, "gone without an end")
}

/// Restarts all workers.
fn restart_workers(site: &Site) {
    for name in site.cloud.names() {
        site.cloud.restart(&name, RESTART_DELAY);
    }
}

/// Kills all entries, including the owner, and starts them again.
async fn replace_owner(site: &mut Site) {
    for entry in &mut site.entries {
        entry.signal(Signal::KILL);
    }
    time::sleep(Duration::from_millis(200)).await;
    site.heal().expect("processes can be started");
}

#[test]
fn ends_of_runs_on_restarted_workers_are_acknowledged_once() {
    block_on(async {
        let before = count_odd_ends(971);
        let site = entries::start(NAME, 971, 2).await;
        time::sleep(STARTUP_TIME).await;
        for id in 1..=10 {
            submit(&site, id, &short_job()).await;
        }
        wait_done(&site, 10).await;
        restart_workers(&site);
        time::sleep(RESTART_DELAY).await;
        for id in 11..=20 {
            submit(&site, id, &short_job()).await;
        }
        wait_done(&site, 20).await;
        check_events(&site, 971, before);
    });
}

#[test]
fn jobs_complete_when_workers_restart_during_their_runs() {
    block_on(async {
        let before = count_odd_ends(972);
        let site = entries::start(NAME, 972, 2).await;
        time::sleep(STARTUP_TIME).await;
        for id in 1..=40 {
            submit(&site, id, &short_job()).await;
            if id % 10 == 0 {
                restart_workers(&site);
            }
        }
        wait_done(&site, 40).await;
        check_events(&site, 972, before);
    });
}

#[test]
fn jobs_complete_when_workers_restart_during_a_failover() {
    block_on(async {
        let before = count_odd_ends(973);
        let mut site = entries::start(NAME, 973, 2).await;
        time::sleep(STARTUP_TIME).await;
        for id in 1..=10 {
            submit(&site, id, &short_job()).await;
        }
        restart_workers(&site);
        replace_owner(&mut site).await;
        for id in 11..=20 {
            submit(&site, id, &short_job()).await;
        }
        restart_workers(&site);
        for id in 21..=30 {
            submit(&site, id, &short_job()).await;
        }
        wait_done(&site, 30).await;
        check_events(&site, 973, before);
    });
}

#[test]
fn the_next_owner_contacts_workers_that_keep_running() {
    block_on(async {
        let mut site = entries::start(NAME, 974, 2).await;
        time::sleep(STARTUP_TIME).await;
        // These jobs fill the workers, so the next owner knows each worker from the records before the list names it.
        for id in 1..=4 {
            submit(&site, id, &job(3_000)).await;
        }
        time::sleep(Duration::from_millis(300)).await;
        replace_owner(&mut site).await;
        submit(&site, 5, &short_job()).await;
        let until = Instant::now() + TAKEOVER_TIMEOUT;
        while (successful_runs(&site).len() as u64) < 5 * TASKS_PER_JOB {
            assert!(
                Instant::now() < until,
                "not done: {:?}",
                successful_runs(&site)
            );
            time::sleep(Duration::from_millis(50)).await;
        }
        let events = site.events.all();
        let starts = events
            .iter()
            .filter(|event| event.kind == RunEvent::Started);
        assert_eq!(
            starts.count() as u64,
            5 * TASKS_PER_JOB,
            "no task is started again"
        );
    });
}

/// From this seed on, the stand-in's workers also return under the same ids after the maintenance of their VMs.
#[test]
fn a_wave_ends_when_workers_return_under_their_ids() {
    block_on(async {
        const SEED: u64 = 9_975;
        let before = count_odd_ends(SEED);
        let mut site = entries::start(NAME, SEED, 3).await;
        time::sleep(STARTUP_TIME).await;
        for id in 1..=10 {
            submit(&site, id, &short_job()).await;
        }
        site.request_wave();
        for id in 11..=40 {
            submit(&site, id, &short_job()).await;
        }
        let until = Instant::now() + COMPLETION_TIMEOUT;
        while !has_succeeded(&site) {
            assert!(Instant::now() < until, "the wave does not end");
            time::sleep(Duration::from_millis(50)).await;
        }
        let orders = site.cloud.orders();
        let vms: BTreeSet<String> = orders.into_iter().map(|order| order.vm).collect();
        assert_eq!(vms.len(), 3, "each VM was maintained");
        wait_done(&site, 40).await;
        check_events(&site, SEED, before);
    });
}

/// Returns whether the first wave is reported to operators as succeeded.
fn has_succeeded(site: &Site) -> bool {
    let status = site.log.get("keyed.status", "wave/1");
    status.is_some_and(|status| String::from_utf8_lossy(&status).contains("succeeded"))
}
