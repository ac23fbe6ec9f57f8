//! Measures how many claims per second two entries record through a log that accepts 300 appends
//! per second. The requests are ones that must not run twice.

#[path = "../tests/site/mod.rs"]
mod site;

use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use site::{Site, new_key, plan};
use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

const SETTINGS: &str = r#"{ "place": { "unavailable": "50%", "pools": { "pool": { "vms": 24,
  "services": { "order": { "repeatable": false, "timeout_ms": 20000 } } } } } }"#;

/// Number of concurrent callers; each sends its orders one after another.
const CALLERS: usize = 700;

/// Duration of the measurement.
const RUN_TIME: Duration = Duration::from_secs(6);

fn main() {
    let mut plan = plan(1, 24);
    plan.slots = 64;
    let site = Site::start(plan, &["hall-1", "hall-1"], SETTINGS);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let before = site.append_count();
    let done = runtime.block_on(send_orders(&site));
    let appends = site.append_count() - before;
    let seconds = RUN_TIME.as_secs_f64();
    println!(
        "claims: {:.0} orders/s done, {:.0} appends/s of 300",
        done as f64 / seconds,
        appends as f64 / seconds
    );
}

async fn send_orders(site: &Site) -> u64 {
    let http: Client<HttpConnector, Full<bytes::Bytes>> =
        Client::builder(TokioExecutor::new()).build(HttpConnector::new());
    let started = Instant::now();
    let done = Rc::new(Cell::new(0_u64));
    let mut calls = tokio::task::LocalSet::new();
    for caller in 0..CALLERS {
        let entry = site.entries[caller % site.entries.len()].editors;
        let (http, done) = (http.clone(), Rc::clone(&done));
        calls.spawn_local(async move {
            while started.elapsed() < RUN_TIME {
                let request = Request::post(format!("http://{entry}/v1/place/pool/order"))
                    .header("idempotency-key", new_key())
                    .body(Full::from("run=1"))
                    .expect("a well-formed request");
                if let Ok(answer) = http.request(request).await
                    && answer.status().is_success()
                    && answer.into_body().collect().await.is_ok()
                {
                    done.set(done.get() + 1);
                }
            }
        });
    }
    (&mut calls).await;
    done.get()
}
