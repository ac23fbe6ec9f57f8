//! The jobs and workers that one owner decides about, and what each event changes.

mod adopted_runs;
mod backlog;
mod crashes;
mod demand;
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
mod withdraw;
mod workers;

pub use backlog::Forecast;
pub use demand::{Demand, Unschedulable};
pub use ledger::BoundWait;
pub(crate) use ledger::charge_of;
pub use limits::Limits;

use crate::{
    Charge, HallId, Job, JobId, Need, Order, Phase, QueueId, RunId, ServiceId, Submission, TaskId,
    TaskPhase, WorkerId, Workers,
    arrivals::Arrivals,
    duty::Duty,
    lives::LifeTable,
    near::Near,
    permit::{Permits, StepId},
    rank::Rank,
    suspicion::Suspicions,
    worker::{Load, RunKind},
};
use backlog::Backlog;
use clock::Instant;
use ledger::Ledger;
use shares::Shares;
use slack::SlackTargets;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use takeover_barrier::TakeoverBarrier;

/// What became of a job that was handed in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Accepted {
    /// It is new, and accepted once its record is durable.
    New,
    /// It had been handed in before.
    Known,
}

/// What became of a wish to cancel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancelled {
    /// The job is cancelled once that is durable, or was over already.
    Done,
    /// There is no such job.
    Unknown,
}

/// A run that an earlier owner placed on a worker that no list has named since.
#[derive(Clone, Debug)]
struct Orphan {
    /// The task.
    task: TaskId,
    /// The run.
    run: RunId,
    /// What it takes of its workspace's account.
    charge: Option<Charge>,
}

/// The jobs and workers of one owner.
#[derive(Debug, Default)]
pub struct Cell {
    /// The figures that the decisions depend on.
    pub limits: Limits,
    /// The workers that the platform lists.
    pub workers: Workers,
    /// The data centres that are to be emptied.
    pub(crate) drained_halls: BTreeSet<HallId>,
    /// The jobs, also those that are over.
    pub jobs: HashMap<JobId, Job>,
    /// The tasks that wait for room, in the order in which they get it.
    pub(crate) waiting: BTreeMap<ServiceId, BTreeSet<Rank>>,
    /// The rounds that are not due: when, in ms since 1970, of which job, and which round.
    round_timers: BTreeSet<(u64, JobId, u32)>,
    /// Which lives of each worker are known.
    incarnations: LifeTable,
    /// The runs that an earlier owner placed on workers that no list has named since.
    orphans: HashMap<WorkerId, Vec<Orphan>>,
    /// What workspaces have running, and the tasks that wait for it to be less.
    ledger: Ledger,
    /// What workspaces have handed in at each service.
    shares: Shares,
    /// The work that waits for each service.
    backlogs: HashMap<ServiceId, Backlog>,
    /// The jobs of which nothing has been recorded.
    new_jobs: HashSet<JobId>,
    /// The jobs whose state has changed since the last batch.
    dirty: HashSet<JobId>,
    /// Up to which number the ends of a worker have been taken in since the last batch.
    acknowledged: BTreeMap<WorkerId, u64>,
    /// The starts that wait for the records of their tasks to be durable.
    pub(crate) starts: Vec<Order>,
    /// The orders that need no record.
    pub(crate) urgent: Vec<Order>,
    /// The place of the next job in the order of arrival.
    next_order: u64,
    /// Tasks whose last run was given up without an end that a worker listed.
    pub(crate) lost_tasks: HashSet<TaskId>,
    /// Which tasks may have ended workers.
    pub(crate) suspicions: Suspicions,
    /// What keeps the tasks of earlier owners from starting.
    pub(crate) takeover_barrier: TakeoverBarrier,
    pub(crate) vm_orders: Duty,
    /// Which workers may run the steps of queues that ask for it.
    pub(crate) permits: HashMap<StepId, Permits>,
    /// The time of day of the last look at what is due, in ms since 1970.
    wall_ms: u64,
    /// The jobs that came of late: when, in ms since 1970, and their work: what they need, times seconds.
    arrivals: HashMap<ServiceId, Arrivals>,
    /// The jobs that are not over and of which a worker has run a task.
    begun_jobs: HashSet<JobId>,
    /// How many workers the widest step of a live job needs whose tasks must be apart, for the jobs that have
    /// such a step.
    anti_affinity_jobs: HashMap<JobId, usize>,
    /// The services that have had a job that ends by itself.
    finite_services: HashSet<ServiceId>,
    /// How long the runs of a queue take, as a multiple of what their callers estimate.
    pub(crate) estimate_factors: HashMap<QueueId, f64>,
    /// How much time in hand the jobs of a queue need at their start.
    slack_targets: SlackTargets,
    /// The tasks that wait for room near their data.
    pub(crate) near: Near,
    /// When runs are to be looked at next that may stand still.
    pub(crate) stall_check_due: Option<Instant>,
    /// The lasting tasks of each service that found no room in its last pass.
    pub(crate) unschedulable: HashMap<ServiceId, Vec<TaskId>>,
    /// What tasks need that found no room in this pass of a service.
    pub(crate) unplaced_needs: Vec<Need>,
    /// The workers that are kept free, in this pass, for tasks that fit nowhere.
    pub(crate) reserved_workers: HashSet<WorkerId>,
    /// The VMs that have had their upkeep, by wave.
    maintained_vms: BTreeMap<u64, BTreeSet<String>>,
    /// The waves in which VMs have had their upkeep since the last batch.
    unrecorded_waves: BTreeSet<u64>,
}

