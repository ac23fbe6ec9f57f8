//! The workers of a cell, indexed by id and by service.

use crate::{ServiceId, Worker, WorkerId, WorkerInfo};
use std::{collections::HashMap, sync::Arc};

/// An index into the table of workers.
type Slot = usize;

/// The workers of a cell.
///
/// Each decision iterates over the workers of one service only. With 1,100 workers in five services,
/// iterating over all of them for each task took a third of an owner's decision time. Workers are iterated in
/// the order in which they were added, as long as none has been removed.
#[derive(Debug, Default)]
pub struct Workers {
    /// The workers. A removed worker leaves a free slot, which the next one takes.
    slots: Vec<Option<Worker>>,
    /// The free slots.
    free_slots: Vec<Slot>,
    /// The slot of each worker.
    slots_by_id: HashMap<WorkerId, Slot>,
    /// The slots of the workers of each service.
    slots_by_service: HashMap<ServiceId, Vec<Slot>>,
}

impl Workers {
    /// Returns a worker.
    pub fn get(&self, id: &str) -> Option<&Worker> {
        let slot = *self.slots_by_id.get(id)?;
        self.slots[slot].as_ref()
    }

    /// Returns a worker for modification; its service and id must not change.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Worker> {
        let slot = *self.slots_by_id.get(id)?;
        self.slots[slot].as_mut()
    }

    /// Adds a worker and replaces one with the same id.
    pub fn insert(&mut self, worker: Worker) {
        let id = worker.info.id.clone();
        self.remove(&id);
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        let service_slots = self
            .slots_by_service
            .entry(worker.info.service.clone())
            .or_default();
        service_slots.push(slot);
        self.slots[slot] = Some(worker);
        self.slots_by_id.insert(id, slot);
    }

    /// Removes a worker.
    pub fn remove(&mut self, id: &str) -> Option<Worker> {
        let slot = self.slots_by_id.remove(id)?;
        let worker = self.slots[slot].take()?;
        if let Some(service_slots) = self.slots_by_service.get_mut(&worker.info.service) {
            service_slots.retain(|other| *other != slot);
        }
        self.free_slots.push(slot);
        Some(worker)
    }

    /// Replaces the description of a known worker by the one in its latest entry.
    pub fn update(&mut self, info: WorkerInfo) {
        let Some(worker) = self.get_mut(&info.id) else {
            return;
        };
        if *worker.info == info {
            // Most entries of the list only confirm that the worker is running.
        } else if worker.info.service == info.service {
            worker.info = Arc::new(info);
        } else if let Some(mut worker) = self.remove(&info.id) {
            worker.info = Arc::new(info);
            self.insert(worker);
        }
    }

    /// Returns all workers.
    pub fn values(&self) -> impl Iterator<Item = &Worker> {
        self.slots.iter().flatten()
    }

    /// Returns all workers for modification; their services and ids must not change.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Worker> {
        self.slots.iter_mut().flatten()
    }

    /// Returns the ids of all workers.
    pub fn keys(&self) -> impl Iterator<Item = &WorkerId> {
        self.values().map(|worker| &worker.info.id)
    }

    /// Returns the number of workers of a service.
    pub fn count_of(&self, service: &str) -> usize {
        self.slots_by_service.get(service).map_or(0, Vec::len)
    }

    /// Returns the workers of a service.
    pub fn of(&self, service: &str) -> impl Iterator<Item = &Worker> {
        let service_slots = self.slots_by_service.get(service).into_iter().flatten();
        service_slots.filter_map(|slot| self.slots[*slot].as_ref())
    }
}
