//! Keeps what workspaces have running within their bounds.
//!
//! Tasks that wait for their workspace's bound are parked apart from those that wait for room: they hold nobody else up,
//! and no VM is ordered for them. They go back in their order as soon as the first of them may start, so that a large
//! task is not passed by smaller ones of its workspace for ever.

use crate::{
    Account, Bound, Cell, Charge, Job, JobId, Need, RunId, ServiceId, Step, Submission, TaskId,
    TaskPhase, WorkerId, WorkspaceId, rank::Rank,
};
use std::{
    collections::{BTreeSet, HashMap},
    rc::Rc,
};

/// The accounts of workspaces, and the tasks that wait for them.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    /// The accounts of the workspaces that have had a job.
    accounts: HashMap<WorkspaceId, Rc<Account>>,
    /// The bounds in force; none before a configuration is known.
    bounds: Option<HashMap<WorkspaceId, Bound>>,
    /// The tasks that wait for their workspace's bound, in the order in which they go on.
    parked: HashMap<WorkspaceId, BTreeSet<Rank>>,
    /// What an earlier owner may have started without a record, by the service where it would run.
    unrecorded: HashMap<ServiceId, Vec<Charge>>,
    /// The workspaces that have begun or ceased to wait for their bounds since this was last asked.
    changes: Vec<BoundWait>,
}

/// A workspace has begun, or ceased, to wait for its bound.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BoundWait {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Whether it waits now.
    pub waits: bool,
    /// What it has running, or may have.
    pub used: Need,
    /// How much it may have running.
    pub bound: Bound,
}

impl Ledger {
    /// The account of a workspace. One that no configuration known here names may start nothing: the entry that took its
    /// job knows a newer one, which comes here as well.
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

    /// Whether anything of a workspace is parked that goes before this.
    fn has_before(&self, id: &WorkspaceId, rank: &Rank) -> bool {
        let parked = self.parked.get(id);
        parked.is_some_and(|ranks| ranks.first().is_some_and(|first| first < rank))
    }

    /// Notes that a workspace begins or ceases to wait.
    fn note(&mut self, account: &Account, waits: bool) {
        self.changes.push(BoundWait {
            workspace: account.id.clone(),
            waits,
            used: account.used(),
            bound: account.bound(),
        });
    }
}

impl Cell {
    /// Puts the bounds of a configuration in force. A workspace that the configuration does not name any more keeps the
    /// bound that it had; one that never had one here has none.
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

    /// What a workspace has running or may have, and how much it may; none if it has had no job.
    pub fn account(&self, workspace: &str) -> Option<&Account> {
        self.ledger.accounts.get(workspace).map(Rc::as_ref)
    }

    /// How many tasks of a workspace wait for its bound.
    pub fn parked(&self, workspace: &str) -> usize {
        self.ledger.parked.get(workspace).map_or(0, BTreeSet::len)
    }

    /// The workspaces that have begun or ceased to wait for their bounds since the last call.
    pub fn take_bound_waits(&mut self) -> Vec<BoundWait> {
        std::mem::take(&mut self.ledger.changes)
    }

    /// Whether no task of a job, or gang of one, could ever start under the bound of its workspace as it is.
    pub fn exceeds_bound(&self, workspace: &str, steps: &[Step]) -> bool {
        let bounds = self.ledger.bounds.as_ref();
        let Some(bound) = bounds.and_then(|bounds| bounds.get(workspace)) else {
            return false;
        };
        let never = |step: &Step| !bound.allows(Need::default(), start_need(step));
        steps.iter().any(never)
    }

    /// Whether tasks of a job's workspace wait for its bound.
    pub(super) fn is_at_bound(&self, given: &Submission) -> bool {
        let workspace = given.workspace.as_ref();
        workspace.is_some_and(|workspace| self.parked(workspace) > 0)
    }

    /// Gives a job the account of its workspace.
    pub(super) fn open_account(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if let Some(workspace) = &job.submission.workspace {
            job.account = Some(self.ledger.open(workspace));
        }
    }

    /// What a run of a task takes of its workspace's account; none if the job belongs to no workspace.
    pub(crate) fn charge(&self, task: TaskId) -> Option<Charge> {
        charge_of(self.jobs.get(&task.job)?, task)
    }

    /// Whether a waiting task, or the gang that it stands for, must wait for its workspace's bound.
    pub(crate) fn waits_for_bound(&self, rank: &Rank) -> bool {
        let task = rank.task();
        let Some((job, account)) = self.account_of(task) else {
            return false;
        };
        let Some(step) = job.find_step(task) else {
            return false;
        };
        !account.allows(start_need(step)) || self.ledger.has_before(&account.id, rank)
    }

