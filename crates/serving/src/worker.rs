//! One worker as this entry sees it, and the peers of other halls.

use crate::health::Health;
use protocol::{EntryId, PoolId, Room, ServiceId, VmId};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// The longest time for which a worker that said it was full is left alone.
const LONGEST_FULL: Duration = Duration::from_millis(200);

/// What is agreed about a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerInfo {
    /// Its VM.
    pub vm: VmId,
    /// Where it listens.
    pub addr: String,
    /// Its pool.
    pub pool: PoolId,
    /// Tasks that it runs at once.
    pub slots: u32,
}

/// An entry of another hall to which requests can be passed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The entry.
    pub entry: EntryId,
    /// Where it listens for callers.
    pub addr: String,
    /// Room for each service in its hall.
    pub capacity: BTreeMap<ServiceId, Room>,
}

/// A worker and what this entry has in flight there.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) info: WorkerInfo,
    pub(crate) own: u32,
    others: u32,
    full: Option<Instant>,
    pub(crate) health: Health,
}

impl Worker {
    pub(crate) fn new(info: WorkerInfo) -> Self {
        Self {
            info,
            own: 0,
            others: 0,
            full: None,
            health: Health::default(),
        }
    }

    /// Takes in a lagging report of all tasks that the worker runs.
    pub(crate) fn report(&mut self, running: u32) {
        self.others = running.saturating_sub(self.own);
    }

    /// Notes that the worker refused; it is left alone for about the time of one free slot.
    pub(crate) fn refuse(&mut self, now: Instant, mean: Duration) {
        let pause = mean / self.info.slots.max(1);
        self.full = Some(now + pause.clamp(Duration::from_millis(1), LONGEST_FULL));
    }

    /// Slots that are free as far as this entry can tell.
    pub(crate) fn free(&self, now: Instant) -> u32 {
        let blocked = self.full.is_some_and(|until| now < until) || self.health.is_ejected(now);
        if blocked || (self.health.is_on_trial(now) && self.own > 0) {
            return 0;
        }
        self.info.slots.saturating_sub(self.own + self.others)
    }

    /// Load that two workers are compared by: tasks for each slot.
    pub(crate) fn load(&self) -> f64 {
        f64::from(self.own + self.others) / f64::from(self.info.slots.max(1))
    }
}
