//! Logs and exports what an entry exchanges with each party.

use super::owner::{Owner, loop_stats::LOG_INTERVAL};
use adapter::traffic::{Party, Traffic, Volume};
use opentelemetry::{KeyValue, metrics::Meter};
use std::{fmt::Write, rc::Rc};
use tokio::time;
use tracing::info;

/// Logs, until the owner ends, what it exchanges with each party.
pub async fn log(owner: Rc<Owner>) {
    let traffic = owner.node.client.traffic();
    let volumes = || Party::ALL.map(|party| traffic.volume(party));
    let mut last = volumes();
    while owner.is_alive() {
        time::sleep(LOG_INTERVAL).await;
        let now = volumes();
        let changes = Party::ALL
            .into_iter()
            .zip(now.into_iter().zip(last).map(|(now, last)| now.since(last)));
        let starts = owner.node.dispatch();
        info!(
            bytes = describe(changes),
            waiting = starts.waiting,
            rate = starts.rate as u64,
            "owner's traffic"
        );
        last = now;
    }
}

/// Describes what was exchanged with each party that there was any exchange with: bytes sent and received, and
/// connections.
fn describe(volumes: impl Iterator<Item = (Party, Volume)>) -> String {
    let mut text = String::new();
    for (party, volume) in volumes.filter(|(_, volume)| *volume != Volume::default()) {
        let Volume {
            sent,
            received,
            connections,
        } = volume;
        // Writing to a string does not fail.
        let _ = write!(text, "{}: {sent} {received} {connections}; ", party.name());
    }
    text
}

/// Exports the counters.
pub fn export(meter: &Meter, traffic: &Traffic) {
    let bytes = traffic.clone();
    meter
        .u64_observable_counter("havenladder_network_bytes")
        .with_callback(move |observer| {
            for party in Party::ALL {
                let volume = bytes.volume(party);
                let labels = |direction| {
                    [
                        KeyValue::new("party", party.name()),
                        KeyValue::new("direction", direction),
                    ]
                };
                observer.observe(volume.sent, &labels("sent"));
                observer.observe(volume.received, &labels("received"));
            }
        })
        .build();
    let connections = traffic.clone();
    meter
        .u64_observable_counter("havenladder_connections")
        .with_callback(move |observer| {
            for party in Party::ALL {
                let label = KeyValue::new("party", party.name());
                observer.observe(connections.volume(party).connections, &[label]);
            }
        })
        .build();
}
