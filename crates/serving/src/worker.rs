//! Worker as this entry sees it, and the peers in other data centres.

use crate::health::Health;
use protocol::{Capacity, EntryId, PoolId, ServiceId, VmId};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Maximum time for which a worker that reported itself full gets no tasks.
const MAX_FULL_PAUSE: Duration = Duration::from_millis(200);

/// Properties of a worker that all entries agree on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerInfo {
    /// VM of the worker.
    pub vm: VmId,
    /// Address that the worker listens on.
    pub addr: String,
    /// Pool of the worker.
    pub pool: PoolId,
    /// Number of tasks that the worker runs at the same time.
    pub slots: u32,
}

/// Entry in another data centre to which requests can be forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Id of the entry.
    pub entry: EntryId,
    /// Address that the entry listens on for callers.
    pub addr: String,
    /// Capacity for each service in its data centre.
    pub capacity: BTreeMap<ServiceId, Capacity>,
}

/// Worker, with the attempts that this entry has in flight there.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) info: WorkerInfo,
    pub(crate) in_flight: u32,
    others: u32,
    full_until: Option<Instant>,
    pub(crate) health: Health,
}

impl Worker {
    pub(crate) fn new(info: WorkerInfo) -> Self {
        Self {
            info,
            in_flight: 0,
            others: 0,
            full_until: None,
            health: Health::default(),
        }
    }

    /// Records a delayed report of the number of all tasks that the worker runs.
    pub(crate) fn report(&mut self, running: u32) {
        self.others = running.saturating_sub(self.in_flight);
    }

    /// Records a refusal of the worker. The worker gets no tasks for about the time in which one slot becomes
    /// free.
    pub(crate) fn refuse(&mut self, now: Instant, mean: Duration) {
        let pause = mean / self.info.slots.max(1);
        self.full_until = Some(now + pause.clamp(Duration::from_millis(1), MAX_FULL_PAUSE));
    }

    /// Returns the number of free slots, as far as this entry knows.
    pub(crate) fn free(&self, now: Instant) -> u32 {
        let blocked =
            self.full_until.is_some_and(|until| now < until) || self.health.is_ejected(now);
        if blocked || (self.health.is_on_trial(now) && self.in_flight > 0) {
            return 0;
        }
        self.info.slots.saturating_sub(self.in_flight + self.others)
    }

    /// Returns the load, in tasks per slot, by which two workers are compared.
    pub(crate) fn load(&self) -> f64 {
        f64::from(self.in_flight + self.others) / f64::from(self.info.slots.max(1))
    }
}
