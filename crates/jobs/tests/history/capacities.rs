//! Capacities of workers that change at run time, on workers that do not enforce them.

use super::History;
use crate::fixture::worker;
use havenladder_jobs::{Need, WorkerId, WorkerInfo};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::collections::BTreeMap;

/// Number of cores of a worker whose capacity has not changed.
const CORES: u64 = 4;

/// The capacities, with a random number generator of their own, so that histories without changes stay the same.
pub(super) struct Capacities {
    rng: StdRng,
    cores: BTreeMap<WorkerId, u64>,
}

impl Capacities {
    pub(super) fn new(seed: u64) -> Self {
        Capacities {
            rng: StdRng::seed_from_u64(!seed),
            cores: BTreeMap::new(),
        }
    }
}

impl History {
    /// Returns the list entry that a worker writes about itself.
    pub(super) fn entry(&self, name: &str) -> WorkerInfo {
        let cpu = self.unenforced_capacity(name).unwrap_or(CORES * 1_000);
        let capacity = Need {
            cpu,
            ..worker(name).capacity
        };
        WorkerInfo {
            id: WorkerId::new(name, self.started_at(name)),
            capacity,
            ..worker(name)
        }
    }

    /// Returns the capacity of a worker that does not enforce it, in thousandths of a core; `None` if workers
    /// enforce it.
    pub(super) fn unenforced_capacity(&self, id: &str) -> Option<u64> {
        let capacities = self.capacities.as_ref()?;
        Some(capacities.cores.get(id).copied().unwrap_or(CORES) * 1_000)
    }

    /// Changes the capacity of a worker at random times and applies its new entry.
    pub(super) fn change_capacities(&mut self) {
        let (now, faults_ended) = (self.now, self.now >= super::FAULTS_END_MS);
        let Some(capacities) = &mut self.capacities else {
            return;
        };
        if self.hosts.is_empty() || !capacities.rng.random_ratio(1, 20) {
            return;
        }
        let place = capacities.rng.random_range(0..self.hosts.len());
        let cores = match faults_ended {
            true => CORES,
            false => capacities.rng.random_range(0..=CORES + 2),
        };
        let Some(id) = self.hosts.keys().nth(place).cloned() else {
            return;
        };
        capacities.cores.insert(id.clone(), cores);
        let entry = self.entry(&id);
        self.cell
            .upsert_worker(entry, self.start + std::time::Duration::from_millis(now));
    }
}
