//! Until when leases that earlier owners gave may hold.

use crate::WorkerName;
use clock::Instant;
use std::{collections::HashMap, time::Duration};

/// The maximum number of workers that a release names. A name takes some 20 bytes in the record.
const MAX_NAMED: usize = 500;

/// Until when leases that earlier owners gave may hold, for workers that this owner has not contacted. Another
/// incarnation than the intended one may have accepted any call that no report has confirmed, and on its clock the
/// lease lasts as long as a worker grants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InheritedLeases {
    /// The time for all workers that are not named.
    others: Instant,
    /// The times for workers whose leases may hold longer.
    named: HashMap<WorkerName, Instant>,
}

/// For how long leases may hold after a release, as its record says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RemainingLeases {
    /// The time for all workers that are not named.
    pub others: Duration,
    /// The times for workers whose leases may hold longer.
    pub named: Vec<(WorkerName, Duration)>,
}

impl InheritedLeases {
    /// Returns the leases that hold until the same time on all workers.
    pub fn until(others: Instant) -> Self {
        InheritedLeases {
            others,
            named: HashMap::new(),
        }
    }

    /// Returns the leases that hold for these times from `now` on, after a release, and at least for `usual`.
    pub fn remaining(leases: &RemainingLeases, usual: Duration, now: Instant) -> Self {
        let named = leases.named.iter();
        InheritedLeases {
            others: now + leases.others.max(usual),
            named: named
                .map(|(name, left)| (name.clone(), now + *left))
                .collect(),
        }
    }

    /// Returns until when leases on a worker may hold.
    pub fn of(&self, worker: &str) -> Instant {
        let named = self.named.get(worker).copied();
        named.map_or(self.others, |until| until.max(self.others))
    }

    /// Returns until when leases on any worker may hold.
    pub fn latest(&self) -> Instant {
        self.named.values().copied().fold(self.others, Instant::max)
    }

    /// Returns for how long leases hold from `now` on if the owner ends then. `held` are the workers that it knows,
    /// each with the time until which its lease may hold. A lease that ends within `usual`, the time for which every
    /// next owner waits, is not named.
    pub fn at_release(
        &self,
        held: impl IntoIterator<Item = (WorkerName, Instant)>,
        usual: Duration,
        now: Instant,
    ) -> RemainingLeases {
        let left = |until: Instant| until.saturating_duration_since(now);
        let others = left(self.others);
        let mut named: HashMap<WorkerName, Duration> = HashMap::new();
        let inherited = self
            .named
            .iter()
            .map(|(name, until)| (name.clone(), *until));
        for (name, until) in inherited.chain(held) {
            if left(until) > usual.max(others) {
                let longest = named.entry(name).or_default();
                *longest = left(until).max(*longest);
            }
        }
        if named.len() > MAX_NAMED {
            return RemainingLeases {
                others: named.into_values().max().unwrap_or_default(),
                named: Vec::new(),
            };
        }
        RemainingLeases {
            others,
            named: named.into_iter().collect(),
        }
    }
}
