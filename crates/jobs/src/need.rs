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

impl Need {
    /// Whether this still fits into `capacity` beside `used`.
    pub fn fits(self, used: Need, capacity: Need) -> bool {
        used.cpu + self.cpu <= capacity.cpu
            && used.memory + self.memory <= capacity.memory
            && used.gpu + self.gpu <= capacity.gpu
    }

    /// Whether this asks for no more than another amount, in anything.
    pub fn is_within(self, other: Need) -> bool {
        self.cpu <= other.cpu && self.memory <= other.memory && self.gpu <= other.gpu
    }

    /// Adds another amount.
    pub fn add(&mut self, other: Need) {
        self.cpu += other.cpu;
        self.memory += other.memory;
        self.gpu += other.gpu;
    }

    /// Takes another amount away.
    pub fn remove(&mut self, other: Need) {
        self.cpu = self.cpu.saturating_sub(other.cpu);
        self.memory = self.memory.saturating_sub(other.memory);
        self.gpu = self.gpu.saturating_sub(other.gpu);
    }
}
