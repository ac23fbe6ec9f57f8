//! Jobs, their steps, tasks and runs, and the decisions about where and when a run starts.
//!
//! A job has steps and a step has tasks. A task is tried by one run after another, each on one worker. A
//! [`Cell`] holds the jobs and workers that one owner decides about. This crate uses no sockets, clocks or
//! threads: the current time is an argument, and the next actions are returned as values. The caller carries
//! them out once the records that belong to them are durable.

mod account;
mod arrivals;
mod calls;
pub mod capacity;
mod cell;
mod disruption;
mod drain;
mod explain;
mod free_capacity;
mod gang;
mod hall;
mod hall_drains;
mod hall_return;
mod hall_runs;
mod hall_state;
mod headroom;
mod incarnations;
mod inherited_leases;
mod job;
mod loss;
mod near;
mod need;
mod observe;
mod outbox;
mod parts;
mod pass;
mod permit;
mod place;
mod quarantine;
mod rank;
mod record;
mod report;
mod spec;
mod suspect_group;
mod suspicion;
mod vm_orders;
mod worker;
mod worker_id;
mod workers;
mod workspace;

pub use account::{Account, Charge};
pub use calls::{AppendLimits, Calls, NextCall};
pub use cell::{
    Accepted, BoundWait, Cancelled, Cell, Demand, Dispatch, Forecast, Limits, Unschedulable,
};
pub use disruption::Disruption;
pub use explain::Obstacle;
pub use hall::HallId;
pub use hall_drains::{HallDrains, HallOrder};
pub use hall_return::{Return, ReturnLimit};
pub use hall_runs::EarlierRuns;
pub use hall_state::{HallChange, HallRuns, HallState, HallStates, HallStatus, MAX_RETURN_TIME};
pub use incarnations::{Listing, ResponseOutcome};
pub use inherited_leases::{HeldLeases, InheritedLeases, RemainingLeases};
pub use job::{Job, Phase, Round, Task, TaskPhase};
pub use loss::{Ending, Involvement, Loss, LostRun, LostWorker};
pub use need::{Need, Resource};
pub use outbox::{Batch, Order};
pub use parts::Part;
pub use pass::PassCounts;
pub use permit::{Permit, StepId};
pub use record::{Decoded, Entry, RecordError, State, decode_entry};
pub use report::{EndRow, Refusal, Report, RunOutcome, RunRow};
pub use spec::{JobSpec, MAX_TASKS, Schedule, SpecError, Step, Submission};
pub use suspicion::{Crash, CrashHistory};
pub use vm_orders::Holder;
pub use worker::{RunPhase, Worker, WorkerInfo};
pub use worker_id::{StartedAtMs, WorkerId, WorkerName, name_of};
pub use workers::Workers;
pub use workspace::{Bound, WorkspaceId};

use std::fmt;

/// An identifier of a job, chosen by its caller: 64 bits, written as 16 hex digits.
pub type JobId = u64;

/// The name of a rack, which is one of the labels of its workers.
pub type RackId = String;

/// The name of a queue of jobs.
pub type QueueId = String;

/// The name of a service, whose workers run the jobs of its queues.
pub type ServiceId = String;

/// The number of a run among the runs of its task, counted from 1.
pub type RunId = u32;

/// An identifier of one task: the job, its round, the step and the task's index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The round (repeat) of the job, from 0.
    pub round: u32,
    /// The step, from 0.
    pub step: u32,
    /// The index of the task within its step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:016x}.{}.{}.{}",
            self.job, self.round, self.step, self.index
        )
    }
}
