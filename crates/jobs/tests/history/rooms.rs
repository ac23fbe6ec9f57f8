//! Rooms that shrink and grow while workers run, at workers that do not guard them.

use super::History;
use crate::fixture::worker;
use havenladder_jobs::{Need, WorkerId, WorkerInfo};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::collections::BTreeMap;

/// The cores of a worker whose room has not changed.
const CORES: u64 = 4;

/// The rooms, with a source of chance of their own: histories without them stay as they are.
pub(super) struct Rooms {
    rng: StdRng,
    cores: BTreeMap<WorkerId, u64>,
}

impl Rooms {
    pub(super) fn new(seed: u64) -> Self {
        Rooms {
            rng: StdRng::seed_from_u64(!seed),
            cores: BTreeMap::new(),
        }
    }
}

impl History {
    /// What a worker says of itself.
    pub(super) fn entry(&self, name: &str) -> WorkerInfo {
        let cpu = self.room(name).unwrap_or(CORES * 1_000);
        let capacity = Need {
            cpu,
            ..worker(name).capacity
        };
        WorkerInfo {
            id: WorkerId::new(name, self.born(name)),
            capacity,
            ..worker(name)
        }
    }

    /// The room of a worker that does not guard it, in thousandths of a core; none where workers do.
    pub(super) fn room(&self, id: &str) -> Option<u64> {
        let rooms = self.rooms.as_ref()?;
        Some(rooms.cores.get(id).copied().unwrap_or(CORES) * 1_000)
    }

    /// Now and then the room of a worker changes, and its entry says so.
    pub(super) fn change_rooms(&mut self) {
        let (now, calm) = (self.now, self.now >= super::CALM);
        let Some(rooms) = &mut self.rooms else {
            return;
        };
        if self.hosts.is_empty() || !rooms.rng.random_ratio(1, 20) {
            return;
        }
        let place = rooms.rng.random_range(0..self.hosts.len());
        let cores = match calm {
            true => CORES,
            false => rooms.rng.random_range(0..=CORES + 2),
        };
        let Some(id) = self.hosts.keys().nth(place).cloned() else {
            return;
        };
        rooms.cores.insert(id.clone(), cores);
        let entry = self.entry(&id);
        self.cell
            .upsert_worker(entry, self.start + std::time::Duration::from_millis(now));
    }
}
