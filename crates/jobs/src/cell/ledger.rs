//! Keeps the usage of workspaces within their bounds.
//!
//! Tasks that wait for their workspace's bound are kept apart from those that wait for capacity: they delay
//! no other task, and no VM is ordered for them. They are released in their order as soon as the first of
//! them may start, so that smaller tasks of the same workspace cannot starve a large one.

use crate::{
    Account, Bound, Cell, Charge, Job, JobId, Need, RunId, ServiceId, Step, Submission, TaskId,
    TaskPhase, WorkerId, WorkspaceId, rank::Rank,
};
use std::{
    collections::{BTreeSet, HashMap},
    rc::Rc,
};

/// The accounts of workspaces, and the tasks that are blocked by their bounds.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    /// The accounts of workspaces that have had a job.
    accounts: HashMap<WorkspaceId, Rc<Account>>,
    /// The bounds in force; `None` before a configuration is known.
    bounds: Option<HashMap<WorkspaceId, Bound>>,
    /// The tasks that wait for their workspace's bound, in the order in which they are released.
    blocked: HashMap<WorkspaceId, BTreeSet<Rank>>,
    /// The charges for runs that an earlier owner may have started without a record, by the service in which
    /// they would run.
    unrecorded: HashMap<ServiceId, Vec<Charge>>,
    /// The workspaces that have begun or ceased to wait for their bounds since the last call of
    /// [`Cell::take_bound_waits`].
    changes: Vec<BoundWait>,
}

/// A workspace has begun, or ceased, to wait for its bound.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BoundWait {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Whether tasks of the workspace wait now.
    pub waits: bool,
    /// The usage of the workspace, including runs that may exist.
    pub used: Need,
    /// The upper bound of the usage.
    pub bound: Bound,
}

impl Ledger {
    /// Returns the account of a workspace. A workspace that no known configuration names may start nothing:
    /// the entry that accepted its job knows a newer configuration, which will arrive here as well.
    fn open(&mut self, id: &WorkspaceId) -> Rc<Account> {
        if let Some(account) = self.accounts.get(id) {
            return Rc::clone(account);
        }
        let bounds = self.bounds.as_ref();
        let bound = bounds.and_then(|bounds| bounds.get(id)).copied();
        let account = Account::new(id.clone(), bound);
        self.accounts.insert(id.clone(), Rc::clone(&account));
        account
    }

    /// Returns the jobs of each workspace that wait for its bound.
    pub(super) fn blocked_jobs(&self) -> impl Iterator<Item = (&WorkspaceId, BTreeSet<JobId>)> {
        self.blocked.iter().map(|(workspace, ranks)| {
            let jobs = ranks.iter().map(|rank| rank.task().job).collect();
            (workspace, jobs)
        })
    }

    /// Returns whether a blocked task of a workspace precedes this one.
    fn has_earlier_blocked(&self, id: &WorkspaceId, rank: &Rank) -> bool {
        let blocked = self.blocked.get(id);
        blocked.is_some_and(|ranks| ranks.first().is_some_and(|first| first < rank))
    }

    /// Records that a workspace begins or ceases to wait.
    fn record_change(&mut self, account: &Account, waits: bool) {
        self.changes.push(BoundWait {
            workspace: account.id.clone(),
            waits,
            used: account.used(),
            bound: account.bound(),
        });
    }
}

impl Cell {
    /// Puts the bounds of a configuration in force. A workspace that the configuration no longer names keeps
    /// its previous bound; one that never had a bound here is unbounded.
    pub fn set_bounds(&mut self, bounds: impl IntoIterator<Item = (WorkspaceId, Bound)>) {
        let bounds: HashMap<WorkspaceId, Bound> = bounds.into_iter().collect();
        for (id, account) in &self.ledger.accounts {
            match bounds.get(id) {
                Some(bound) => account.set_bound(*bound),
                None => account.ensure_bound(),
            }
        }
        self.ledger.bounds = Some(bounds);
    }

    /// Returns the usage and the bound of a workspace; `None` if it has had no job.
    pub fn account(&self, workspace: &str) -> Option<&Account> {
        self.ledger.accounts.get(workspace).map(Rc::as_ref)
    }

