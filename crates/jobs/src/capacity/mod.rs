//! Computes how much work can run in a pool at which time.
//!
//! The owner describes each VM of a pool, once a second for its log. A [`Timeline`] turns this into the capacity
//! that finite work can use over time. It counts what long-running tasks leave, from the time at which each VM is
//! available. Finite runs are not subtracted, since what they still need is part of the work that the timeline
//! is compared with. [`tasks_at`] subtracts them.

mod mix;
mod timeline;

pub use mix::Mix;
pub use timeline::{Timeline, UsableCores};

use crate::Need;
use clock::Instant;

/// The largest capacity of a VM that is believed, in thousandths of a core, MB and accelerators: far more than any
/// machine has, and small enough that sums over all VMs do not overflow.
const MAX_CAPACITY: Need = Need {
    cpu: 100_000_000,
    memory: 1_000_000_000,
    gpu: 100_000,
};

/// When a VM can run new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// From now on.
    Now,
    /// From this time on: the VM is being moved to the pool, is in maintenance, or gets no new runs until then.
    From(Instant),
    /// Not at all: the VM is unreachable, draining, or in a drained data centre.
    Never,
}

/// A run that ends by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FiniteRun {
    /// The resources that it uses.
    pub need: Need,
    /// The time at which it is expected to end.
    pub ends: Instant,
}

/// A VM of a pool: its capacity and what uses it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmCapacity {
    /// The resources of the VM.
    pub capacity: Need,
    /// The resources that its long-running tasks use.
    pub long_running: Need,
    /// Its runs that end by themselves.
    pub finite: Vec<FiniteRun>,
    /// When it can run new work.
    pub availability: Availability,
}

/// The shape of the tasks of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    /// The resources that each task needs.
    pub need: Need,
    /// The limit of the step's tasks on one VM.
    pub max_per_vm: Option<u32>,
}

impl Shape {
    /// Returns how many tasks of this shape fit into an amount of free resources.
    pub fn tasks_in(self, room: Need) -> u64 {
        let limit = self.max_per_vm.map_or(u64::MAX, u64::from);
        count_in(self.need, room).min(limit)
    }
}

impl VmCapacity {
    /// Returns a VM that is available now and idle.
    pub fn idle(capacity: Need) -> Self {
        VmCapacity {
            capacity,
            long_running: Need::default(),
            finite: Vec::new(),
            availability: Availability::Now,
        }
    }

    /// Returns whether the capacity is one that a VM can have. Others are ignored.
    pub fn is_valid(&self) -> bool {
        self.capacity.cpu > 0 && self.capacity.is_within(MAX_CAPACITY)
    }

    /// Returns what long-running tasks leave to finite work.
    fn room(&self) -> Need {
        let mut room = self.capacity;
        room.remove(self.long_running);
        room
    }

    /// Returns what is free at a time.
    fn free_at(&self, at: Instant) -> Need {
        let mut free = self.room();
        let active = self.finite.iter().filter(|run| run.ends > at);
        active.for_each(|run| free.remove(run.need));
        free
    }

    /// Returns whether the VM can run new work at a time.
    fn is_available(&self, at: Instant) -> bool {
        match self.availability {
            Availability::Now => true,
            Availability::From(from) => from <= at,
            Availability::Never => false,
        }
    }
}

/// Returns how many tasks of a shape can be running at a time, beside the runs that have not ended by then.
pub fn tasks_at(vms: &[VmCapacity], shape: Shape, at: Instant) -> u64 {
    let available = vms.iter().filter(|vm| vm.is_valid() && vm.is_available(at));
    let counts = available.map(|vm| shape.tasks_in(vm.free_at(at)));
    counts.fold(0, u64::saturating_add)
}

/// Returns how many times an amount fits into another; `u64::MAX` for an amount of nothing.
fn count_in(need: Need, room: Need) -> u64 {
    let count = |need: u64, room: u64| room.checked_div(need).unwrap_or(u64::MAX);
    count(need.cpu, room.cpu)
        .min(count(need.memory, room.memory))
        .min(count(need.gpu, room.gpu))
}
