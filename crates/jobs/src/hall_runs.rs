//! Counts what may run in each data centre.

use crate::{Cell, HallChange, HallId, HallRuns, HallStates, Worker, name_of, worker::RunKind};
use clock::Instant;
use std::collections::BTreeMap;

/// Whether runs of earlier owners may exist that this owner does not know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlierRuns {
    /// Leases of earlier owners may still hold, so that workers which have not been contacted may have runs.
    Possible,
    /// The leases of earlier owners have expired, and with them all runs that this owner does not know.
    Excluded,
}

impl Cell {
    /// Returns the state of each data centre, as of the last update.
    pub fn hall_states(&self) -> &HallStates {
        &self.hall_states
    }

    /// Updates the state of each data centre from the orders in force and from what may run there, and what its
    /// workers get while it returns to service. Returns the changes.
    pub fn update_hall_states(&mut self, earlier: EarlierRuns, now: Instant) -> Vec<HallChange> {
        self.advance_returns(now);
        let runs = self.hall_runs(earlier);
        let drained = &self.drained_halls;
        let is_ordered = |hall: &str| drained.contains(hall);
        let changes = self.hall_states.update(runs, is_ordered, now);
        self.apply_returns(&changes, now);
        changes
    }

    /// Returns what may run in each data centre that has workers or is to be drained.
    pub fn hall_runs(&self, earlier: EarlierRuns) -> BTreeMap<HallId, HallRuns> {
        let unlisted = match earlier {
            EarlierRuns::Possible => self.count_unlisted_workers(),
            EarlierRuns::Excluded => 0,
        };
        let ordered = self.drained_halls.iter();
        let mut halls: BTreeMap<HallId, HallRuns> = ordered
            .map(|hall| (hall.clone(), HallRuns::default()))
            .collect();
        for worker in self.workers.values() {
            let hall = &worker.info.hall;
            if !halls.contains_key(hall) {
                halls.insert(hall.clone(), HallRuns::default());
            }
            if let Some(runs) = halls.get_mut(hall) {
                self.add_runs(runs, worker, earlier);
            }
        }
        // A worker that no list has named may be in any data centre.
        for runs in halls.values_mut() {
            runs.unknown_workers += unlisted;
        }
        halls
    }

    /// Adds what a worker may run.
    fn add_runs(&self, runs: &mut HallRuns, worker: &Worker, earlier: EarlierRuns) {
        let mut long_running = worker.long_running_runs;
        if worker.best_effort_runs > 0 {
            // The load of a best-effort run does not show whether it ends by itself.
            let best_effort = worker.runs.iter().filter(|((task, _), run)| {
                run.load.kind == RunKind::BestEffort && self.is_long_running(*task)
            });
            long_running += best_effort.count();
        }
        runs.long_running += long_running;
        runs.finite += worker.runs.len() - long_running;
        let expected = &self.takeover_barrier.expected_workers;
        let contacted = worker.contacted && !expected.contains_key(name_of(&worker.info.id));
        if earlier == EarlierRuns::Possible && !contacted {
            runs.unknown_workers += 1;
        }
    }
}
