//! Clients of an entry that send requests which never end, or open connections and send nothing.
//!
//! Guards against an entry that runs out of memory or descriptors: bytes, connections and requests that are not whole
//! added up without a bound, until the process was ended or no ordinary caller could connect any more.
//!
//! The entry's machine is small, so that a small crowd shows the fault. The bounds are the machine's.

mod crowd_checks;
mod entries;
mod small_site;

use crowd_checks::{Monitor, run_alone, wait_until_read};
use entries::{block_on, owner, send_request};
use havenladder_soak::crowd::{Crowd, Return, Shape, Target};
use small_site::{
    BODY_BYTES, FILE_DESCRIPTORS, JOB, Listener, MEMORY_BYTES, NAME, RESOURCES, start, submit_to,
    wait_until_done, within_limit,
};
use std::{net::SocketAddr, time::Duration};
use tokio::time;
use yare::parameterized;

/// One of the crowds of a test.
#[derive(Clone, Copy, Debug)]
struct Part {
    listener: Listener,
    shape: Shape,
    clients: usize,
    comes_again: Return,
}

/// Asks an entry's readiness listener and its metrics once, as the platform does.
async fn probe(callers: SocketAddr) {
    for listener in [Listener::Readiness, Listener::Metrics] {
        let Target { address, .. } = listener.target(callers);
        let call = "GET / HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\r\n";
        while !send_request(address, call)
            .await
            .starts_with("HTTP/1.1 200")
        {
            time::sleep(Duration::from_millis(100)).await;
        }
    }
}

/// Lets crowds come to the owner of the cell, and checks that it lives within its machine's limits and serves an
/// ordinary caller, whose job is done.
async fn withstand(seed: u64, parts: &[Part]) {
    let mut site = start(seed).await;
    let crowded = owner(NAME, seed, site.entries.len());
    let address = site.entries[crowded].address;
    let process = site.entries[crowded].id();
    let listener = parts[0].listener.target(address).address;
    let monitor = Monitor::start(process, listener);
    let mut crowds = Vec::new();
    for part in parts {
        let target = part.listener.target(address);
        let crowd = Crowd::gather(&target, part.shape, part.clients, part.comes_again);
        within_limit("the crowd", crowd.wait_settled()).await;
        wait_until_read(target.address).await;
        crowds.push(crowd);
    }
    let served = within_limit("an ordinary job", submit_to(address, JOB));
    let done = within_limit("the ordinary job's task", wait_until_done(&site, JOB));
    let probed = within_limit("the readiness and the metrics", probe(address));
    let answers = async {
        served.await;
        done.await;
        probed.await;
    };
    answers.await;
    let worst = monitor.worst();
    println!("{worst:?}");
    assert!(site.entries[crowded].is_running(), "the process has ended");
    assert!(
        worst.memory <= MEMORY_BYTES && worst.memory_with_unread <= MEMORY_BYTES,
        "{worst:?}"
    );
    let max_sockets = (RESOURCES.descriptors - FILE_DESCRIPTORS) as usize;
    assert!(worst.sockets <= max_sockets, "{worst:?}");
    for crowd in crowds {
        crowd.dismiss().await;
    }
}

/// Runs [`withstand`] with one crowd, alone.
fn withstand_alone(seed: u64, part: Part) {
    let _alone = run_alone();
    block_on(withstand(seed, &[part]));
}

/// Describes a crowd of callers that stay.
fn callers(clients: usize, shape: Shape) -> Part {
    Part {
        listener: Listener::Callers,
        shape,
        clients,
        comes_again: Return::Never,
    }
}

#[parameterized(
    large_chunks = { 6_801, 120, Shape::Chunks { bytes: 262_000, chunk: 65_500 } },
    single_byte_chunks = { 6_802, 12, Shape::Chunks { bytes: 200_000, chunk: 1 } },
    announced_length = { 6_803, 120, Shape::Short(262_000) },
    single_byte_packets = { 6_804, 60, Shape::Drip { bytes: BODY_BYTES, sent: 150 } },
)]
fn bodies_that_never_end_stay_within_memory(seed: u64, clients: usize, shape: Shape) {
    withstand_alone(seed, callers(clients, shape));
}

#[parameterized(
    lines = { 6_805, Shape::OpenHead(380_000) },
    one_line = { 6_806, Shape::OpenLine(380_000) },
)]
fn heads_that_never_end_stay_within_memory(seed: u64, shape: Shape) {
    withstand_alone(seed, callers(120, shape));
}

