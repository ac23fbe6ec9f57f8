//! Decisions about requests: admission, placement, retries, claims and worker health.
//!
//! The crate uses neither sockets nor clocks. Events come in with the current time, and commands go out.

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
    Claim, ClaimDecision, ClaimItem, ClaimRecord, ClaimRegistry, ClaimState, ClaimVerdict, Key,
    KeyError, MAX_KEY_AGE, MAX_KEY_AHEAD, read_key,
};
pub use estimate::Estimate;
pub use job::{
    AttemptEnd, AttemptId, Command, Event, Job, NotRun, NotRunReason, Outcome, RequestId, Target,
};
pub use scheduler::Scheduler;
pub use worker::{Peer, WorkerInfo};
