//! The jobs and workers that one owner decides about, and what each event changes.

mod carry_over;
mod crashes;
mod demand;
mod durable;
mod ends;
mod gate;
mod hosts;
mod ledger;
mod limits;
mod lives;
mod margins;
mod outlook;
mod queue;
mod runs;
mod shares;
mod takeover;
mod withdraw;

pub use demand::{Demand, Roomless};
pub use ledger::BoundWait;
pub(crate) use ledger::charge_of;
pub use limits::Limits;
pub use outlook::Foreseen;

use crate::{
    Charge, HallId, Job, JobId, Need, Order, Phase, QueueId, RunId, ServiceId, Submission, TaskId,
    TaskPhase, WorkerId, Workers,
    arrivals::Arrivals,
    incarnations::IncarnationTable,
    near::DataRackWaits,
    permit::{Permits, StepId},
    rank::Rank,
    suspicion::Suspicions,
    vm_orders::VmOrders,
    worker::{Load, RunKind},
};
use clock::Instant;
use gate::Gate;
use ledger::Ledger;
use margins::Margins;
use outlook::Outlook;
use shares::Shares;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

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
    pub(crate) emptied: BTreeSet<HallId>,
    /// The jobs, also those that are over.
    pub jobs: HashMap<JobId, Job>,
    /// The tasks that wait for room, in the order in which they get it.
    pub(crate) waiting: BTreeMap<ServiceId, BTreeSet<Rank>>,
    /// The rounds that are not due: when, in ms since 1970, of which job, and which round.
    timed: BTreeSet<(u64, JobId, u32)>,
    /// Which lives of each worker are known.
    lives: IncarnationTable,
    /// The runs that an earlier owner placed on workers that no list has named since.
    orphans: HashMap<WorkerId, Vec<Orphan>>,
    /// What workspaces have running, and the tasks that wait for it to be less.
    ledger: Ledger,
    /// What workspaces have handed in at each service.
    shares: Shares,
    /// The work that waits for each service.
    outlooks: HashMap<ServiceId, Outlook>,
    /// The jobs of which nothing has been recorded.
    fresh: HashSet<JobId>,
    /// The jobs whose state has changed since the last batch.
    dirty: HashSet<JobId>,
    /// Up to which number the ends of a worker have been taken in since the last batch.
    noted: BTreeMap<WorkerId, u64>,
    /// The starts that wait for the records of their tasks to be durable.
    pub(crate) starts: Vec<Order>,
    /// The orders that need no record.
    pub(crate) urgent: Vec<Order>,
    /// The place of the next job in the order of arrival.
    next_order: u64,
    /// Tasks whose last run was given up without an end that a worker listed.
    pub(crate) lost: HashSet<TaskId>,
    /// Which tasks may have ended workers.
    pub(crate) suspicions: Suspicions,
    /// What keeps the tasks of earlier owners from starting.
    pub(crate) gate: Gate,
    pub(crate) duty: VmOrders,
    /// Which workers may run the steps of queues that ask for it.
    pub(crate) permits: HashMap<StepId, Permits>,
    /// The time of day of the last look at what is due, in ms since 1970.
    wall: u64,
    /// The jobs that came of late: when, in ms since 1970, and their work: what they need, times seconds.
    came: HashMap<ServiceId, Arrivals>,
    /// The jobs that are not over and of which a worker has run a task.
    running: HashSet<JobId>,
    /// How many workers the widest step of a live job needs whose tasks must be apart, for the jobs that have
    /// such a step.
    spreads: HashMap<JobId, usize>,
    /// The services that have had a job that ends by itself.
    begun: HashSet<ServiceId>,
    /// How long the runs of a queue take, as a multiple of what their callers estimate.
    pub(crate) pace: HashMap<QueueId, f64>,
    /// How much time in hand the jobs of a queue need at their start.
    margins: Margins,
    /// The tasks that wait for room near their data.
    pub(crate) near: DataRackWaits,
    /// When runs are to be looked at next that may stand still.
    pub(crate) still_due: Option<Instant>,
    /// The lasting tasks of each service that found no room in its last pass.
    pub(crate) roomless: HashMap<ServiceId, Vec<TaskId>>,
    /// What tasks need that found no room in this pass of a service.
    pub(crate) misfits: Vec<Need>,
    /// The workers that are kept free, in this pass, for tasks that fit nowhere.
    pub(crate) reserved: HashSet<WorkerId>,
    /// The VMs that have had their upkeep, by wave.
    upkept: BTreeMap<u64, BTreeSet<String>>,
    /// The waves in which VMs have had their upkeep since the last batch.
    upkept_dirty: BTreeSet<u64>,
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
    pub fn accept(&mut self, given: Submission) -> Accepted {
        let id = given.id;
        if self.jobs.contains_key(&id) {
            return Accepted::Known;
        }
        self.note_work(&given);
        if !given.spec.is_long_running() {
            self.begun.insert(given.service.clone());
            // What waits for its workspace's bound needs no more VMs, however much of it comes.
            if !self.is_at_bound(&given) {
                self.note_inflow(&given);
            }
        }
        let job = Job::new(given, self.next_order);
        self.next_order += 1;
        self.jobs.insert(id, job);
        self.open_account(id);
        self.share_out(id);
        self.note_spread(id);
        self.fresh.insert(id);
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
            job.submission.queue == queue
                && !job.phase.is_over()
                && !self.running.contains(&job.submission.id)
        };
        self.jobs.values().filter(waits).count()
    }

    /// A worker has said that it runs, or has run, a task of this job.
    pub(crate) fn note_begun(&mut self, id: JobId) {
        if self.jobs.get(&id).is_some_and(|job| !job.phase.is_over()) {
            self.running.insert(id);
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
    pub(crate) fn pace_of(&self, queue: &str) -> f64 {
        self.pace.get(queue).copied().unwrap_or(1.0)
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
    let cpu = if step.best_effort { 0 } else { step.need.cpu };
    Load {
        need: Need { cpu, ..step.need },
        kind: RunKind::of(step),
    }
}

/// What a run of a task takes of a worker's room.
pub(crate) fn room_of(job: &Job, task: TaskId) -> Need {
    load_of(job, task).need
}
