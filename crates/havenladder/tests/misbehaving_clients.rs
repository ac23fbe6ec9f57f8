//! Clients of an entry that send requests which never end, or open connections and send nothing.
//!
//! Guards against an entry that runs out of memory or descriptors: bytes, connections and requests that are not whole
//! added up without a bound, until the process was ended or no ordinary caller could connect any more.
//!
//! The entry's machine is small, so that a small crowd shows the fault. The bounds are the machine's.

mod crowd_checks;
mod entries;

use crowd_checks::{Monitor, WAIT_TIMEOUT, run_alone, wait_until_read};
use entries::{block_on, count_lines, log_dir, owner, request, send_request, submit};
use havenladder_soak::{
    crowd::{Crowd, Return, Shape, Target},
    site::{HOST, PREFIX, Site},
};
use havenladder_standin::users::{events::RunEvent, settings::Resources};
use rustix::process::Signal;
use std::{
    fs,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time;
use yare::parameterized;

/// Name of the folder with the logs.
const NAME: &str = "misbehaving";

/// Memory and descriptors of each entry's machine. An entry without callers uses 24 MB.
const RESOURCES: Resources = Resources {
    memory_mb: 64,
    descriptors: 300,
};

/// Memory of the machine in bytes.
const MEMORY_BYTES: u64 = RESOURCES.memory_mb << 20;

/// Number of descriptors that are reserved for files; sockets share the others.
const FILE_DESCRIPTORS: u64 = 200;

/// Number of VMs.
const VMS: usize = 2;

/// Largest body of a job.
const BODY_BYTES: usize = 262_144;

/// Id of the job that is done before the crowd comes.
const FIRST_JOB: u64 = 1;

/// Id of the job that an ordinary caller submits beside the crowd.
const JOB: u64 = 2;

/// Body of a job of one short task.
const JOB_BODY: &str =
    r#"{"spec":"50","steps":[{"count":1,"cpu":1000,"mem-mb":10,"estimated-ms":50}]}"#;

/// A listener of an entry.
#[derive(Clone, Copy, Debug)]
enum Listener {
    Callers,
    Readiness,
    Peers,
    Metrics,
}

impl Listener {
    /// Returns the listener of an entry whose callers connect to `callers`.
    fn target(self, callers: SocketAddr) -> Target {
        let (port, path) = match self {
            Listener::Callers => (callers.port(), format!("POST {PREFIX}")),
            Listener::Readiness => (callers.port() + 1, "GET /readiness/".into()),
            Listener::Peers => (callers.port() + 4, "POST /ask/".into()),
            Listener::Metrics => (9_460, "GET /metrics/".into()),
        };
        Target {
            address: SocketAddr::new(callers.ip(), port),
            host: HOST.into(),
            path,
        }
    }
}

/// One of the crowds of a test.
#[derive(Clone, Copy, Debug)]
struct Part {
    listener: Listener,
    shape: Shape,
    clients: usize,
    comes_again: Return,
}

/// Waits for a future within the generous limit.
async fn within_limit<T>(what: &str, future: impl Future<Output = T>) -> T {
    let outcome = time::timeout(WAIT_TIMEOUT, future).await;
    outcome.unwrap_or_else(|_| panic!("{what}: not within {WAIT_TIMEOUT:?}"))
}

/// Waits until the task of a job is done.
async fn wait_until_done(site: &Site, job: u64) {
    let prefix = format!("{job:016x}.");
    let is_done = || {
        let events = site.events.all();
        events
            .iter()
            .any(|event| event.kind == RunEvent::Done && event.task.starts_with(&prefix))
    };
    while !is_done() {
        time::sleep(Duration::from_millis(50)).await;
    }
}

/// Starts a site whose entries have small machines, and waits until it has done a job.
async fn start(seed: u64) -> Site {
    let site = entries::start_with_resources(NAME, seed, VMS, RESOURCES).await;
    wait_for_first_job(&site, seed).await;
    site
}

/// Waits until a site has done a job and the log says which entry owns the cell.
async fn wait_for_first_job(site: &Site, seed: u64) {
    submit(site, FIRST_JOB, JOB_BODY).await;
    within_limit("the first job", wait_until_done(site, FIRST_JOB)).await;
    // An entry writes its log a little later than it acts.
    let owned = async {
        while count_lines(NAME, seed, "\"owns the cell\"") == 0 {
            time::sleep(Duration::from_millis(20)).await;
        }
    };
    within_limit("an owner's log line", owned).await;
}

/// Submits a job to an entry until it accepts it, as an ordinary caller does that is told to come back.
async fn submit_to(address: SocketAddr, job: u64) {
    let submission = request("POST", job, JOB_BODY);
    while !send_request(address, &submission)
        .await
        .starts_with("HTTP/1.1 200")
    {
        time::sleep(Duration::from_millis(100)).await;
    }
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

/// Maximum length of a log line about a request, in bytes.
const MAX_LINE_BYTES: usize = 1_024;

async fn send_long_words() {
    let seed = 6_829;
    let site = start(seed).await;
    let address = site.entries[0].address;
    let word = "a".repeat(8_000);
    let text = format!(r#"{{"steps":"{}"}}"#, "a".repeat(BODY_BYTES - 20));
    let unknown = format!("GET /{word} HTTP/1.1\r\nhost: {word}\r\nconnection: close\r\n\r\n");
    for (call, status) in [(request("POST", JOB, &text), 400), (unknown, 404)] {
        let response = send_request(address, &call).await;
        assert!(
            response.starts_with(&format!("HTTP/1.1 {status}")),
            "{response}"
        );
    }
    let log = log_dir(NAME, seed).join("entry-0.log");
    for message in ["the job is not valid", "no such queue"] {
        let line = async {
            loop {
                let text = fs::read_to_string(&log).unwrap_or_default();
                let line = text.lines().find(|line| line.contains(message));
                if let Some(line) = line {
                    break line.len();
                }
                time::sleep(Duration::from_millis(20)).await;
            }
        };
        let length = within_limit("a log line", line).await;
        assert!(length <= MAX_LINE_BYTES, "{message}: {length} bytes");
    }
}

#[test]
fn log_lines_repeat_little_of_what_callers_send() {
    let _alone = run_alone();
    block_on(send_long_words());
}

#[test]
fn requests_whose_responses_are_not_read_stay_within_memory() {
    withstand_alone(6_822, callers(60, Shape::Pipeline(4_000_000)));
}

/// What a single client may send within the limits of a call, on a machine as small as in the other tests.
async fn serve_the_largest_requests() {
    let seed = 6_831;
    let site = start(seed).await;
    let address = site.entries[owner(NAME, seed, site.entries.len())].address;
    let line = |id: u64| {
        format!("POST {PREFIX}{id:016x} HTTP/1.1\r\nhost: {HOST}\r\nconnection: close\r\n")
    };
    let padded = format!("{JOB_BODY}{}", " ".repeat(BODY_BYTES - JOB_BODY.len()));
    let chunks: String = padded
        .chars()
        .map(|byte| format!("1\r\n{byte}\r\n"))
        .chain(["0\r\n\r\n".to_owned()])
        .collect();
    let plain = format!("{}content-length: {BODY_BYTES}\r\n", line(10));
    let chunked = format!("{}transfer-encoding: chunked\r\n", line(11));
    let long = format!(
        "{}content-length: {}\r\nx-long: {}\r\n",
        line(12),
        JOB_BODY.len(),
        "a".repeat(16_000)
    );
    for (head, body) in [
        (plain, &padded),
        (chunked, &chunks),
        (long, &JOB_BODY.to_owned()),
    ] {
        let response = send_request(address, &format!("{head}\r\n{body}")).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
    for job in 10..13 {
        within_limit("the job", wait_until_done(&site, job)).await;
    }
}

#[test]
fn one_request_within_the_limits_is_served() {
    let _alone = run_alone();
    block_on(serve_the_largest_requests());
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

/// The system may let a process open fewer descriptors than its settings file says, also later.
async fn lower_the_limit_of_descriptors() {
    let seed = 6_827;
    let mut site = entries::start(NAME, seed, VMS).await;
    wait_for_first_job(&site, seed).await;
    let crowded = owner(NAME, seed, site.entries.len());
    let address = site.entries[crowded].address;
    site.entries[crowded]
        .limit_descriptors(RESOURCES.descriptors)
        .expect("the process runs");
    let target = Listener::Callers.target(address);
    let shape = Shape::Chunks {
        bytes: 1_000,
        chunk: 100,
    };
    let crowd = Crowd::gather(&target, shape, 400, Return::Always);
    within_limit("the crowd", crowd.wait_settled()).await;
    // The entry needs descriptors for its own calls, since all of its connections break.
    let names = site.cloud.names();
    let workers = names.iter().filter_map(|name| site.cloud.link(name));
    let links: Vec<_> = workers.chain([Arc::clone(&site.links[crowded])]).collect();
    links.iter().for_each(|link| link.cut(true));
    time::sleep(Duration::from_millis(200)).await;
    links.iter().for_each(|link| link.cut(false));
    within_limit("an ordinary job", submit_to(address, JOB)).await;
    within_limit("its task", wait_until_done(&site, JOB)).await;
    assert!(site.entries[crowded].is_running(), "the process has ended");
}

#[test]
fn an_entry_with_fewer_descriptors_than_its_settings_say_serves_others() {
    let _alone = run_alone();
    block_on(lower_the_limit_of_descriptors());
}

/// A client that has sent a part of a body when the signal comes is told that its request has not run.
async fn stop_with_unended_bodies() {
    const CLIENTS: usize = 20;
    let seed = 6_825;
    let mut site = start(seed).await;
    let target = Listener::Callers.target(site.entries[0].address);
    let shape = Shape::Chunks {
        bytes: 1_000,
        chunk: 100,
    };
    let mut crowd = Crowd::gather(&target, shape, CLIENTS, Return::Never);
    within_limit("the crowd", crowd.wait_settled()).await;
    site.entries[0].signal(Signal::TERM);
    within_limit("the end of the connections", crowd.wait_closed()).await;
    let limit = Instant::now() + WAIT_TIMEOUT;
    while site.entries[0].is_running() {
        assert!(Instant::now() < limit, "the process does not end");
        time::sleep(Duration::from_millis(50)).await;
    }
    let responses = crowd.responses();
    let refusals = responses
        .iter()
        .filter(|response| response.starts_with("HTTP/1.1 503"));
    assert_eq!(refusals.count(), CLIENTS, "{responses:?}");
}

#[test]
fn a_stopping_entry_refuses_requests_that_are_not_whole() {
    let _alone = run_alone();
    block_on(stop_with_unended_bodies());
}
