//! Tells the incarnations of a worker apart.
//!
//! A worker may restart under the same name. The new incarnation knows nothing of the one before: it numbers
//! ends from 1, its clock shows another time, and it has seen no fencing token. Everything remembered of a
//! worker is therefore kept per incarnation, identified by a [`WorkerId`]; the name alone identifies where
//! the worker is listed and called.
//!
//! Only the worker's own responses show which of two incarnations is the later one. Entries of the list may
//! be read seconds late, and start times give no order since a machine's clock may have been set back. But
//! incarnations follow each other: if one is known and another one responds to a request sent after that, the
//! former has ended.

use crate::{StartedAtMs, WorkerId, WorkerName, name_of};
use clock::Instant;
use std::collections::{HashMap, VecDeque};

/// How many ended incarnations of a worker are remembered, so that late entries of them are recognized. An
/// entry is read up to some seconds late, and a worker that crashes at its start is back after 0.25 s or
/// more.
const MAX_ENDED: usize = 8;

/// How many incarnations of a worker that are only known from entries are kept at a time; another writer
/// could list any number.
const MAX_LISTED_ONLY: usize = 2;

/// How many workers may be known: three times as many as the largest fleet has (16,000). Another writer may
/// list a million, and each would be polled over a connection of its own.
const MAX_WORKERS: usize = 50_000;

/// What a response shows about the incarnation that the request was sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponseOutcome {
    /// This incarnation has responded.
    Same {
        /// Whether this is its first response after another incarnation had responded.
        restarted: bool,
    },
    /// This incarnation has ended; another one has responded in its place.
    Replaced {
        /// The incarnation that is running.
        next: WorkerId,
        /// Whether this is the first response of the running incarnation after another one had responded.
        restarted: bool,
    },
    /// Nothing: the request was sent before another incarnation last responded, so that either may be the
    /// later one, or the worker has been abandoned in the meantime.
    Outdated,
}

/// What an entry of the worker list shows about a worker's incarnations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Listing {
    /// The entry belongs to this incarnation.
    Incarnation(WorkerId),
    /// The entry belongs to an incarnation that has ended; it was read late.
    Ended,
    /// The entry names a worker beyond the limit, so it comes from another writer.
    LimitReached,
}

/// The incarnation of a worker that responded last.
#[derive(Clone, Debug)]
struct LastResponse {
    incarnation: WorkerId,
    /// When the latest response arrived.
    at: Instant,
    /// When the first response arrived. Requests sent later carry a fencing token that invalidates calls to
    /// the previous incarnation.
    since: Instant,
    /// When the request for the first response was sent. All other incarnations known by then have ended.
    requested_at: Instant,
}

/// An incarnation that may have runs.
#[derive(Clone, Debug)]
struct Known {
    incarnation: WorkerId,
    /// Since when it is known; `None` if an earlier owner knew it.
    since: Option<Instant>,
}

/// The incarnations of one worker.
#[derive(Debug, Default)]
struct Incarnations {
    /// The incarnations that may have runs, in the order in which they became known.
    known: Vec<Known>,
    /// The incarnation that the latest entry names.
    listed: Option<WorkerId>,
    last_response: Option<LastResponse>,
    /// The last incarnations that are known to have ended.
    ended: VecDeque<WorkerId>,
    /// How often a different incarnation was found to respond.
    changes: u64,
}

impl Incarnations {
    fn is_known(&self, incarnation: &str) -> bool {
        self.known
            .iter()
            .any(|known| known.incarnation == *incarnation)
    }

    /// Returns whether nothing needs to be remembered about the worker. The number of changes must be
    /// remembered, since it raises the fencing token of calls to the worker, which refuses lower tokens as
    /// long as it runs.
    fn is_empty(&self) -> bool {
        self.known.is_empty() && self.changes == 0 && self.listed.is_none()
    }

    /// Records a response of an incarnation.
    fn record_response_of(&mut self, incarnation: WorkerId, requested_at: Instant, now: Instant) {
        self.ended.retain(|ended| *ended != incarnation);
        match &mut self.last_response {
            Some(last_response) if last_response.incarnation == incarnation => {
                last_response.at = now
            }
            last_response => {
                *last_response = Some(LastResponse {
                    incarnation,
                    at: now,
                    since: now,
                    requested_at,
                });
            }
        }
    }

