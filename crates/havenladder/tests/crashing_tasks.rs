//! A task that ends every worker that starts it, with and without a change of owner.
//!
//! Guards against a worker's crash being attributed to none of the tasks that it ran. The worker answered the start
//! and ended 10 ms later, its VM came back with another worker, the owner put the task back, and the next worker
//! ended 10 ms after it had got the task. Nothing of this was recorded for a new owner. Workers were lost for as long
//! as the job existed, and with each of them a dozen runs of other jobs, which ended late or not at all.
//!
//! In the logs, each line `worker lost` with the ending `crashed` listed the same task first among the youngest runs,
//! with a run number that rose by one each time.

mod entries;

use entries::{block_on, submit};
use havenladder_soak::site::Site;
use havenladder_standin::users::{events::RunEvent, worker::ENDS_WORKER};
use rustix::process::Signal;
use std::time::{Duration, Instant};
use tokio::time;

/// Time for an entry to become owner of the cell and to contact its workers.
const STARTUP_TIME: Duration = Duration::from_secs(4);

/// Time within which all jobs must have ended. It is several times what is needed: two crashes of workers, each
/// detected after 1.5 s, a change of owner of at most 4 s, and the work itself.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(40);

/// Time without a start after which the task counts as failed: three times as long as it takes to detect the end of a
/// worker and to start its tasks again.
const QUIET_PERIOD: Duration = Duration::from_secs(6);

/// Maximum number of starts of the task: the owner fails it after three crashes of workers, and one more start may be
/// under way when the third is detected.
const MAX_STARTS: usize = 5;

/// Id of the job whose task crashes its workers.
const CRASHING_JOB: u64 = 999;

/// Number of other jobs.
const OTHER_JOBS: u64 = 24;

/// Returns the body of a job of `tasks` tasks whose specification is `text`.
fn job_body(text: &str, tasks: u32) -> String {
    format!(
        r#"{{"spec":"{text}","steps":[{{"count":{tasks},"cpu":1000,"mem-mb":10,"estimated-ms":1000}}]}}"#
    )
}

/// Counts the starts of a job's first task.
fn count_starts(site: &Site, id: u64) -> usize {
    let task = format!("{id:016x}.0.0.0");
    let events = site.events.all();
    let started = events
        .iter()
        .filter(|event| event.task == task && event.kind == RunEvent::Started);
    started.count()
}

/// Counts the tasks of a job that have succeeded.
fn count_done(site: &Site, id: u64) -> usize {
    let job = format!("{id:016x}.");
    let events = site.events.all();
    let done = events
        .iter()
        .filter(|event| event.task.starts_with(&job) && event.kind == RunEvent::Done);
    done.count()
}

/// Waits until all other jobs are done and the crashing task is no longer started.
async fn wait_for_end(site: &Site) {
    let until = Instant::now() + COMPLETION_TIMEOUT;
    while (1..=OTHER_JOBS).any(|id| count_done(site, id) < 4) {
        assert!(Instant::now() < until, "other jobs are not done in time");
        assert!(
            count_starts(site, CRASHING_JOB) <= MAX_STARTS,
            "the task is started too often"
        );
        time::sleep(Duration::from_millis(100)).await;
    }
    loop {
        let before = count_starts(site, CRASHING_JOB);
        time::sleep(QUIET_PERIOD).await;
        if count_starts(site, CRASHING_JOB) == before {
            return;
        }
        assert!(before < MAX_STARTS, "the task is started too often");
        assert!(Instant::now() < until, "the task is still started");
    }
}

/// Submits the jobs and waits for their end. With `kill_after`, kills all entries after that many starts of the task.
async fn run_scenario(seed: u64, kill_after: Option<usize>) {
    let mut site = entries::start("crashing-tasks", seed, 6).await;
    time::sleep(STARTUP_TIME).await;
    for id in 1..=OTHER_JOBS / 2 {
        submit(&site, id, &job_body("1000", 4)).await;
    }
    submit(&site, CRASHING_JOB, &job_body(ENDS_WORKER, 1)).await;
    if let Some(count) = kill_after {
        let until = Instant::now() + COMPLETION_TIMEOUT;
        while count_starts(&site, CRASHING_JOB) < count && Instant::now() < until {
            time::sleep(Duration::from_millis(5)).await;
        }
        for entry in &mut site.entries {
            entry.signal(Signal::KILL);
        }
        time::sleep(Duration::from_millis(200)).await;
        site.heal().expect("processes can be started");
    }
    for id in OTHER_JOBS / 2 + 1..=OTHER_JOBS {
        submit(&site, id, &job_body("1000", 4)).await;
    }
    wait_for_end(&site).await;
}

#[test]
fn a_task_that_crashes_workers_fails_under_one_owner() {
    block_on(run_scenario(981, None));
}

/// From this seed on, the stand-in's workers restart under their previous ids.
#[test]
fn a_task_that_crashes_workers_fails_where_workers_restart_under_their_ids() {
    block_on(run_scenario(9_983, None));
}

#[test]
fn a_task_that_crashes_workers_fails_where_ids_stay_and_the_owner_changes() {
    block_on(run_scenario(9_984, Some(1)));
}

#[test]
fn a_task_that_crashes_workers_fails_across_owners() {
    block_on(run_scenario(982, Some(1)));
}
