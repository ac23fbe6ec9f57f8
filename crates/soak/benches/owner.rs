//! Measures the processor time that an owner needs per start: a real entry against stand-ins of the
//! users' log, VMs and workers, with jobs submitted at a steady rate.
//!
//! Prints the processor time of the entry, per start and as a fraction of a core, and its peak
//! memory. The environment variables `OWNER_VMS`, `OWNER_JOBS` (per second) and `OWNER_SECONDS`
//! change the load, and `OWNER_PROGRAM` the program.

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

/// The pools, each with its own queue, as on the users' large site.
const POOLS: [&str; 4] = ["desk", "proof", "covers", "press"];

/// The pool of VMs that are switched off.
const RESERVE: &str = "spare";

/// The number of tasks of a job, each on one core.
const TASKS: u32 = 8;

/// The run time of a task in milliseconds.
const RUN_MS: u64 = 1_000;

/// The number of connections over which jobs are submitted. Each waits for the response to a job
/// before it submits the next one.
const CALLERS: usize = 64;

/// The clock ticks per second in `/proc/PID/stat`, which Linux fixes at this value on all machines.
const TICKS_PER_SECOND: f64 = 100.0;

/// The time in which the entry finds all workers.
const STARTUP_TIME: Duration = Duration::from_secs(6);

/// Returns the value of an environment variable, or a default if it is missing or malformed.
fn env_or<T: FromStr>(name: &str, default: T) -> T {
    let text = env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Returns the configuration, which has one queue for each pool.
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

/// Returns the processor time that a process has used, in seconds.
fn processor_seconds(pid: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap().split(' ').collect();
    let ticks = |number: usize| fields[number].parse::<f64>().unwrap();
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

/// Returns the peak memory of a process, in MB.
fn peak_memory_mb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmHWM"))
        .unwrap();
    let kb: u64 = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kb / 1_024
}

/// Submits a job every `gap` over one connection until `until`, and returns the number of jobs.
async fn submit_jobs(to: SocketAddr, caller: usize, gap: Duration, until: Instant) -> usize {
    let mut stream = TcpStream::connect(to).await.unwrap();
    stream.set_nodelay(true).unwrap();
    time::sleep(gap.mul_f64(caller as f64 / CALLERS as f64)).await;
    let step = json!({ "count": TASKS, "cpu": 1_000, "mem-mb": 100, "estimated-ms": RUN_MS });
    let body = json!({ "spec": RUN_MS.to_string(), "steps": [step] }).to_string();
    let mut jobs = 0;
    let mut next = time::Instant::now();
    let mut response = vec![0; 4_096];
    while Instant::now() < until {
        let pool = POOLS[(caller + jobs) % POOLS.len()];
        let id = (caller as u64) << 32 | jobs as u64;
        let head = format!(
            "POST /{pool}/{id:016x} HTTP/1.1\r\nhost: bench.example\r\nrequest-deadline-ms: 3000\r\n\
             content-length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all((head + &body).as_bytes()).await.unwrap();
        let read = stream.read(&mut response).await.unwrap();
        assert!(
            response[..read].starts_with(b"HTTP/1.1 200"),
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
    let vms: usize = env_or("OWNER_VMS", 1_100);
    let rate: f64 = env_or("OWNER_JOBS", 160.0);
    let span = Duration::from_secs(env_or("OWNER_SECONDS", 10));
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
        link_mbps: None,
        resources: None,
    };
    let entry = Entry::start(&plan, 0, &Ports::for_seed(plan.seed), store, list).unwrap();
    time::sleep(STARTUP_TIME).await;
    println!("entry {} with {vms} workers", entry.id());
    let idle = processor_seconds(entry.id());
    time::sleep(Duration::from_secs(2)).await;
    let before = processor_seconds(entry.id());
    println!("without jobs: {:.3} of a core", (before - idle) / 2.0);
    let until = Instant::now() + span;
    let gap = Duration::from_secs_f64(CALLERS as f64 / rate);
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        callers.spawn(submit_jobs(entry.address, caller, gap, until));
    }
    let jobs: usize = callers.join_all().await.into_iter().sum();
    let spent = processor_seconds(entry.id()) - before;
    let all = events.all();
    let starts = all.iter().filter(|event| event.kind == RunEvent::Started);
    let starts = starts.count();
    println!(
        "{jobs} jobs, {starts} starts in {:.0} s: {:.3} of a core, {:.0} us a start, {} MB",
        span.as_secs_f64(),
        spent / span.as_secs_f64(),
        spent * 1e6 / starts as f64,
        peak_memory_mb(entry.id()),
    );
}
