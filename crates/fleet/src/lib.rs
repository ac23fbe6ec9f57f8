//! The agreed state of the fleet and the decisions about what may be done next, derived from the platform's
//! log.
//!
//! Every entry applies the same records in offset order through [`Fleet::apply`] and therefore reaches the
//! same decisions without communicating. The crate does no I/O and reads no clock: time comes from the
//! records or from arguments.

mod backoff;
mod bound;
mod budget;
mod election;
mod first_sent;
mod fold;
mod grant;
mod link_queue;
mod member;
mod moves;
mod outage;
mod plan;
mod publish;
mod rate;
mod reach;
mod record;
mod replication;
mod response_time;
mod sizing;
mod snapshot;
mod state;
mod unrecorded;
mod wave;

pub use backoff::Backoff;
pub use bound::{WaveVmState, wave_headroom};
pub use budget::{PoolCount, TightestBudget, tightest_budget};
pub use election::{
    ANSWERING_OWNER_TIMEOUT, Claim, Election, Holder, LEASE_TIMEOUT, MIN_OWNERSHIP_AGE, MilliCpu,
    SILENT_OWNER_TIMEOUT, WEAKER_CLAIM_DELAY, outranks,
};
pub use first_sent::{FirstSent, LogPosition};
pub use link_queue::LinkQueue;
pub use moves::{BudgetHeadroom, ProposedGrant, min_moves, next_moves};
pub use outage::{ServiceReport, is_isolated, is_unavailable};
pub use plan::{Action, Evidence, View, VmObservation, next_action, plan, token_without_grant};
pub use rate::RateLimit;
pub use reach::{CUT_OFF_TIMEOUT, MIN_RENEWAL_DELAY, OWNER_SILENCE_TIMEOUT, PROBE_DELAY, Reach};
pub use record::{
    Change, GrantPurpose, GrantRequest, LeaseRequest, Observation, ObservedState, Outcome,
    PathChange, Reason, Record, WaveChange,
};
pub use replication::{
    ASSIGNMENT_TIMEOUT, Address, Admission, FollowerInfo, Followers, MAX_FOLLOWERS,
    READERS_PER_HALL, Readers, STALE_AGE, Source,
};
pub use response_time::{ResponseTime, next_timeout};
pub use sizing::{
    DrainableVm, IdleVm, PoolDemand, Resize, SizingLimits, VmMove, lacks_vms, resize,
};
pub use snapshot::{Chunk, SnapshotError, assemble, chunks, decode_snapshot, encode_snapshot};
pub use state::{
    Fleet, Grant, Health, RecordOrigin, SPARE_POOL, Step, Vm, Wave, WaveId, WaveState,
};
pub use unrecorded::{STORE_TROUBLE_AGE, Stall, StoreTrouble, UnrecordedRuns, store_trouble};
pub use wave::{Progress, next_reboots, progress};

use std::time::Duration;

/// The maximum difference assumed between two clocks. A lease is taken over only this long after its
/// deadline.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(2);

/// The maximum duration of a grant's lease.
pub const MAX_LEASE: Duration = Duration::from_secs(600);

/// The maximum time ahead at which a record may set its own expiry.
pub const MAX_RECORD_EXPIRY: Duration = Duration::from_secs(120);
