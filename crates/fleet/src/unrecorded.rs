//! When an owner may start runs that it cannot record, and how the next owner knows that it may have.
//!
//! An owner whose appends stall goes on with work that the log holds. The next owner has no record of that
//! and must meet all workers before it starts what waited. It knows of it by its own trouble with the
//! store, or because the earlier owner told so in a renewal of its lease before it began.

use clock::Instant;
use std::time::Duration;

/// For how long trouble of the store may have effects: entries of workers that lapsed are back 2 s
/// after its end, and answers to appends may be lost for some seconds.
pub const TROUBLE: Duration = Duration::from_millis(8_000);

/// Whether the store was in trouble of late, so that the earlier owner may have started runs that it
/// could not record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// It was not.
    None,
    /// This entry has not run for long enough to know.
    Unknown,
    /// It was.
    Seen,
}

/// What the lease's last record says of runs without records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// There may be some.
    Unrecorded,
    /// There are none: its owner gave the cell up and knew.
    None,
    /// There were none then; its owner went on for a while.
    NoneThen,
}

/// What a new owner has to assume: `seen` is when the store last did not answer this entry, `began` when
/// this entry's process began.
pub fn trouble(told: Told, seen: Option<Instant>, began: Instant, now: Instant) -> Trouble {
    let recent = |at: Instant| now.saturating_duration_since(at) < TROUBLE;
    match (told, seen) {
        (Told::Unrecorded, _) => Trouble::Seen,
        (Told::None, _) => Trouble::None,
        (Told::NoneThen, Some(at)) if recent(at) => Trouble::Seen,
        (Told::NoneThen, _) if recent(began) => Trouble::Unknown,
        (Told::NoneThen, _) => Trouble::None,
    }
}

/// What an owner whose append is under way knows.
#[derive(Clone, Copy, Debug)]
pub struct Stall {
    /// Since when the append is under way.
    pub since: Option<Instant>,
    /// When the renewal was sent that last told of runs without records, and was answered.
    pub announced: Option<Instant>,
    /// Whether others say that the store is away for all.
    pub confirmed: bool,
    /// Whether it is certain that nobody else owns the cell.
    pub certain: bool,
}

impl Stall {
    /// Whether runs may be started without a record: nobody can take over, or one that does will know.
    pub fn may_go_on(self) -> bool {
        let told = match (self.since, self.announced) {
            (Some(since), Some(announced)) => announced > since,
            _ => false,
        };
        self.confirmed || (told && self.certain)
    }
}
