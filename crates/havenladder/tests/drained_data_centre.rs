//! A data centre that operators drain, with entries as processes of their own.
//!
//! Guards against entries that do not read the order to drain: tasks were still started in the data centre for the
//! rest of the day after the order. Also guards against a drain whose progress nobody sees, and against runs that are
//! stopped while the store is down, so that their tasks cannot start elsewhere.

mod entries;

use entries::{block_on, count_lines, owner, submit};
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

/// A job that uses all VMs for three seconds.
const SLOW_BODY: &str =
    r#"{"spec":"3000","steps":[{"count":48,"cpu":1000,"mem-mb":10,"estimated-ms":3000}]}"#;

/// Time between two jobs.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(500);

/// Time within which a change of state must be logged, an order that takes as long as it may included.
const STATE_TIMEOUT: Duration = Duration::from_secs(30);

/// What the owner logs once nothing runs in a data centre.
const SAFE_LINE: &str = "it is safe to switch off\",\"data_centre\":";

/// Waits until the owner has logged so often that a data centre is safe to switch off.
async fn wait_until_safe(name: &str, seed: u64, hall: &str, count: usize) {
    let text = format!("{SAFE_LINE}\"{hall}\"");
    wait_for_lines(name, seed, &text, count).await;
}

/// Waits until a text occurs at least so often in the logs of the entries.
async fn wait_for_lines(name: &str, seed: u64, text: &str, count: usize) {
    let until = Instant::now() + STATE_TIMEOUT;
    while count_lines(name, seed, text) < count {
        assert!(
            Instant::now() < until,
            "{text} does not occur {count} times"
        );
        time::sleep(Duration::from_millis(50)).await;
    }
}

/// Returns the text of the log line about a change of a data centre's state.
fn change(hall: &str, from: &str, to: &str) -> String {
    format!("\"data_centre\":\"{hall}\",\"from\":\"{from}\",\"state\":\"{to}\"")
}

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
        let name = "drained-data-centre";
        let site = entries::start(name, SEED, 6).await;
        time::sleep(STARTUP_TIME).await;
        let began = Instant::now();
        submit_jobs(&site, 1).await;
        assert!(count_starts(&site, "a", began) > 0 && count_starts(&site, "b", began) > 0);

        // These runs are still at work when the order takes effect, and have ended when it must be in force.
        submit(&site, 50, SLOW_BODY).await;
        write_drain(&site.log, "a", true);
        time::sleep(ORDER_TIMEOUT).await;
        let drained = Instant::now();
        submit_jobs(&site, 100).await;
        assert_eq!(count_starts(&site, "a", drained), 0);
        assert!(
            count_starts(&site, "b", drained) > 0,
            "the other data centre stays in use"
        );
        wait_until_safe(name, SEED, "a", 1).await;
        for (from, to) in [("serving", "draining"), ("draining", "drained")] {
            assert_eq!(count_lines(name, SEED, &change("a", from, to)), 1, "{to}");
        }

        write_drain(&site.log, "a", false);
        time::sleep(ORDER_TIMEOUT).await;
        let undrained = Instant::now();
        submit_jobs(&site, 200).await;
        assert!(
            count_starts(&site, "a", undrained) > 0,
            "the data centre is in use again"
        );
        for (from, to) in [("drained", "returning"), ("returning", "serving")] {
            wait_for_lines(name, SEED, &change("a", from, to), 1).await;
        }
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
        wait_until_safe(name, seed, "b", 1).await;
        let drained = Instant::now();
        site.entries[owner(name, seed, 3)].signal(Signal::KILL);
        submit_jobs(&site, 100).await;
        time::sleep(Duration::from_secs(2)).await;
        assert_eq!(count_starts(&site, "b", drained), 0);
        assert!(
            count_starts(&site, "a", drained) > 0,
            "the other data centre stays in use"
        );
        // The next owner rebuilds the state without a record of it.
        wait_until_safe(name, seed, "b", 2).await;
    });
}

/// Counts the runs that ended in a data centre without success after `since`.
fn count_stopped(site: &Site, hall: &str, since: Instant) -> usize {
    let in_hall = |worker: &str| {
        let vm = site.cloud.vm_of(worker);
        vm.is_some_and(|name| hall_of(&name) == hall)
    };
    let events = site.events.all();
    let ended = events
        .iter()
        .filter(|event| event.kind == RunEvent::Ended && event.at > since);
    ended.filter(|event| in_hall(&event.worker)).count()
}

/// Waits until so many runs have started in a data centre since a time.
async fn wait_for_starts(site: &Site, hall: &str, since: Instant, count: usize) {
    let until = Instant::now() + STATE_TIMEOUT;
    while count_starts(site, hall, since) < count {
        assert!(
            Instant::now() < until,
            "{count} runs did not start in {hall}"
        );
        time::sleep(Duration::from_millis(20)).await;
    }
}

/// A long-running job that fills a data centre with three VMs of eight cores.
const LONG_RUNNING_BODY: &str = r#"{"spec":"600000","steps":[{"count":24,"cpu":1000,"mem-mb":10,"estimated-ms":1000,"long-running":true,"may_miss":24}]}"#;

/// A job that fills a data centre for 2.4 s. The stand-in reports progress in the last second only, and a run without
/// any for 2 s is stopped.
const FILLING_BODY: &str =
    r#"{"spec":"2400","steps":[{"count":24,"cpu":1000,"mem-mb":10,"estimated-ms":2400}]}"#;

#[test]
fn no_run_is_stopped_for_a_drain_while_the_store_is_down() {
    block_on(async {
        let (name, seed) = ("drained-data-centre-store", SEED + 2);
        let site = entries::start(name, seed, 6).await;
        time::sleep(STARTUP_TIME).await;
        write_drain(&site.log, "b", true);
        wait_until_safe(name, seed, "b", 1).await;
        let began = Instant::now();
        submit(&site, 1, LONG_RUNNING_BODY).await;
        wait_for_starts(&site, "a", began, 24).await;
        write_drain(&site.log, "b", false);
        wait_for_lines(name, seed, &change("b", "returning", "serving"), 1).await;
        let filling = Instant::now();
        submit(&site, 2, FILLING_BODY).await;
        wait_for_starts(&site, "b", filling, 24).await;
        write_drain(&site.log, "a", true);
        wait_for_lines(name, seed, &change("a", "serving", "draining"), 1).await;
        site.links.iter().for_each(|link| link.cut(true));
        // The filling job ends about 2 s later, so that there is capacity in the other data centre from then on.
        let cut = Instant::now();
        time::sleep(Duration::from_secs(5)).await;
        assert_eq!(count_stopped(&site, "a", cut), 0);
        site.links.iter().for_each(|link| link.cut(false));
        wait_until_safe(name, seed, "a", 1).await;
        assert!(
            count_starts(&site, "b", cut) >= 24,
            "the runs go on elsewhere"
        );
    });
}
