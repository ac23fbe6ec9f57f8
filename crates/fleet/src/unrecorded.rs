//! When an owner may start runs that it cannot record, and how the next owner knows that it may have.
//!
//! An owner whose appends stall goes on with work that the log holds. The next owner has no record of that
//! and must meet all workers before it starts what waited. It knows of it by its own trouble with the
//! store, or because the earlier owner told so in a renewal of its lease before it began.

use clock::Instant;
use std::time::Duration;

/// For how long trouble of the store may have effects: entries of workers that lapsed are back 2 s
/// after its end, and answers to appends may be lost for some seconds.
pub const STORE_TROUBLE_AGE: Duration = Duration::from_millis(8_000);

/// Whether the store was in trouble of late, so that the earlier owner may have started runs that it
/// could not record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreTrouble {
    /// It was not.
    None,
    /// This entry has not run for long enough to know.
    Unknown,
    /// It was.
    Observed,
}

/// What the lease's last record says of runs without records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnrecordedRuns {
    /// There may be some.
    Possible,
    /// There are none: its owner gave the cell up and knew.
    None,
    /// There were none then; its owner went on for a while.
    NoneAtRenewal,
}

/// What a new owner has to assume: `seen` is when the store last did not answer this entry, `began` when
/// this entry's process began.
pub fn store_trouble(
    told: UnrecordedRuns,
    seen: Option<Instant>,
    began: Instant,
    now: Instant,
) -> StoreTrouble {
    let recent = |at: Instant| now.saturating_duration_since(at) < STORE_TROUBLE_AGE;
    match (told, seen) {
        (UnrecordedRuns::Possible, _) => StoreTrouble::Observed,
        (UnrecordedRuns::None, _) => StoreTrouble::None,
        (UnrecordedRuns::NoneAtRenewal, Some(at)) if recent(at) => StoreTrouble::Observed,
        (UnrecordedRuns::NoneAtRenewal, _) if recent(began) => StoreTrouble::Unknown,
        (UnrecordedRuns::NoneAtRenewal, _) => StoreTrouble::None,
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
    pub outage_confirmed: bool,
    /// Whether it is certain that nobody else owns the cell.
    pub sole_owner: bool,
}

impl Stall {
    /// Whether runs may be started without a record: nobody can take over, or one that does will know.
    pub fn may_start_unrecorded(self) -> bool {
        let told = match (self.since, self.announced) {
            (Some(since), Some(announced)) => announced > since,
            _ => false,
        };
        self.outage_confirmed || (told && self.sole_owner)
    }
}
