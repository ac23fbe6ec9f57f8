//! The most that the workers of a service have to offer in a pass, by which tasks that fit nowhere are recognized
//! without a search.

use crate::{Need, Step, Worker};
use clock::Instant;
use std::collections::HashMap;

/// The largest amounts of each resource that any worker has, which need not be the same one.
#[derive(Clone, Copy, Debug, Default)]
struct Extent {
    /// The largest free amounts.
    free: Need,
    /// The largest amounts that are free once the runs that end by themselves have ended.
    freed: Need,
}

impl Extent {
    /// Takes a worker into account.
    fn include(&mut self, worker: &Worker) {
        let mut free = worker.info.capacity;
        free.remove(worker.used);
        self.free = self.free.max(free);
        self.freed = self.freed.max(worker.free_of_lasting());
    }
}

/// What the open workers of a service have to offer. In a pass runs are only added, so that what was found once stays an
/// upper limit until its end.
#[derive(Debug, Default)]
pub(crate) struct Headroom {
    /// The number of open workers.
    pub(crate) open: usize,
    /// The sum of what runs take on open workers.
    used: Need,
    /// The sum of what open workers have.
    total: Need,
    /// The extent of all open workers.
    all: Extent,
    /// The extent of the open workers with each label.
    by_label: HashMap<String, Extent>,
    /// The largest amounts that any worker of any service has; VMs move between services. A worker counts from its first
    /// answer on, since the list may name workers that never existed.
    largest: Need,
}

impl Headroom {
    /// Returns the headroom of a service, where `all` are the workers of all services.
    pub(crate) fn new<'w>(
        of_service: impl Iterator<Item = &'w Worker>,
        all: impl Iterator<Item = &'w Worker>,
        now: Instant,
    ) -> Self {
        let mut headroom = Headroom::default();
        for worker in of_service.filter(|worker| worker.is_open(now)) {
            headroom.open += 1;
            headroom.used.add(worker.used);
            headroom.total.add(worker.info.capacity);
            headroom.all.include(worker);
            for label in &worker.info.labels {
                match headroom.by_label.get_mut(label) {
                    Some(extent) => extent.include(worker),
                    None => headroom
                        .by_label
                        .entry(label.clone())
                        .or_default()
                        .include(worker),
                }
            }
        }
        let answered = all.filter(|worker| worker.last_seen.is_some());
        let capacities = answered.map(|worker| worker.info.capacity);
        headroom.largest = capacities.fold(Need::default(), Need::max);
        headroom
    }

    /// Returns the extent of the workers that may run a step; `None` if there are none.
    fn extent(&self, step: &Step) -> Option<&Extent> {
        match &step.label {
            Some(label) => self.by_label.get(label),
            None => (self.open > 0).then_some(&self.all),
        }
    }

    /// Returns whether a task of a step may fit on a worker now.
    pub(crate) fn may_fit(&self, step: &Step, need: Need) -> bool {
        self.extent(step)
            .is_some_and(|extent| need.is_within(extent.free))
    }

    /// Returns whether a task of a step may fit on a worker once the runs that end by themselves have ended.
    pub(crate) fn may_fit_later(&self, step: &Step, need: Need) -> bool {
        self.extent(step)
            .is_some_and(|extent| need.is_within(extent.freed))
    }

    /// Returns whether at least half of any resource of the service is in use.
    pub(crate) fn is_busy(&self) -> bool {
        let half_used = |used: u64, total: u64| total > 0 && used >= total / 2;
        half_used(self.used.cpu, self.total.cpu)
            || half_used(self.used.memory, self.total.memory)
            || half_used(self.used.gpu, self.total.gpu)
    }

    /// Returns whether a task may fit on some worker of any service, or none is known.
    pub(crate) fn may_fit_elsewhere(&self, need: Need) -> bool {
        self.largest == Need::default() || need.is_within(self.largest)
    }
}
