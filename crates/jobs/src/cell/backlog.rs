//! Forecasts when a submitted job would be done, so that one that would end far too late is rejected at once.
//!
//! The backlog of a service and the number of VMs that its pool can have give a lower bound for the wait of a
//! new job. Both rest on callers' estimates of run times and on learned correction factors, so that the
//! forecast errs in favour of the job: VMs that other pools or the reserve could release count as available,
//! and a job is accepted where nothing is known.

use crate::{
    Cell, Need, Step, Submission, WorkspaceId,
    cell::dispatch::start_bytes,
    job::{critical_path_ms, work_of_steps},
    rank::Rank,
};
use std::collections::HashMap;

/// The highest forecast, as a multiple of the objective (the duration within which the job is in time), at
/// which a job of a workspace is accepted. Under sustained overload, jobs with a later forecast are queued
/// behind those that can end in time. At a factor of 2, 67 of 426 jobs of a workspace that sent eight times
/// its usual load were accepted in vain; at 1.2 it was 28, and 23 more ended in time (tests/overload.rs).
const MAX_OBJECTIVE_FACTOR: f64 = 1.2;

/// The highest forecast, as a multiple of the objective, at which a job without a workspace is accepted. No
/// workspaces have to be isolated from each other then, and a late result is still worth something to its
/// caller. With 1.2, a share of 0.08 of the requests to 1,100 VMs on a calm day was rejected while the owner
/// was short of processor time, and none when it had enough.
const MAX_OBJECTIVE_FACTOR_WITHOUT_WORKSPACES: f64 = 3.0;

/// The share of a pool's capacity that its jobs use while others wait: the sizes of tasks leave gaps.
const FILL_RATIO: f64 = 0.9;

/// The work that waits for a service, in cores times ms, including jobs accepted since the last update.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Backlog {
    /// The work of all waiting jobs.
    work: f64,
    /// The waiting work of each workspace.
    workspace_work: HashMap<WorkspaceId, f64>,
    /// The number of cores that the pool of the service can have.
    cores: f64,
}

impl Backlog {
    /// Adds the work of a job.
    fn add(&mut self, workspace: Option<&WorkspaceId>, work: f64) {
        self.work += work;
        let Some(workspace) = workspace else { return };
        match self.workspace_work.get_mut(workspace) {
            Some(total) => *total += work,
            None => drop(self.workspace_work.insert(workspace.clone(), work)),
        }
    }

    /// Returns the wait before a job starts, in ms: the time for all waiting work, or, where that is less,
    /// the time for the waiting work of its workspace at the workspace's share of the pool.
    fn queue_wait_ms(&self, workspace: Option<&WorkspaceId>, share: f64) -> f64 {
        let cores = self.cores * FILL_RATIO;
        let all = self.work / cores;
        let own = workspace.map(|id| self.workspace_work.get(id).copied().unwrap_or(0.0));
        own.map_or(all, |own| all.min(own / (cores * share)))
    }
}

/// The forecast for a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Forecast {
    /// The job may be done in time, or late but while its caller still waits for it.
    Worthwhile,
    /// The job would be done too late; there may be capacity for it in this many ms.
    TooLate(u64),
}

impl Cell {
    /// Sets the processor time that a service's pool can have, in thousandths of a core, and sums up the work
    /// that waits for the service.
    pub fn update_backlog(&mut self, service: &str, cpu: u64) {
        let mut backlog = Backlog {
            cores: cpu as f64 / 1_000.0,
            ..Backlog::default()
        };
        for rank in self.waiting.get(service).into_iter().flatten() {
            if let Some((workspace, work)) = self.work_of(rank) {
                backlog.add(workspace, work);
            }
        }
        self.backlogs.insert(service.to_owned(), backlog);
    }

