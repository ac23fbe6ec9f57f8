//! Which entries read what the platform publishes, and which are told by another entry.
//!
//! A few entries of each data centre read for themselves; the others follow one of these, or one that follows. The owner
//! of the cell places entries, since all of them know its address; whoever has a place goes on without it. Each entry has
//! few followers, and sends the next one on to one of these: the tree grows in depth as the logarithm of the entries.

use crate::{MilliCpu, outranks};
use clock::Instant;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Where an entry takes the calls of others, as IP and port.
pub type Address = String;

/// How many entries of a data centre read: one may be lost.
pub const READERS_PER_HALL: usize = 2;

/// How many entries follow one: a configuration of 50 KB takes 0.16 s to all of them on a link of 20 Mbit/s.
pub const MAX_FOLLOWERS: usize = 8;

/// After which silence an entry gives its place up.
pub const ASSIGNMENT_TIMEOUT: Duration = Duration::from_millis(3_500);

/// From which age on what an entry knows is too old to be passed on: readers in touch are never older than the 0.8 s for
/// which a read waits and two slow answers.
pub const STALE_AGE: Duration = Duration::from_millis(1_500);

/// An entry that asks for a place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowerInfo {
    /// Where it takes calls.
    pub address: Address,
    /// Its data centre.
    pub hall: String,
    /// Its part of a core.
    pub cpu: MilliCpu,
    /// How long ago what it knows was the newest for certain.
    pub age: Duration,
}

/// Where an entry has its news from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Source {
    /// The platform.
    Platform,
    /// This entry, or one that it names.
    Entry(Address),
}

/// An entry that has a place.
#[derive(Clone, Debug)]
struct Member {
    info: FollowerInfo,
    /// When it last asked.
    seen: Instant,
}

/// Entries that have places.
#[derive(Clone, Debug, Default)]
struct Members(Vec<Member>);

impl Members {
    /// Forgets those that have not asked for long, and a seeker that asks anew.
    fn forget(&mut self, info: &FollowerInfo, now: Instant) {
        self.0.retain(|member| {
            now < member.seen + ASSIGNMENT_TIMEOUT && member.info.address != info.address
        });
    }

    fn add(&mut self, info: FollowerInfo, now: Instant) {
        self.0.push(Member { info, seen: now });
    }

    /// Gives the place of the weakest one that passes a test to a seeker that is much stronger; false if none is.
    fn replace(
        &mut self,
        info: &FollowerInfo,
        now: Instant,
        may: impl Fn(&FollowerInfo) -> bool,
    ) -> bool {
        let members = self.0.iter_mut().filter(|member| may(&member.info));
        let weakest = members.min_by_key(|member| member.info.cpu);
        let Some(weakest) = weakest.filter(|other| outranks(info.cpu, other.info.cpu)) else {
            return false;
        };
        *weakest = Member {
            info: info.clone(),
            seen: now,
        };
        true
    }

    /// One of those that pass a test, by a number drawn at random.
    fn pick(&self, draw: usize, may: impl Fn(&FollowerInfo) -> bool) -> Option<Address> {
        let members = self.0.iter().filter(|member| may(&member.info));
        let fitting: Vec<&Member> = members.collect();
        let chosen = fitting.get(draw.checked_rem(fitting.len())?)?;
        Some(chosen.info.address.clone())
    }
}

/// The entries that read, as the owner of the cell knows them.
#[derive(Clone, Debug, Default)]
pub struct Readers(Members);

impl Readers {
    /// Gives an entry a place: it reads where its data centre has too few readers, or a much weaker one; else it follows a
    /// reader, of its own data centre if there is one. One that the platform does not answer reads only where nobody else
    /// does. `draw` is a number drawn at random.
    pub fn assign(&mut self, info: FollowerInfo, draw: usize, now: Instant) -> Source {
        self.0.forget(&info, now);
        let here = |other: &FollowerInfo| other.hall == info.hall;
        if info.age <= STALE_AGE {
            let readers = self.0.0.iter().filter(|member| here(&member.info));
            if readers.count() < READERS_PER_HALL {
                self.0.add(info, now);
                return Source::Platform;
            }
            if self.0.replace(&info, now, here) {
                return Source::Platform;
            }
        }
        let near = self.0.pick(draw, here);
        let reader = near.or_else(|| self.0.pick(draw, |_| true));
        reader.map_or(Source::Platform, Source::Entry)
    }

    /// Where those take calls that have asked of late.
    pub fn addresses(&self, now: Instant) -> Vec<Address> {
        let members = self.0.0.iter();
        let recent = members.filter(|member| now < member.seen + ASSIGNMENT_TIMEOUT);
        recent.map(|member| member.info.address.clone()).collect()
    }
}

/// The entries that follow one.
#[derive(Clone, Debug, Default)]
pub struct Followers(Members);

/// What becomes of an entry that wants to follow another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may.
    Accepted,
    /// It is to follow this one instead.
    Redirected(Address),
}

impl Followers {
    /// Takes a follower, or sends it on to one of those there are. `draw` is a number drawn at random.
    pub fn admit(&mut self, info: FollowerInfo, draw: usize, now: Instant) -> Admission {
        self.0.forget(&info, now);
        if self.0.0.len() < MAX_FOLLOWERS {
            self.0.add(info, now);
            return Admission::Accepted;
        }
        if self.0.replace(&info, now, |_| true) {
            return Admission::Accepted;
        }
        let other = self.0.pick(draw, |_| true);
        other.map_or(Admission::Accepted, Admission::Redirected)
    }
}
