//! Decides when an owner may start runs that it cannot record, and how the next owner knows of this.
//!
//! An owner whose appends stall continues to start runs of jobs that the log already holds. The next owner
//! has no record of these runs and must contact all workers before it starts any run. It knows this because
//! the store did not respond to it either, or because the earlier owner announced the runs in a renewal of
//! its lease beforehand.

use clock::Instant;
use std::time::Duration;

/// The time for which a store outage may have effects: workers' entries that expired during it return up to
/// 2 s after its end, and responses to appends may be lost for several seconds.
pub const STORE_TROUBLE_AGE: Duration = Duration::from_millis(8_000);

/// Whether there was a store outage recently, so that the earlier owner may have started runs that it could
/// not record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreTrouble {
    /// There was no outage.
    None,
    /// This entry has not been running for long enough to know.
    Unknown,
    /// There was an outage.
    Observed,
}

/// The statement of the lease's last record about unrecorded runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnrecordedRuns {
    /// There may be unrecorded runs.
    Possible,
    /// There are none, as the owner knew when it released the cell.
    None,
    /// There were none at the time of this renewal, but the owner continued after it.
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
    /// The sending time of the last confirmed renewal that announced unrecorded runs.
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
