//! Jobs, their steps, tasks and runs, and the decisions about where and when a run starts.
//!
//! A job has steps, a step has tasks, and a task is tried by runs, one after the other, each on one
//! worker. A [`Cell`] holds the jobs and workers that one owner decides about. Nothing in here knows
//! a socket, a clock or a thread: time is an argument, and what has to be done next is returned as
//! values that the caller carries out once the records that belong to them are durable.

mod account;
mod arrivals;
mod cell;
mod disruption;
mod drain;
mod explain;
mod gang;
mod hall;
mod hall_drains;
mod incarnations;
mod job;
mod loss;
mod near;
mod need;
mod observe;
mod outbox;
mod pass;
mod permit;
mod place;
mod quarantine;
mod rank;
mod record;
mod report;
mod spec;
mod suspicion;
mod vm_orders;
mod worker;
mod worker_id;
mod workers;
mod workspace;

pub use account::{Account, Charge};
pub use cell::{Accepted, BoundWait, Cancelled, Cell, Demand, Foreseen, Limits, Roomless};
pub use disruption::Disruption;
pub use explain::Obstacle;
pub use hall::HallId;
pub use hall_drains::{HallDrains, HallOrder};
pub use incarnations::{AnswerOutcome, Listing};
pub use job::{Job, Phase, Round, Task, TaskPhase};
pub use loss::{Ending, Involvement, Loss, LostRun, LostWorker};
pub use need::{Need, Resource};
pub use outbox::{Batch, Order};
pub use permit::{Permit, StepId};
pub use record::{Decoded, Entry, RecordError, State, decode_entry};
pub use report::{EndRow, Refusal, Report, RunOutcome, RunRow};
pub use spec::{JobSpec, Schedule, SpecError, Step, Submission};
pub use suspicion::{Crash, CrashHistory};
pub use vm_orders::Holder;
pub use worker::{RunPhase, Worker, WorkerInfo};
pub use worker_id::{StartedAtMs, WorkerId, WorkerName, name_of};
pub use workers::Workers;
pub use workspace::{Bound, WorkspaceId};

use std::fmt;

/// A job, chosen by its caller: 64 bits, shown as 16 hex digits.
pub type JobId = u64;

/// A rack, by the label that its workers have.
pub type RackId = String;

/// A queue of jobs.
pub type QueueId = String;

/// A service, whose workers run the jobs of its queues.
pub type ServiceId = String;

/// A number that counts the starts of a task, rising from 1.
pub type RunId = u32;

/// One task of a job: which repeat of the job, which step, which task of the step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The repeat of the job, from 0.
    pub round: u32,
    /// The step, from 0.
    pub step: u32,
    /// The task of the step, from 0.
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
