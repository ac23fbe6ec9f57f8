//! The volume of an entry's log output at a peak.
//!
//! Guards against an owner whose lines of single runs exceed what the platform keeps of its output: the platform then
//! lost the summary lines for seconds and truncated others, and no line said so.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

mod log_recorder;

use log_recorder::{
    BURST_INTERVAL, BURST_LINES, PEAK_TIME, Recorder, count_messages, log_peak, log_to,
    logs::{
        export::export,
        kind::{KIND_COUNT, LogKind, RUN, WORKER},
        queue::LogQueue,
        writer::MAX_LINES_PER_SECOND,
    },
};
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use std::{
    fmt,
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};
use tracing::{debug, info, warn};

/// Maximum time from logging a summary line to its output; a flush is due every 100 ms, and
/// lines were missing for 4 s and more.
const MAX_SUMMARY_DELAY: Duration = Duration::from_millis(1_500);

/// Maximum number of lines that the platform keeps within half a second.
const MAX_HALF_SECOND_LINES: usize = 250;

#[test]
fn a_peak_of_run_lines_neither_delays_nor_suppresses_a_summary_line() {
    let recorder = Recorder::default();
    let mut logged = Vec::new();
    let queue = log_to(recorder.clone(), || logged = log_peak());
    let lines = recorder.lines();
    let written: Vec<_> = lines
        .iter()
        .filter(|(_, line)| line["message"] == "pool")
        .collect();
    assert_eq!(written.len(), logged.len());
    for (time, line) in written {
        let number = line["number"].as_u64().unwrap() as usize;
        let delay = time.duration_since(logged[number]);
        assert!(delay < MAX_SUMMARY_DELAY, "{line} after {delay:?}");
    }
    let counts = count_messages(&lines);
    assert!(
        counts["started"] > 0,
        "run lines use what is left: {counts:?}"
    );
    assert_eq!(queue.dropped()[LogKind::State as usize], 0);
}

#[test]
fn the_bound_holds_over_any_second_and_summaries_pass_a_flood_of_warnings() {
    let recorder = Recorder::default();
    let begin = Instant::now();
    let mut summaries = 0;
    log_to(recorder.clone(), || {
        while begin.elapsed() < PEAK_TIME {
            for number in 0..BURST_LINES {
                warn!(number, "cannot decode");
                info!(target: WORKER, number, "worker listed");
            }
            summaries += 1;
            info!("owner's rounds");
            thread::sleep(BURST_INTERVAL);
        }
    });
    let most = recorder.max_lines_within(Duration::from_secs(1));
    assert!(most <= MAX_LINES_PER_SECOND, "{most} lines in a second");
    assert!(most > MAX_LINES_PER_SECOND / 2, "{most} lines in a second");
    let most = recorder.max_lines_within(Duration::from_millis(500));
    assert!(
        most <= MAX_HALF_SECOND_LINES,
        "{most} lines in half a second"
    );
    assert_eq!(
        count_messages(&recorder.lines())["owner's rounds"],
        summaries
    );
}

#[test]
fn what_was_left_out_is_counted_by_kind_and_reported_once_a_second() {
    let recorder = Recorder::default();
    let queue = log_to(recorder.clone(), || {
        log_peak();
        debug!("not enabled, so neither written nor left out");
    });
    let lines = recorder.lines();
    let counts = count_messages(&lines);
    let reports: Vec<_> = lines
        .iter()
        .filter(|(_, line)| line["message"] == "log lines dropped")
        .collect();
    let mut reported = [0; KIND_COUNT];
    for (_, report) in &reports {
        let kinds = report["kinds"].as_object().unwrap();
        let total: u64 = kinds.values().map(|count| count.as_u64().unwrap()).sum();
        assert_eq!(report["count"], total, "{report}");
        assert!(
            report["timestamp"].as_str().unwrap().ends_with('Z'),
            "{report}"
        );
        for kind in LogKind::ALL {
            reported[kind as usize] += kinds.get(kind.name()).map_or(0, |n| n.as_u64().unwrap());
        }
    }
    assert_eq!(reported, queue.dropped());
    let dropped = |kind| queue.dropped()[kind as usize];
    let bursts = counts["accepted"] + dropped(LogKind::Job);
    let runs = counts["started"] + dropped(LogKind::Run);
    assert_eq!(runs, bursts * BURST_LINES);
    assert_eq!(counts["append"] + dropped(LogKind::Request), bursts);
    assert!(dropped(LogKind::Run) > runs / 2, "{counts:?}");
    assert_eq!(dropped(LogKind::Debug), 0);
    // The last report is written when the process ends and need not keep the interval.
    for pair in reports[..reports.len() - 1].windows(2) {
        let interval = pair[1].0.duration_since(pair[0].0);
        assert!(interval >= Duration::from_millis(990), "{interval:?}");
    }
}

#[test]
fn the_metric_counts_what_was_left_out_by_kind() {
    let registry = Registry::new();
    let exporter = opentelemetry_prometheus::exporter();
    let exporter = exporter.with_registry(registry.clone()).build().unwrap();
    let provider = SdkMeterProvider::builder().with_reader(exporter).build();
    let queue = LogQueue::default();
    export(&provider.meter("test"), &queue);
    for _ in 0..LogKind::Run.max_queued() + 7 {
        queue.push(LogKind::Run, b"{}\n".to_vec());
    }
    let mut text = Vec::new();
    TextEncoder::new()
        .encode(&registry.gather(), &mut text)
        .unwrap();
    let text = String::from_utf8(text).unwrap();
    let value = |kind: &str| {
        let lines = text
            .lines()
            .filter(|line| line.starts_with("havenladder_log_lines_dropped"));
        let mut lines = lines.filter(|line| line.contains(&format!("kind=\"{kind}\"")));
        lines
            .next()
            .and_then(|line| line.rsplit(' ').next())
            .map(str::to_owned)
    };
    assert_eq!(value("run").as_deref(), Some("7"), "{text}");
    assert_eq!(value("state").as_deref(), Some("0"), "{text}");
}

#[test]
fn lines_keep_their_order_within_a_kind() {
    let recorder = Recorder::default();
    log_to(recorder.clone(), || {
        log_peak();
    });
    let lines = recorder.lines();
    for message in ["started", "accepted", "append", "VM order sent", "pool"] {
        let numbers = lines.iter().filter(|(_, line)| line["message"] == message);
        let numbers: Vec<_> = numbers.map(|(_, line)| line["number"].as_u64()).collect();
        assert!(numbers.is_sorted(), "{message}: {numbers:?}");
    }
}

/// A value that counts how often it is formatted.
struct Formatted<'a>(&'a Mutex<u64>);

impl fmt::Debug for Formatted<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        *self.0.lock().unwrap() += 1;
        f.write_str("formatted")
    }
}

#[test]
fn a_line_that_is_left_out_is_not_formatted() {
    let (formatted, recorder) = (Mutex::new(0), Recorder::default());
    let queue = log_to(recorder.clone(), || {
        for _ in 0..10_000 {
            info!(target: RUN, value = ?Formatted(&formatted), "started");
        }
    });
    let dropped = queue.dropped()[LogKind::Run as usize];
    assert!(dropped > 5_000, "{dropped}");
    let queued = *formatted.lock().unwrap();
    assert!(queued < 5_000, "{queued} lines were formatted");
}