    /// Forecasts whether a job that is submitted now would be done while its caller still waits for it.
    pub fn forecast(&self, submission: &Submission) -> Forecast {
        if !has_objective(submission) {
            return Forecast::Worthwhile;
        }
        let factor = self.estimate_factor(&submission.queue);
        let critical_path = critical_path_ms(&submission.spec.steps) as f64 * factor;
        let objective = submission.stretch * critical_path + submission.slack as f64;
        let dispatch_ms = self.dispatch_wait_ms(submission);
        // Starts are sent in the order of their decisions, so that each job that is accepted although it would be late
        // makes others late.
        let overdue_ms = dispatch_ms - (MAX_OBJECTIVE_FACTOR * objective - critical_path);
        if dispatch_ms > 0.0 && overdue_ms > 0.0 {
            return Forecast::TooLate(overdue_ms as u64);
        }
        let limit = match submission.workspace {
            Some(_) => MAX_OBJECTIVE_FACTOR,
            None => MAX_OBJECTIVE_FACTOR_WITHOUT_WORKSPACES,
        };
        let allowed_ms = limit * objective - critical_path;
        let workspace = submission.workspace.as_ref();
        let share = workspace.map_or(1.0, |id| self.shares.share(&submission.service, id));
        let backlog = self.backlogs.get(&submission.service);
        let known = backlog.filter(|backlog| backlog.cores > 0.0);
        let queue_ms = known.map_or(0.0, |backlog| backlog.queue_wait_ms(workspace, share));
        let wait_ms = queue_ms.max(self.bound_wait_ms(workspace)) + dispatch_ms;
        if wait_ms <= allowed_ms {
            return Forecast::Worthwhile;
        }
        Forecast::TooLate((wait_ms - allowed_ms) as u64)
    }

    /// Returns the processor time of a service's pool that its jobs can use, in thousandths of a core; `None`
    /// if it is not known.
    pub(super) fn usable_cpu(&self, service: &str) -> Option<f64> {
        let backlog = self.backlogs.get(service);
        let cores = backlog
            .map(|backlog| backlog.cores)
            .filter(|cores| *cores > 0.0);
        cores.map(|cores| cores * 1_000.0 * FILL_RATIO)
    }

    /// Adds an accepted job to the backlog of its service.
    pub(super) fn add_to_backlog(&mut self, submission: &Submission) {
        let factor = self.estimate_factor(&submission.queue);
        let work = work_of_steps(&submission.spec.steps) * factor / 1_000.0;
        if let Some(backlog) = self.backlogs.get_mut(&submission.service) {
            backlog.add(submission.workspace.as_ref(), work);
        }
        self.add_to_bound_backlog(submission, work);
        self.start_backlog += start_bytes(submission);
    }

    /// Returns the work of a waiting task, or of the gang that it represents, and the workspace that it
    /// belongs to.
    fn work_of(&self, rank: &Rank) -> Option<(Option<&WorkspaceId>, f64)> {
        let task = rank.task();
        let job = self
            .jobs
            .get(&task.job)
            .filter(|job| !job.phase.is_over())?;
        let step = job.find_step(task).filter(|step| !step.long_running)?;
        let members = if step.gang {
            f64::from(step.count)
        } else {
            1.0
        };
        let work = work(step, members, self.estimate_factor(&job.submission.queue));
        Some((job.submission.workspace.as_ref(), work))
    }
}

/// Returns the work of a number of tasks of a step, in cores times ms.
fn work(step: &Step, tasks: f64, factor: f64) -> f64 {
    let Need { cpu, .. } = step.need;
    let cpu = if step.best_effort { 0 } else { cpu };
    cpu as f64 / 1_000.0 * step.estimate_ms as f64 * factor * tasks
}

/// Returns whether a job has an objective for its end: it starts at once, ends by itself, has estimates for
/// all steps, and its queue defines when it is in time.
fn has_objective(submission: &Submission) -> bool {
    let guessed = submission
        .spec
        .steps
        .iter()
        .all(|step| step.estimate_ms > 0);
    let ends = !submission.spec.is_long_running() && submission.spec.schedule.is_none();
    ends && guessed && submission.stretch > 0.0 && submission.slack > 0
}
