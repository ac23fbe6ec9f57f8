//! Exports how many connections and requests of clients were ended, and why.

use ingress::Counters;
use opentelemetry::{KeyValue, metrics::Meter};

/// Exports the counters of listeners, each with its name.
pub fn export(meter: &Meter, listeners: Vec<(&'static str, Counters)>) {
    meter
        .u64_observable_counter("havenladder_ended_clients")
        .with_callback(move |observer| {
            for (listener, counters) in &listeners {
                for (ending, count) in counters.all() {
                    let labels = [
                        KeyValue::new("listener", *listener),
                        KeyValue::new("reason", ending.name()),
                    ];
                    observer.observe(count, &labels);
                }
            }
        })
        .build();
}
