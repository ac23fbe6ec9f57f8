//! The capacity of a pool for finite work over time, as a step function.

use super::{Availability, Mix, Shape, VmCapacity, mix::packed_cpu};
use crate::Need;
use clock::Instant;
use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

/// How far ahead a VM's availability is believed. Moves and maintenance take seconds.
const HORIZON: Duration = Duration::from_secs(60);

/// A day in ms. Work that takes longer has no useful forecast.
const DAY_MS: f64 = 86_400_000.0;

/// VMs with the same room that become available at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Slot {
    from: Instant,
    room: Need,
    count: u64,
}

/// What the VMs of a pool leave to finite work, and from when on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timeline {
    taken_at: Instant,
    slots: Vec<Slot>,
}

impl Timeline {
    /// Creates the timeline of a pool. VMs that are never available, or whose capacity or time cannot be right, do not
    /// count; a time in the past means now.
    pub fn new<'v>(taken_at: Instant, vms: impl IntoIterator<Item = &'v VmCapacity>) -> Self {
        let mut counts: HashMap<(Instant, u64, u64, u64), u64> = HashMap::new();
        for vm in vms.into_iter().filter(|vm| vm.is_valid()) {
            let from = match vm.availability {
                Availability::Now => taken_at,
                Availability::From(from) if from <= taken_at + HORIZON => from.max(taken_at),
                Availability::From(_) | Availability::Never => continue,
            };
            let Need { cpu, memory, gpu } = vm.room();
            *counts.entry((from, cpu, memory, gpu)).or_default() += 1;
        }
        let slot = |((from, cpu, memory, gpu), count)| Slot {
            from,
            room: Need { cpu, memory, gpu },
            count,
        };
        let mut slots: Vec<Slot> = counts.into_iter().map(slot).collect();
        // The order of a hash map differs between runs, and sums of floating-point numbers depend on it.
        slots.sort_by_key(|slot| (slot.from, slot.room.cpu, slot.room.memory, slot.room.gpu));
        Timeline { taken_at, slots }
    }

    /// Returns when the state of the VMs was taken.
    pub fn taken_at(&self) -> Instant {
        self.taken_at
    }

    /// Returns whether no VM is known that is or becomes available.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Returns the cores that a mix of work can use over time.
    pub fn usable(&self, mix: &Mix) -> UsableCores {
        let shapes = mix.shapes();
        let mut gains: BTreeMap<Instant, u64> = BTreeMap::new();
        for slot in &self.slots {
            let cpu = packed_cpu(&shapes, slot.room).saturating_mul(slot.count);
            let gain = gains.entry(slot.from).or_default();
            *gain = gain.saturating_add(cpu);
        }
        let mut sum = 0_u64;
        let steps = gains.into_iter().map(|(from, gain)| {
            sum = sum.saturating_add(gain);
            (from, sum as f64 / 1_000.0)
        });
        UsableCores {
            steps: steps.collect(),
        }
    }

    /// Returns the earliest time at which a VM is available that has room for a task of a shape beside its
    /// long-running tasks.
    pub fn first_fit(&self, shape: Shape) -> Option<Instant> {
        let fits = |slot: &&Slot| shape.tasks_in(slot.room) > 0;
        self.slots.iter().find(fits).map(|slot| slot.from)
    }
}

/// Usable cores over time: each step lasts until the next one, the last one forever.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UsableCores {
    /// The start and the number of cores of each step, in order of time.
    steps: Vec<(Instant, f64)>,
}

impl UsableCores {
    /// Returns the number of cores at a time; 0 before the first step.
    pub fn at(&self, at: Instant) -> f64 {
        let begun = self.steps.iter().take_while(|(from, _)| *from <= at);
        begun.last().map_or(0.0, |(_, cores)| *cores)
    }

    /// Returns the steps, each with its start and its number of cores.
    pub fn steps(&self) -> &[(Instant, f64)] {
        &self.steps
    }

    /// Returns when an amount of work, in cores times ms, is done if it has all cores; `None` if never or not within
    /// a day.
    pub fn done_at(&self, work: f64) -> Option<Instant> {
        let mut left = work.max(0.0);
        for (index, (from, cores)) in self.steps.iter().enumerate() {
            let next = self.steps.get(index + 1).map(|(next, _)| *next);
            let length = next.map(|next| (next - *from).as_secs_f64() * 1_000.0);
            let offered = length.map(|length| length * cores);
            if offered.is_none_or(|offered| offered >= left) && *cores > 0.0 {
                let ms = left / cores;
                return (ms < DAY_MS).then(|| *from + Duration::from_secs_f64(ms / 1_000.0));
            }
            left -= offered.unwrap_or(0.0);
        }
        None
    }
}
