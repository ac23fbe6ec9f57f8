//! Pool in this data centre, with its workers, its queue and its retry budget.

use crate::{
    queue::Queue,
    retry::RetryBudget,
    worker::{Worker, WorkerInfo},
};
use protocol::{Capacity, VmId};
use rand::{Rng, rngs::SmallRng};
use std::{collections::BTreeMap, time::Instant};

/// Divisor that bounds ejections: at most one worker in three may be ejected at a time, but always one.
const MAX_EJECTED_DIVISOR: usize = 3;

/// Pool as this entry sees it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pool {
    pub(crate) workers: BTreeMap<VmId, Worker>,
    pub(crate) queue: Queue,
    pub(crate) retries: RetryBudget,
}

impl Pool {
    /// Replaces the set of workers. The state of workers that stay at the same address is kept.
    pub(crate) fn set_workers(&mut self, infos: Vec<WorkerInfo>) {
        let mut old = std::mem::take(&mut self.workers);
        for info in infos {
            let worker = match old.remove(&info.vm) {
                Some(mut worker) if worker.info.addr == info.addr => {
                    worker.info = info;
                    worker
                }
                _ => Worker::new(info),
            };
            self.workers.insert(worker.info.vm.clone(), worker);
        }
    }

    /// Chooses the less loaded of two free workers that are drawn at random, leaving out those in `tried`.
    pub(crate) fn choose(
        &self,
        now: Instant,
        tried: &[VmId],
        rng: &mut SmallRng,
    ) -> Option<&Worker> {
        let free: Vec<&Worker> = self
            .workers
            .values()
            .filter(|worker| worker.free(now) > 0 && !tried.contains(&worker.info.vm))
            .collect();
        let first = *free.get(draw(rng, free.len())?)?;
        let second = *free.get(draw(rng, free.len())?)?;
        Some(if second.load() < first.load() {
            second
        } else {
            first
        })
    }

    /// Returns whether any worker is free.
    pub(crate) fn has_free(&self, now: Instant) -> bool {
        self.workers.values().any(|worker| worker.free(now) > 0)
    }

    /// Returns the number of attempts that this entry has in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        self.workers.values().map(|worker| worker.in_flight).sum()
    }

    /// Returns whether one more worker may be ejected.
    pub(crate) fn may_eject(&self, now: Instant) -> bool {
        let ejected = self
            .workers
            .values()
            .filter(|worker| worker.health.is_ejected(now))
            .count();
        ejected < (self.workers.len() / MAX_EJECTED_DIVISOR).max(1) && self.workers.len() > 1
    }

    /// Returns the capacity that is reported to other data centres.
    pub(crate) fn capacity(&self, now: Instant) -> Capacity {
        let slots: u32 = self.workers.values().map(|worker| worker.info.slots).sum();
        let free: u32 = self.workers.values().map(|worker| worker.free(now)).sum();
        let waiting = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        Capacity {
            slots,
            taken: slots.saturating_sub(free).saturating_add(waiting),
        }
    }
}

fn draw(rng: &mut SmallRng, len: usize) -> Option<usize> {
    (len > 0).then(|| rng.random_range(0..len))
}
