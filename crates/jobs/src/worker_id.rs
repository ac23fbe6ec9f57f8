//! What names a worker, and what names one life of it.

use serde::{Deserialize, Serialize};
use std::{borrow::Borrow, fmt, ops::Deref};

/// The id under which a worker is listed and called; its lives follow each other under it.
pub type WorkerName = String;

/// When a life of a worker began by its machine's clock, in ms since 1970. It tells lives apart, and nothing else.
pub type StartedAtMs = u64;

/// What parts a worker's name from the time of its life's beginning in the text of a [`WorkerId`].
const PART: char = '@';

/// One life of a worker: its name and when that life began, as one text, which is what records and logs hold. Workers
/// that do not tell when they began have a new name in each life.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WorkerId(String);

impl WorkerId {
    /// The life of a worker that began then, if that is known.
    ///
    /// # Examples
    ///
    /// ```
    /// use havenladder_jobs::WorkerId;
    ///
    /// let life = WorkerId::new("w-1", Some(1_700_000_000_000));
    /// assert_eq!(life.name(), "w-1");
    /// assert_eq!(life.started_at(), Some(1_700_000_000_000));
    /// assert_eq!(WorkerId::new("w-1", None).name(), "w-1");
    /// ```
    pub fn new(name: &str, started_at: Option<StartedAtMs>) -> Self {
        WorkerId(match started_at {
            Some(started_at) => format!("{name}{PART}{started_at}"),
            // A name that holds the sign itself must not be taken for one with a time.
            None if name.contains(PART) => format!("{name}{PART}"),
            None => name.to_owned(),
        })
    }

    /// The id under which it is listed.
    pub fn name(&self) -> &str {
        name_of(&self.0)
    }

    /// Whether both may be one life: they are of one worker, and are the same or one of them is not known.
    pub fn may_be(&self, other: &WorkerId) -> bool {
        let unknown = self.started_at().is_none() || other.started_at().is_none();
        self == other || unknown && self.name() == other.name()
    }

    /// When it began, if it tells that.
    pub fn started_at(&self) -> Option<StartedAtMs> {
        self.0.rsplit_once(PART)?.1.parse().ok()
    }
}

/// The name of the worker whose life this text stands for.
pub fn name_of(life: &str) -> &str {
    life.rsplit_once(PART).map_or(life, |(name, _)| name)
}

impl From<&str> for WorkerId {
    fn from(text: &str) -> Self {
        WorkerId(text.to_owned())
    }
}

impl Deref for WorkerId {
    type Target = str;

    fn deref(&self) -> &str {
        &self.0
    }
}

impl Borrow<str> for WorkerId {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl PartialEq<str> for WorkerId {
    fn eq(&self, other: &str) -> bool {
        self.0 == other
    }
}

impl PartialEq<&str> for WorkerId {
    fn eq(&self, other: &&str) -> bool {
        self.0 == **other
    }
}

impl fmt::Display for WorkerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
