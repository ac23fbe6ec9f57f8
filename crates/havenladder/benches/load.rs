//! Goodput at 0.5, 1, 2 and 4 times capacity, beside a first-in-first-out baseline with random
//! workers, in one run.

#[path = "../tests/site/mod.rs"]
mod site;

use havenladder_standin::load::{Kind, Tally, Way, offer};
use site::{Site, plan};
use std::time::Duration;

/// Time of each run.
const TIME: Duration = Duration::from_secs(6);

/// A refusal that takes longer was given up on while it waited, in microseconds.
const LATE_US: u64 = 10_000;

const SETTINGS: &str = r#"{ "place": { "unavailable": "50%", "pools": { "pool": { "vms": 4,
  "services": {
    "preview": { "class": "preview" }, "layout": {}, "proof": { "class": "large" }
  } } } } }"#;

/// Three classes on the same workers; runs differ tenfold from one another and nothing declares
/// them.
fn kinds(times: f64, slots: f64) -> Vec<Kind> {
    let kind = |service: &str, low: f64, share: f64, patience: u64| {
        let mut kind = Kind {
            service: format!("place/pool/{service}"),
            pool: "place/pool".into(),
            rate: 0.0,
            run_ms: (low, low * 10.0),
            patience: Duration::from_millis(patience),
        };
        kind.rate = times * slots * share / kind.mean_run();
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
    for times in [0.5, 1.0, 2.0, 4.0] {
        let kinds = kinds(times, slots as f64);
        let baseline = Way::Baseline {
            workers: workers.clone(),
            slots,
        };
        for (name, way) in [
            ("entries", Way::Entries(entries.clone())),
            ("baseline", baseline),
        ] {
            let tallies = runtime.block_on(offer(way, &kinds, TIME, 7));
            report(times, name, &kinds, &tallies);
        }
    }
}

fn report(times: f64, name: &str, kinds: &[Kind], tallies: &[Tally]) {
    let mut work = 0.0;
    for (kind, tally) in kinds.iter().zip(tallies) {
        let class = kind.service.rsplit('/').next().unwrap_or_default();
        let ms = |histogram: &hdrhistogram::Histogram<u64>| {
            histogram.value_at_quantile(0.99) as f64 / 1e3
        };
        println!(
            "{times:>4}  {name:<9} {class:<8} {:>7} {:>6} {:>6.3} {:>8} {:>6} {:>7.1}ms {:>9.2}ms {:>8.3}",
            tally.offered,
            tally.good,
            tally.good as f64 / tally.offered.max(1) as f64,
            tally.refused,
            tally.lost,
            ms(&tally.good_us),
            ms(&tally.refused_us),
            1.0 - tally.refused_us.count_between(0, LATE_US) as f64 / tally.refused.max(1) as f64,
        );
        work += tally.good as f64 * kind.mean_run();
    }
    let good: u64 = tallies.iter().map(|tally| tally.good).sum();
    println!(
        "{times:>4}  {name:<9} all: good {good} ({:.0}/s), good work {work:.1} slot-seconds",
        good as f64 / TIME.as_secs_f64()
    );
}
