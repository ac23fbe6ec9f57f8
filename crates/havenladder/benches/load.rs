//! Compares goodput at 0.5, 1, 2 and 4 times capacity with a baseline that queues first in, first
//! out and picks workers at random, in one run.

#[path = "../tests/site/mod.rs"]
mod site;

use havenladder_standin::load::{Destination, RequestKind, Tally, offer};
use site::{Site, plan};
use std::time::Duration;

/// Duration of each run.
const RUN_TIME: Duration = Duration::from_secs(6);

/// Longest time in microseconds that counts as an immediate refusal. A slower one means that the
/// request had been queued before it was refused.
const MAX_IMMEDIATE_US: u64 = 10_000;

const SETTINGS: &str = r#"{ "place": { "unavailable": "50%", "pools": { "pool": { "vms": 4,
  "services": {
    "preview": { "class": "preview" }, "layout": {}, "proof": { "class": "large" }
  } } } } }"#;

/// Returns three classes of requests that share the same workers. Within a class, run times vary by
/// a factor of ten, and no request declares its run time.
fn kinds(load_factor: f64, slots: f64) -> Vec<RequestKind> {
    let kind = |service: &str, low: f64, share: f64, patience: u64| {
        let mut kind = RequestKind {
            service: format!("place/pool/{service}"),
            pool: "place/pool".into(),
            rate: 0.0,
            run_ms: (low, low * 10.0),
            patience: Duration::from_millis(patience),
        };
        kind.rate = load_factor * slots * share / kind.mean_run();
        kind
    };
    vec![
        kind("preview", 10.0, 0.5, 500),
        kind("layout", 30.0, 0.3, 1_500),
        kind("proof", 100.0, 0.2, 4_000),
    ]
}

fn main() {
    let site = Site::start(plan(1, 4), &["hall-1", "hall-1"], SETTINGS);
    let entries: Vec<_> = site.entries.iter().map(|entry| entry.editors).collect();
    let workers = site.worker_addresses();
    let slots = workers.len() * 8;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    println!(
        "load  way       class    offered   good  share  refused   lost  p99-good  p99-refusal"
    );
    for load_factor in [0.5, 1.0, 2.0, 4.0] {
        let kinds = kinds(load_factor, slots as f64);
        let baseline = Destination::Baseline {
            workers: workers.clone(),
            slots,
        };
        for (name, way) in [
            ("entries", Destination::Entries(entries.clone())),
            ("baseline", baseline),
        ] {
            let tallies = runtime.block_on(offer(way, &kinds, RUN_TIME, 7));
            report(load_factor, name, &kinds, &tallies);
        }
    }
}

fn report(load_factor: f64, name: &str, kinds: &[RequestKind], tallies: &[Tally]) {
    let mut work = 0.0;
    for (kind, tally) in kinds.iter().zip(tallies) {
        let class = kind.service.rsplit('/').next().unwrap_or_default();
        let ms = |histogram: &hdrhistogram::Histogram<u64>| {
            histogram.value_at_quantile(0.99) as f64 / 1e3
        };
        println!(
            "{load_factor:>4}  {name:<9} {class:<8} {:>7} {:>6} {:>6.3} {:>8} {:>6} {:>7.1}ms {:>9.2}ms {:>8.3}",
            tally.offered,
            tally.good,
            tally.good as f64 / tally.offered.max(1) as f64,
            tally.refused,
            tally.lost,
            ms(&tally.good_us),
            ms(&tally.refused_us),
            1.0 - tally.refused_us.count_between(0, MAX_IMMEDIATE_US) as f64
                / tally.refused.max(1) as f64
        );
        work += tally.good as f64 * kind.mean_run();
    }
    let good: u64 = tallies.iter().map(|tally| tally.good).sum();
    println!(
        "{load_factor:>4}  {name:<9} all: good {good} ({:.0}/s), good work {work:.1} slot-seconds",
        good as f64 / RUN_TIME.as_secs_f64()
    );
}
