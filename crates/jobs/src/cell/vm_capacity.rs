//! Describes the workers of a service as VMs of a pool: what they have, what uses it, and when they can get new runs.

use crate::{
    Cell, Need, Worker,
    capacity::{Availability, Mix, VmCapacity},
};
use clock::Instant;

impl Cell {
    /// Returns the capacity of a worker's VM, if the worker is known. Runs that end by themselves are left out, since a
    /// timeline does not subtract them.
    pub fn vm_capacity(&self, worker: &str, now: Instant) -> Option<VmCapacity> {
        let worker = self.workers.get(worker)?;
        Some(capacity_of(worker, now))
    }

    /// Returns the shapes of the tasks of a service that wait for capacity, weighted by their estimated work.
    pub fn waiting_mix(&self, service: &str) -> Mix {
        let mut mix = Mix::default();
        for rank in self.waiting.get(service).into_iter().flatten() {
            let task = rank.task();
            let step = self.jobs.get(&task.job).and_then(|job| job.find_step(task));
            if let Some(step) = step.filter(|step| !step.best_effort) {
                let cores = step.need.cpu as f64 / 1_000.0;
                mix.add(step.need, cores * step.estimate_ms as f64);
            }
        }
        mix
    }
}

/// Returns the capacity of a worker's VM without runs that end by themselves.
fn capacity_of(worker: &Worker, now: Instant) -> VmCapacity {
    let mut long_running = Need::default();
    if worker.long_running_runs > 0 {
        let loads = worker.runs.values().map(|state| state.load);
        let loads = loads.filter(|load| load.kind.is_long_running());
        loads.for_each(|load| long_running.add(load.need));
    }
    VmCapacity {
        capacity: worker.info.capacity,
        long_running,
        finite: Vec::new(),
        availability: availability_of(worker, now),
    }
}

/// Returns when a worker can get new runs.
fn availability_of(worker: &Worker, now: Instant) -> Availability {
    let stays = worker.may_start() && !worker.closed && worker.quarantine.is_none();
    match worker.excluded_until {
        _ if !stays || is_unreachable(worker) => Availability::Never,
        Some(until) if until > now => Availability::From(until),
        Some(_) | None => Availability::Now,
    }
}

/// Returns whether a worker was polled and does not respond. One that a new owner has not contacted yet counts as
/// reachable, since its VM would otherwise count as lost in the owner's first seconds.
fn is_unreachable(worker: &Worker) -> bool {
    !worker.responsive && worker.silent_since.is_some()
}
