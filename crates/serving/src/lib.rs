//! Decisions about requests: admission, placement, retries, claims and worker health.
//!
//! Nothing in here knows a socket or a clock; events come in with the time, commands go out.

mod admit;
mod burn;
mod claim;
mod estimate;
mod health;
mod job;
mod pool;
mod queue;
mod retry;
mod scheduler;
mod worker;

pub use burn::{Burn, WINDOWS, Window, burn_rate};
pub use claim::{
    Claim, ClaimDecision, ClaimRecord, ClaimRegistry, ClaimState, ClaimVerdict, Entry, Key,
    KeyError, MAX_KEY_AGE, MAX_KEY_AHEAD, read_key,
};
pub use estimate::Estimate;
pub use job::{
    AttemptEnd, AttemptId, Command, Event, Job, NotRun, NotRunReason, Outcome, RequestId, Target,
};
pub use scheduler::Scheduler;
pub use worker::{Peer, WorkerInfo};
