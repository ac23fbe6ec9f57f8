//! The names of workers and the ids of their incarnations.

use serde::{Deserialize, Serialize};
use std::{borrow::Borrow, fmt, ops::Deref};

/// The name under which a worker is listed and called. All its incarnations share it.
pub type WorkerName = String;

/// When an incarnation of a worker started, by its machine's clock, in ms since 1970. The value only
/// distinguishes incarnations; it does not order them.
pub type StartedAtMs = u64;

/// The separator between a worker's name and its start time in the text of a [`WorkerId`].
const SEPARATOR: char = '@';

/// An id of one incarnation of a worker: its name and start time as one text, the form used in records and
/// logs. Workers that do not report a start time have a new name in each incarnation.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WorkerId(String);

impl WorkerId {
    /// Creates the id of the incarnation that started at this time, if the time is known.
    ///
    /// # Examples
    ///
    /// ```
    /// use havenladder_jobs::WorkerId;
    ///
    /// let id = WorkerId::new("w-1", Some(1_700_000_000_000));
    /// assert_eq!(id.name(), "w-1");
    /// assert_eq!(id.started_at(), Some(1_700_000_000_000));
    /// assert_eq!(WorkerId::new("w-1", None).name(), "w-1");
    /// ```
    pub fn new(name: &str, started_at: Option<StartedAtMs>) -> Self {
        WorkerId(match started_at {
            Some(started_at) => format!("{name}{SEPARATOR}{started_at}"),
            // A name that contains the separator must not be read as one with a start time.
            None if name.contains(SEPARATOR) => format!("{name}{SEPARATOR}"),
            None => name.to_owned(),
        })
    }

    /// Returns the name under which the worker is listed.
    pub fn name(&self) -> &str {
        name_of(&self.0)
    }

    /// Returns whether both ids may denote the same incarnation: they are equal, or have the same name and at
    /// least one start time is unknown.
    pub fn may_be(&self, other: &WorkerId) -> bool {
        let unknown = self.started_at().is_none() || other.started_at().is_none();
        self == other || unknown && self.name() == other.name()
    }

    /// Returns the start time, if it is known.
    pub fn started_at(&self) -> Option<StartedAtMs> {
        self.0.rsplit_once(SEPARATOR)?.1.parse().ok()
    }
}

/// Returns the name of the worker in the text of a [`WorkerId`].
pub fn name_of(id: &str) -> &str {
    id.rsplit_once(SEPARATOR).map_or(id, |(name, _)| name)
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
