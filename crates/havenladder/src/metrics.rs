//! Metrics recorded with `opentelemetry` and exported in the text format of Prometheus.

use crate::ended_clients;
use ingress::Counters;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use std::time::Duration;

/// Metrics of an entry; docs/OPERATIONS.md describes them.
pub struct Metrics {
    registry: Registry,
    requests: Counter<u64>,
    latency: Histogram<f64>,
    attempts: Counter<u64>,
    proposals: Counter<u64>,
    applied: Counter<u64>,
    offset: Gauge<u64>,
    in_progress: Gauge<u64>,
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Creates the metrics of this process, with the counters of its listeners by their names.
    ///
    /// # Errors
    ///
    /// Returns an error when the exporter cannot be registered.
    pub fn new(listeners: Vec<(&'static str, Counters)>) -> Result<Self, String> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|error| error.to_string())?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("havenladder");
        ended_clients::export(&meter, listeners);
        Ok(Self {
            requests: meter.u64_counter("havenladder_requests").build(),
            latency: meter
                .f64_histogram("havenladder_request_seconds")
                .with_unit("s")
                .build(),
            attempts: meter.u64_counter("havenladder_attempts").build(),
            proposals: meter.u64_counter("havenladder_proposals").build(),
            applied: meter.u64_counter("havenladder_records_applied").build(),
            offset: meter.u64_gauge("havenladder_fleet_offset").build(),
            in_progress: meter.u64_gauge("havenladder_requests_in_progress").build(),
            registry,
            _provider: provider,
        })
    }

    /// Records a request that has ended, with its outcome and duration.
    pub fn request(&self, service: &str, outcome: &'static str, took: Duration) {
        let service = KeyValue::new("service", service.to_owned());
        let labels = [service, KeyValue::new("outcome", outcome)];
        self.requests.add(1, &labels);
        self.latency.record(took.as_secs_f64(), &labels);
    }

    /// Counts an attempt that has ended.
    pub fn attempt(&self, end: &'static str) {
        self.attempts.add(1, &[KeyValue::new("end", end)]);
    }

    /// Counts a proposal and its outcome.
    pub fn proposal(&self, outcome: &'static str) {
        self.proposals.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records the number of applied log records and the next offset to apply.
    pub fn applied(&self, records: u64, next: u64) {
        self.applied.add(records, &[]);
        self.offset.record(next, &[]);
    }

    /// Records the number of requests without an outcome.
    pub fn in_progress(&self, requests: usize) {
        self.in_progress.record(requests as u64, &[]);
    }

    /// Returns all metrics in the text format of Prometheus.
    pub fn text(&self) -> String {
        let mut text = Vec::new();
        let written = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        if written.is_err() {
            return String::new();
        }
        String::from_utf8(text).unwrap_or_default()
    }
}
