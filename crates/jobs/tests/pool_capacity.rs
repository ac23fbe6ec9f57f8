//! Property tests of the capacity of a pool over time.

use clock::Instant;
use havenladder_jobs::{
    Need,
    capacity::{Availability, FiniteRun, Mix, Shape, Timeline, VmCapacity, tasks_at},
};
use proptest::prelude::*;
use std::time::Duration;

/// Returns an amount of processor and memory.
fn need(cpu: u64, memory: u64) -> Need {
    Need {
        cpu,
        memory,
        gpu: 0,
    }
}

/// Returns the time `ms` after `base`.
fn after(base: Instant, ms: u64) -> Instant {
    base + Duration::from_millis(ms)
}

/// A VM by its capacity, its long-running usage, the ends of its runs of 1 core and its availability in ms.
type VmSeed = ((u64, u64), u64, Vec<u64>, Option<u64>);

fn vm_seed() -> impl Strategy<Value = VmSeed> {
    (
        (1..9_u64, 1..9_u64),
        0..5_u64,
        prop::collection::vec(0..4_000_u64, 0..3),
        prop::option::weighted(0.8, 0..3_000_u64),
    )
}

fn vm_of(base: Instant, seed: &VmSeed) -> VmCapacity {
    let ((cpu, memory), long_running, ends, from) = seed;
    let run = |ms: &u64| FiniteRun {
        need: need(1, 1),
        ends: after(base, *ms),
    };
    VmCapacity {
        capacity: need(*cpu, *memory),
        long_running: need(*long_running, *long_running),
        finite: ends.iter().map(run).collect(),
        availability: from.map_or(Availability::Never, |ms| {
            Availability::From(after(base, ms))
        }),
    }
}

fn vms_of(base: Instant, seeds: &[VmSeed]) -> Vec<VmCapacity> {
    seeds.iter().map(|seed| vm_of(base, seed)).collect()
}

/// Returns what is free on each VM that is available at a time.
fn free_at(vms: &[VmCapacity], at: Instant) -> Vec<Need> {
    let available = vms.iter().filter(|vm| match vm.availability {
        Availability::Now => true,
        Availability::From(from) => from <= at,
        Availability::Never => false,
    });
    let free = available.map(|vm| {
        let mut free = vm.capacity;
        free.remove(vm.long_running);
        let active = vm.finite.iter().filter(|run| run.ends > at);
        active.for_each(|run| free.remove(run.need));
        free
    });
    free.collect()
}

/// Returns the largest number of tasks that any assignment to the VMs places, with at most `limit` on each.
fn exhaustive(rooms: &mut [(Need, u32)], task: Need) -> u64 {
    let mut best = 0;
    for index in 0..rooms.len() {
        let (room, left) = rooms[index];
        if left > 0 && task.is_within(room) {
            let mut next = room;
            next.remove(task);
            rooms[index] = (next, left - 1);
            best = best.max(1 + exhaustive(rooms, task));
            rooms[index] = (room, left);
        }
    }
    best
}

/// Returns the most processor that any selection of tasks of these shapes uses in a room.
fn most_cpu(shapes: &[Need], room: Need) -> u64 {
    let fitting = shapes.iter().filter(|shape| shape.is_within(room));
    let used = fitting.map(|shape| {
        let mut left = room;
        left.remove(*shape);
        shape.cpu + most_cpu(shapes, left)
    });
    used.max().unwrap_or(0)
}

