//! Determines which jobs exceed their workspace's share of a service under overload.
//!
//! Each workspace has a share of a service by its weight, and unused shares go to the others. Virtual time
//! measures how much each workspace has submitted: a job starts, in virtual time, after all earlier work of
//! its workspace, which elapses more slowly the higher the weight of the workspace (start-time fair
//! queueing). A job that would be far too late if its workspace had only its own share is queued behind the
//! others, so that a workspace that sends eight times its usual load delays only itself.
//!
//! All other jobs stay in order of arrival. With virtual time as the order of all jobs, urgent jobs would
//! wait for smaller workspaces even where capacity suffices for all in time, which costs more on a usual day
//! than it gains.

use crate::{
    Cell, Job, JobId, ServiceId, WorkspaceId,
    job::{critical_path_ms, work_of_steps},
};
use std::collections::HashMap;

/// The wait at which a job exceeds its workspace's share, as a multiple of the job's objective. The wait is
/// the one that the job would have if its workspace had only that share. With a lower factor, workspaces
/// slightly above their usual load at a peak are queued behind the others although capacity suffices for all
/// in time.
const OVER_SHARE_FACTOR: f64 = 3.0;

/// The virtual time of a service, in thousandths of a core times ms for a workspace of weight 1.
#[derive(Debug, Default)]
struct VirtualClock {
    /// The latest virtual start time of a job that has begun.
    now: f64,
    /// The virtual time at which the submitted work of each workspace ends.
    finish_times: HashMap<WorkspaceId, f64>,
}

/// The weights of workspaces, and the virtual clock of each service.
#[derive(Debug, Default)]
pub(super) struct Shares {
    weights: HashMap<WorkspaceId, f64>,
    clocks: HashMap<ServiceId, VirtualClock>,
}

impl Shares {
    /// Adds a job with this work. Returns its virtual start time, and how far that is ahead of the service's
    /// virtual time.
    fn submit(&mut self, service: &str, workspace: &WorkspaceId, work: f64) -> (f64, f64) {
        let weight = self.weight(workspace);
        let clock = self.clocks.entry(service.to_owned()).or_default();
        let end = clock.finish_times.entry(workspace.clone()).or_default();
        let begin = end.max(clock.now);
        *end = begin + work / weight;
        (begin, begin - clock.now)
    }

    /// Returns the sum of the weights of the workspaces that are active at a service, always including the
    /// given one. A workspace is active until virtual time has passed the end of its submitted work.
    fn active_weight(&self, service: &str, workspace: &str) -> f64 {
        let own = self.weight(workspace);
        let Some(clock) = self.clocks.get(service) else {
            return own;
        };
        let others = clock.finish_times.iter();
        let active = others.filter(|(id, end)| *id != workspace && **end > clock.now);
        own + active.map(|(id, _)| self.weight(id)).sum::<f64>()
    }

    /// Returns the share of a service that a workspace has among the active ones.
    pub(super) fn share(&self, service: &str, workspace: &str) -> f64 {
        self.weight(workspace) / self.active_weight(service, workspace)
    }

    /// Returns the weight of a workspace; 1 if none is set.
    fn weight(&self, workspace: &str) -> f64 {
        let weight = self.weights.get(workspace).copied();
        let known = weight.filter(|weight| weight.is_finite() && *weight > 0.0);
        known.unwrap_or(1.0)
    }
}

impl Cell {
    /// Sets the weights of workspaces, which determine their shares of a service under overload.
    pub fn set_weights(&mut self, weights: impl IntoIterator<Item = (WorkspaceId, f64)>) {
        self.shares.weights = weights.into_iter().collect();
    }

    /// Sets the virtual start time of a job and whether the job exceeds its workspace's share.
    pub(super) fn assign_virtual_start(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let Some(workspace) = job.submission.workspace.clone() else {
            return;
        };
        let service = job.submission.service.clone();
        let factor = self.estimate_factor(&job.submission.queue);
        let steps = &job.submission.spec.steps;
        let work = work_of_steps(steps) * factor;
        let critical_path = critical_path_ms(steps) as f64 * factor;
        let objective = job.submission.stretch * critical_path + job.submission.slack as f64;
        let (begin, ahead) = self.shares.submit(&service, &workspace, work);
        let active_weight = self.shares.active_weight(&service, &workspace);
        let cpu = self.usable_cpu(&service);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.virtual_start = begin;
            job.over_share =
                cpu.is_some_and(|cpu| ahead * active_weight / cpu > OVER_SHARE_FACTOR * objective);
        }
    }

    /// Sets the virtual start times of the jobs that an earlier owner left, in their order of arrival.
    pub(super) fn assign_virtual_starts(&mut self) {
        let open = self.jobs.values().filter(|job| !job.phase.is_over());
        let mut jobs: Vec<(u64, JobId)> = open.map(|job| (job.order, job.submission.id)).collect();
        jobs.sort_unstable();
        jobs.into_iter()
            .for_each(|(_, id)| self.assign_virtual_start(id));
    }

    /// Advances the virtual time of a service to the virtual start time of a job of which a run is ordered.
    pub(crate) fn advance_virtual_time(&mut self, id: JobId) {
        let Some(Job {
            submission,
            virtual_start,
            ..
        }) = self.jobs.get(&id)
        else {
            return;
        };
        if let Some(clock) = self.shares.clocks.get_mut(&submission.service) {
            clock.now = clock.now.max(*virtual_start);
        }
    }
}
