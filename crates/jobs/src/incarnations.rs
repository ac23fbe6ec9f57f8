//! Which life of a worker is behind its id.
//!
//! A worker may start again under the id that it had. Its next life holds and knows nothing of the one before: it numbers
//! its ends from 1, its clock shows another time, and it has seen no fence. All that is remembered of a worker is
//! therefore kept for one life of it, a [`WorkerId`]; its name alone stands for where it is listed and called.
//!
//! Only a worker's own answers tell which of two lives is the later one. Entries of the list may be read seconds late,
//! and the time at which a life began is no order: a machine's clock may have been put back. But lives follow each
//! other: an answer to a question that was asked after a life was known, and that another life gives, shows that the
//! former is over.

use crate::{StartedAtMs, WorkerId, WorkerName, name_of};
use clock::Instant;
use std::collections::{HashMap, VecDeque};

/// How many lives of a worker that are over are remembered, so that late entries of theirs are known as such: an entry
/// is read up to some seconds late, and a worker that crashes as it starts is back after 0.25 s and more.
const MAX_ENDED: usize = 8;

/// How many lives of a worker that only entries name are waited for at a time: another writer could list any number.
const MAX_LISTED_ONLY: usize = 2;

/// How many workers may be known: three times as many as the largest fleet has, 16,000. Another writer may list a million;
/// each would be asked what it runs, over a connection of its own.
const MAX_WORKERS: usize = 50_000;

/// What an answer says of the life that was asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerOutcome {
    /// It answered itself.
    Same {
        /// Whether another life had answered before.
        began: bool,
    },
    /// It is over: another one has answered in its place.
    Replaced {
        /// The life that goes on.
        next: WorkerId,
        /// Whether it is heard of for the first time.
        began: bool,
    },
    /// Nothing: it was asked before the life was heard of that answers now, and the answer was overtaken.
    Outdated,
}

/// What an entry of the list says of a worker's lives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Listing {
    /// It is of this life.
    Incarnation(WorkerId),
    /// It is of a life that is over: it was read late.
    Ended,
    /// It names one worker more than there can be: another writer's.
    LimitReached,
}

/// The life of a worker that answered last.
#[derive(Clone, Debug)]
struct LastAnswer {
    incarnation: WorkerId,
    /// When its newest answer came.
    at: Instant,
    /// When its first answer came: what was asked later carries a fence that shuts out calls to the life before.
    since: Instant,
    /// When that was asked for: each other life that was known by then is over.
    asked: Instant,
}

/// A life that may have runs.
#[derive(Clone, Debug)]
struct Known {
    incarnation: WorkerId,
    /// Since when; none if an earlier owner knew it.
    since: Option<Instant>,
}

/// The lives of one worker.
#[derive(Debug, Default)]
struct Incarnations {
    /// Those that may have runs, in the order in which they came to be known.
    known: Vec<Known>,
    /// The one that the newest entry names.
    listed: Option<WorkerId>,
    last_answer: Option<LastAnswer>,
    /// The last that are known to be over.
    ended: VecDeque<WorkerId>,
    /// How often another life was found to answer.
    changes: u64,
}

impl Incarnations {
    fn is_known(&self, incarnation: &str) -> bool {
        self.known
            .iter()
            .any(|known| known.incarnation == *incarnation)
    }

    /// Whether nothing of the worker needs to be remembered. That calls to it carry a higher fence does: it refuses
    /// lower ones as long as it lives.
    fn is_empty(&self) -> bool {
        self.known.is_empty() && self.changes == 0 && self.listed.is_none()
    }

    /// Takes note that a life has answered.
    fn record_answer_of(&mut self, incarnation: WorkerId, asked: Instant, now: Instant) {
        self.ended.retain(|ended| *ended != incarnation);
        match &mut self.last_answer {
            Some(last_answer) if last_answer.incarnation == incarnation => last_answer.at = now,
            last_answer => {
                *last_answer = Some(LastAnswer {
                    incarnation,
                    at: now,
                    since: now,
                    asked,
                });
            }
        }
    }

    /// The other lives that were known before a question was asked.
    fn known_before<'a>(
        &'a self,
        incarnation: &'a str,
        asked: Instant,
    ) -> impl Iterator<Item = &'a WorkerId> {
        let before = move |known: &&Known| known.since.is_none_or(|since| since < asked);
        let others = self
            .known
            .iter()
            .filter(move |known| known.incarnation != *incarnation);
        others.filter(before).map(|known| &known.incarnation)
    }

    /// Remembers that a life is over, if another one has answered since.
    fn mark_ended(&mut self, incarnation: &str) {
        let replaced = self
            .last_answer
            .as_ref()
            .is_some_and(|last_answer| last_answer.incarnation != *incarnation);
        if replaced && !self.ended.iter().any(|ended| ended == incarnation) {
            self.ended.push_back(incarnation.into());
        }
        while self.ended.len() > MAX_ENDED {
            self.ended.pop_front();
        }
    }
}

