//! An entry that is cut off says that it is not ready and refuses at once; one that only shares an outage of
//! the store with all others stays ready.

mod entries;

use entries::{block_on, send_request};
use havenladder_soak::site::{HOST, PREFIX, Site};
use rustix::process::Signal;
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use tokio::time;

/// Limit of every wait; generous, so that a busy machine changes no verdict.
const LIMIT: Duration = Duration::from_secs(30);

/// Much longer than an entry takes to find out that it is cut off.
const LONG: Duration = Duration::from_secs(3);

/// Time between two looks.
const LOOK: Duration = Duration::from_millis(50);

/// Entries 0 and 2 are in one data centre, entry 1 in another. They learn of each other before this returns.
async fn start(seed: u64) -> Site {
    let site = entries::start("readiness", seed, 2).await;
    wait_ready(&site).await;
    time::sleep(LONG).await;
    site
}

async fn is_ready(callers: SocketAddr) -> bool {
    let ready = SocketAddr::new(callers.ip(), callers.port() + 1);
    let request = "GET /readiness HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\r\n";
    send_request(ready, request)
        .await
        .starts_with("HTTP/1.1 200")
}

async fn wait_ready(site: &Site) {
    for entry in &site.entries {
        wait_until(entry.address, true).await;
    }
}

/// Waits until an entry says that it is ready, or that it is not.
async fn wait_until(callers: SocketAddr, ready: bool) {
    let limit = Instant::now() + LIMIT;
    while is_ready(callers).await != ready {
        assert!(Instant::now() < limit, "{callers} is not ready: {ready}");
        time::sleep(LOOK).await;
    }
}

async fn refuse_while_cut_off() {
    let mut site = start(901).await;
    let cut_off = [0, 2].map(|number: usize| site.entries[number].address);
    site.links[0].stall(true, true);
    site.links[2].stall(true, true);
    site.entries[1].signal(Signal::STOP);
    for entry in cut_off {
        wait_until(entry, false).await;
    }
    let request = format!("GET {PREFIX}00000000000000a1 HTTP/1.1\r\nhost: {HOST}\r\n\r\n");
    let mut refusals = 0;
    for entry in cut_off {
        let began = Instant::now();
        let answer = send_request(entry, &request).await;
        let closes = answer.contains("connection: close");
        refusals += usize::from(answer.starts_with("HTTP/1.1 503") && closes);
        assert!(began.elapsed() < LONG, "{answer}");
    }
    // One of them may own the cell, and answers by itself.
    assert!(refusals >= 1);
    site.heal().expect("processes start");
    wait_ready(&site).await;
}

async fn stay_ready_in_an_outage() {
    let site = start(902).await;
    for link in &site.links {
        link.stall(true, true);
    }
    let until = Instant::now() + LONG;
    while Instant::now() < until {
        for entry in &site.entries {
            assert!(is_ready(entry.address).await, "{}", entry.address);
        }
        time::sleep(LOOK).await;
    }
}

#[test]
fn entries_that_hear_nothing_from_outside_are_not_ready_and_refuse_at_once() {
    block_on(refuse_while_cut_off());
}

#[test]
fn entries_that_reach_each_other_stay_ready_while_the_store_is_away_for_all() {
    block_on(stay_ready_in_an_outage());
}
