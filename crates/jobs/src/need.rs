//! What a task needs of a worker, and what a worker has.

use serde::{Deserialize, Serialize};

/// An amount of processor, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Need {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Memory in MB.
    pub memory: u64,
    /// Accelerators.
    pub gpu: u64,
}

/// One of the things that a worker has an amount of.
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
    /// All of them; the processor first, which counts where nothing else is scarcer.
    const ALL: [Resource; 3] = [Resource::Cpu, Resource::Memory, Resource::Gpu];
}

impl Need {
    /// The amount of one resource.
    pub fn of(self, resource: Resource) -> u64 {
        match resource {
            Resource::Cpu => self.cpu,
            Resource::Memory => self.memory,
            Resource::Gpu => self.gpu,
        }
    }

    /// How many workers with this room an amount of one resource fills; none where a worker has none of it.
    pub fn workers_of(self, resource: Resource, room: Need) -> f64 {
        match room.of(resource) {
            0 => 0.0,
            there => self.of(resource) as f64 / there as f64,
        }
    }

    /// The resource of which this fills the most workers with such room.
    pub fn scarcest(self, room: Need) -> Resource {
        let mut scarcest = Resource::Cpu;
        for resource in Resource::ALL {
            if self.workers_of(resource, room) > self.workers_of(scarcest, room) {
                scarcest = resource;
            }
        }
        scarcest
    }

    /// The larger of two amounts, of each resource.
    pub fn max(self, other: Need) -> Need {
        Need {
            cpu: self.cpu.max(other.cpu),
            memory: self.memory.max(other.memory),
            gpu: self.gpu.max(other.gpu),
        }
    }

    /// The smaller of both, resource by resource.
    pub fn min(self, other: Need) -> Need {
        Need {
            cpu: self.cpu.min(other.cpu),
            memory: self.memory.min(other.memory),
            gpu: self.gpu.min(other.gpu),
        }
    }

    /// So many times this amount.
    pub fn times(self, factor: f64) -> Need {
        let times = |amount: u64| (amount as f64 * factor) as u64;
        Need {
            cpu: times(self.cpu),
            memory: times(self.memory),
            gpu: times(self.gpu),
        }
    }

    /// Whether this still fits into `capacity` beside `used`.
    pub fn fits(self, used: Need, capacity: Need) -> bool {
        let mut all = used;
        all.add(self);
        all.is_within(capacity)
    }

    /// Whether this asks for no more than another amount, in anything.
    pub fn is_within(self, other: Need) -> bool {
        self.cpu <= other.cpu && self.memory <= other.memory && self.gpu <= other.gpu
    }

    /// Adds another amount; callers may ask for as much as a number holds.
    pub fn add(&mut self, other: Need) {
        self.cpu = self.cpu.saturating_add(other.cpu);
        self.memory = self.memory.saturating_add(other.memory);
        self.gpu = self.gpu.saturating_add(other.gpu);
    }

    /// The sum of amounts.
    pub fn sum(amounts: impl IntoIterator<Item = Need>) -> Need {
        let mut sum = Need::default();
        amounts.into_iter().for_each(|amount| sum.add(amount));
        sum
    }

    /// Takes another amount away.
    pub fn remove(&mut self, other: Need) {
        self.cpu = self.cpu.saturating_sub(other.cpu);
        self.memory = self.memory.saturating_sub(other.memory);
        self.gpu = self.gpu.saturating_sub(other.gpu);
    }
}
