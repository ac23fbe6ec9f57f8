//! A data centre that operators drain, with entries as processes of their own.
//!
//! Guards against entries that do not read the order to drain: tasks were still started in the data centre for the
//! rest of the day after the order.

mod entries;

use entries::{block_on, owner, submit};
use havenladder_soak::site::Site;
use havenladder_standin::users::{cloud::hall_of, events::RunEvent, operator::write_drain};
use rustix::process::Signal;
use std::time::{Duration, Instant};
use tokio::time;

const SEED: u64 = 5_900;

/// Time for an entry to become owner of the cell and to contact its workers.
const STARTUP_TIME: Duration = Duration::from_secs(4);

/// Time within which an order must be in force, by the strictest bound that applies.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// A job that needs five of the six VMs for most of the time until the next one is submitted.
const JOB_BODY: &str =
    r#"{"spec":"400","steps":[{"count":40,"cpu":1000,"mem-mb":10,"estimated-ms":400}]}"#;

/// Time between two jobs.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(500);

/// Counts the runs that started in a data centre after `since`.
fn count_starts(site: &Site, hall: &str, since: Instant) -> usize {
    let in_hall = |worker: &str| {
        let vm = site.cloud.vm_of(worker);
        vm.is_some_and(|name| hall_of(&name) == hall)
    };
    let events = site.events.all();
    let starts = events
        .iter()
        .filter(|event| event.kind == RunEvent::Started && event.at > since);
    starts.filter(|event| in_hall(&event.worker)).count()
}

/// Submits six jobs at the interval, with ids from `first` on.
async fn submit_jobs(site: &Site, first: u64) {
    for id in first..first + 6 {
        submit(site, id, JOB_BODY).await;
        time::sleep(SUBMIT_INTERVAL).await;
    }
}

#[test]
fn nothing_starts_in_a_drained_data_centre_until_it_is_undrained() {
    block_on(async {
        let site = entries::start("drained-data-centre", SEED, 6).await;
        time::sleep(STARTUP_TIME).await;
        let began = Instant::now();
        submit_jobs(&site, 1).await;
        assert!(count_starts(&site, "a", began) > 0 && count_starts(&site, "b", began) > 0);

        write_drain(&site.log, "a", true);
        time::sleep(ORDER_TIMEOUT).await;
        let drained = Instant::now();
        submit_jobs(&site, 100).await;
        assert_eq!(count_starts(&site, "a", drained), 0);
        assert!(
            count_starts(&site, "b", drained) > 0,
            "the other data centre stays in use"
        );

        write_drain(&site.log, "a", false);
        time::sleep(ORDER_TIMEOUT).await;
        let undrained = Instant::now();
        submit_jobs(&site, 200).await;
        assert!(
            count_starts(&site, "a", undrained) > 0,
            "the data centre is in use again"
        );
    });
}

#[test]
fn a_drain_order_holds_for_the_next_owner() {
    block_on(async {
        let (name, seed) = ("drained-data-centre-owner", SEED + 1);
        let mut site = entries::start(name, seed, 6).await;
        time::sleep(STARTUP_TIME).await;
        submit_jobs(&site, 1).await;
        write_drain(&site.log, "b", true);
        time::sleep(ORDER_TIMEOUT).await;
        let drained = Instant::now();
        site.entries[owner(name, seed, 3)].signal(Signal::KILL);
        submit_jobs(&site, 100).await;
        time::sleep(Duration::from_secs(2)).await;
        assert_eq!(count_starts(&site, "b", drained), 0);
        assert!(
            count_starts(&site, "a", drained) > 0,
            "the other data centre stays in use"
        );
    });
}