    /// Returns the other incarnations that were known before a request was sent.
    fn known_before<'a>(
        &'a self,
        incarnation: &'a str,
        requested_at: Instant,
    ) -> impl Iterator<Item = &'a WorkerId> {
        let before = move |known: &&Known| known.since.is_none_or(|since| since < requested_at);
        let others = self
            .known
            .iter()
            .filter(move |known| known.incarnation != *incarnation);
        others.filter(before).map(|known| &known.incarnation)
    }

    /// Records that an incarnation has ended, if a different one has responded since.
    fn mark_ended(&mut self, incarnation: &str) {
        let replaced = self
            .last_response
            .as_ref()
            .is_some_and(|last_response| last_response.incarnation != *incarnation);
        if replaced && !self.ended.iter().any(|ended| ended == incarnation) {
            self.ended.push_back(incarnation.into());
        }
        while self.ended.len() > MAX_ENDED {
            self.ended.pop_front();
        }
    }
}

/// The incarnations of all workers, by worker name.
#[derive(Debug, Default)]
pub(crate) struct IncarnationTable {
    workers: HashMap<WorkerName, Incarnations>,
}

impl IncarnationTable {
    fn get(&self, incarnation: &str) -> Option<&Incarnations> {
        self.workers.get(name_of(incarnation))
    }

    fn get_mut(&mut self, name: &str) -> &mut Incarnations {
        if !self.workers.contains_key(name) {
            self.workers
                .insert(name.to_owned(), Incarnations::default());
        }
        self.workers.get_mut(name).expect("it was inserted above")
    }

    /// Returns the names of all remembered workers.
    pub(crate) fn names(&self) -> impl Iterator<Item = &WorkerName> {
        self.workers.keys()
    }

    /// Adds an incarnation that has been known since `since`; `None` means that an earlier owner knew it.
    pub(crate) fn add(&mut self, incarnation: &WorkerId, since: Option<Instant>) {
        let incarnations = self.get_mut(incarnation.name());
        if !incarnations.is_known(incarnation) {
            incarnations.known.push(Known {
                incarnation: incarnation.clone(),
                since,
            });
        }
    }

    /// Removes an incarnation whose worker was abandoned.
    pub(crate) fn forget(&mut self, incarnation: &str) {
        let name = name_of(incarnation);
        let Some(incarnations) = self.workers.get_mut(name) else {
            return;
        };
        incarnations
            .known
            .retain(|known| known.incarnation != *incarnation);
        incarnations.mark_ended(incarnation);
        if incarnations.is_empty() {
            self.workers.remove(name);
        }
    }

    /// Records the incarnation that the latest entry of a worker names.
    pub(crate) fn record_listing(
        &mut self,
        name: &str,
        started_at: Option<StartedAtMs>,
    ) -> Listing {
        if self.workers.len() >= MAX_WORKERS && !self.workers.contains_key(name) {
            return Listing::LimitReached;
        }
        let incarnations = self.get_mut(name);
        let incarnation = WorkerId::new(name, started_at);
        if incarnations.ended.contains(&incarnation) {
            return Listing::Ended;
        }
        // An entry without a start time is attributed to the incarnation that responded last.
        let last_response = incarnations
            .last_response
            .as_ref()
            .map(|last_response| last_response.incarnation.clone());
        let incarnation = last_response
            .filter(|_| started_at.is_none())
            .unwrap_or(incarnation);
        incarnations.listed = Some(incarnation.clone());
        Listing::Incarnation(incarnation)
    }

    /// Records that the worker has no entry any more.
    pub(crate) fn remove_listing(&mut self, name: &str) {
        let Some(incarnations) = self.workers.get_mut(name) else {
            return;
        };
        incarnations.listed = None;
        if incarnations.is_empty() {
            self.workers.remove(name);
        }
    }

    /// Returns the incarnations of a worker, oldest first, except the one that responded last and the
    /// [`MAX_LISTED_ONLY`] latest others.
    pub(crate) fn excess(&self, name: &str) -> Vec<WorkerId> {
        let Some(incarnations) = self.workers.get(name) else {
            return Vec::new();
        };
        let last_response = incarnations
            .last_response
            .as_ref()
            .map(|last_response| &last_response.incarnation);
        let known = incarnations.known.iter().map(|known| &known.incarnation);
        let mut others: Vec<WorkerId> = known
            .filter(|incarnation| Some(*incarnation) != last_response)
            .cloned()
            .collect();
        others.truncate(others.len().saturating_sub(MAX_LISTED_ONLY));
        others
    }