/// The lives of all workers, by the workers' names.
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

    /// The names of all workers that are remembered.
    pub(crate) fn names(&self) -> impl Iterator<Item = &WorkerName> {
        self.workers.keys()
    }

    /// A life is known from now on.
    pub(crate) fn add(&mut self, incarnation: &WorkerId, since: Option<Instant>) {
        let incarnations = self.get_mut(incarnation.name());
        if !incarnations.is_known(incarnation) {
            incarnations.known.push(Known {
                incarnation: incarnation.clone(),
                since,
            });
        }
    }

    /// A life is not known any more: it has been given up.
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

    /// Takes in which life of a worker the newest entry names, if it says which.
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
        // An entry that does not say which life it is of is one of the life that answers.
        let last_answer = incarnations
            .last_answer
            .as_ref()
            .map(|last_answer| last_answer.incarnation.clone());
        let incarnation = last_answer
            .filter(|_| started_at.is_none())
            .unwrap_or(incarnation);
        incarnations.listed = Some(incarnation.clone());
        Listing::Incarnation(incarnation)
    }

    /// The worker has no entry any more.
    pub(crate) fn remove_listing(&mut self, name: &str) {
        let Some(incarnations) = self.workers.get_mut(name) else {
            return;
        };
        incarnations.listed = None;
        if incarnations.is_empty() {
            self.workers.remove(name);
        }
    }

    /// The lives of a worker, oldest first, that are known beside the one that answers and the last few.
    pub(crate) fn excess(&self, name: &str) -> Vec<WorkerId> {
        let Some(incarnations) = self.workers.get(name) else {
            return Vec::new();
        };
        let last_answer = incarnations
            .last_answer
            .as_ref()
            .map(|last_answer| &last_answer.incarnation);
        let known = incarnations.known.iter().map(|known| &known.incarnation);
        let mut others: Vec<WorkerId> = known
            .filter(|incarnation| Some(*incarnation) != last_answer)
            .cloned()
            .collect();
        others.truncate(others.len().saturating_sub(MAX_LISTED_ONLY));
        others
    }

    /// Takes in which life has answered at `now` what another, or the same, was asked at `asked`.
    pub(crate) fn record_answer(
        &mut self,
        addressee: &WorkerId,
        started_at: Option<StartedAtMs>,
        asked: Instant,
        now: Instant,
    ) -> AnswerOutcome {
        let worker = self.get_mut(addressee.name());
        // An answer that does not say which life gives it is one of the life that is listed.
        let listed = || worker.listed.clone().unwrap_or_else(|| addressee.clone());
        let incarnation =
            started_at.map_or_else(listed, |_| WorkerId::new(addressee.name(), started_at));
        let other = worker
            .last_answer
            .as_ref()
            .filter(|last_answer| last_answer.incarnation != incarnation);
        let began = other.is_some();
        // Asked before the other was heard of, either may be the later one.
        if other.is_some_and(|last_answer| asked < last_answer.at) {
            return AnswerOutcome::Outdated;
        }
        worker.changes += u64::from(began);
        worker.record_answer_of(incarnation.clone(), asked, now);
        if incarnation == *addressee {
            AnswerOutcome::Same { began }
        } else {
            AnswerOutcome::Replaced {
                next: incarnation,
                began,
            }
        }
    }

    /// The other lives of a worker that are over, and whose runs this one lists if it has them: it has answered a
    /// question that was asked at `asked`, once they were known, with a fence that shuts out calls that were meant for
    /// them.
    pub(crate) fn ended_by(&self, incarnation: &str, asked: Instant) -> Vec<WorkerId> {
        let Some(incarnations) = self
            .get(incarnation)
            .filter(|incarnations| incarnations.known.len() > 1)
        else {
            return Vec::new();
        };
        let Some(last_answer) = incarnations
            .last_answer
            .as_ref()
            .filter(|last_answer| last_answer.incarnation == *incarnation)
        else {
            return Vec::new();
        };
        if incarnations.changes > 0 && asked <= last_answer.since {
            return Vec::new();
        }
        incarnations
            .known_before(incarnation, asked)
            .cloned()
            .collect()
    }

    /// The other lives of a worker that are over since this one has answered, whatever it lists.
    pub(crate) fn predecessors(&self, incarnation: &str) -> Vec<WorkerId> {
        let Some(incarnations) = self.get(incarnation) else {
            return Vec::new();
        };
        let last_answer = incarnations
            .last_answer
            .as_ref()
            .filter(|last_answer| last_answer.incarnation == *incarnation);
        let predecessors = last_answer
            .map(|last_answer| incarnations.known_before(incarnation, last_answer.asked));
        predecessors.into_iter().flatten().cloned().collect()
    }

    /// All lives of a worker that are known, by its name.
    pub(crate) fn of(&self, name: &str) -> impl Iterator<Item = &WorkerId> {
        let incarnations = self.workers.get(name).into_iter();
        incarnations
            .flat_map(|incarnations| incarnations.known.iter().map(|known| &known.incarnation))
    }

    /// The life of a worker that counts: the one that answered last, else the one that was listed last, else any that is
    /// known.
    pub(crate) fn current(&self, name: &str) -> Option<&WorkerId> {
        let incarnations = self.workers.get(name)?;
        let last_answer = incarnations
            .last_answer
            .as_ref()
            .map(|last_answer| &last_answer.incarnation);
        let known = |incarnation: &&WorkerId| incarnations.is_known(incarnation);
        let listed = incarnations.listed.as_ref();
        let first = || incarnations.known.first().map(|known| &known.incarnation);
        last_answer
            .filter(known)
            .or(listed.filter(known))
            .or_else(first)
    }

    /// How often another life of a worker was found to answer.
    pub(crate) fn changes(&self, incarnation: &str) -> u64 {
        self.get(incarnation)
            .map_or(0, |incarnations| incarnations.changes)
    }
}
