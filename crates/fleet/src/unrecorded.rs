//! Decides when an owner may start runs that it cannot record, and how the next owner knows of this.
//!
//! An owner whose appends stall continues with the work that the log already holds. The next owner has no
//! record of these runs and must contact all workers before it starts waiting work. It knows this from its
//! own trouble with the store, or because the earlier owner announced it in a renewal of its lease
//! beforehand.

use clock::Instant;
use std::time::Duration;

/// The time for which store trouble may have effects: entries of workers that expired return up to 2 s
/// after its end, and responses to appends may be lost for several seconds.
pub const STORE_TROUBLE_AGE: Duration = Duration::from_millis(8_000);

/// Whether the store was recently in trouble, so that the earlier owner may have started runs that it could
/// not record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreTrouble {
    /// The store was not in trouble.
    None,
    /// This entry has not been running for long enough to know.
    Unknown,
    /// The store was in trouble.
    Observed,
}

/// The statement of the lease's last record about unrecorded runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnrecordedRuns {
    /// There may be unrecorded runs.
    Possible,
    /// There are none, as the owner knew when it released the cell.
    None,
    /// There were none at that renewal, but the owner continued for a while.
    NoneAtRenewal,
}

/// Returns what a new owner has to assume. `last_trouble` is the last time at which the store did not
/// respond to this entry; `started_at` is the start of this entry's process.
pub fn store_trouble(
    reported: UnrecordedRuns,
    last_trouble: Option<Instant>,
    started_at: Instant,
    now: Instant,
) -> StoreTrouble {
    let recent = |at: Instant| now.saturating_duration_since(at) < STORE_TROUBLE_AGE;
    match (reported, last_trouble) {
        (UnrecordedRuns::Possible, _) => StoreTrouble::Observed,
        (UnrecordedRuns::None, _) => StoreTrouble::None,
        (UnrecordedRuns::NoneAtRenewal, Some(at)) if recent(at) => StoreTrouble::Observed,
        (UnrecordedRuns::NoneAtRenewal, _) if recent(started_at) => StoreTrouble::Unknown,
        (UnrecordedRuns::NoneAtRenewal, _) => StoreTrouble::None,
    }
}

/// The knowledge of an owner about an append in progress.
#[derive(Clone, Copy, Debug)]
pub struct Stall {
    /// The start of the append.
    pub since: Option<Instant>,
    /// The time at which the last renewal was sent that announced unrecorded runs and that was confirmed.
    pub announced: Option<Instant>,
    /// Whether other entries report that the store is unavailable for all.
    pub outage_confirmed: bool,
    /// Whether it is certain that no other entry owns the cell.
    pub sole_owner: bool,
}

impl Stall {
    /// Returns whether runs may be started without a record: either no other entry can take over, or one
    /// that does will know of them.
    pub fn may_start_unrecorded(self) -> bool {
        let reported = match (self.since, self.announced) {
            (Some(since), Some(announced)) => announced > since,
            _ => false,
        };
        self.outage_confirmed || (reported && self.sole_owner)
    }
}
