//! Workers start again under the ids that they had.
//!
//! What users saw: tasks that were done were started again and again on one worker, each run done, the next one some ms
//! later. What happened, in this order: a worker ended without notice and was back under its id before the owner asked
//! it again; it numbered the ends of its runs from 1; the owner went on from the number that the life before had
//! reached, took none of these ends in, and told the worker that it might forget them. The runs were then neither
//! listed nor ended, so that their tasks were started again, until the numbers had passed the one that was remembered.
//!
//! The cause: what the owner remembered under a worker's id outlived the life of the worker that it was about.
//!
//! The evidence: the lines `end of a run that goes on is passed over`, with a number up to the one that was `noted`, and
//! `run is gone without an end`; and none of either where no worker starts again.

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

/// Where the logs lie.
const NAME: &str = "restarted-workers";

/// Long enough for an owner to be found and its workers to be met.
const BEGIN: Duration = Duration::from_secs(4);

/// Within this all jobs must be over: a change of owner of 4 s, a lease of 4 s for what cannot be met, and the work
/// itself, several times over.
const OVER: Duration = Duration::from_secs(40);

/// Within this the next owner has met the workers and their runs are over: a claim takes 1.5 s and the runs 3 s, while
/// the leases of workers that are not met are waited for 10.7 s.
const MET: Duration = Duration::from_secs(8);

/// How long a worker is away that starts again: users saw 0.25 s and more, and at times nobody notices.
const AWAY: Duration = Duration::from_millis(250);

/// How many tasks each job has, of 100 ms each.
const TASKS: u64 = 4;

/// A job of short tasks.
fn body() -> String {
    body_of(100)
}

/// A job of tasks that take so many ms.
fn body_of(ms: u64) -> String {
    format!(
        r#"{{"spec":"{ms}","steps":[{{"count":{TASKS},"cpu":1000,"mem-mb":10,"estimated-ms":100}}]}}"#
    )
}

/// How often each task has ended well.
fn done(site: &Site) -> BTreeMap<String, usize> {
    let mut done = BTreeMap::new();
    for event in site.events.all() {
        if event.what == RunEvent::Done {
            *done.entry(event.task).or_default() += 1;
        }
    }
    done
}

/// Waits until all tasks of so many jobs are done.
async fn all_done(site: &Site, jobs: u64) {
    let until = Instant::now() + OVER;
    while (done(site).len() as u64) < jobs * TASKS {
        assert!(Instant::now() < until, "not done: {:?}", done(site));
        time::sleep(Duration::from_millis(50)).await;
    }
}

/// No task may start once an end of it as done was taken note of, none may have two runs at once, and no end that was
/// listed may be passed over. What a life had not yet told when it ended is lost: such a task runs again.
fn check(site: &Site, seed: u64, before: usize) {
    let mut running: BTreeMap<String, (String, u64)> = BTreeMap::new();
    let mut noted: BTreeMap<String, u64> = BTreeMap::new();
    for event in site.events.all() {
        let run = (event.worker.clone(), event.run);
        match event.what {
            RunEvent::Started => {
                let before = noted.get(&event.task);
                assert_eq!(before, None, "{} run {} was done", event.task, event.run);
                let beside = running.insert(event.task.clone(), run);
                assert_eq!(beside, None, "{} run {} is beside", event.task, event.run);
            }
            RunEvent::Done | RunEvent::Ended | RunEvent::Lost => {
                if running.get(&event.task) == Some(&run) {
                    running.remove(&event.task);
                }
            }
            RunEvent::Noted => {
                noted.insert(event.task, event.run);
            }
        }
    }
    assert_eq!(odd_ends(seed), before, "ends that fit nothing");
}

/// How many lines in the logs tell of ends that do not fit what is known of their runs.
fn odd_ends(seed: u64) -> usize {
    let passed_over = count_lines(NAME, seed, "is passed over");
    passed_over + count_lines(NAME, seed, "gone without an end")
}

/// Has all workers start again.
fn restart_all(site: &Site) {
    for name in site.cloud.names() {
        site.cloud.restart(&name, AWAY);
    }
}

