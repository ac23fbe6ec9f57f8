//! Until when leases that earlier owners gave may hold.

use crate::{WorkerId, WorkerName};
use clock::Instant;
use std::{
    collections::{HashMap, hash_map::Entry},
    time::Duration,
};

/// The maximum number of workers that a release names. A name takes some 40 bytes in the record.
const MAX_NAMED: usize = 500;

/// Until when leases that earlier owners gave may hold, for workers that this owner has not contacted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InheritedLeases {
    /// The time for all workers without a time of their own.
    others: Instant,
    /// The times for workers whose leases may hold longer.
    known: HashMap<WorkerName, Instant>,
    /// The incarnations that the last owner knew, with the times until which runs may exist at another one.
    unasked: HashMap<WorkerName, (WorkerId, Instant)>,
}

/// For how long leases may hold after a release, as its record says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RemainingLeases {
    /// The time for all workers without a time of their own.
    pub others: Duration,
    /// The times for workers whose leases may hold longer.
    pub known: Vec<(WorkerName, Duration)>,
    /// The incarnations that had been sent starts and not reported them yet. Another incarnation may have accepted
    /// these, on whose clock a lease lasts as long as a worker grants; the times say until when.
    pub unasked: Vec<(WorkerId, Duration)>,
}

/// What an owner knows of the leases on workers.
#[derive(Clone, Debug, Default)]
pub struct HeldLeases {
    /// The times until which leases of incarnations may hold.
    pub known: Vec<(WorkerId, Instant)>,
    /// The times until which unreported runs of incarnations may exist at others.
    pub unasked: Vec<(WorkerId, Instant)>,
}

impl InheritedLeases {
    /// Returns the leases that hold until the same time on all workers.
    pub fn until(others: Instant) -> Self {
        InheritedLeases {
            others,
            known: HashMap::new(),
            unasked: HashMap::new(),
        }
    }

    /// Returns the leases that hold for these times from `now` on, after a release, and at least for `usual`.
    pub fn remaining(leases: &RemainingLeases, usual: Duration, now: Instant) -> Self {
        let known = leases.known.iter();
        let unasked = leases.unasked.iter();
        InheritedLeases {
            others: now + leases.others.max(usual),
            known: known
                .map(|(name, left)| (name.clone(), now + *left))
                .collect(),
            unasked: unasked
                .map(|(id, left)| (id.name().to_owned(), (id.clone(), now + *left)))
                .collect(),
        }
    }

    /// Returns until when leases on a worker may hold that no incarnation has answered for.
    pub fn of(&self, worker: &str) -> Instant {
        let known = self.of_known(worker);
        let unasked = self.unasked.get(worker);
        unasked.map_or(known, |(_, until)| known.max(*until))
    }

    /// Returns until when leases on a worker may hold once an incarnation has answered that the last owner knew: no
    /// other one has accepted calls of that owner. Returns `None` if the answer excludes no lease.
    pub fn of_known_answer(&self, incarnation: &WorkerId) -> Option<Instant> {
        let (known, _) = self.unasked.get(incarnation.name())?;
        (known == incarnation).then(|| self.of_known(incarnation.name()))
    }

    /// Returns until when leases may hold on the incarnation of a worker that the last owner knew.
    fn of_known(&self, worker: &str) -> Instant {
        let known = self.known.get(worker);
        known.map_or(self.others, |until| self.others.max(*until))
    }

    /// Returns until when leases on any worker may hold.
    pub fn latest(&self) -> Instant {
        let unasked = self.unasked.values().map(|(_, until)| *until);
        let known = self.known.values().copied();
        known.chain(unasked).fold(self.others, Instant::max)
    }

    /// Returns for how long leases hold from `now` on if the owner ends then, given what it knows itself. Leases that
    /// end within `usual`, the time for which every next owner waits, are left out.
    pub fn at_release(&self, held: HeldLeases, usual: Duration, now: Instant) -> RemainingLeases {
        let left = |until: Instant| until.saturating_duration_since(now);
        let others = left(self.others);
        let is_long = |until: &Instant| left(*until) > usual.max(others);
        let mut known: HashMap<WorkerName, Instant> = HashMap::new();
        // What is known of a watched incarnation includes what the owner has inherited.
        let is_watched = |id: &WorkerId| held.known.iter().any(|(own, _)| own == id);
        let unwatched = self.unasked.values().filter(|(id, _)| !is_watched(id));
        let unwatched: Vec<(WorkerName, Instant)> = unwatched
            .map(|(id, until)| (id.name().to_owned(), *until))
            .collect();
        let own = held.known.into_iter();
        let own = own.map(|(id, until)| (id.name().to_owned(), until));
        let inherited = self
            .known
            .iter()
            .map(|(name, until)| (name.clone(), *until));
        let all = inherited.chain(unwatched).chain(own);
        for (name, until) in all.filter(|(_, until)| is_long(until)) {
            let longest = known.entry(name).or_insert(until);
            *longest = until.max(*longest);
        }
        let mut unasked: HashMap<WorkerName, (WorkerId, Instant)> = HashMap::new();
        for (id, until) in held.unasked.into_iter().filter(|(_, until)| is_long(until)) {
            match unasked.entry(id.name().to_owned()) {
                // Starts were sent to two incarnations, so that either may have accepted those of the other.
                Entry::Occupied(other) => {
                    let (_, other) = other.remove();
                    let longest = known.entry(id.name().to_owned()).or_insert(until);
                    *longest = until.max(other).max(*longest);
                }
                Entry::Vacant(first) => drop(first.insert((id, until))),
            }
        }
        if known.len() + unasked.len() > MAX_NAMED {
            let all = known.into_values();
            let all = all.chain(unasked.into_values().map(|(_, until)| until));
            return RemainingLeases {
                others: all.map(left).fold(others, Duration::max),
                ..RemainingLeases::default()
            };
        }
        let known = known.into_iter();
        RemainingLeases {
            others,
            known: known.map(|(name, until)| (name, left(until))).collect(),
            unasked: unasked
                .into_values()
                .map(|(id, until)| (id, left(until)))
                .collect(),
        }
    }
}