    /// Whether a start that has been decided goes over its workspace's bound by now: it may have waited for its record while
    /// the bound was lowered.
    pub(super) fn is_over_bound(&self, task: TaskId) -> bool {
        let Some((job, account)) = self.account_of(task) else {
            return false;
        };
        let step = job.find_step(task);
        step.is_some_and(|step| account.exceeds_bound(start_need(step)))
    }

    /// Takes the starts of a task, or of its whole gang, back that have not been sent.
    pub(super) fn take_back(&mut self, task: TaskId) {
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

    /// Where a task's current run is to start, if its start has not been sent.
    fn unsent_run(&self, task: TaskId) -> Option<(WorkerId, RunId)> {
        let job = self.jobs.get(&task.job)?;
        let state = job.task(task.round, task.step, task.index)?;
        let TaskPhase::Placed(worker) = &state.phase else {
            return None;
        };
        let run = self.workers.get(worker)?.runs.get(&(task, state.run))?;
        run.sent_at.is_none().then(|| (worker.clone(), state.run))
    }

    /// A task's job and the account of its workspace.
    fn account_of(&self, task: TaskId) -> Option<(&Job, &Rc<Account>)> {
        let job = self.jobs.get(&task.job)?;
        Some((job, job.account.as_ref()?))
    }

    /// Takes a task out of those that wait for room, until its workspace's bound allows it.
    pub(crate) fn park(&mut self, service: &str, rank: &Rank) {
        let Some((_, account)) = self.account_of(rank.task()) else {
            return;
        };
        let account = Rc::clone(account);
        self.drop_rank(service, rank);
        self.near.forget(rank.task());
        let parked = self.ledger.parked.entry(account.id.clone()).or_default();
        let begins = parked.is_empty();
        parked.insert(*rank);
        if begins {
            self.ledger.note(&account, true);
        }
    }

    /// Lets the parked tasks wait for room again that their workspaces' bounds allow now.
    pub(crate) fn unpark(&mut self) {
        let ids: Vec<WorkspaceId> = self.ledger.parked.keys().cloned().collect();
        for id in ids {
            self.unpark_workspace(&id);
        }
    }

    /// The same for one workspace: as many of its first tasks as may start together.
    fn unpark_workspace(&mut self, id: &WorkspaceId) {
        let Some(account) = self.ledger.accounts.get(id).cloned() else {
            return;
        };
        let mut promised = account.used();
        while let Some(rank) = self.first_parked(id) {
            let open = self
                .jobs
                .get(&rank.task().job)
                .filter(|_| !self.is_stale(rank.task()));
            let place = open.and_then(|job| {
                Some((
                    job.submission.service.clone(),
                    start_need(job.find_step(rank.task())?),
                ))
            });
            if let Some((service, need)) = place {
                if !account.bound().allows(promised, need) {
                    return;
                }
                promised.add(need);
                self.waiting.entry(service).or_default().insert(rank);
            }
            self.ledger
                .parked
                .entry(id.clone())
                .or_default()
                .pop_first();
        }
        self.ledger.parked.remove(id);
        self.ledger.note(&account, false);
    }

    /// The first of a workspace's parked tasks.
    fn first_parked(&self, id: &WorkspaceId) -> Option<Rank> {
        self.ledger.parked.get(id)?.first().copied()
    }

    /// Forgets the parked tasks of a job.
    pub(super) fn unpark_job(&mut self, id: JobId) {
        let Some(account) = self.jobs.get(&id).and_then(|job| job.account.clone()) else {
            return;
        };
        if let Some(parked) = self.ledger.parked.get_mut(&account.id) {
            parked.retain(|rank| rank.task().job != id);
        }
    }

    /// Charges what an earlier owner may have started without a record: of the jobs that the log holds, every task that
    /// has not ended and is not recorded as placed.
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

    /// The services for which unrecorded runs of an earlier owner are charged.
    pub(crate) fn unrecorded_services(&self) -> Vec<ServiceId> {
        self.ledger.unrecorded.keys().cloned().collect()
    }

    /// All workers of a service have been met, or their leases have run out: nothing of it runs unknown.
    pub(crate) fn forget_unrecorded(&mut self, service: &str) {
        self.ledger.unrecorded.remove(service);
    }
}

/// What a run of a task takes of its workspace's account.
pub(crate) fn charge_of(job: &Job, task: TaskId) -> Option<Charge> {
    let account = job.account.as_ref()?;
    let step = job.find_step(task)?;
    Some(Charge::new(account, step.need))
}

/// What starts at once of a step: one task, or all of a gang.
fn start_need(step: &Step) -> Need {
    match step.gang {
        true => step.need.times(f64::from(step.count)),
        false => step.need,
    }
}
