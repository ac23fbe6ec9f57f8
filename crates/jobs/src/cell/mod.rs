//! State of the jobs and workers that one owner manages, and the transitions that events cause.

mod adopted_runs;
mod backlog;
mod bound_backlog;
mod crashes;
mod demand;
mod dispatch;
mod durable;
mod ends;
mod incarnations;
mod ledger;
mod limits;
mod queue;
mod runs;
mod shares;
mod slack;
mod takeover;
mod takeover_barrier;
mod vm_capacity;
mod withdraw;
mod workers;

pub use backlog::Forecast;
pub use demand::{Demand, Unschedulable};
pub use dispatch::Dispatch;
pub use ledger::BoundWait;
pub(crate) use ledger::charge_of;
pub use limits::Limits;

use crate::{
    Charge, Entry, HallId, HallStates, Job, JobId, Need, Order, Phase, QueueId, RunId, ServiceId,
    Submission, TaskId, TaskPhase, WorkerId, Workers,
    arrivals::Arrivals,
    hall_return::Returns,
    incarnations::IncarnationTable,
    near::DataRackWaits,
    pass::{Pass, PassCounts},
    permit::{Permits, StepId},
    rank::Rank,
    suspicion::Suspicions,
    vm_orders::VmOrders,
    worker::{Load, RunKind},
};
use backlog::Backlog;
use bound_backlog::BoundBacklogs;
use clock::Instant;
use ledger::Ledger;
use shares::Shares;
use slack::SlackTargets;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use takeover_barrier::TakeoverBarrier;

/// The outcome of submitting a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Accepted {
    /// The job is new. It counts as accepted once its record is durable.
    New,
    /// The job had already been submitted.
    Known,
}

/// The outcome of a request to cancel a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancelled {
    /// The job was over already, or is cancelled once the record of that is durable.
    Done,
    /// No such job exists.
    Unknown,
}

/// A run that an earlier owner placed on a worker that no worker list has named since.
#[derive(Clone, Debug)]
struct Orphan {
    /// The task that the run belongs to.
    task: TaskId,
    /// The number of the run.
    run: RunId,
    /// The part of the workspace's account that the run uses.
    charge: Option<Charge>,
}

/// The jobs and workers of one owner.
#[derive(Debug, Default)]
pub struct Cell {
    /// Thresholds and durations that scheduling decisions depend on.
    pub limits: Limits,
    /// The workers that the platform lists.
    pub workers: Workers,
    /// The data centres that are to be drained.
    pub(crate) drained_halls: BTreeSet<HallId>,
    /// The state of each data centre, as of the last update.
    pub(crate) hall_states: HallStates,
    /// The data centres that return to service.
    pub(crate) returns: Returns,
    /// All jobs, including those that are over.
    pub jobs: HashMap<JobId, Job>,
    /// The tasks that wait for capacity, by service, in the order in which they are placed.
    pub(crate) waiting: BTreeMap<ServiceId, BTreeSet<Rank>>,
    /// The rounds that are not due yet: due time in ms since 1970, job, and index of the round.
    round_timers: BTreeSet<(u64, JobId, u32)>,
    /// The known incarnations of each worker.
    incarnations: IncarnationTable,
    /// The runs that an earlier owner placed on workers that no worker list has named since.
    orphans: HashMap<WorkerId, Vec<Orphan>>,
    /// The usage of workspaces, and the tasks that wait for their workspace's bound.
    ledger: Ledger,
    /// The work that workspaces have submitted to each service.
    shares: Shares,
    /// The work that waits for each service.
    backlogs: HashMap<ServiceId, Backlog>,
    /// The work that waits for the bounds of workspaces.
    bound_backlogs: BoundBacklogs,
    /// How fast the owner sends starts.
    pub(crate) dispatch: Dispatch,
    /// The bytes of the starts that jobs need until their ends, including jobs accepted since the last update.
    start_backlog: u64,
    /// The jobs that have no record yet.
    new_jobs: HashSet<JobId>,
    /// The jobs whose state has changed since the last batch of records.
    dirty: HashSet<JobId>,
    /// Records to be removed that earlier owners have left of jobs that are over.
    obsolete: Vec<Entry>,
    /// The highest end of each worker that has been processed since the last batch of records.
    acknowledged: BTreeMap<WorkerId, u64>,
    /// The starts that wait until the records of their tasks are durable.
    pub(crate) starts: Vec<Order>,
    /// The orders that need no record.
    pub(crate) urgent: Vec<Order>,
    /// The position of the next job in the order of arrival.
    next_order: u64,
    /// The tasks whose last run was lost: no worker has listed its end.
    pub(crate) lost_tasks: HashSet<TaskId>,
    /// The tasks that are suspected of having crashed workers.
    pub(crate) suspicions: Suspicions,
    /// The conditions that must hold before tasks that waited under an earlier owner may start.
    pub(crate) takeover_barrier: TakeoverBarrier,
    /// The VMs that this owner and earlier ones have given orders about.
    pub(crate) vm_orders: VmOrders,
    /// The workers that may run the steps of queues that require permits.
    pub(crate) permits: HashMap<StepId, Permits>,
    /// The time of day of the last check for due rounds, in ms since 1970.
    wall_ms: u64,
    /// The arrivals of recent jobs at each service: their time in ms since 1970, and their work as needs
    /// times seconds.
    arrivals: HashMap<ServiceId, Arrivals>,
    /// The jobs that are not over and of which a worker has run a task.
    begun_jobs: HashSet<JobId>,
    /// For each live job with anti-affinity, the number of workers that its widest such step needs.
    anti_affinity_jobs: HashMap<JobId, usize>,
    /// The services that have had a job whose steps all end by themselves.
    finite_services: HashSet<ServiceId>,
    /// The ratio of actual to estimated run time, by queue.
    pub(crate) estimate_factors: HashMap<QueueId, f64>,
    /// The slack that jobs of each queue must have when they start.
    slack_targets: SlackTargets,
    /// The tasks that wait for capacity near their data.
    pub(crate) near: DataRackWaits,
    /// The time of the next check for stalled runs.
    pub(crate) stall_check_due: Option<Instant>,
    /// The long-running tasks of each service that could not be placed in its last pass.
    pub(crate) unschedulable: HashMap<ServiceId, Vec<TaskId>>,
    /// What the last pass over each service came to.
    pub(crate) pass_counts: HashMap<ServiceId, PassCounts>,
    /// What the current pass over a service has found.
    pub(crate) pass: Pass,
    /// Where the last pass over each service ended that did not try all waiting tasks.
    pub(crate) resume_after: HashMap<ServiceId, Rank>,
    /// The last job without any run that each service tried beyond the limits of returning data centres.
    pub(crate) last_idle: HashMap<ServiceId, Rank>,
    /// The workers that are kept free in the current pass for tasks that fit on no worker.
    pub(crate) reserved_workers: HashSet<WorkerId>,
    /// The VMs that have been maintained, by wave.
    maintained_vms: BTreeMap<u64, BTreeSet<String>>,
    /// The waves with VMs that have been maintained since the last batch of records.
    unrecorded_waves: BTreeSet<u64>,
}

