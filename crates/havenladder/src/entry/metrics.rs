//! Counters and latencies of an entry on the users' machines, in the text format of Prometheus.

use super::{
    gates::Gates,
    hall_metrics::{self, HallMetrics},
    logs::{self, queue::LogQueue},
    node::Node,
    traffic,
};
use adapter::traffic::Traffic;
use http_body_util::Full;
use hyper::Response;
use ingress::Reply;
use jobs::{HallId, HallStatus};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use std::{collections::BTreeMap, net::TcpListener, rc::Rc, time::Duration};
use tracing::{error, warn};

/// The port of the metrics, as configured in deploy/system.toml.
pub const PORT: u16 = 9_460;

/// Bucket bounds of the latencies, in seconds. A response usually takes 10 ms, and at most 3 s.
const BUCKETS_SECONDS: [f64; 10] = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 3.0];

/// The metrics of an entry, each of which is described in docs/OPERATIONS.md.
pub struct Metrics {
    registry: Registry,
    answers: Counter<u64>,
    answer_time: Histogram<f64>,
    starts: Counter<u64>,
    ends: Counter<u64>,
    lost_workers: Counter<u64>,
    lost_runs: Counter<u64>,
    failed_jobs: Counter<u64>,
    appends: Histogram<f64>,
    rounds: Histogram<f64>,
    lags: Histogram<f64>,
    foreign_entries: Counter<u64>,
    inconsistent_ends: Counter<u64>,
    restarted_workers: Counter<u64>,
    owners: Counter<u64>,
    suspensions: Counter<u64>,
    unauthorized: Counter<u64>,
    bound_waits: Counter<u64>,
    too_late: Counter<u64>,
    drained_runs: Counter<u64>,
    store_calls: Counter<u64>,
    resends: Counter<u64>,
    reads: Counter<u64>,
    vm_orders: Counter<u64>,
    halls: HallMetrics,
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Creates the metrics of this process. If the exporter cannot be registered, a warning is logged and the metrics
    /// stay empty.
    pub fn new(counters: &Traffic, queue: &LogQueue, gates: &Gates) -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build();
        let mut builder = SdkMeterProvider::builder();
        match exporter {
            Ok(exporter) => builder = builder.with_reader(exporter),
            Err(error) => warn!(%error, "metrics are not exported"),
        }
        let provider = builder.build();
        let meter = provider.meter("havenladder");
        traffic::export(&meter, counters);
        logs::export::export(&meter, queue);
        gates.export(&meter);
        let halls = HallMetrics::default();
        hall_metrics::export(&meter, &halls);
        let seconds = |name: &'static str| {
            meter
                .f64_histogram(name)
                .with_unit("s")
                .with_boundaries(BUCKETS_SECONDS.to_vec())
                .build()
        };
        Metrics {
            answers: meter.u64_counter("havenladder_answers").build(),
            answer_time: seconds("havenladder_answer_seconds"),
            starts: meter.u64_counter("havenladder_starts").build(),
            ends: meter.u64_counter("havenladder_ends").build(),
            lost_workers: meter.u64_counter("havenladder_lost_workers").build(),
            lost_runs: meter.u64_counter("havenladder_lost_runs").build(),
            failed_jobs: meter.u64_counter("havenladder_given_up").build(),
            appends: seconds("havenladder_append_seconds"),
            rounds: seconds("havenladder_round_seconds"),
            lags: seconds("havenladder_lag_seconds"),
            owners: meter.u64_counter("havenladder_ownerships").build(),
            foreign_entries: meter.u64_counter("havenladder_foreign_entries").build(),
            inconsistent_ends: meter.u64_counter("havenladder_odd_ends").build(),
            restarted_workers: meter.u64_counter("havenladder_restarted_workers").build(),
            suspensions: meter.u64_counter("havenladder_suspensions").build(),
            unauthorized: meter.u64_counter("havenladder_barred_calls").build(),
            bound_waits: meter.u64_counter("havenladder_bound_waits").build(),
            drained_runs: meter.u64_counter("havenladder_left_data_centres").build(),
            too_late: meter.u64_counter("havenladder_hopeless_jobs").build(),
            store_calls: meter.u64_counter("havenladder_store_calls").build(),
            resends: meter.u64_counter("havenladder_store_resends").build(),
            reads: meter.u64_counter("havenladder_store_reads").build(),
            vm_orders: meter.u64_counter("havenladder_vm_orders").build(),
            halls,
            registry,
            _provider: provider,
        }
    }

    /// Counts a response to a caller and records its latency.
    pub fn answered(&self, method: &'static str, status: u16, took: Duration) {
        let method = KeyValue::new("method", method);
        self.answer_time
            .record(took.as_secs_f64(), std::slice::from_ref(&method));
        self.answers
            .add(1, &[method, KeyValue::new("status", i64::from(status))]);
    }

    /// Counts a start that was sent to a worker.
    pub fn started(&self, outcome: &'static str) {
        self.starts.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts the end of a run.
    pub fn ended(&self, how: &'static str) {
        self.ends.add(1, &[KeyValue::new("how", how)]);
    }

    /// Counts a worker that was abandoned, and the runs that it had.
    pub fn lost_worker(&self, ending: &'static str, runs: usize) {
        let ending = [KeyValue::new("ending", ending)];
        self.lost_workers.add(1, &ending);
        self.lost_runs.add(runs as u64, &ending);
    }

    /// Counts a job that failed because one of its tasks crashes its workers.
    pub fn failed_job(&self) {
        self.failed_jobs.add(1, &[]);
    }

    /// Records how long it took until records were durable.
    pub fn appended(&self, took: Duration) {
        self.appends.record(took.as_secs_f64(), &[]);
    }

    /// Records how long the decisions of a round took.
    pub fn decided(&self, took: Duration) {
        self.rounds.record(took.as_secs_f64(), &[]);
    }

    /// Records by how much the owner woke too late from a sleep, which happens if it has more work than its share of
    /// a core allows.
    pub fn woke_late(&self, late: Duration) {
        self.lags.record(late.as_secs_f64(), &[]);
    }

    /// Counts that this entry gained or lost ownership of the cell.
    pub fn ownership_changed(&self, change: &'static str) {
        self.owners.add(1, &[KeyValue::new("change", change)]);
    }

    /// Counts an unusable entry in the list of workers.
    pub fn foreign_entry(&self, reason: &'static str) {
        self.foreign_entries
            .add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a run whose end contradicts its known state.
    pub fn inconsistent_end(&self, what: &'static str) {
        self.inconsistent_ends
            .add(1, &[KeyValue::new("what", what)]);
    }

    /// Counts a worker that has restarted under its id.
    pub fn restarted_worker(&self) {
        self.restarted_workers.add(1, &[]);
    }

    /// Counts a call that was not authorized by its key.
    pub fn unauthorized(&self, reason: &'static str) {
        self.unauthorized.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a job that was rejected because it would be done too late.
    pub fn rejected_too_late(&self) {
        self.too_late.add(1, &[]);
    }

    /// Counts runs that leave a data centre that is being drained.
    pub fn drained_runs(&self, runs: usize) {
        self.drained_runs.add(runs as u64, &[]);
    }

    /// Sets the state of each data centre and what runs there; none on an entry that does not own the cell.
    pub fn set_halls(&self, halls: BTreeMap<HallId, HallStatus>) {
        self.halls.set(halls);
    }

    /// Counts that a workspace has become blocked by its bound, or is no longer blocked.
    pub fn waited_for_bound(&self, begins: bool) {
        self.bound_waits.add(1, &[KeyValue::new("begins", begins)]);
    }

    /// Counts a suspension of the machine.
    pub fn suspended(&self) {
        self.suspensions.add(1, &[]);
    }

    /// Counts an append to the store, and how often it was resent.
    pub fn store_called(&self, matter: &'static str, outcome: &'static str, resends: u64) {
        let labels = [
            KeyValue::new("matter", matter),
            KeyValue::new("outcome", outcome),
        ];
        self.store_calls.add(1, &labels);
        self.resends
            .add(resends, &[KeyValue::new("matter", matter)]);
    }

    /// Counts a read of a topic of the store, or of the list of VMs.
    pub fn read(&self, what: &'static str) {
        self.reads.add(1, &[KeyValue::new("what", what)]);
    }

    /// Counts an order about a VM.
    pub fn ordered_vm(&self, operation: &'static str) {
        self.vm_orders.add(1, &[KeyValue::new("errand", operation)]);
    }

    /// Returns all metrics in the text format of Prometheus.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            warn!(%error, "metrics cannot be written");
        }
        text
    }
}

/// Serves the metrics over HTTP.
pub async fn listen(node: Rc<Node>, listener: TcpListener) {
    let gate = Rc::clone(&node.gates.metrics);
    let respond = move |_, _| respond(Rc::clone(&node));
    if let Err(error) = ingress::serve(gate, listener, |stream| stream, respond).await {
        error!(%error, "metrics are not served");
    }
}

/// Returns an HTTP response with the metrics.
async fn respond(node: Rc<Node>) -> Reply {
    Response::new(Full::new(node.metrics.text().into()))
}