impl Cell {
    /// A cell with no jobs.
    pub fn new(limits: Limits) -> Self {
        Cell {
            limits,
            ..Cell::default()
        }
    }

    /// Takes a job in, unless it is there.
    pub fn accept(&mut self, submission: Submission) -> Accepted {
        let id = submission.id;
        if self.jobs.contains_key(&id) {
            return Accepted::Known;
        }
        self.add_to_backlog(&submission);
        if !submission.spec.lasts() {
            self.finite_services.insert(submission.service.clone());
            // What waits for its workspace's bound needs no more VMs, however much of it comes.
            if !self.is_at_bound(&submission) {
                self.record_inflow(&submission);
            }
        }
        let job = Job::new(submission, self.next_order);
        self.next_order += 1;
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

    /// Ends a job at its caller's wish.
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

    /// How many jobs of a queue have not begun: of none of their tasks a worker has said that it runs. A
    /// start that was ordered may be lost on its way.
    pub fn pending(&self, queue: &str) -> usize {
        let waits = |job: &&Job| {
            job.given.queue == queue
                && !job.phase.is_over()
                && !self.begun_jobs.contains(&job.given.id)
        };
        self.jobs.values().filter(waits).count()
    }

    /// A worker has said that it runs, or has run, a task of this job.
    pub(crate) fn mark_begun(&mut self, id: JobId) {
        if self.jobs.get(&id).is_some_and(|job| !job.phase.is_over()) {
            self.begun_jobs.insert(id);
        }
    }

    /// Whether this run is the one that the task's state names.
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

    /// How long the runs of a queue take, as a multiple of what their callers estimate: 1 until some
    /// have ended.
    pub(crate) fn estimate_factor(&self, queue: &str) -> f64 {
        self.estimate_factors.get(queue).copied().unwrap_or(1.0)
    }
}

/// What a run of a task takes of a worker's room, and what it is like.
pub(crate) fn load_of(job: &Job, task: TaskId) -> Load {
    let Some(step) = job.find_step(task) else {
        return Load {
            need: Need::default(),
            kind: RunKind::Finite,
        };
    };
    let cpu = if step.fills { 0 } else { step.need.cpu };
    Load {
        need: Need { cpu, ..step.need },
        kind: RunKind::of(step),
    }
}

/// What a run of a task takes of a worker's room.
pub(crate) fn need_of(job: &Job, task: TaskId) -> Need {
    load_of(job, task).need
}
