//! A data centre that operators want emptied, with entries as processes of their own.
//!
//! What users saw: tasks went on being started in a data centre for the rest of the day after the order to empty it. The
//! cause: no entry read the order.

mod entries;

use entries::{block_on, owner, submit};
use havenladder_soak::site::Site;
use havenladder_standin::users::{cloud::hall_of, events::RunEvent, operator::write_drain};
use rustix::process::Signal;
use std::time::{Duration, Instant};
use tokio::time;

const SEED: u64 = 5_900;

/// Long enough for an owner to be found and its workers to be met.
const BEGIN: Duration = Duration::from_secs(4);

/// The time within which an order must be in force, by the shortest bound that there is.
const IN_FORCE: Duration = Duration::from_secs(5);

/// A job that needs five of the six VMs for most of the time until the next one comes.
const BODY: &str =
    r#"{"spec":"400","steps":[{"count":40,"cpu":1000,"mem-mb":10,"estimated-ms":400}]}"#;

/// Time between two jobs.
const INTERVAL: Duration = Duration::from_millis(500);

/// How many tasks began in a data centre since a moment.
fn begun(site: &Site, hall: &str, since: Instant) -> usize {
    let there = |worker: &str| {
        let vm = site.cloud.vm_of(worker);
        vm.is_some_and(|name| hall_of(&name) == hall)
    };
    let events = site.events.all();
    let starts = events
        .iter()
        .filter(|event| event.kind == RunEvent::Started && event.at > since);
    starts.filter(|event| there(&event.worker)).count()
}

/// Hands in jobs for a while.
async fn work(site: &Site, first: u64) {
    for id in first..first + 6 {
        submit(site, id, BODY).await;
        time::sleep(INTERVAL).await;
    }
}

#[test]
fn nothing_begins_there_until_it_is_taken_back() {
    block_on(async {
        let site = entries::start("emptied", SEED, 6).await;
        time::sleep(BEGIN).await;
        let began = Instant::now();
        work(&site, 1).await;
        assert!(begun(&site, "a", began) > 0 && begun(&site, "b", began) > 0);

        write_drain(&site.log, "a", true);
        time::sleep(IN_FORCE).await;
        let emptied = Instant::now();
        work(&site, 100).await;
        assert_eq!(begun(&site, "a", emptied), 0);
        assert!(begun(&site, "b", emptied) > 0, "the other one works on");

        write_drain(&site.log, "a", false);
        time::sleep(IN_FORCE).await;
        let back = Instant::now();
        work(&site, 200).await;
        assert!(begun(&site, "a", back) > 0, "it is in use again");
    });
}

#[test]
fn an_order_holds_for_an_owner_that_begins_after_it() {
    block_on(async {
        let (name, seed) = ("emptied-owner", SEED + 1);
        let mut site = entries::start(name, seed, 6).await;
        time::sleep(BEGIN).await;
        work(&site, 1).await;
        write_drain(&site.log, "b", true);
        time::sleep(IN_FORCE).await;
        let emptied = Instant::now();
        site.entries[owner(name, seed, 3)].signal(Signal::KILL);
        work(&site, 100).await;
        time::sleep(Duration::from_secs(2)).await;
        assert_eq!(begun(&site, "b", emptied), 0);
        assert!(begun(&site, "a", emptied) > 0, "the other one works on");
    });
}
