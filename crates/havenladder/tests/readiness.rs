//! An entry that is isolated reports that it is not ready and refuses calls at once. An entry that only shares an
//! outage of the store with all others stays ready.

mod entries;

use entries::{block_on, send_request};
use havenladder_soak::site::{HOST, PREFIX, Site};
use rustix::process::Signal;
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use tokio::time;

/// Limit of every wait. It is generous, so that no test fails because the machine is busy.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Much longer than an entry takes to detect that it is isolated.
const DETECTION_TIMEOUT: Duration = Duration::from_secs(3);

/// Time between two polls of the readiness.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Starts a site with entries 0 and 2 in one data centre and entry 1 in another, and waits until they know each other.
async fn start(seed: u64) -> Site {
    let site = entries::start("readiness", seed, 2).await;
    wait_until_all_ready(&site).await;
    time::sleep(DETECTION_TIMEOUT).await;
    site
}

async fn is_ready(callers: SocketAddr) -> bool {
    let ready = SocketAddr::new(callers.ip(), callers.port() + 1);
    let request = "GET /readiness HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\r\n";
    send_request(ready, request)
        .await
        .starts_with("HTTP/1.1 200")
}

async fn wait_until_all_ready(site: &Site) {
    for entry in &site.entries {
        wait_for_readiness(entry.address, true).await;
    }
}

/// Waits until an entry reports that it is ready, or that it is not.
async fn wait_for_readiness(callers: SocketAddr, ready: bool) {
    let limit = Instant::now() + WAIT_TIMEOUT;
    while is_ready(callers).await != ready {
        assert!(Instant::now() < limit, "{callers} is not ready: {ready}");
        time::sleep(POLL_INTERVAL).await;
    }
}

async fn refuse_while_isolated() {
    let mut site = start(901).await;
    let isolated = [0, 2].map(|number: usize| site.entries[number].address);
    site.links[0].stall(true, true);
    site.links[2].stall(true, true);
    site.entries[1].signal(Signal::STOP);
    for entry in isolated {
        wait_for_readiness(entry, false).await;
    }
    let request = format!("GET {PREFIX}00000000000000a1 HTTP/1.1\r\nhost: {HOST}\r\n\r\n");
    let mut refusals = 0;
    for entry in isolated {
        let began = Instant::now();
        let response = send_request(entry, &request).await;
        let closes = response.contains("connection: close");
        refusals += usize::from(response.starts_with("HTTP/1.1 503") && closes);
        assert!(began.elapsed() < DETECTION_TIMEOUT, "{response}");
    }
    // One of the two may own the cell and respond by itself.
    assert!(refusals >= 1);
    site.heal().expect("processes start");
    wait_until_all_ready(&site).await;
}

async fn stay_ready_in_an_outage() {
    let site = start(902).await;
    for link in &site.links {
        link.stall(true, true);
    }
    let until = Instant::now() + DETECTION_TIMEOUT;
    while Instant::now() < until {
        for entry in &site.entries {
            assert!(is_ready(entry.address).await, "{}", entry.address);
        }
        time::sleep(POLL_INTERVAL).await;
    }
}

#[test]
fn isolated_entries_are_not_ready_and_refuse_at_once() {
    block_on(refuse_while_isolated());
}

#[test]
fn entries_that_reach_each_other_stay_ready_in_a_store_outage() {
    block_on(stay_ready_in_an_outage());
}
