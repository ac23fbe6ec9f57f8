//! What an owner's processor does for a start: a real entry against stand-ins of the users' log, VMs and
//! workers, with jobs that come at a steady rate.
//!
//! Shows the processor time of the entry, per start and as a part of a core, and its memory at its peak.
//! `OWNER_VMS`, `OWNER_JOBS` (a second) and `OWNER_SECONDS` change the load, `OWNER_PROGRAM` the program.

#![expect(clippy::unwrap_used, reason = "a bench stops when its site is broken")]

use clock::Instant;
use havenladder_soak::{
    Plan,
    entries::{Entry, Ports},
};
use serde_json::json;
use standin::users::{
    cloud::Cloud,
    events::{Events, RunEvent},
    listen,
    log::Log,
};
use std::{env, fs, net::SocketAddr, path::PathBuf, str::FromStr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time,
};

/// The pools, each with a queue of its own, as on the users' large site.
const POOLS: [&str; 4] = ["desk", "proof", "covers", "press"];

/// The pool of VMs that are off.
const RESERVE: &str = "spare";

/// The tasks of a job, each on one core.
const TASKS: u32 = 8;

/// How long a task runs, in ms.
const RUN_MS: u64 = 1_000;

/// Connections over which jobs are handed in; each waits for its answers.
const CALLERS: usize = 64;

/// Clock ticks of `/proc/PID/stat` in a second, as Linux has them on all machines.
const TICKS: f64 = 100.0;

/// How long the entry gets to find all workers.
const START: Duration = Duration::from_secs(6);

/// A figure of the environment, or what holds without it.
fn figure<T: FromStr>(name: &str, without: T) -> T {
    let text = env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(without)
}

/// The configuration: a queue for each pool.
fn config() -> String {
    let route = |pool: &&str| {
        json!({
            "name": format!("q-{pool}"), "host": "bench.example", "path-prefix": format!("/{pool}/"),
            "type": "unsafe", "timeout-ms": 3_000, "target-latency-ms": 600, "priority": 0,
            "service": pool, "max-attempts": 3, "stretch": 1.6,
        })
    };
    let service = |pool: &&str| json!({ "name": pool, "admission-check": true, "headroom": false });
    let routes: Vec<_> = POOLS.iter().map(route).collect();
    let mut services: Vec<_> = POOLS.iter().map(service).collect();
    services.push(json!({ "name": RESERVE, "admission-check": true, "headroom": true }));
    json!({ "version": 1, "routes": routes, "services": services, "limits": {} }).to_string()
}

/// The seconds of processor time that a process has used.
fn used(pid: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap().split(' ').collect();
    let ticks = |number: usize| fields[number].parse::<f64>().unwrap();
    (ticks(11) + ticks(12)) / TICKS
}

/// The memory of a process at its peak, in MB.
fn peak(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmHWM"))
        .unwrap();
    let kb: u64 = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kb / 1_024
}

/// Hands in jobs over one connection, one each `gap`, until `until`.
async fn hand_in(to: SocketAddr, caller: usize, gap: Duration, until: Instant) -> usize {
    let mut stream = TcpStream::connect(to).await.unwrap();
    stream.set_nodelay(true).unwrap();
    time::sleep(gap.mul_f64(caller as f64 / CALLERS as f64)).await;
    let step = json!({ "count": TASKS, "cpu": 1_000, "mem-mb": 100, "estimated-ms": RUN_MS });
    let body = json!({ "spec": RUN_MS.to_string(), "steps": [step] }).to_string();
    let mut jobs = 0;
    let mut next = time::Instant::now();
    let mut answer = vec![0; 4_096];
    while Instant::now() < until {
        let pool = POOLS[(caller + jobs) % POOLS.len()];
        let id = (caller as u64) << 32 | jobs as u64;
        let head = format!(
            "POST /{pool}/{id:016x} HTTP/1.1\r\nhost: bench.example\r\nrequest-deadline-ms: 3000\r\n\
             content-length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all((head + &body).as_bytes()).await.unwrap();
        let read = stream.read(&mut answer).await.unwrap();
        assert!(
            answer[..read].starts_with(b"HTTP/1.1 200"),
            "a job was refused"
        );
        jobs += 1;
        next += gap;
        time::sleep_until(next).await;
    }
    jobs
}

#[tokio::main]
async fn main() {
    let vms: usize = figure("OWNER_VMS", 1_100);
    let rate: f64 = figure("OWNER_JOBS", 160.0);
    let span = Duration::from_secs(figure("OWNER_SECONDS", 10));
    let folder = env::temp_dir().join("havenladder-bench-owner");
    let program = env::var("OWNER_PROGRAM").unwrap_or_else(|_| {
        concat!(
            env!("CARGO_MANIFEST_DIR"),
            "/../../target/release/havenladder"
        )
        .to_owned()
    });
    let (log, events) = (Log::default(), Events::default());
    let cloud = Cloud::new(log.clone(), events.clone());
    for number in 0..vms {
        let pool = POOLS[number % POOLS.len()];
        cloud.add(&format!("vm-{number:04}"), pool).await.unwrap();
    }
    let store = listen(&log, |log, call| async move { log.handle(call).await });
    let store = store.await.unwrap();
    let list = listen(
        &cloud,
        |cloud, call| async move { cloud.handle(call).await },
    );
    let list = list.await.unwrap();
    log.put("keyed.op", "config", config().as_bytes());
    let plan = Plan {
        program: PathBuf::from(program),
        seed: u64::from(std::process::id()),
        span,
        entries: 1,
        vms,
        logs: folder,
    };
    let entry = Entry::start(&plan, 0, &Ports::pick(plan.seed), store, list).unwrap();
    time::sleep(START).await;
    println!("entry {} with {vms} workers", entry.id());
    let idle = used(entry.id());
    time::sleep(Duration::from_secs(2)).await;
    let before = used(entry.id());
    println!("without jobs: {:.3} of a core", (before - idle) / 2.0);
    let until = Instant::now() + span;
    let gap = Duration::from_secs_f64(CALLERS as f64 / rate);
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        callers.spawn(hand_in(entry.address, caller, gap, until));
    }
    let jobs: usize = callers.join_all().await.into_iter().sum();
    let took = used(entry.id()) - before;
    let all = events.all();
    let starts = all.iter().filter(|event| event.kind == RunEvent::Started);
    let starts = starts.count();
    println!(
        "{jobs} jobs, {starts} starts in {:.0} s: {:.3} of a core, {:.0} us a start, {} MB",
        span.as_secs_f64(),
        took / span.as_secs_f64(),
        took * 1e6 / starts as f64,
        peak(entry.id()),
    );
}
