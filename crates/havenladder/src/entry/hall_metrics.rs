//! Exports the state of each data centre and what runs there, as known to the owner of the cell. Entries that do not
//! own the cell export neither.

use jobs::{HallId, HallStatus};
use opentelemetry::{KeyValue, metrics::Meter};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
};

/// The data centres and their status, shared with the exporter.
#[derive(Clone, Default)]
pub struct HallMetrics(Arc<Mutex<BTreeMap<HallId, HallStatus>>>);

impl HallMetrics {
    /// Sets the status of all data centres; none on an entry that does not own the cell.
    pub fn set(&self, halls: BTreeMap<HallId, HallStatus>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = halls;
    }

    /// Calls a function with each data centre and its status.
    fn for_each(&self, mut observe: impl FnMut(KeyValue, &HallStatus)) {
        let halls = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        for (hall, status) in halls.iter() {
            observe(KeyValue::new("data_centre", hall.clone()), status);
        }
    }
}

/// Exports the gauges.
pub fn export(meter: &Meter, halls: &HallMetrics) {
    let states = halls.clone();
    meter
        .u64_observable_gauge("havenladder_data_centre_state")
        .with_callback(move |observer| {
            states.for_each(|hall, status| observer.observe(status.state.number(), &[hall]));
        })
        .build();
    let runs = halls.clone();
    meter
        .u64_observable_gauge("havenladder_data_centre_runs")
        .with_callback(move |observer| {
            runs.for_each(|hall, status| {
                for (kind, count) in status.runs.by_kind() {
                    let kind = KeyValue::new("kind", kind);
                    observer.observe(count as u64, &[hall.clone(), kind]);
                }
            });
        })
        .build();
}
