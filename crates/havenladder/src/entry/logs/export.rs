//! Exports how many log lines were left out.

use super::{kind::LogKind, queue::LogQueue};
use opentelemetry::{KeyValue, metrics::Meter};

/// Exports the counters of lines that were left out, by kind.
pub fn export(meter: &Meter, queue: &LogQueue) {
    let queue = queue.clone();
    meter
        .u64_observable_counter("havenladder_log_lines_dropped")
        .with_callback(move |observer| {
            for (kind, count) in LogKind::ALL.into_iter().zip(queue.dropped()) {
                observer.observe(count, &[KeyValue::new("kind", kind.name())]);
            }
        })
        .build();
}
