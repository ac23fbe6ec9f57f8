//! Waiting requests of one pool: by deadline within a class, and shares of the work by class.

use crate::job::RequestId;
use settings::Class;
use std::{
    collections::{BTreeMap, btree_map::Entry},
    time::{Duration, Instant},
};

/// Share of a busy pool's work that each class is sure of, most urgent first.
const WEIGHTS: [(Class, f64); 3] = [
    (Class::Preview, 0.6),
    (Class::Ordinary, 0.25),
    (Class::Large, 0.15),
];

/// Requests of one class.
#[derive(Clone, Debug, Default)]
struct Line {
    waiting: BTreeMap<(Instant, RequestId), Duration>,
    /// Work that was dispatched, over the class's weight: the lowest is next.
    pass: f64,
}

/// All requests that wait in one pool.
#[derive(Clone, Debug)]
pub(crate) struct Queue {
    lines: [Line; 3],
    places: BTreeMap<RequestId, (usize, Instant)>,
}

impl Default for Queue {
    fn default() -> Self {
        Self {
            lines: std::array::from_fn(|_| Line::default()),
            places: BTreeMap::new(),
        }
    }
}

impl Queue {
    /// Requests that wait.
    pub(crate) fn len(&self) -> usize {
        self.places.len()
    }

    /// Adds a request whose run is expected to take `work`.
    pub(crate) fn push(&mut self, id: RequestId, class: Class, deadline: Instant, work: Duration) {
        let index = index_of(class);
        if self.lines[index].waiting.is_empty() {
            let lowest = self.lowest_pass();
            let line = &mut self.lines[index];
            line.pass = line.pass.max(lowest);
        }
        if let Entry::Vacant(place) = self.places.entry(id) {
            place.insert((index, deadline));
            self.lines[index].waiting.insert((deadline, id), work);
        }
    }

    /// Removes a request; tells whether it waited.
    pub(crate) fn remove(&mut self, id: RequestId) -> bool {
        let Some((index, deadline)) = self.places.remove(&id) else {
            return false;
        };
        self.lines[index].waiting.remove(&(deadline, id)).is_some()
    }

    /// Takes the next request: from the class that is furthest behind its share, the earliest
    /// deadline.
    pub(crate) fn pop(&mut self) -> Option<RequestId> {
        let index = self.next_line()?;
        let line = &mut self.lines[index];
        let ((_, id), work) = line.waiting.pop_first()?;
        line.pass += work.as_secs_f64().max(1e-6) / WEIGHTS[index].1;
        self.places.remove(&id);
        Some(id)
    }

    /// Returns how long a request of `class` with `deadline` would wait if `slots` did the work.
    pub(crate) fn wait(&self, class: Class, deadline: Instant, slots: u32) -> Duration {
        let index = index_of(class);
        let ahead: Duration = self.lines[index]
            .waiting
            .range(..=(deadline, RequestId::MAX))
            .map(|(_, work)| *work)
            .sum();
        let share = WEIGHTS[index].1 / self.active_weight(index);
        ahead.div_f64(f64::from(slots.max(1)) * share)
    }

    /// Returns the requests that wait, with their deadlines.
    pub(crate) fn waiting(&self) -> impl Iterator<Item = (RequestId, Instant)> {
        self.places
            .iter()
            .map(|(id, (_, deadline))| (*id, *deadline))
    }

    fn next_line(&self) -> Option<usize> {
        (0..self.lines.len())
            .filter(|index| !self.lines[*index].waiting.is_empty())
            .min_by(|a, b| self.lines[*a].pass.total_cmp(&self.lines[*b].pass))
    }

    fn lowest_pass(&self) -> f64 {
        self.next_line().map_or(0.0, |index| self.lines[index].pass)
    }

    /// Weight of the classes that wait, with that of `index`.
    fn active_weight(&self, index: usize) -> f64 {
        WEIGHTS
            .iter()
            .enumerate()
            .filter(|(other, _)| *other == index || !self.lines[*other].waiting.is_empty())
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
