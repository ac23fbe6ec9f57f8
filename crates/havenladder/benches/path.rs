//! Measures the overhead of an entry in one run: latency through an entry against latency straight
//! to the same worker, requests per second of processor time, and memory when idle and with many
//! requests in flight.

#[path = "../tests/site/mod.rs"]
mod site;

use bytes::Bytes;
use havenladder_standin::load::{RequestKind, send_to_worker};
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use site::{Site, plan};
use std::time::{Duration, Instant};

const SETTINGS: &str = r#"{ "place": { "unavailable": "50%", "pools": { "pool": { "vms": 16,
  "services": { "service": { "timeout_ms": 60000, "queue_limit": 4000 } } } } } }"#;

/// Requests of the latency run for each of the two ways, which alternate.
const LATENCY_REQUESTS: usize = 4_000;

/// Duration of the throughput run.
const RUN_TIME: Duration = Duration::from_secs(4);

/// Number of concurrent callers in the throughput run.
const CALLERS: usize = 48;

/// Number of requests in flight in the memory run.
const IN_FLIGHT: usize = 1_000;

type Http = Client<HttpConnector, Full<Bytes>>;

fn main() {
    let site = Site::start(plan(1, 16), &["hall-1"], SETTINGS);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    println!(
        "memory at rest: {:.1} MB, {} threads",
        megabytes(&site),
        site.thread_count(0)
    );
    runtime.block_on(latency(&site));
    runtime.block_on(throughput(&site));
    runtime.block_on(memory(&site));
}

fn megabytes(site: &Site) -> f64 {
    site.memory_bytes(0) as f64 / 1e6
}

fn client() -> Http {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).build(connector)
}

async fn request_entry(http: &Http, site: &Site, run: u64) -> bool {
    let entry = site.entries[0].editors;
    let request = Request::post(format!("http://{entry}/v1/place/pool/service"))
        .body(Full::from(format!("run={run}")))
        .expect("a well-formed request");
    let Ok(answer) = http.request(request).await else {
        return false;
    };
    let is_done = answer.status().is_success();
    answer.into_body().collect().await.is_ok() && is_done
}

async fn latency(site: &Site) {
    let http = client();
    let workers = site.worker_addresses();
    let kind = RequestKind {
        service: "place/pool/service".into(),
        pool: "place/pool".into(),
        rate: 0.0,
        run_ms: (0.0, 0.0),
        patience: Duration::from_secs(1),
    };
    let histogram =
        || Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("bounds in order");
    let (mut entry, mut direct) = (histogram(), histogram());
    for round in 0..LATENCY_REQUESTS {
        let started = Instant::now();
        assert!(request_entry(&http, site, 0).await, "an entry refused");
        let took = started.elapsed();
        let started = Instant::now();
        let worker = workers[round % workers.len()];
        assert_eq!(send_to_worker(&http, worker, &kind, 0).await, Some(true));
        if round >= LATENCY_REQUESTS / 10 {
            direct.saturating_record(started.elapsed().as_micros() as u64);
            entry.saturating_record(took.as_micros() as u64);
        }
    }
    for quantile in [0.5, 0.99] {
        let (with, without) = (
            entry.value_at_quantile(quantile),
            direct.value_at_quantile(quantile),
        );
        println!(
            "p{:<3} through an entry {with} us, straight {without} us, added {} us",
            quantile * 100.0,
            with as i64 - without as i64
        );
    }
}

async fn throughput(site: &Site) {
    let http = client();
    let before = site.cpu_time(0);
    let started = Instant::now();
    let mut calls = tokio::task::LocalSet::new();
    let total = std::rc::Rc::new(std::cell::Cell::new(0_u64));
    for _ in 0..CALLERS {
        let (http, total) = (http.clone(), std::rc::Rc::clone(&total));
        let entry = site.entries[0].editors;
        calls.spawn_local(async move {
            while started.elapsed() < RUN_TIME {
                let request = Request::post(format!("http://{entry}/v1/place/pool/service"))
                    .body(Full::from("run=0"))
                    .expect("a well-formed request");
                if let Ok(answer) = http.request(request).await
                    && answer.status().is_success()
                    && answer.into_body().collect().await.is_ok()
                {
                    total.set(total.get() + 1);
                }
            }
        });
    }
    (&mut calls).await;
    let done = total.get();
    let used = site.cpu_time(0) - before;
    println!(
        "throughput: {:.0} requests/s with {CALLERS} callers; {:.0} requests a second of processor time",
        done as f64 / RUN_TIME.as_secs_f64(),
        done as f64 / used.as_secs_f64()
    );
}

async fn memory(site: &Site) {
    let http = client();
    let calls = tokio::task::LocalSet::new();
    for _ in 0..IN_FLIGHT {
        let http = http.clone();
        let entry = site.entries[0].editors;
        calls.spawn_local(async move {
            let request = Request::post(format!("http://{entry}/v1/place/pool/service"))
                .body(Full::from("run=300 tag=in-flight"))
                .expect("a well-formed request");
            let _ = http.request(request).await;
        });
    }
    let mut max_megabytes = 0.0_f64;
    let watch = async {
        for _ in 0..100 {
            tokio::time::sleep(Duration::from_millis(20)).await;
            max_megabytes = max_megabytes.max(megabytes(site));
        }
    };
    calls.run_until(watch).await;
    println!(
        "memory with {IN_FLIGHT} requests in flight: {max_megabytes:.1} MB, {} threads",
        site.thread_count(0)
    );
}