    /// Returns how many tasks of a workspace wait for its bound.
    pub fn blocked_tasks(&self, workspace: &str) -> usize {
        self.ledger.blocked.get(workspace).map_or(0, BTreeSet::len)
    }

    /// Returns the workspaces that have begun or ceased to wait for their bounds since the last call.
    pub fn take_bound_waits(&mut self) -> Vec<BoundWait> {
        std::mem::take(&mut self.ledger.changes)
    }

    /// Returns whether a job has a task or gang that could never start under the current bound of its
    /// workspace.
    pub fn exceeds_bound(&self, workspace: &str, steps: &[Step]) -> bool {
        let bounds = self.ledger.bounds.as_ref();
        let Some(bound) = bounds.and_then(|bounds| bounds.get(workspace)) else {
            return false;
        };
        let never = |step: &Step| !bound.allows(Need::default(), start_need(step));
        steps.iter().any(never)
    }

    /// Returns whether tasks of a job's workspace wait for its bound.
    pub(super) fn is_at_bound(&self, submission: &Submission) -> bool {
        let workspace = submission.workspace.as_ref();
        workspace.is_some_and(|workspace| self.blocked_tasks(workspace) > 0)
    }

    /// Assigns a job the account of its workspace.
    pub(super) fn open_account(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if let Some(workspace) = &job.submission.workspace {
            job.account = Some(self.ledger.open(workspace));
        }
    }

    /// Returns the charge that a run of a task adds to its workspace's account; `None` if the job belongs to
    /// no workspace.
    pub(crate) fn charge(&self, task: TaskId) -> Option<Charge> {
        charge_of(self.jobs.get(&task.job)?, task)
    }

    /// Returns whether a waiting task, or the gang that it represents, must wait for its workspace's bound.
    pub(crate) fn waits_for_bound(&self, rank: &Rank) -> bool {
        let task = rank.task();
        let Some((job, account)) = self.account_of(task) else {
            return false;
        };
        let Some(step) = job.find_step(task) else {
            return false;
        };
        !account.allows(start_need(step)) || self.ledger.has_earlier_blocked(&account.id, rank)
    }

    /// Returns whether a start that has been decided now exceeds its workspace's bound: the bound may have
    /// been lowered while the start waited for its record.
    pub(super) fn is_over_bound(&self, task: TaskId) -> bool {
        let Some((job, account)) = self.account_of(task) else {
            return false;
        };
        let step = job.find_step(task);
        step.is_some_and(|step| account.exceeds_bound(start_need(step)))
    }

    /// Withdraws the starts of a task, or of its whole gang, that have not been sent.
    pub(super) fn withdraw_starts(&mut self, task: TaskId) {
        for member in self.members(task) {
            let Some((worker, run)) = self.unsent_run(member) else {
                continue;
            };
            if let Some(host) = self.workers.get_mut(&worker) {
                host.remove(member, run);
            }
            self.requeue(member);
        }
    }

    /// Returns the worker and the number of a task's current run if its start has not been sent.
    fn unsent_run(&self, task: TaskId) -> Option<(WorkerId, RunId)> {
        let job = self.jobs.get(&task.job)?;
        let state = job.task(task.round, task.step, task.index)?;
        let TaskPhase::Placed(worker) = &state.phase else {
            return None;
        };
        let run = self.workers.get(worker)?.runs.get(&(task, state.run))?;
        run.sent_at.is_none().then(|| (worker.clone(), state.run))
    }

    /// Returns a task's job and the account of its workspace.
    fn account_of(&self, task: TaskId) -> Option<(&Job, &Rc<Account>)> {
        let job = self.jobs.get(&task.job)?;
        Some((job, job.account.as_ref()?))
    }

