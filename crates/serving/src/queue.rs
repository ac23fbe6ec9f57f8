//! Queue of the waiting requests of one pool: ordered by deadline within a class, with a share of the work for
//! each class.

use crate::job::RequestId;
use settings::Class;
use std::{
    collections::{BTreeMap, btree_map::Entry},
    time::{Duration, Instant},
};

/// Share of a busy pool's work that each class is guaranteed, most urgent first.
const WEIGHTS: [(Class, f64); 3] = [
    (Class::Preview, 0.6),
    (Class::Ordinary, 0.25),
    (Class::Large, 0.15),
];

/// Waiting requests of one class.
#[derive(Clone, Debug, Default)]
struct ClassQueue {
    waiting: BTreeMap<(Instant, RequestId), Duration>,
    /// Dispatched work divided by the class's weight. The class with the lowest value is served next.
    pass: f64,
}

/// Waiting requests of one pool.
#[derive(Clone, Debug)]
pub(crate) struct Queue {
    classes: [ClassQueue; 3],
    positions: BTreeMap<RequestId, (usize, Instant)>,
}

impl Default for Queue {
    fn default() -> Self {
        Self {
            classes: std::array::from_fn(|_| ClassQueue::default()),
            positions: BTreeMap::new(),
        }
    }
}

impl Queue {
    /// Returns the number of waiting requests.
    pub(crate) fn len(&self) -> usize {
        self.positions.len()
    }

    /// Adds a request whose run is expected to take `work`.
    pub(crate) fn push(&mut self, id: RequestId, class: Class, deadline: Instant, work: Duration) {
        let index = index_of(class);
        if self.classes[index].waiting.is_empty() {
            let min_pass = self.min_pass();
            let queue = &mut self.classes[index];
            queue.pass = queue.pass.max(min_pass);
        }
        if let Entry::Vacant(position) = self.positions.entry(id) {
            position.insert((index, deadline));
            self.classes[index].waiting.insert((deadline, id), work);
        }
    }

    /// Removes a request. Returns whether it was waiting.
    pub(crate) fn remove(&mut self, id: RequestId) -> bool {
        let Some((index, deadline)) = self.positions.remove(&id) else {
            return false;
        };
        self.classes[index]
            .waiting
            .remove(&(deadline, id))
            .is_some()
    }

    /// Removes and returns the next request: the one with the earliest deadline in the class that is furthest
    /// behind its share.
    pub(crate) fn pop(&mut self) -> Option<RequestId> {
        let index = self.next_class()?;
        let queue = &mut self.classes[index];
        let ((_, id), work) = queue.waiting.pop_first()?;
        queue.pass += work.as_secs_f64().max(1e-6) / WEIGHTS[index].1;
        self.positions.remove(&id);
        Some(id)
    }

    /// Returns how long a request of `class` with `deadline` would wait if `slots` slots did the work.
    pub(crate) fn wait(&self, class: Class, deadline: Instant, slots: u32) -> Duration {
        let index = index_of(class);
        let ahead: Duration = self.classes[index]
            .waiting
            .range(..=(deadline, RequestId::MAX))
            .map(|(_, work)| *work)
            .sum();
        let share = WEIGHTS[index].1 / self.active_weight(index);
        ahead.div_f64(f64::from(slots.max(1)) * share)
    }

    /// Returns the waiting requests with their deadlines.
    pub(crate) fn waiting(&self) -> impl Iterator<Item = (RequestId, Instant)> {
        self.positions
            .iter()
            .map(|(id, (_, deadline))| (*id, *deadline))
    }

    fn next_class(&self) -> Option<usize> {
        (0..self.classes.len())
            .filter(|index| !self.classes[*index].waiting.is_empty())
            .min_by(|a, b| self.classes[*a].pass.total_cmp(&self.classes[*b].pass))
    }

    fn min_pass(&self) -> f64 {
        self.next_class()
            .map_or(0.0, |index| self.classes[index].pass)
    }

    /// Returns the total weight of the class `index` and of all other classes with waiting requests.
    fn active_weight(&self, index: usize) -> f64 {
        WEIGHTS
            .iter()
            .enumerate()
            .filter(|(other, _)| *other == index || !self.classes[*other].waiting.is_empty())
            .map(|(_, (_, weight))| weight)
            .sum()
    }
}

fn index_of(class: Class) -> usize {
    WEIGHTS
        .iter()
        .position(|(known, _)| *known == class)
        .unwrap_or_default()
}
