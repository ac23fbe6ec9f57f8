//! The resources that a task needs and that a worker has.

use serde::{Deserialize, Serialize};

/// An amount of processor, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Need {
    /// Processor time, in thousandths of a core.
    pub cpu: u64,
    /// Memory in MB.
    pub memory: u64,
    /// The number of accelerators.
    pub gpu: u64,
}

/// One of the resources of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resource {
    /// Processor.
    Cpu,
    /// Memory.
    Memory,
    /// Accelerators.
    Gpu,
}

impl Resource {
    /// All resources. The processor comes first, so it is chosen unless another one is scarcer.
    const ALL: [Resource; 3] = [Resource::Cpu, Resource::Memory, Resource::Gpu];
}

impl Need {
    /// Returns the amount of one resource.
    pub fn of(self, resource: Resource) -> u64 {
        match resource {
            Resource::Cpu => self.cpu,
            Resource::Memory => self.memory,
            Resource::Gpu => self.gpu,
        }
    }

    /// Returns how many workers of the given capacity this amount of one resource fills; 0 if a worker has
    /// none of it.
    pub fn workers_of(self, resource: Resource, capacity: Need) -> f64 {
        match capacity.of(resource) {
            0 => 0.0,
            there => self.of(resource) as f64 / there as f64,
        }
    }

    /// Returns the resource of which this amount fills the most workers of the given capacity.
    pub fn scarcest(self, capacity: Need) -> Resource {
        let mut scarcest = Resource::Cpu;
        for resource in Resource::ALL {
            if self.workers_of(resource, capacity) > self.workers_of(scarcest, capacity) {
                scarcest = resource;
            }
        }
        scarcest
    }

    /// Returns the larger amount of each resource.
    pub fn max(self, other: Need) -> Need {
        Need {
            cpu: self.cpu.max(other.cpu),
            memory: self.memory.max(other.memory),
            gpu: self.gpu.max(other.gpu),
        }
    }

    /// Returns the smaller amount of each resource.
    pub fn min(self, other: Need) -> Need {
        Need {
            cpu: self.cpu.min(other.cpu),
            memory: self.memory.min(other.memory),
            gpu: self.gpu.min(other.gpu),
        }
    }

    /// Returns this amount multiplied by a factor.
    pub fn times(self, factor: f64) -> Need {
        let times = |amount: u64| (amount as f64 * factor) as u64;
        Need {
            cpu: times(self.cpu),
            memory: times(self.memory),
            gpu: times(self.gpu),
        }
    }

    /// Returns whether this amount fits into `capacity` beside `used`.
    pub fn fits(self, used: Need, capacity: Need) -> bool {
        let mut all = used;
        all.add(self);
        all.is_within(capacity)
    }

    /// Returns how many times this amount fits into another; `u64::MAX` if it is nothing.
    pub fn times_within(self, other: Need) -> u64 {
        let times = Resource::ALL.map(|resource| {
            let times = other.of(resource).checked_div(self.of(resource));
            times.unwrap_or(u64::MAX)
        });
        times.into_iter().min().unwrap_or(u64::MAX)
    }

    /// Returns whether this amount exceeds another in no resource.
    pub fn is_within(self, other: Need) -> bool {
        self.cpu <= other.cpu && self.memory <= other.memory && self.gpu <= other.gpu
    }

    /// Adds another amount, saturating since callers may ask for as much as a `u64` holds.
    pub fn add(&mut self, other: Need) {
        self.cpu = self.cpu.saturating_add(other.cpu);
        self.memory = self.memory.saturating_add(other.memory);
        self.gpu = self.gpu.saturating_add(other.gpu);
    }

    /// Returns the sum of amounts.
    pub fn sum(amounts: impl IntoIterator<Item = Need>) -> Need {
        let mut sum = Need::default();
        amounts.into_iter().for_each(|amount| sum.add(amount));
        sum
    }

    /// Subtracts another amount, stopping at 0.
    pub fn remove(&mut self, other: Need) {
        self.cpu = self.cpu.saturating_sub(other.cpu);
        self.memory = self.memory.saturating_sub(other.memory);
        self.gpu = self.gpu.saturating_sub(other.gpu);
    }
}
