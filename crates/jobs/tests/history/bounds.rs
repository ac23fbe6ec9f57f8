//! Workspaces with bounds that change, and owners that learn of it late; checked by what workers run.

use super::{History, LEASE, TICK, host::Running};
use havenladder_jobs::{Bound, JobId, Need, WorkspaceId};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::collections::{BTreeMap, VecDeque};

/// The workspaces.
const NAMES: [&str; 3] = ["a", "b", "c"];

/// The longest time until the owner hears of a change, in ms.
const DELAY: u64 = 400;

/// For how long an order may be carried out that was given under an earlier bound: it carries the end of its lease.
const ORDERS: u64 = LEASE;

/// A bound.
#[derive(Clone, Copy)]
struct Change {
    /// When the owner hears of it.
    heard: u64,
    cores: u64,
}

/// The bounds, with a source of chance of their own: histories without them stay as they are.
pub(super) struct Bounds {
    rng: StdRng,
    /// The bounds of each workspace, oldest first.
    changes: BTreeMap<&'static str, VecDeque<Change>>,
    /// Whose each job is.
    owners: BTreeMap<JobId, &'static str>,
}

impl Bounds {
    pub(super) fn new(seed: u64) -> Self {
        let first = Change { heard: 0, cores: 4 };
        Bounds {
            rng: StdRng::seed_from_u64(seed ^ 0xb0),
            changes: NAMES.map(|name| (name, VecDeque::from([first]))).into(),
            owners: BTreeMap::new(),
        }
    }
}

/// A bound of so many cores; 0 lets nothing start.
fn bound(cores: u64) -> Bound {
    match cores {
        0 => Bound::CLOSED,
        cores => Bound::new(Need {
            cpu: cores * 1_000,
            ..Need::default()
        }),
    }
}

impl History {
    /// Which workspace hands in a job; none on histories without them, and now and then.
    pub(super) fn choose_workspace(&mut self, job: JobId) -> Option<WorkspaceId> {
        let bounds = self.bounds.as_mut()?;
        let name = NAMES.get(bounds.rng.random_range(0..=NAMES.len()))?;
        bounds.owners.insert(job, name);
        Some((*name).to_owned())
    }

    /// Now and then a bound changes; the owner hears of it later.
    pub(super) fn change_bounds(&mut self) {
        let (now, calm) = (self.now, self.now >= super::CALM);
        let Some(bounds) = &mut self.bounds else {
            return;
        };
        for changes in bounds.changes.values_mut() {
            let last = changes.back().map_or(0, |change| change.cores);
            let cores = match calm {
                true => last.max(3),
                false if bounds.rng.random_ratio(1, 60) => bounds.rng.random_range(0..9),
                false => continue,
            };
            if cores != last {
                let heard = now + bounds.rng.random_range(0..DELAY);
                changes.push_back(Change { heard, cores });
            }
            while changes
                .get(1)
                .is_some_and(|next| next.heard + ORDERS + TICK < now)
            {
                changes.pop_front();
            }
        }
        self.tell_bounds();
    }

    /// Tells the owner the bounds that it has heard of.
    pub(super) fn tell_bounds(&mut self) {
        let Some(bounds) = &self.bounds else {
            return;
        };
        let heard = |changes: &VecDeque<Change>| {
            let mut known = changes.iter().filter(|change| change.heard <= self.now);
            known.next_back().map_or(0, |change| change.cores)
        };
        let known = bounds.changes.iter();
        let known: Vec<_> = known
            .map(|(name, changes)| ((*name).to_owned(), bound(heard(changes))))
            .collect();
        self.cell.set_bounds(known);
    }

    /// What a workspace has running on all workers is within the highest bound that may be in force.
    pub(super) fn check_bound(&self, job: JobId) {
        let Some((bounds, name)) = self
            .bounds
            .as_ref()
            .and_then(|b| Some((b, b.owners.get(&job)?)))
        else {
            return;
        };
        let of_workspace = |job: &JobId| bounds.owners.get(job) == Some(name);
        let runs = self.hosts.values().flat_map(|host| &host.running);
        let needs = runs.filter(|((task, _), _)| of_workspace(&task.job));
        let used: u64 = needs.map(|(_, Running { need, .. })| need.cpu).sum();
        let most = bounds.changes[name].iter().map(|change| change.cores).max();
        let most = most.unwrap_or(0) * 1_000;
        assert!(
            used <= most,
            "workspace {name} at {}: {used} of {most} run",
            self.now
        );
    }
}
