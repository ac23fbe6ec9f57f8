//! Large configurations on narrow links, with entries as processes of their own.
//!
//! Guards against an entry whose link takes longer for a configuration than a request may last: it received the same
//! bytes again and again, and reported routes that it did not know as missing.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

mod entries;

use entries::{block_on, count_lines, log_dir, send_request};
use havenladder_soak::site::Site;
use havenladder_standin::{
    proxy::{Link, Proxy},
    users::operator::idle_route,
};
use rustix::process::Signal;
use std::{
    fs,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time;

/// Seeds of the sites, which decide their ports; below those of sites with workspaces.
const SEED: u64 = 5_930;

/// Number of idle routes that a change adds. Together they take some 600 KB.
const ADDED_ROUTES: usize = 2_000;

/// Bandwidth of a narrow link in bytes per second. It takes more than a second for one change.
const NARROW_LINK: u64 = 500_000;

/// Time that the narrow link takes for the configurations of two changes, the second of which holds the routes of both.
const TRANSFER_TIME: Duration = Duration::from_millis(3_600);

/// Time, in addition to that of the transfer, within which a change must be in force.
const APPLY_TIMEOUT: Duration = Duration::from_millis(2_000);

/// An entry that is not a seed, so that it follows one from its start.
const FOLLOWER: usize = 3;

/// Time for an entry to become owner of the cell and for all entries to find their sources.
const STARTUP_TIME: Duration = Duration::from_secs(4);

/// Limit of every wait. It is generous, so that no test fails because the machine is busy.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the status of the response to a call of an idle route.
async fn status_of(site: &Site, entry: usize, number: usize) -> String {
    let (host, prefix) = idle_route(number);
    let call = format!(
        "GET {prefix} HTTP/1.1\r\nhost: {host}\r\nrequest-deadline-ms: 3000\r\nconnection: close\r\n\r\n"
    );
    let head = send_request(site.entries[entry].address, &call).await;
    head.get(9..12).unwrap_or("none").to_owned()
}

/// Waits until an entry serves an idle route, and returns how long that took.
async fn wait_until_served(site: &Site, entry: usize, number: usize) -> Duration {
    let began = Instant::now();
    while status_of(site, entry, number).await != "200" {
        assert!(
            began.elapsed() < WAIT_TIMEOUT,
            "entry {entry} does not serve route {number}"
        );
        time::sleep(Duration::from_millis(50)).await;
    }
    began.elapsed()
}

/// Waits until all entries serve calls.
async fn wait_until_ready(site: &Site) {
    time::sleep(STARTUP_TIME).await;
    for entry in 0..site.entries.len() {
        wait_until_served(site, entry, 0).await;
    }
}

#[test]
fn an_isolated_entry_reports_no_route_as_missing() {
    block_on(async {
        let mut site = entries::start_with("unknown-route", SEED, 4, 3).await;
        site.add_idle_routes(1);
        wait_until_ready(&site).await;
        assert_eq!(
            status_of(&site, 0, 1).await,
            "404",
            "a connected entry knows"
        );
        site.links.iter().for_each(|link| link.stall(true, true));
        site.add_idle_routes(1);
        time::sleep(APPLY_TIMEOUT).await;
        for entry in 0..site.entries.len() {
            assert_eq!(status_of(&site, entry, 0).await, "200", "entry {entry}");
            assert_eq!(status_of(&site, entry, 1).await, "503", "entry {entry}");
        }
        site.links.iter().for_each(|link| link.stall(false, false));
        for entry in 0..site.entries.len() {
            wait_until_served(&site, entry, 1).await;
            assert_eq!(status_of(&site, entry, 2).await, "404", "entry {entry}");
        }
    });
}

#[test]
fn a_cut_read_does_not_confirm_the_configuration() {
    block_on(async {
        let mut site = entries::start_with("left-records", SEED + 1, 4, 1).await;
        site.add_idle_routes(ADDED_ROUTES);
        wait_until_ready(&site).await;
        site.entries[0].signal(Signal::STOP);
        // Three configurations of more than 500 KB exceed the size of a response of the store.
        for _ in 0..3 {
            site.add_idle_routes(1);
        }
        time::sleep(APPLY_TIMEOUT).await;
        site.entries[0].signal(Signal::CONT);
        let status = status_of(&site, 0, site.idle_routes - 1).await;
        assert_ne!(status, "404");
        wait_until_served(&site, 0, site.idle_routes - 1).await;
    });
}

#[test]
fn large_changes_arrive_over_a_narrow_link() {
    block_on(async {
        let mut site = entries::start_with("narrow-store-link", SEED + 2, 4, 1).await;
        site.add_idle_routes(1);
        wait_until_ready(&site).await;
        site.links[0].share_response_link(Some(Arc::new(Link::new(NARROW_LINK))));
        let began = Instant::now();
        for _ in 0..2 {
            site.add_idle_routes(ADDED_ROUTES);
        }
        wait_until_served(&site, 0, site.idle_routes - 1).await;
        let took = began.elapsed();
        assert!(took < TRANSFER_TIME + APPLY_TIMEOUT, "{took:?}");
    });
}

/// Starts a site with four entries, the last of which follows the first one through a proxy. Returns the proxy as well.
async fn start_with_follower(name: &str, seed: u64) -> (Site, Proxy) {
    let mut site = entries::start_with(name, seed, 4, FOLLOWER + 1).await;
    site.add_idle_routes(1);
    wait_until_ready(&site).await;
    let proxy = follow_through_proxy(&mut site, name, seed).await;
    wait_until_served(&site, FOLLOWER, 0).await;
    time::sleep(STARTUP_TIME).await;
    (site, proxy)
}

/// Lets [`FOLLOWER`] know only one other entry, through a proxy, and restarts it. Returns the proxy.
async fn follow_through_proxy(site: &mut Site, name: &str, seed: u64) -> Proxy {
    let peer_port = site.entries[0].address.port() + 4;
    let source = SocketAddr::new(site.entries[0].address.ip(), peer_port);
    let at: SocketAddr = format!("127.0.1.1:{peer_port}").parse().unwrap();
    let proxy = Proxy::start_at(at, source).await.unwrap();
    let file = log_dir(name, seed).join(format!("entry-{FOLLOWER}.toml"));
    let text = fs::read_to_string(&file).unwrap();
    let lines = text.lines().map(|line| match line.starts_with("seeds = ") {
        true => format!("seeds = [\"{at}\"]\n"),
        false => format!("{line}\n"),
    });
    fs::write(&file, lines.collect::<String>()).unwrap();
    let entry = &mut site.entries[FOLLOWER];
    entry.signal(Signal::KILL);
    while entry.is_running() {
        time::sleep(Duration::from_millis(10)).await;
    }
    entry.ensure_running().unwrap();
    proxy
}

#[test]
fn a_large_change_does_not_cost_a_follower_its_source() {
    block_on(async {
        let (name, seed) = ("narrow-follower", SEED + 3);
        let (mut site, proxy) = start_with_follower(name, seed).await;
        let link = Arc::new(Link::new(NARROW_LINK));
        proxy.faults.share_response_link(Some(Arc::clone(&link)));
        site.links[FOLLOWER].share_response_link(Some(link));
        let began = Instant::now();
        for _ in 0..2 {
            site.add_idle_routes(ADDED_ROUTES);
        }
        wait_until_served(&site, FOLLOWER, site.idle_routes - 1).await;
        let took = began.elapsed();
        assert!(took < TRANSFER_TIME + APPLY_TIMEOUT, "{took:?}");
        assert_eq!(count_lines(name, seed, "records abandoned"), 0);
    });
}

#[test]
fn a_follower_gets_one_compressed_configuration() {
    block_on(async {
        let (mut site, proxy) = start_with_follower("compressed", SEED + 4).await;
        let before = proxy.faults.bytes();
        // The follower is paused for less than its request lasts, so that it keeps its source.
        site.entries[FOLLOWER].signal(Signal::STOP);
        for _ in 0..4 {
            site.add_idle_routes(ADDED_ROUTES);
        }
        time::sleep(Duration::from_millis(300)).await;
        site.entries[FOLLOWER].signal(Signal::CONT);
        wait_until_served(&site, FOLLOWER, site.idle_routes - 1).await;
        let received = proxy.faults.bytes() - before;
        let written = site.log.get("keyed.op", "config").unwrap().len() as u64;
        assert!(received < written, "{received} of {written} bytes");
    });
}
