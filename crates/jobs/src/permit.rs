//! Permits: queues whose policy allows only some workers to run a step, as a service outside tells.

use crate::{Cell, JobId, Order, TaskId, Worker, WorkerId};
use clock::Instant;
use std::{
    cmp::Reverse,
    collections::{HashMap, HashSet},
    time::Duration,
};

/// How many workers are asked about at once: each takes the service some time, and a step rarely
/// needs more.
const ASKED: usize = 30;

/// Time until the same step is asked about again: the service answers in turn, and a pass comes more
/// often than answers do.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// How long before its end a permit is not used any more: the start must reach the worker in time.
const RESERVE: Duration = Duration::from_millis(200);

/// A step of one round of a job.
pub type StepId = (JobId, u32, u32);

/// A permit to start a step's tasks on one life of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Permit {
    /// What the start has to carry.
    pub ticket: String,
    /// Until when it holds.
    pub expires: Instant,
}

impl Permit {
    /// Whether a start that is ordered now reaches its worker while the permit holds.
    fn is_valid(&self, now: Instant) -> bool {
        now + RESERVE < self.expires
    }
}

/// What is known of a step's permits.
#[derive(Debug, Default)]
pub(crate) struct Permits {
    /// When it was last asked for.
    asked: Option<Instant>,
    /// Whether an answer is waited for.
    pending: bool,
    /// The workers that were asked about; those without a permit never get one.
    named: HashSet<WorkerId>,
    /// The permits, by worker; some may have run out.
    held: HashMap<WorkerId, Permit>,
}

impl Permits {
    /// Whether a worker is to be asked about: one that never gets a permit is not, a second time.
    fn is_unknown(&self, worker: &str, now: Instant) -> bool {
        match self.held.get(worker) {
            Some(permit) => !permit.is_valid(now),
            None => !self.named.contains(worker),
        }
    }
}

impl Cell {
    /// The permit that a start on a worker has to carry; none if the queue needs none.
    pub fn permit(&self, task: TaskId, worker: &str) -> Option<&Permit> {
        self.permits.get(&step_of(task))?.held.get(worker)
    }

    /// Takes in which of the named workers may run a step. None if the service did not answer.
    pub fn set_permits(
        &mut self,
        task: TaskId,
        named: &[WorkerId],
        good: Option<Vec<(WorkerId, Permit)>>,
    ) {
        let permits = self.permits.entry(step_of(task)).or_default();
        permits.pending = false;
        if let Some(good) = good {
            permits.named.extend(named.iter().cloned());
            permits.held.extend(good);
        }
    }

    /// A worker did not accept a permit: it is asked for anew.
    pub(crate) fn drop_permit(&mut self, task: TaskId, worker: &str) {
        if let Some(permits) = self.permits.get_mut(&step_of(task)) {
            permits.held.remove(worker);
            permits.named.remove(worker);
        }
    }

    /// Whether a permit for a task on a worker holds.
    pub(crate) fn has_permit(&self, task: TaskId, worker: &str, now: Instant) -> bool {
        self.permit(task, worker)
            .is_some_and(|permit| permit.is_valid(now))
    }

    /// Asks for permits of a step that found no room, where its queue needs them.
    pub(crate) fn request_permits(&mut self, task: TaskId, now: Instant) {
        let Some(job) = self
            .jobs
            .get(&task.job)
            .filter(|job| job.submission.requires_permits)
        else {
            return;
        };
        let service = job.submission.service.clone();
        let permits = self.permits.entry(step_of(task)).or_default();
        if permits.pending || permits.asked.is_some_and(|at| now < at + RETRY_INTERVAL) {
            return;
        }
        let unknown = |w: &&Worker| permits.is_unknown(&w.info.id, now);
        let open = |w: &&Worker| w.is_open(now);
        let workers = self.workers.of(&service);
        let mut asked: Vec<_> = workers.filter(open).filter(unknown).collect();
        asked.sort_by_key(|w| Reverse(w.info.capacity.cpu.saturating_sub(w.used.cpu)));
        let workers: Vec<WorkerId> = asked
            .iter()
            .take(ASKED)
            .map(|w| w.info.id.clone())
            .collect();
        if workers.is_empty() {
            return;
        }
        permits.asked = Some(now);
        permits.pending = true;
        self.urgent.push(Order::RequestPermits { task, workers });
    }
}

/// The step of a task.
pub(crate) fn step_of(task: TaskId) -> StepId {
    (task.job, task.round, task.step)
}