#[parameterized(
    bodies = { 6_807, Shape::Chunks { bytes: 1_000, chunk: 100 } },
    heads = { 6_808, Shape::OpenHead(1_000) },
    trailers = { 6_809, Shape::OpenTrailer(1_000) },
    silence = { 6_810, Shape::Silent },
)]
fn connections_that_stay_leave_descriptors_to_others(seed: u64, shape: Shape) {
    withstand_alone(seed, callers(400, shape));
}

#[parameterized(
    bodies = { 6_811, Shape::Chunks { bytes: 1_000, chunk: 100 } },
    silence = { 6_812, Shape::Silent },
)]
fn connections_that_come_again_leave_descriptors_to_others(seed: u64, shape: Shape) {
    let crowd = Part {
        comes_again: Return::Always,
        ..callers(400, shape)
    };
    withstand_alone(seed, crowd);
}

#[parameterized(
    readiness = { 6_813, Listener::Readiness, 400, Shape::Silent },
    readiness_bodies = { 6_814, Listener::Readiness, 400, Shape::Chunks { bytes: 1_000, chunk: 100 } },
    metrics = { 6_815, Listener::Metrics, 400, Shape::Silent },
    metrics_unread = { 6_816, Listener::Metrics, 120, Shape::Pipeline(200_000) },
    peers = { 6_817, Listener::Peers, 400, Shape::Silent },
    peers_bodies = { 6_818, Listener::Peers, 80, Shape::Chunks { bytes: 1_000_000, chunk: 50_000 } },
    peers_small_chunks = { 6_819, Listener::Peers, 12, Shape::Chunks { bytes: 200_000, chunk: 1 } },
    peers_heads = { 6_820, Listener::Peers, 120, Shape::OpenHead(380_000) },
)]
fn the_other_listeners_have_bounds_as_well(
    seed: u64,
    listener: Listener,
    clients: usize,
    shape: Shape,
) {
    let crowd = Part {
        listener,
        ..callers(clients, shape)
    };
    withstand_alone(seed, crowd);
}

#[parameterized(
    without_tasks = { 6_821, Shape::EmptySteps(87_000) },
    of_one_task = { 6_826, Shape::SmallSteps(20_000) },
)]
fn jobs_of_many_steps_stay_within_memory(seed: u64, shape: Shape) {
    withstand_alone(seed, callers(20, shape));
}

#[test]
fn methods_that_nobody_knows_leave_nothing_behind() {
    withstand_alone(6_828, callers(20, Shape::Methods(100)));
}

#[test]
fn requests_whose_responses_are_not_read_stay_within_memory() {
    withstand_alone(6_822, callers(60, Shape::Pipeline(4_000_000)));
}

#[test]
fn crowds_of_several_kinds_are_withstood_together() {
    let _alone = run_alone();
    let again = |clients, shape| Part {
        comes_again: Return::Always,
        ..callers(clients, shape)
    };
    let at = |listener, clients, shape| Part {
        listener,
        ..again(clients, shape)
    };
    let small = Shape::Chunks {
        bytes: 200_000,
        chunk: 1,
    };
    block_on(withstand(
        6_823,
        &[
            again(30, Shape::Short(262_000)),
            again(60, Shape::Silent),
            again(6, small),
            again(40, Shape::OpenHead(380_000)),
            again(40, Shape::OpenTrailer(10_000)),
            at(Listener::Peers, 40, Shape::Short(1_000_000)),
            at(Listener::Readiness, 40, Shape::OpenHead(8_000)),
            at(Listener::Metrics, 40, Shape::Silent),
        ],
    ));
}

async fn come_and_go() {
    let seed = 6_824;
    let mut site = start(seed).await;
    let crowded = owner(NAME, seed, site.entries.len());
    let address = site.entries[crowded].address;
    let monitor = Monitor::start(site.entries[crowded].id(), address);
    let target = Listener::Callers.target(address);
    for round in 0..6 {
        let crowd = Crowd::gather(&target, Shape::Short(262_000), 60, Return::Never);
        within_limit("the crowd", crowd.wait_settled()).await;
        within_limit("an ordinary job", submit_to(address, JOB + round)).await;
        crowd.dismiss().await;
    }
    let worst = monitor.worst();
    assert!(site.entries[crowded].is_running(), "the process has ended");
    assert!(worst.memory <= MEMORY_BYTES, "{worst:?}");
}

#[test]
fn crowds_that_come_and_go_stay_within_memory() {
    let _alone = run_alone();
    block_on(come_and_go());
}
