//! Permits for queues whose policy, decided by an external service, allows only some workers to run a step.

use crate::{Cell, JobId, Order, TaskId, Worker, WorkerId};
use clock::Instant;
use std::{
    cmp::Reverse,
    collections::{HashMap, HashSet},
    time::Duration,
};

/// How many workers one request names. Each takes the service some time, and a step rarely needs more.
const MAX_WORKERS_PER_REQUEST: usize = 30;

/// The time between two requests for the same step. The service answers requests one after the other, and
/// passes come more often than responses.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// The time before the expiry of a permit in which it is no longer used, so that the start reaches the worker
/// before the permit expires.
const EXPIRY_MARGIN: Duration = Duration::from_millis(200);

/// An identifier of a step in one round of a job.
pub type StepId = (JobId, u32, u32);

/// A permit to start a step's tasks on one incarnation of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Permit {
    /// The ticket that the start has to carry.
    pub ticket: String,
    /// When the permit expires.
    pub expires: Instant,
}

impl Permit {
    /// Returns whether a start that is ordered now reaches its worker before the permit expires.
    fn is_valid(&self, now: Instant) -> bool {
        now + EXPIRY_MARGIN < self.expires
    }
}

/// The permits of a step.
#[derive(Debug, Default)]
pub(crate) struct Permits {
    /// When they were last requested.
    requested_at: Option<Instant>,
    /// Whether a response is pending.
    pending: bool,
    /// The workers that were named in requests. Those without a permit never get one.
    requested: HashSet<WorkerId>,
    /// The permits by worker; some may have expired.
    held: HashMap<WorkerId, Permit>,
}

impl Permits {
    /// Returns whether a worker should be named in a request: it has not been named, or its permit has
    /// expired.
    fn should_request(&self, worker: &str, now: Instant) -> bool {
        match self.held.get(worker) {
            Some(permit) => !permit.is_valid(now),
            None => !self.requested.contains(worker),
        }
    }
}

impl Cell {
    /// Returns the permit that a start on a worker has to carry; `None` if the queue needs none.
    pub fn permit(&self, task: TaskId, worker: &str) -> Option<&Permit> {
        self.permits.get(&step_of(task))?.held.get(worker)
    }

    /// Records which of the named workers may run a step; `granted` is `None` if the service did not answer.
    pub fn set_permits(
        &mut self,
        task: TaskId,
        requested: &[WorkerId],
        granted: Option<Vec<(WorkerId, Permit)>>,
    ) {
        let permits = self.permits.entry(step_of(task)).or_default();
        permits.pending = false;
        if let Some(granted) = granted {
            permits.requested.extend(requested.iter().cloned());
            permits.held.extend(granted);
        }
    }

    /// Drops a permit that the worker did not accept, so that a new one is requested.
    pub(crate) fn drop_permit(&mut self, task: TaskId, worker: &str) {
        if let Some(permits) = self.permits.get_mut(&step_of(task)) {
            permits.held.remove(worker);
            permits.requested.remove(worker);
        }
    }

    /// Returns whether there is a valid permit for a task on a worker.
    pub(crate) fn has_permit(&self, task: TaskId, worker: &str, now: Instant) -> bool {
        self.permit(task, worker)
            .is_some_and(|permit| permit.is_valid(now))
    }

    /// Requests permits for a step that was not placed, if its queue needs them.
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
        if permits.pending
            || permits
                .requested_at
                .is_some_and(|at| now < at + RETRY_INTERVAL)
        {
            return;
        }
        let missing = |w: &&Worker| permits.should_request(&w.info.id, now);
        let open = |w: &&Worker| w.is_open(now);
        let workers = self.workers.of(&service);
        let mut candidates: Vec<_> = workers.filter(open).filter(missing).collect();
        candidates.sort_by_key(|w| Reverse(w.info.capacity.cpu.saturating_sub(w.used.cpu)));
        let workers: Vec<WorkerId> = candidates
            .iter()
            .take(MAX_WORKERS_PER_REQUEST)
            .map(|w| w.info.id.clone())
            .collect();
        if workers.is_empty() {
            return;
        }
        permits.requested_at = Some(now);
        permits.pending = true;
        self.urgent.push(Order::RequestPermits { task, workers });
    }
}

/// Returns the step of a task.
pub(crate) fn step_of(task: TaskId) -> StepId {
    (task.job, task.round, task.step)
}
