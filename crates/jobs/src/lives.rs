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
const MOST_PAST: usize = 8;

/// How many lives of a worker that only entries name are waited for at a time: another writer could list any number.
const MOST_LISTED: usize = 2;

/// How many workers may be known: three times as many as the largest fleet has, 16,000. Another writer may list a million;
/// each would be asked what it runs, over a connection of its own.
const MOST_WORKERS: usize = 50_000;

/// What an answer says of the life that was asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Hearing {
    /// It answered itself.
    Same {
        /// Whether another life had answered before.
        began: bool,
    },
    /// It is over: another one has answered in its place.
    Over {
        /// The life that goes on.
        next: WorkerId,
        /// Whether it is heard of for the first time.
        began: bool,
    },
    /// Nothing: it was asked before the life was heard of that answers now, and the answer was overtaken.
    Overtaken,
}

/// What an entry of the list says of a worker's lives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Listing {
    /// It is of this life.
    Of(WorkerId),
    /// It is of a life that is over: it was read late.
    Past,
    /// It names one worker more than there can be: another writer's.
    Surplus,
}

/// The life of a worker that answered last.
#[derive(Clone, Debug)]
struct Heard {
    life: WorkerId,
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
    life: WorkerId,
    /// Since when; none if an earlier owner knew it.
    since: Option<Instant>,
}

/// The lives of one worker.
#[derive(Debug, Default)]
struct Lives {
    /// Those that may have runs, in the order in which they came to be known.
    known: Vec<Known>,
    /// The one that the newest entry names.
    listed: Option<WorkerId>,
    heard: Option<Heard>,
    /// The last that are known to be over.
    past: VecDeque<WorkerId>,
    /// How often another life was found to answer.
    changes: u64,
}

impl Lives {
    fn is_known(&self, life: &str) -> bool {
        self.known.iter().any(|known| known.life == *life)
    }

    /// Whether nothing of the worker needs to be remembered. That calls to it carry a higher fence does: it refuses
    /// lower ones as long as it lives.
    fn is_empty(&self) -> bool {
        self.known.is_empty() && self.changes == 0 && self.listed.is_none()
    }

