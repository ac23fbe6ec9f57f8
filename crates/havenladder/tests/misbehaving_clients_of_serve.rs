//! Clients of `serve` that send requests which never end, or open connections and send nothing.
//!
//! Guards against a process that runs out of memory or descriptors, or that does not stop, because of requests that are
//! not whole. The limits are lowered, so that a small crowd shows the fault.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

mod crowd_checks;
mod site;

use crowd_checks::{CrowdThread, Monitor, WAIT_TIMEOUT, run_alone};
use havenladder_soak::crowd::{Return, Shape, Target};
use rustix::process::{Pid, Resource, Rlimit, Signal, prlimit};
use serde_json::json;
use site::{Site, Timing, plan};
use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};
use yare::parameterized;

/// The service that callers ask.
const SERVICE: &str = "place/pool/service";

const SETTINGS: &str = r#"{ "place": { "unavailable": "50%", "pools": { "pool": { "vms": 2,
  "services": { "service": { "timeout_ms": 3000 } } } } } }"#;

/// Memory of the machine in bytes. A process without callers uses some 50 MB.
const MEMORY_BYTES: u64 = 64 << 20;

/// Number of descriptors that the process can open.
const DESCRIPTORS: u64 = 300;

/// Number of callers' connections according to the settings.
const CONNECTIONS: u64 = 60;

/// Number of operators' connections, and of peers', according to the settings.
const INTERNAL_CONNECTIONS: u64 = 40;

/// Number of bytes of callers' requests according to the settings.
const REQUEST_BYTES: u64 = 4 << 20;

/// A listener of `serve`.
#[derive(Clone, Copy, Debug)]
enum Listener {
    Callers,
    Operators,
    Peers,
}

/// Starts a site with one process that has small limits.
fn start(timing: Timing) -> Site {
    let limits = json!({
        "editors": { "connections": CONNECTIONS },
        "placement": { "bytes": REQUEST_BYTES },
        "operators": { "connections": INTERNAL_CONNECTIONS },
        "peers": { "connections": INTERNAL_CONNECTIONS },
    });
    let site = Site::start_with_limits(timing, &limits, plan(1, 2), &["hall-1"], SETTINGS);
    let limit = Rlimit {
        current: Some(DESCRIPTORS),
        maximum: Some(DESCRIPTORS),
    };
    let process = Pid::from_raw(site.process(0) as i32);
    prlimit(process, Resource::Nofile, limit).unwrap();
    site
}

fn target(site: &Site, listener: Listener) -> Target {
    let entry = &site.entries[0];
    let (address, path): (SocketAddr, String) = match listener {
        Listener::Callers => (entry.editors, format!("POST /v1/{SERVICE}?id=")),
        Listener::Operators => (entry.operators, "POST /orders?id=".into()),
        Listener::Peers => (entry.peers, "GET /status?id=".into()),
    };
    Target {
        address,
        host: "entry".into(),
        path,
    }
}

/// Sends a request until it is done, as a caller that obeys `Retry-After` does.
fn serve_one(site: &Site) {
    let limit = Instant::now() + WAIT_TIMEOUT;
    while site.post(0, SERVICE, "run=1", &[]).status != 200 {
        assert!(
            Instant::now() < limit,
            "an ordinary request is not answered"
        );
        thread::sleep(Duration::from_millis(100));
    }
}

/// Lets a crowd come, and checks that the process lives within its limits and serves an ordinary caller and operator.
fn withstand(
    timing: Timing,
    listener: Listener,
    clients: usize,
    shape: Shape,
    comes_again: Return,
) {
    let _alone = run_alone();
    let site = start(timing);
    let target = target(&site, listener);
    let process = site.process(0);
    let monitor = Monitor::start(process, target.address);
    let crowd = CrowdThread::gather(target, shape, clients, comes_again);
    serve_one(&site);
    assert!(!site.state(0).is_null(), "operators are not answered");
    let worst = monitor.worst();
    println!("{worst:?}");
    assert_eq!(site.process(0), process);
    assert!(
        worst.memory <= MEMORY_BYTES && worst.memory_with_unread <= MEMORY_BYTES,
        "{worst:?}"
    );
    drop(crowd);
}

#[test]
fn bodies_in_small_packets_stay_within_the_memory_of_serve() {
    let shape = Shape::Drip {
        bytes: 262_144,
        sent: 200,
    };
    withstand(Timing::Default, Listener::Callers, 40, shape, Return::Never);
}

#[parameterized(
    operators = { Listener::Operators },
    peers = { Listener::Peers },
)]
fn header_lines_stay_within_the_memory_of_serve(listener: Listener) {
    let shape = Shape::OpenLine(40_000_000);
    withstand(Timing::Fast, listener, 2, shape, Return::Never);
}

#[parameterized(
    operators = { Listener::Operators, Shape::Silent },
    peers = { Listener::Peers, Shape::Silent },
    operators_heads = { Listener::Operators, Shape::OpenHead(1_000) },
)]
fn connections_leave_descriptors_to_the_callers_of_serve(listener: Listener, shape: Shape) {
    withstand(Timing::Fast, listener, 400, shape, Return::Never);
}

#[parameterized(
    bodies = { Shape::Short(1_000) },
    silence = { Shape::Silent },
)]
fn a_crowd_does_not_hold_all_connections_of_serve(shape: Shape) {
    withstand(
        Timing::Default,
        Listener::Callers,
        400,
        shape,
        Return::Always,
    );
}

#[test]
fn serve_stops_while_bodies_that_never_end_come_again() {
    let _alone = run_alone();
    let mut site = start(Timing::Fast);
    let target = target(&site, Listener::Callers);
    let crowds = [0, 1].map(|_| {
        let gather =
            || CrowdThread::gather(target.clone(), Shape::Short(1_000), 20, Return::Always);
        let crowd = gather();
        // The second crowd's bodies are refused at other times than the first one's.
        thread::sleep(Duration::from_millis(1_000));
        crowd
    });
    site.signal(0, Signal::TERM);
    assert_eq!(site.wait_exit(0), Some(0));
    drop(crowds);
}
