//! The state of each data centre with regard to drain orders: serving, draining, drained or returning.
//!
//! The states follow from the orders in force and from what runs in the data centres, so that a new owner
//! rebuilds them from what it learns and nothing is written to the log. Only a return to service has a history
//! of its own: an owner that has not seen it begin treats the data centre as serving.

use crate::HallId;
use clock::Instant;
use std::{collections::BTreeMap, time::Duration};

/// The time after which a data centre that returns to service is back in full, whatever its workers are like.
pub const MAX_RETURN_TIME: Duration = Duration::from_millis(10_000);

/// What may run in a data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HallRuns {
    /// The number of runs that end by themselves.
    pub finite: usize,
    /// The number of runs that go on until they are stopped.
    pub long_running: usize,
    /// The number of workers that may have runs of an earlier owner that this one does not know.
    pub unknown_workers: usize,
}

impl HallRuns {
    /// Returns whether certainly nothing runs there.
    pub fn is_none(self) -> bool {
        self == HallRuns::default()
    }

    /// Returns the numbers of known runs with the names of their kinds.
    pub fn by_kind(self) -> [(&'static str, usize); 2] {
        [("finite", self.finite), ("long-running", self.long_running)]
    }
}

/// The state of a data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HallState {
    /// No order to drain it is in force.
    #[default]
    Serving,
    /// It is to be drained, and something may still run there.
    Draining,
    /// It is to be drained, and nothing runs there.
    Drained,
    /// It was drained and returns to service.
    Returning {
        /// When it is back in full at the latest.
        until: Instant,
    },
}

impl HallState {
    /// Returns the state that follows from this one.
    fn next(self, ordered: bool, runs: HallRuns, now: Instant) -> Self {
        match self {
            _ if ordered && runs.is_none() => HallState::Drained,
            _ if ordered => HallState::Draining,
            HallState::Drained => HallState::Returning {
                until: now + MAX_RETURN_TIME,
            },
            HallState::Returning { until } if now < until => self,
            // Nothing was switched off while it was still being drained.
            HallState::Serving | HallState::Draining | HallState::Returning { .. } => {
                HallState::Serving
            }
        }
    }

    /// Returns the name of the state.
    pub fn name(self) -> &'static str {
        match self {
            HallState::Serving => "serving",
            HallState::Draining => "draining",
            HallState::Drained => "drained",
            HallState::Returning { .. } => "returning",
        }
    }

    /// Returns the number that stands for the state in the metrics.
    pub fn number(self) -> u64 {
        match self {
            HallState::Serving => 0,
            HallState::Draining => 1,
            HallState::Drained => 2,
            HallState::Returning { .. } => 3,
        }
    }
}

/// The state of a data centre and what may run there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HallStatus {
    /// The state.
    pub state: HallState,
    /// What may run there.
    pub runs: HallRuns,
}

/// A change of a data centre's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HallChange {
    /// The data centre.
    pub hall: HallId,
    /// The previous state; `None` if this owner had not determined any.
    pub from: Option<HallState>,
    /// The new state, and what may run there.
    pub to: HallStatus,
}

/// The status of all data centres that an owner knows of.
#[derive(Clone, Debug, Default)]
pub struct HallStates {
    halls: BTreeMap<HallId, HallStatus>,
}

impl HallStates {
    /// Returns the state of a data centre.
    pub fn state(&self, hall: &str) -> HallState {
        let status = self.halls.get(hall);
        status.map(|status| status.state).unwrap_or_default()
    }

    /// Returns the data centres and their status.
    pub fn halls(&self) -> &BTreeMap<HallId, HallStatus> {
        &self.halls
    }

    /// Ends the return of a data centre to service; the next update reports that it is serving.
    pub(crate) fn end_return(&mut self, hall: &str, now: Instant) {
        if let Some(HallStatus {
            state: HallState::Returning { until },
            ..
        }) = self.halls.get_mut(hall)
        {
            *until = now.min(*until);
        }
    }

    /// Updates the status of all data centres with what may run in each of them. `is_ordered` returns whether
    /// an order to drain a data centre is in force. Returns the changes of states; that a data centre is
    /// serving when it is first seen is none.
    pub fn update(
        &mut self,
        mut runs: BTreeMap<HallId, HallRuns>,
        is_ordered: impl Fn(&str) -> bool,
        now: Instant,
    ) -> Vec<HallChange> {
        // A data centre whose last VM is gone keeps its state.
        for hall in self.halls.keys() {
            if !runs.contains_key(hall) {
                runs.insert(hall.clone(), HallRuns::default());
            }
        }
        let mut changes = Vec::new();
        for (hall, runs) in runs {
            let from = self.halls.get(&hall).map(|status| status.state);
            let before = from.unwrap_or_default();
            let state = before.next(is_ordered(&hall), runs, now);
            let to = HallStatus { state, runs };
            if state.name() != before.name() {
                let hall = hall.clone();
                changes.push(HallChange { hall, from, to });
            }
            self.halls.insert(hall, to);
        }
        changes
    }
}
