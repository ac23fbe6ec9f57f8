//! The workers of a cell, found by id and by service.

use crate::{ServiceId, Worker, WorkerId, WorkerInfo};
use std::{collections::HashMap, sync::Arc};

/// Where a worker stands in the table.
type Slot = usize;

/// The workers of a cell.
///
/// Each decision looks at the workers of one service only; with 1,100 workers of five services, walking
/// over all of them for each task took a third of an owner's decisions. The order of a walk is that in which
/// the workers came, as far as none has gone.
#[derive(Debug, Default)]
pub struct Workers {
    /// The workers; one that has gone leaves a gap for the next that comes.
    slots: Vec<Option<Worker>>,
    /// The gaps.
    free: Vec<Slot>,
    /// Where each worker stands.
    places: HashMap<WorkerId, Slot>,
    /// Where the workers of each service stand.
    pools: HashMap<ServiceId, Vec<Slot>>,
}

impl Workers {
    /// A worker.
    pub fn get(&self, id: &str) -> Option<&Worker> {
        let slot = *self.places.get(id)?;
        self.slots[slot].as_ref()
    }

    /// A worker, to be changed; its service and id must stay as they are.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Worker> {
        let slot = *self.places.get(id)?;
        self.slots[slot].as_mut()
    }

    /// Adds a worker, in place of one with the same id.
    pub fn insert(&mut self, worker: Worker) {
        let id = worker.info.id.clone();
        self.remove(&id);
        let slot = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        let pool = self.pools.entry(worker.info.service.clone()).or_default();
        pool.push(slot);
        self.slots[slot] = Some(worker);
        self.places.insert(id, slot);
    }

    /// Takes a worker out.
    pub fn remove(&mut self, id: &str) -> Option<Worker> {
        let slot = self.places.remove(id)?;
        let worker = self.slots[slot].take()?;
        if let Some(pool) = self.pools.get_mut(&worker.info.service) {
            pool.retain(|other| *other != slot);
        }
        self.free.push(slot);
        Some(worker)
    }

    /// Takes in what the list now says of a worker that is there.
    pub fn update(&mut self, info: WorkerInfo) {
        let Some(worker) = self.get_mut(&info.id) else {
            return;
        };
        if *worker.info == info {
            // Most entries of the list only say that the worker lives.
        } else if worker.info.service == info.service {
            worker.info = Arc::new(info);
        } else if let Some(mut worker) = self.remove(&info.id) {
            worker.info = Arc::new(info);
            self.insert(worker);
        }
    }

    /// All workers.
    pub fn values(&self) -> impl Iterator<Item = &Worker> {
        self.slots.iter().flatten()
    }

    /// All workers, to be changed; their services and ids must stay as they are.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Worker> {
        self.slots.iter_mut().flatten()
    }

    /// The ids of all workers.
    pub fn keys(&self) -> impl Iterator<Item = &WorkerId> {
        self.values().map(|worker| &worker.info.id)
    }

    /// The workers of a service.
    pub fn of(&self, service: &str) -> impl Iterator<Item = &Worker> {
        let pool = self.pools.get(service).into_iter().flatten();
        pool.filter_map(|slot| self.slots[*slot].as_ref())
    }
}