proptest! {
    /// Guards against a count that differs from what the scheduler could place.
    #[test]
    fn the_number_of_tasks_is_that_of_exhaustive_packing(
        seeds in prop::collection::vec(vm_seed(), 0..3),
        (cpu, memory) in (1..4_u64, 1..4_u64),
        limit in prop::option::of(0..3_u32),
        ms in 0..4_000_u64,
    ) {
        let base = Instant::now();
        let vms = vms_of(base, &seeds);
        let at = after(base, ms);
        let shape = Shape { need: need(cpu, memory), max_per_vm: limit };
        let free = free_at(&vms, at);
        let mut rooms: Vec<(Need, u32)> =
            free.into_iter().map(|room| (room, limit.unwrap_or(8))).collect();
        prop_assert_eq!(tasks_at(&vms, shape, at), exhaustive(&mut rooms, shape.need));
    }

    /// Guards against usable cores that no packing reaches, and against a single shape that is packed with gaps.
    #[test]
    fn usable_cores_never_exceed_the_best_packing(
        seeds in prop::collection::vec(vm_seed(), 0..4),
        shapes in prop::collection::vec((1..5_u64, 1..5_u64, 1..100_u32), 1..4),
        ms in 0..4_000_u64,
    ) {
        let base = Instant::now();
        let mut vms = vms_of(base, &seeds);
        vms.iter_mut().for_each(|vm| vm.finite.clear());
        let at = after(base, ms);
        let mut mix = Mix::default();
        // One shape of each class of size, since the members of a class count with their mean.
        let mut needs: Vec<Need> = Vec::new();
        for (cpu, memory, work) in shapes {
            let class = |amount: u64| amount.ilog2();
            let known = |other: &Need| {
                class(other.cpu) == class(cpu) && class(other.memory) == class(memory)
            };
            if !needs.iter().any(known) {
                needs.push(need(cpu, memory));
                mix.add(need(cpu, memory), f64::from(work));
            }
        }
        let best: u64 = free_at(&vms, at).into_iter().map(|room| most_cpu(&needs, room)).sum();
        let usable = Timeline::new(base, &vms).usable(&mix).at(at);
        let best = best as f64 / 1_000.0;
        prop_assert!(usable <= best + 1e-9, "{} of {}", usable, best);
        if let [one] = needs.as_slice() {
            let tasks = tasks_at(&vms, Shape { need: *one, max_per_vm: None }, at);
            let cores = (tasks * one.cpu) as f64 / 1_000.0;
            prop_assert!((usable - cores).abs() < 1e-9, "{} is not {}", usable, cores);
        }
    }

    /// Guards against a forecast that gets worse when the pool gets a VM.
    #[test]
    fn one_more_vm_never_means_less(
        seeds in prop::collection::vec(vm_seed(), 0..6),
        more in vm_seed(),
        shapes in prop::collection::vec((1..6_u64, 1..6_u64, 1..100_u32), 0..4),
        work in 0..200_u32,
        ms in 0..4_000_u64,
    ) {
        let base = Instant::now();
        let few = vms_of(base, &seeds);
        let mut many = few.clone();
        many.push(vm_of(base, &more));
        let mut mix = Mix::default();
        for (cpu, memory, work) in shapes {
            mix.add(need(cpu, memory), f64::from(work));
        }
        let at = after(base, ms);
        let shape = Shape { need: need(2, 1), max_per_vm: None };
        prop_assert!(tasks_at(&many, shape, at) >= tasks_at(&few, shape, at));
        let (few, many) = (Timeline::new(base, &few), Timeline::new(base, &many));
        if let Some(early) = few.first_fit(shape) {
            prop_assert!(many.first_fit(shape).is_some_and(|at| at <= early));
        }
        let (few, many) = (few.usable(&mix), many.usable(&mix));
        prop_assert!(many.at(at) >= few.at(at));
        if let Some(early) = few.done_at(f64::from(work)) {
            prop_assert!(many.done_at(f64::from(work)).is_some_and(|at| at <= early));
        }
    }

    /// Guards against the end of an amount of work that does not match the cores that it has until then.
    #[test]
    fn work_is_done_once_the_cores_have_provided_it(
        seeds in prop::collection::vec(vm_seed(), 1..6),
        work in 1..100_u32,
    ) {
        let base = Instant::now();
        let usable = Timeline::new(base, &vms_of(base, &seeds)).usable(&Mix::default());
        let Some(done) = usable.done_at(f64::from(work)) else {
            prop_assert_eq!(usable.at(after(base, 10_000)), 0.0);
            return Ok(());
        };
        let steps = usable.steps();
        let provided: f64 = steps.iter().enumerate().map(|(index, (from, cores))| {
            let until = steps.get(index + 1).map_or(done, |(next, _)| (*next).min(done));
            until.saturating_duration_since(*from).as_secs_f64() * 1_000.0 * cores
        }).sum();
        prop_assert!((provided - f64::from(work)).abs() < 0.01, "{} of {}", provided, work);
    }
}

/// Guards against invalid input that makes the computation panic, loop or count what is not there.
#[test]
fn invalid_capacities_and_times_change_nothing() {
    let base = Instant::now();
    let good = VmCapacity::idle(need(4_000, 4_000));
    let of = |capacity: Need, availability: Availability| VmCapacity {
        availability,
        ..VmCapacity::idle(capacity)
    };
    let far = Availability::From(base + Duration::from_secs(86_400 * 365));
    let past = Availability::From(base - Duration::from_secs(5));
    let invalid = [
        of(need(0, 4_000), Availability::Now),
        of(need(u64::MAX, u64::MAX), Availability::Now),
        of(need(4_000, 4_000), far),
    ];
    let mut mix = Mix::default();
    mix.add(need(1, 0), 10.0);
    mix.add(need(u64::MAX, u64::MAX), f64::INFINITY);
    mix.add(need(u64::MAX, u64::MAX), 10.0);
    let valid = [good.clone(), of(need(4_000, 4_000), past)];
    let all: Vec<VmCapacity> = valid.iter().chain(&invalid).cloned().collect();
    let (valid, all) = (Timeline::new(base, &valid), Timeline::new(base, &all));
    assert_eq!(valid, all);
    assert_eq!(all.usable(&mix).at(base), 8.0);
    assert_eq!(all.usable(&mix).done_at(f64::INFINITY), None);
    assert_eq!(all.usable(&mix).done_at(f64::NAN), Some(base));
}