    /// Takes note that a life has answered.
    fn note_heard(&mut self, life: WorkerId, asked: Instant, now: Instant) {
        self.past.retain(|past| *past != life);
        match &mut self.heard {
            Some(heard) if heard.life == life => heard.at = now,
            heard => {
                *heard = Some(Heard {
                    life,
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
        life: &'a str,
        asked: Instant,
    ) -> impl Iterator<Item = &'a WorkerId> {
        let before = move |known: &&Known| known.since.is_none_or(|since| since < asked);
        let others = self.known.iter().filter(move |known| known.life != *life);
        others.filter(before).map(|known| &known.life)
    }

    /// Remembers that a life is over, if another one has answered since.
    fn bury(&mut self, life: &str) {
        let succeeded = self.heard.as_ref().is_some_and(|heard| heard.life != *life);
        if succeeded && !self.past.iter().any(|past| past == life) {
            self.past.push_back(life.into());
        }
        while self.past.len() > MOST_PAST {
            self.past.pop_front();
        }
    }
}

/// The lives of all workers, by the workers' names.
#[derive(Debug, Default)]
pub(crate) struct LifeTable {
    workers: HashMap<WorkerName, Lives>,
}

impl LifeTable {
    fn get(&self, life: &str) -> Option<&Lives> {
        self.workers.get(name_of(life))
    }

    fn get_mut(&mut self, name: &str) -> &mut Lives {
        if !self.workers.contains_key(name) {
            self.workers.insert(name.to_owned(), Lives::default());
        }
        self.workers.get_mut(name).expect("it is there by now")
    }

    /// The names of all workers that are remembered.
    pub(crate) fn names(&self) -> impl Iterator<Item = &WorkerName> {
        self.workers.keys()
    }

    /// A life is known from now on.
    pub(crate) fn know(&mut self, life: &WorkerId, since: Option<Instant>) {
        let lives = self.get_mut(life.name());
        if !lives.is_known(life) {
            lives.known.push(Known {
                life: life.clone(),
                since,
            });
        }
    }

    /// A life is not known any more: it has been given up.
    pub(crate) fn forget(&mut self, life: &str) {
        let name = name_of(life);
        let Some(lives) = self.workers.get_mut(name) else {
            return;
        };
        lives.known.retain(|known| known.life != *life);
        lives.bury(life);
        if lives.is_empty() {
            self.workers.remove(name);
        }
    }

    /// Takes in which life of a worker the newest entry names, if it says which.
    pub(crate) fn list(&mut self, name: &str, started_at: Option<StartedAtMs>) -> Listing {
        if self.workers.len() >= MOST_WORKERS && !self.workers.contains_key(name) {
            return Listing::Surplus;
        }
        let lives = self.get_mut(name);
        let life = WorkerId::new(name, started_at);
        if lives.past.contains(&life) {
            return Listing::Past;
        }
        // An entry that does not say which life it is of is one of the life that answers.
        let heard = lives.heard.as_ref().map(|heard| heard.life.clone());
        let life = heard.filter(|_| started_at.is_none()).unwrap_or(life);
        lives.listed = Some(life.clone());
        Listing::Of(life)
    }

    /// The worker has no entry any more.
    pub(crate) fn unlist(&mut self, name: &str) {
        let Some(lives) = self.workers.get_mut(name) else {
            return;
        };
        lives.listed = None;
        if lives.is_empty() {
            self.workers.remove(name);
        }
    }

    /// The lives of a worker, oldest first, that are known beside the one that answers and the last few.
    pub(crate) fn surplus(&self, name: &str) -> Vec<WorkerId> {
        let Some(lives) = self.workers.get(name) else {
            return Vec::new();
        };
        let heard = lives.heard.as_ref().map(|heard| &heard.life);
        let known = lives.known.iter().map(|known| &known.life);
        let mut others: Vec<WorkerId> =
            known.filter(|life| Some(*life) != heard).cloned().collect();
        others.truncate(others.len().saturating_sub(MOST_LISTED));
        others
    }

    /// Takes in which life has answered at `now` what another, or the same, was asked at `asked`.
    pub(crate) fn hear(
        &mut self,
        meant: &WorkerId,
        started_at: Option<StartedAtMs>,
        asked: Instant,
        now: Instant,
    ) -> Hearing {
        let lives = self.get_mut(meant.name());
        // An answer that does not say which life gives it is one of the life that is listed.
        let listed = || lives.listed.clone().unwrap_or_else(|| meant.clone());
        let life = started_at.map_or_else(listed, |_| WorkerId::new(meant.name(), started_at));
        let other = lives.heard.as_ref().filter(|heard| heard.life != life);
        let began = other.is_some();
        // Asked before the other was heard of, either may be the later one.
        if other.is_some_and(|heard| asked < heard.at) {
            return Hearing::Overtaken;
        }
        lives.changes += u64::from(began);
        lives.note_heard(life.clone(), asked, now);
        if life == *meant {
            Hearing::Same { began }
        } else {
            Hearing::Over { next: life, began }
        }
    }

    /// The other lives of a worker that are over, and whose runs this one lists if it has them: it has answered a
    /// question that was asked at `asked`, once they were known, with a fence that shuts out calls that were meant for
    /// them.
    pub(crate) fn outlived(&self, life: &str, asked: Instant) -> Vec<WorkerId> {
        let Some(lives) = self.get(life).filter(|lives| lives.known.len() > 1) else {
            return Vec::new();
        };
        let Some(heard) = lives.heard.as_ref().filter(|heard| heard.life == *life) else {
            return Vec::new();
        };
        if lives.changes > 0 && asked <= heard.since {
            return Vec::new();
        }
        lives.known_before(life, asked).cloned().collect()
    }

    /// The other lives of a worker that are over since this one has answered, whatever it lists.
    pub(crate) fn former(&self, life: &str) -> Vec<WorkerId> {
        let Some(lives) = self.get(life) else {
            return Vec::new();
        };
        let heard = lives.heard.as_ref().filter(|heard| heard.life == *life);
        let former = heard.map(|heard| lives.known_before(life, heard.asked));
        former.into_iter().flatten().cloned().collect()
    }

    /// All lives of a worker that are known, by its name.
    pub(crate) fn of(&self, name: &str) -> impl Iterator<Item = &WorkerId> {
        let lives = self.workers.get(name).into_iter();
        lives.flat_map(|lives| lives.known.iter().map(|known| &known.life))
    }

    /// The life of a worker that counts: the one that answered last, else the one that was listed last, else any that is
    /// known.
    pub(crate) fn current(&self, name: &str) -> Option<&WorkerId> {
        let lives = self.workers.get(name)?;
        let heard = lives.heard.as_ref().map(|heard| &heard.life);
        let known = |life: &&WorkerId| lives.is_known(life);
        let listed = lives.listed.as_ref();
        let first = || lives.known.first().map(|known| &known.life);
        heard.filter(known).or(listed.filter(known)).or_else(first)
    }

    /// How often another life of a worker was found to answer.
    pub(crate) fn changes(&self, life: &str) -> u64 {
        self.get(life).map_or(0, |lives| lives.changes)
    }
}
