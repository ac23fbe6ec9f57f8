//! Workspaces with changing bounds, of which owners learn late. The bounds are checked against what workers
//! actually run.

use super::{History, LEASE_MS, TICK_MS, host::Running};
use havenladder_jobs::{Bound, JobId, Need, WorkspaceId};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::collections::{BTreeMap, VecDeque};

/// Names of the workspaces.
const WORKSPACES: [&str; 3] = ["a", "b", "c"];

/// Maximum time until the owner learns of a change, in ms.
const MAX_DELAY_MS: u64 = 400;

/// Maximum age in ms at which an order is carried out that was given under an earlier bound: each order carries the
/// end of its lease.
const MAX_ORDER_AGE_MS: u64 = LEASE_MS;

/// A change of a bound.
#[derive(Clone, Copy)]
struct Change {
    /// Time at which the owner learns of the change.
    known_at: u64,
    cores: u64,
}

/// The bounds, with a random number generator of their own, so that histories without bounds do not change.
pub(super) struct Bounds {
    rng: StdRng,
    /// The bounds of each workspace, oldest first.
    changes: BTreeMap<&'static str, VecDeque<Change>>,
    /// The workspace of each job.
    workspaces: BTreeMap<JobId, &'static str>,
}

impl Bounds {
    pub(super) fn new(seed: u64) -> Self {
        let first = Change {
            known_at: 0,
            cores: 4,
        };
        Bounds {
            rng: StdRng::seed_from_u64(seed ^ 0xb0),
            changes: WORKSPACES
                .map(|name| (name, VecDeque::from([first])))
                .into(),
            workspaces: BTreeMap::new(),
        }
    }
}

/// Returns a bound of the given number of cores; with 0, no task may start.
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
    /// Chooses the workspace of a job at random. Some jobs have none, as do all jobs in histories without bounds.
    pub(super) fn choose_workspace(&mut self, job: JobId) -> Option<WorkspaceId> {
        let bounds = self.bounds.as_mut()?;
        let name = WORKSPACES.get(bounds.rng.random_range(0..=WORKSPACES.len()))?;
        bounds.workspaces.insert(job, name);
        Some((*name).to_owned())
    }

    /// Changes bounds at random times; the owner learns of each change later.
    pub(super) fn change_bounds(&mut self) {
        let (now, faults_ended) = (self.now, self.now >= super::FAULTS_END_MS);
        let Some(bounds) = &mut self.bounds else {
            return;
        };
        for changes in bounds.changes.values_mut() {
            let last = changes.back().map_or(0, |change| change.cores);
            let cores = match faults_ended {
                true => last.max(3),
                false if bounds.rng.random_ratio(1, 60) => bounds.rng.random_range(0..9),
                false => continue,
            };
            if cores != last {
                let known_at = now + bounds.rng.random_range(0..MAX_DELAY_MS);
                changes.push_back(Change { known_at, cores });
            }
            while changes
                .get(1)
                .is_some_and(|next| next.known_at + MAX_ORDER_AGE_MS + TICK_MS < now)
            {
                changes.pop_front();
            }
        }
        self.apply_known_bounds();
    }

    /// Sets the bounds of the cell to those that the owner has learned of.
    pub(super) fn apply_known_bounds(&mut self) {
        let Some(bounds) = &self.bounds else {
            return;
        };
        let known_cores = |changes: &VecDeque<Change>| {
            let mut known = changes.iter().filter(|change| change.known_at <= self.now);
            known.next_back().map_or(0, |change| change.cores)
        };
        let known = bounds.changes.iter();
        let known: Vec<_> = known
            .map(|(name, changes)| ((*name).to_owned(), bound(known_cores(changes))))
            .collect();
        self.cell.set_bounds(known);
    }

    /// Asserts that the runs of a workspace on all workers are within the highest bound that may still be in force.
    pub(super) fn check_bound(&self, job: JobId) {
        let Some((bounds, name)) = self
            .bounds
            .as_ref()
            .and_then(|b| Some((b, b.workspaces.get(&job)?)))
        else {
            return;
        };
        let of_workspace = |job: &JobId| bounds.workspaces.get(job) == Some(name);
        let runs = self.hosts.values().flat_map(|host| &host.running);
        let needs = runs.filter(|((task, _), _)| of_workspace(&task.job));
        let used: u64 = needs.map(|(_, Running { need, .. })| need.cpu).sum();
        let max_cpu = bounds.changes[name].iter().map(|change| change.cores).max();
        let max_cpu = max_cpu.unwrap_or(0) * 1_000;
        assert!(
            used <= max_cpu,
            "workspace {name} at {}: {used} used of {max_cpu} allowed",
            self.now
        );
    }
}
