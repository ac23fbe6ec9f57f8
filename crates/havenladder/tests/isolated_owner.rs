//! An owner that is isolated from the store while the store answers the other entries.
//!
//! Guards against a pause of 1.4 s in which nothing was decided and running work ended late: callers got 0.53 of
//! the value of their requests in these two seconds, and 0.95 before. The owner still answered its peers, so the
//! other entries waited for its lease to expire, although it could have learned from them, 0.3 s after its first
//! record without a response, that it was isolated.

mod entries;

use entries::{block_on, count_lines, owner, request, send_request};
use havenladder_soak::site::Site;
use std::time::{Duration, Instant};
use tokio::time;

/// Time within which a cell has an owner that has contacted its workers, and after which the owner is no longer
/// exempt from being replaced.
const STARTUP_TIME: Duration = Duration::from_secs(4);

/// Time within which an isolated owner must be replaced. It usually takes 0.5 s; a lease expires only after 1.5 s.
const REPLACEMENT_TIMEOUT: Duration = Duration::from_millis(1_100);

/// Time after an outage within which an entry would claim the cell, if any does.
const RECOVERY_TIME: Duration = Duration::from_millis(1_000);

/// Interval between two submissions.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(40);

/// The message that an entry logs when it becomes the owner of the cell.
const OWNS_CELL: &str = "\"owns the cell\"";

/// The body of a job with one short task.
const BODY: &str = r#"{"spec":"50","steps":[{"count":1,"cpu":100,"mem-mb":10,"estimated-ms":50}]}"#;

/// Submits a job to an entry without waiting for the response.
fn submit_in_background(site: &Site, entry: usize, id: u64) {
    let address = site.entries[entry].address;
    tokio::spawn(async move { send_request(address, &request("POST", id, BODY)).await });
}

/// Submits jobs to an entry other than the owner until the cell has a new owner. Returns how long that took, or
/// nothing if the owner was not replaced within the limit.
async fn wait_for_failover(
    site: &Site,
    name: &str,
    seed: u64,
    limit: Duration,
) -> Option<Duration> {
    let (before, began) = (count_lines(name, seed, OWNS_CELL), Instant::now());
    let other = (owner(name, seed, site.entries.len()) + 1) % site.entries.len();
    for id in 100.. {
        if count_lines(name, seed, OWNS_CELL) > before {
            return Some(began.elapsed());
        }
        if began.elapsed() >= limit {
            break;
        }
        submit_in_background(site, other, id);
        time::sleep(SUBMIT_INTERVAL).await;
    }
    None
}

/// Starts a site and waits until its owner has accepted a job.
async fn start(name: &str, seed: u64) -> Site {
    let site = entries::start(name, seed, 4).await;
    time::sleep(STARTUP_TIME).await;
    entries::submit(&site, 1, BODY).await;
    site
}

#[test]
fn an_owner_whose_connections_to_the_store_break_releases_the_cell() {
    block_on(async {
        let (name, seed) = ("isolated-owner", 3_710);
        let site = start(name, seed).await;
        site.links[owner(name, seed, 3)].cut(true);
        let took = wait_for_failover(&site, name, seed, REPLACEMENT_TIMEOUT).await;
        assert!(took.is_some(), "the cell has no new owner within 1.1 s");
        entries::submit(&site, 2, BODY).await;
    });
}

#[test]
fn an_owner_that_gets_no_responses_from_the_store_releases_the_cell() {
    block_on(async {
        let (name, seed) = ("isolated-owner-silent", 3_711);
        let site = start(name, seed).await;
        site.links[owner(name, seed, 3)].stall(true, true);
        let took = wait_for_failover(&site, name, seed, REPLACEMENT_TIMEOUT).await;
        assert!(took.is_some(), "the cell has no new owner within 1.1 s");
        entries::submit(&site, 2, BODY).await;
    });
}

#[test]
fn an_owner_stays_while_the_store_is_unavailable_to_all() {
    block_on(async {
        let (name, seed) = ("unavailable-to-all", 3_712);
        let site = start(name, seed).await;
        site.links.iter().for_each(|link| link.stall(true, true));
        let took = wait_for_failover(&site, name, seed, Duration::from_secs(3)).await;
        assert_eq!(took, None);
        assert_eq!(
            count_lines(name, seed, "releases the cell on behalf of its owner"),
            0
        );
    });
}

#[test]
fn an_owner_stays_after_the_store_was_unavailable_to_all() {
    block_on(async {
        let (name, seed) = ("recovered-for-all", 3_714);
        let site = start(name, seed).await;
        for outage_ms in [1_700, 2_000, 2_300, 2_600, 3_100, 4_200] {
            site.links.iter().for_each(|link| link.stall(true, true));
            time::sleep(Duration::from_millis(outage_ms)).await;
            site.links.iter().for_each(|link| link.stall(false, false));
            time::sleep(RECOVERY_TIME).await;
            let owners = count_lines(name, seed, OWNS_CELL);
            assert_eq!(owners, 1, "replaced after an outage of {outage_ms} ms");
        }
    });
}

#[test]
fn an_owner_stays_while_the_store_answers_only_others_in_time() {
    block_on(async {
        let (name, seed) = ("nearly-in-time", 3_715);
        let site = start(name, seed).await;
        let owner = owner(name, seed, 3);
        for (entry, link) in site.links.iter().enumerate() {
            // The store answers requests of the other entries within 250 ms, but not those of the owner.
            let delay = if entry == owner { 200 } else { 60 };
            link.delay(Duration::from_millis(delay));
        }
        let took = wait_for_failover(&site, name, seed, Duration::from_secs(4)).await;
        assert_eq!(took, None);
    });
}

#[test]
fn an_owner_stays_while_the_store_is_slow_for_all() {
    block_on(async {
        let (name, seed) = ("slow-for-all", 3_713);
        let site = start(name, seed).await;
        let delay = Duration::from_millis(200);
        site.links.iter().for_each(|link| link.delay(delay));
        let took = wait_for_failover(&site, name, seed, Duration::from_secs(4)).await;
        assert_eq!(took, None);
    });
}
