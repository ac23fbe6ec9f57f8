//! Decides which entries read the records that the platform publishes, and which ones receive them from
//! another entry.
//!
//! A few entries of each data centre are readers. The others follow a reader or another follower. The owner
//! of the cell assigns the sources, since all entries know its address; an entry that has an assignment
//! keeps it without the owner. Each entry has a limited number of followers and redirects further ones to
//! one of these, so that the depth of the tree grows logarithmically with the number of entries.

use crate::{MilliCpu, outranks};
use clock::Instant;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The address at which an entry accepts calls from other entries, as IP and port.
pub type Address = String;

/// The number of entries in a data centre that read from the platform: one of them may fail.
pub const READERS_PER_HALL: usize = 2;

/// The maximum number of direct followers of an entry, which share its link when there is an update.
pub const MAX_FOLLOWERS: usize = 8;

/// The time since its last request after which an entry loses its assignment.
pub const ASSIGNMENT_TIMEOUT: Duration = Duration::from_millis(3_500);

/// The age from which an entry's data is too old to be passed on. A reader that is connected to the
/// platform never has older data: a read waits for 0.8 s, and two slow responses may come on top.
pub const STALE_AGE: Duration = Duration::from_millis(1_500);

/// An entry that asks for an assignment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowerInfo {
    /// The address at which the entry accepts calls.
    pub address: Address,
    /// The entry's data centre.
    pub hall: String,
    /// The entry's share of CPU.
    pub cpu: MilliCpu,
    /// The time since the entry's data was known to be the newest.
    pub age: Duration,
}

/// The source from which an entry receives the published records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Source {
    /// The platform itself.
    Platform,
    /// The entry at this address, or one that it redirects to.
    Entry(Address),
}

/// An entry that has an assignment.
#[derive(Clone, Debug)]
struct AssignedEntry {
    info: FollowerInfo,
    /// The time of its last request.
    last_request: Instant,
}

/// The entries that have assignments.
#[derive(Clone, Debug, Default)]
struct AssignedEntries(Vec<AssignedEntry>);

impl AssignedEntries {
    /// Removes the entries whose last request is too long ago, and the entry `info`, which is about to be
    /// added again.
    fn remove_outdated(&mut self, info: &FollowerInfo, now: Instant) {
        self.0.retain(|entry| {
            now < entry.last_request + ASSIGNMENT_TIMEOUT && entry.info.address != info.address
        });
    }

    fn add(&mut self, info: FollowerInfo, now: Instant) {
        self.0.push(AssignedEntry {
            info,
            last_request: now,
        });
    }

    /// Replaces the weakest entry that passes `allowed`, if `info` is much stronger. Returns whether it
    /// did.
    fn replace_weakest(
        &mut self,
        info: &FollowerInfo,
        now: Instant,
        allowed: impl Fn(&FollowerInfo) -> bool,
    ) -> bool {
        let entries = self.0.iter_mut().filter(|entry| allowed(&entry.info));
        let weakest = entries.min_by_key(|entry| entry.info.cpu);
        let Some(weakest) = weakest.filter(|other| outranks(info.cpu, other.info.cpu)) else {
            return false;
        };
        *weakest = AssignedEntry {
            info: info.clone(),
            last_request: now,
        };
        true
    }

    /// Returns the address of one of the entries that pass `allowed`, chosen by the random number `draw`.
    fn pick_random(&self, draw: usize, allowed: impl Fn(&FollowerInfo) -> bool) -> Option<Address> {
        let entries = self.0.iter().filter(|entry| allowed(&entry.info));
        let fitting: Vec<&AssignedEntry> = entries.collect();
        let chosen = fitting.get(draw.checked_rem(fitting.len())?)?;
        Some(chosen.info.address.clone())
    }
}

/// The readers, as the owner of the cell knows them.
#[derive(Clone, Debug, Default)]
pub struct Readers(AssignedEntries);

impl Readers {
    /// Assigns a source to an entry. It becomes a reader if its data centre has too few of them or a much
    /// weaker one; otherwise it follows a reader, preferably one of its own data centre. An entry that gets
    /// no responses from the platform becomes a reader only if there is no other. `draw` is a random
    /// number.
    pub fn assign(&mut self, info: FollowerInfo, draw: usize, now: Instant) -> Source {
        self.0.remove_outdated(&info, now);
        let same_hall = |other: &FollowerInfo| other.hall == info.hall;
        if info.age <= STALE_AGE {
            let readers = self.0.0.iter().filter(|entry| same_hall(&entry.info));
            if readers.count() < READERS_PER_HALL {
                self.0.add(info, now);
                return Source::Platform;
            }
            if self.0.replace_weakest(&info, now, same_hall) {
                return Source::Platform;
            }
        }
        let nearby = self.0.pick_random(draw, same_hall);
        let reader = nearby.or_else(|| self.0.pick_random(draw, |_| true));
        reader.map_or(Source::Platform, Source::Entry)
    }

    /// Returns the addresses of the readers whose last request was recent enough.
    pub fn addresses(&self, now: Instant) -> Vec<Address> {
        let entries = self.0.0.iter();
        let recent = entries.filter(|entry| now < entry.last_request + ASSIGNMENT_TIMEOUT);
        recent.map(|entry| entry.info.address.clone()).collect()
    }
}

/// The direct followers of an entry.
#[derive(Clone, Debug, Default)]
pub struct Followers(AssignedEntries);

/// The response to an entry that asks to become a follower.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The entry is accepted as a follower.
    Accepted,
    /// The entry has to follow this one instead.
    Redirected(Address),
}

impl Followers {
    /// Accepts a follower, or redirects it to one of the present followers. `draw` is a random number.
    pub fn admit(&mut self, info: FollowerInfo, draw: usize, now: Instant) -> Admission {
        self.0.remove_outdated(&info, now);
        if self.0.0.len() < MAX_FOLLOWERS {
            self.0.add(info, now);
            return Admission::Accepted;
        }
        if self.0.replace_weakest(&info, now, |_| true) {
            return Admission::Accepted;
        }
        let other = self.0.pick_random(draw, |_| true);
        other.map_or(Admission::Accepted, Admission::Redirected)
    }
}