impl Cell {
    /// Creates a cell without jobs.
    pub fn new(limits: Limits) -> Self {
        Cell {
            limits,
            ..Cell::default()
        }
    }

    /// Accepts a job unless it is known already.
    pub fn accept(&mut self, submission: Submission) -> Accepted {
        let id = submission.id;
        if self.jobs.contains_key(&id) {
            return Accepted::Known;
        }
        self.add_to_backlog(&submission);
        if !submission.spec.is_long_running() {
            self.finite_services.insert(submission.service.clone());
            // Work that waits for its workspace's bound needs no more VMs, however much of it arrives.
            if !self.is_at_bound(&submission) {
                self.record_inflow(&submission);
            }
        }
        let job = Job::new(submission, self.next_order);
        self.next_order = self.next_order.saturating_add(1);
        self.jobs.insert(id, job);
        self.open_account(id);
        self.assign_virtual_start(id);
        self.record_anti_affinity(id);
        self.new_jobs.insert(id);
        self.dirty.insert(id);
        self.set_timers(id);
        self.enqueue_all(id);
        Accepted::New
    }

    /// Cancels a job at its caller's request.
    pub fn cancel(&mut self, id: JobId) -> Cancelled {
        match self.jobs.get(&id).map(|job| job.phase) {
            None => Cancelled::Unknown,
            Some(phase) if phase.is_over() => Cancelled::Done,
            Some(_) => {
                self.finish(id, Phase::Cancelled);
                Cancelled::Done
            }
        }
    }

    /// Returns how many jobs of a queue have not begun. A job has begun once a worker has reported a run of
    /// one of its tasks; an ordered start alone does not count, since it may be lost on its way.
    pub fn pending(&self, queue: &str) -> usize {
        let waits = |job: &&Job| {
            job.submission.queue == queue
                && !job.phase.is_over()
                && !self.begun_jobs.contains(&job.submission.id)
        };
        self.jobs.values().filter(waits).count()
    }

    /// Records that a worker has reported a current or past run of a task of this job.
    pub(crate) fn mark_begun(&mut self, id: JobId) {
        if self.jobs.get(&id).is_some_and(|job| !job.phase.is_over()) {
            self.begun_jobs.insert(id);
        }
    }

    /// Returns whether a run is the one that the task's state refers to.
    pub fn is_current(&self, worker: &str, task: TaskId, run: RunId) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        let Some(state) = job.task(task.round, task.step, task.index) else {
            return false;
        };
        let here = matches!(&state.phase, TaskPhase::Placed(on) if **on == *worker);
        here && state.run == run && !job.phase.is_over()
    }

    /// Returns the ratio of actual to estimated run time in a queue: 1 until some runs have ended.
    pub(crate) fn estimate_factor(&self, queue: &str) -> f64 {
        self.estimate_factors.get(queue).copied().unwrap_or(1.0)
    }
}

/// Returns the capacity that a run of a task takes on its worker, and the kind of the run.
pub(crate) fn load_of(job: &Job, task: TaskId) -> Load {
    let Some(step) = job.find_step(task) else {
        return Load {
            need: Need::default(),
            kind: RunKind::Finite,
        };
    };
    let cpu = if step.best_effort { 0 } else { step.need.cpu };
    Load {
        need: Need { cpu, ..step.need },
        kind: RunKind::of(step),
    }
}

/// Returns the capacity that a run of a task takes on its worker.
pub(crate) fn need_of(job: &Job, task: TaskId) -> Need {
    load_of(job, task).need
}