    /// Records which incarnation responded at `now` to a request that was sent to `recipient` at
    /// `requested_at`.
    pub(crate) fn record_response(
        &mut self,
        recipient: &WorkerId,
        started_at: Option<StartedAtMs>,
        requested_at: Instant,
        now: Instant,
    ) -> ResponseOutcome {
        let worker = self.get_mut(recipient.name());
        // A response without a start time is attributed to the listed incarnation.
        let listed = || worker.listed.clone().unwrap_or_else(|| recipient.clone());
        let incarnation =
            started_at.map_or_else(listed, |_| WorkerId::new(recipient.name(), started_at));
        let other = worker
            .last_response
            .as_ref()
            .filter(|last_response| last_response.incarnation != incarnation);
        let restarted = other.is_some();
        // The request was sent before the other incarnation last responded, so either may be the later one.
        if other.is_some_and(|last_response| requested_at < last_response.at) {
            return ResponseOutcome::Outdated;
        }
        worker.changes += u64::from(restarted);
        worker.record_response_of(incarnation.clone(), requested_at, now);
        if incarnation == *recipient {
            ResponseOutcome::Same { restarted }
        } else {
            ResponseOutcome::Replaced {
                next: incarnation,
                restarted,
            }
        }
    }

    /// Returns the other incarnations of a worker that have ended and whose runs, if they still exist, this
    /// one lists. This holds once it has responded to a request that was sent at `requested_at`, after the
    /// others were known, with a fencing token that invalidates calls meant for them.
    pub(crate) fn ended_by(&self, incarnation: &str, requested_at: Instant) -> Vec<WorkerId> {
        let Some(incarnations) = self
            .get(incarnation)
            .filter(|incarnations| incarnations.known.len() > 1)
        else {
            return Vec::new();
        };
        let Some(last_response) = incarnations
            .last_response
            .as_ref()
            .filter(|last_response| last_response.incarnation == *incarnation)
        else {
            return Vec::new();
        };
        if incarnations.changes > 0 && requested_at <= last_response.since {
            return Vec::new();
        }
        incarnations
            .known_before(incarnation, requested_at)
            .cloned()
            .collect()
    }

    /// Returns the other incarnations of a worker that have ended because this one has responded, even if it
    /// may still list runs that were ordered from them.
    pub(crate) fn predecessors(&self, incarnation: &str) -> Vec<WorkerId> {
        let Some(incarnations) = self.get(incarnation) else {
            return Vec::new();
        };
        let last_response = incarnations
            .last_response
            .as_ref()
            .filter(|last_response| last_response.incarnation == *incarnation);
        let predecessors = last_response.map(|last_response| {
            incarnations.known_before(incarnation, last_response.requested_at)
        });
        predecessors.into_iter().flatten().cloned().collect()
    }

    /// Returns all known incarnations of a worker, by its name.
    pub(crate) fn of(&self, name: &str) -> impl Iterator<Item = &WorkerId> {
        let incarnations = self.workers.get(name).into_iter();
        incarnations
            .flat_map(|incarnations| incarnations.known.iter().map(|known| &known.incarnation))
    }

    /// Returns the current incarnation of a worker: the one that responded last, or the one listed last, or
    /// any known one.
    pub(crate) fn current(&self, name: &str) -> Option<&WorkerId> {
        let incarnations = self.workers.get(name)?;
        let last_response = incarnations
            .last_response
            .as_ref()
            .map(|last_response| &last_response.incarnation);
        let known = |incarnation: &&WorkerId| incarnations.is_known(incarnation);
        let listed = incarnations.listed.as_ref();
        let first = || incarnations.known.first().map(|known| &known.incarnation);
        last_response
            .filter(known)
            .or(listed.filter(known))
            .or_else(first)
    }

    /// Returns how often a different incarnation of a worker was found to respond.
    pub(crate) fn changes(&self, incarnation: &str) -> u64 {
        self.get(incarnation)
            .map_or(0, |incarnations| incarnations.changes)
    }
}