    /// Moves a task from those that wait for capacity to those that wait for their workspace's bound.
    pub(crate) fn block_on_bound(&mut self, service: &str, rank: &Rank) {
        let Some((_, account)) = self.account_of(rank.task()) else {
            return;
        };
        let account = Rc::clone(account);
        self.drop_rank(service, rank);
        self.near.forget(rank.task());
        let blocked = self.ledger.blocked.entry(account.id.clone()).or_default();
        let begins = blocked.is_empty();
        blocked.insert(*rank);
        if begins {
            self.ledger.record_change(&account, true);
        }
    }

    /// Moves the blocked tasks that their workspaces' bounds now allow back to those that wait for capacity.
    pub(crate) fn unblock_tasks(&mut self) {
        let ids: Vec<WorkspaceId> = self.ledger.blocked.keys().cloned().collect();
        for id in ids {
            self.unblock_workspace(&id);
        }
    }

    /// Unblocks as many of a workspace's first tasks as may start together.
    fn unblock_workspace(&mut self, id: &WorkspaceId) {
        let Some(account) = self.ledger.accounts.get(id).cloned() else {
            return;
        };
        let mut promised = account.used();
        while let Some(rank) = self.first_blocked(id) {
            let open = self
                .jobs
                .get(&rank.task().job)
                .filter(|_| !self.is_stale(rank.task()));
            let queued_start = open.and_then(|job| {
                Some((
                    job.submission.service.clone(),
                    start_need(job.find_step(rank.task())?),
                ))
            });
            if let Some((service, need)) = queued_start {
                if !account.bound().allows(promised, need) {
                    return;
                }
                promised.add(need);
                self.waiting.entry(service).or_default().insert(rank);
            }
            self.ledger
                .blocked
                .entry(id.clone())
                .or_default()
                .pop_first();
        }
        self.ledger.blocked.remove(id);
        self.ledger.record_change(&account, false);
    }

    /// Returns the first of a workspace's blocked tasks.
    fn first_blocked(&self, id: &WorkspaceId) -> Option<Rank> {
        self.ledger.blocked.get(id)?.first().copied()
    }

    /// Removes the blocked tasks of a job.
    pub(super) fn forget_blocked_tasks(&mut self, id: JobId) {
        let Some(account) = self.jobs.get(&id).and_then(|job| job.account.clone()) else {
            return;
        };
        if let Some(blocked) = self.ledger.blocked.get_mut(&account.id) {
            blocked.retain(|rank| rank.task().job != id);
        }
    }

    /// Charges the runs that an earlier owner may have started without a record: one for every task of a
    /// durable job that has not ended and is not recorded as placed.
    pub(super) fn charge_unrecorded(&mut self) {
        let mut charges: HashMap<ServiceId, Vec<Charge>> = HashMap::new();
        for job in self.jobs.values().filter(|job| !job.phase.is_over()) {
            let waiting = job
                .tasks()
                .filter(|(_, task)| task.phase == TaskPhase::Waiting);
            let charged = waiting.filter_map(|(task, _)| charge_of(job, task));
            charges
                .entry(job.submission.service.clone())
                .or_default()
                .extend(charged);
        }
        charges.retain(|_, charges| !charges.is_empty());
        self.ledger.unrecorded = charges;
    }

    /// Returns the services for which unrecorded runs of an earlier owner are charged.
    pub(crate) fn unrecorded_services(&self) -> Vec<ServiceId> {
        self.ledger.unrecorded.keys().cloned().collect()
    }

    /// Removes the charges for unrecorded runs of a service. The caller has made sure that all its workers
    /// have been contacted or that their leases have expired, so that no unknown run is left.
    pub(crate) fn release_unrecorded(&mut self, service: &str) {
        self.ledger.unrecorded.remove(service);
    }
}

/// Returns the charge that a run of a task adds to its workspace's account; `None` if the job belongs to no
/// workspace.
pub(crate) fn charge_of(job: &Job, task: TaskId) -> Option<Charge> {
    let account = job.account.as_ref()?;
    let step = job.find_step(task)?;
    Some(Charge::new(account, step.need))
}

/// Returns the need of what starts together: one task, or all tasks of a gang.
fn start_need(step: &Step) -> Need {
    match step.gang {
        true => step.need.times(f64::from(step.count)),
        false => step.need,
    }
}