/// Kills all entries, the owner among them, and starts them again.
async fn replace_owner(site: &mut Site) {
    for entry in &mut site.entries {
        entry.signal(Signal::KILL);
    }
    time::sleep(Duration::from_millis(200)).await;
    site.heal().expect("processes can be started");
}

#[test]
fn what_workers_do_after_they_start_again_is_taken_note_of_once() {
    block_on(async {
        let before = odd_ends(971);
        let site = entries::start(NAME, 971, 2).await;
        time::sleep(BEGIN).await;
        for id in 1..=10 {
            submit(&site, id, &body()).await;
        }
        all_done(&site, 10).await;
        restart_all(&site);
        time::sleep(AWAY).await;
        for id in 11..=20 {
            submit(&site, id, &body()).await;
        }
        all_done(&site, 20).await;
        check(&site, 971, before);
    });
}

#[test]
fn workers_may_start_again_in_the_midst_of_their_work() {
    block_on(async {
        let before = odd_ends(972);
        let site = entries::start(NAME, 972, 2).await;
        time::sleep(BEGIN).await;
        for id in 1..=40 {
            submit(&site, id, &body()).await;
            if id % 10 == 0 {
                restart_all(&site);
            }
        }
        all_done(&site, 40).await;
        check(&site, 972, before);
    });
}

#[test]
fn workers_may_start_again_while_the_owner_changes() {
    block_on(async {
        let before = odd_ends(973);
        let mut site = entries::start(NAME, 973, 2).await;
        time::sleep(BEGIN).await;
        for id in 1..=10 {
            submit(&site, id, &body()).await;
        }
        restart_all(&site);
        replace_owner(&mut site).await;
        for id in 11..=20 {
            submit(&site, id, &body()).await;
        }
        restart_all(&site);
        for id in 21..=30 {
            submit(&site, id, &body()).await;
        }
        all_done(&site, 30).await;
        check(&site, 973, before);
    });
}

#[test]
fn workers_that_go_on_are_met_by_the_next_owner() {
    block_on(async {
        let mut site = entries::start(NAME, 974, 2).await;
        time::sleep(BEGIN).await;
        // All room is taken: the next owner knows each worker from the records before the list names it.
        for id in 1..=4 {
            submit(&site, id, &body_of(3_000)).await;
        }
        time::sleep(Duration::from_millis(300)).await;
        replace_owner(&mut site).await;
        submit(&site, 5, &body()).await;
        let until = Instant::now() + MET;
        while (done(&site).len() as u64) < 5 * TASKS {
            assert!(Instant::now() < until, "not done: {:?}", done(&site));
            time::sleep(Duration::from_millis(50)).await;
        }
        let starts = site.events.all();
        let starts = starts
            .iter()
            .filter(|event| event.what == RunEvent::Started);
        assert_eq!(starts.count() as u64, 5 * TASKS, "none is started again");
    });
}

/// From this seed on the stand-in's workers are back under their ids after the upkeep of their VMs as well.
#[test]
fn a_wave_ends_where_workers_are_back_under_their_ids() {
    block_on(async {
        const SEED: u64 = 9_975;
        let before = odd_ends(SEED);
        let mut site = entries::start(NAME, SEED, 3).await;
        time::sleep(BEGIN).await;
        for id in 1..=10 {
            submit(&site, id, &body()).await;
        }
        site.ask_wave();
        for id in 11..=40 {
            submit(&site, id, &body()).await;
        }
        let until = Instant::now() + OVER;
        while !is_succeeded(&site) {
            assert!(Instant::now() < until, "the wave does not end");
            time::sleep(Duration::from_millis(50)).await;
        }
        let orders = site.cloud.orders();
        let vms: BTreeSet<String> = orders.into_iter().map(|order| order.vm).collect();
        assert_eq!(vms.len(), 3, "each VM has had its upkeep");
        all_done(&site, 40).await;
        check(&site, SEED, before);
    });
}

/// Whether operators have been told that the first wave has succeeded.
fn is_succeeded(site: &Site) -> bool {
    let told = site.log.get("keyed.status", "wave/1");
    told.is_some_and(|told| String::from_utf8_lossy(&told).contains("succeeded"))
}
