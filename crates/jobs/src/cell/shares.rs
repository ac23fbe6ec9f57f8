//! Which jobs a workspace hands in beyond its part of a service that is full.
//!
//! Each workspace has a part of a service by its weight; what one does not use goes to the others. Virtual time tells how
//! much each has handed in: a job begins behind the work that its workspace has handed in before, which passes the slower
//! the more weight the workspace has (start-time fair queueing). A job that would be far too late by its workspace's own part
//! goes behind the others: a workspace that sends eight times its usual waits for itself.
//!
//! All others go as they came. With virtual time as the order of all jobs, those that are in a hurry wait for smaller
//! workspaces also where there is room enough for all in time, which costs more on a usual day than it gains.

use crate::{
    Cell, Job, JobId, ServiceId, WorkspaceId,
    job::{longest_chain, work_of_steps},
};
use std::collections::HashMap;

/// From how many times its objective on a job counts as beyond its workspace's part, if it had that part alone. Nearer,
/// workspaces that send a little more than usual at a peak go behind where there is room for all in time.
const FAR_BEYOND: f64 = 3.0;

/// The virtual time of a service: thousandths of a core times ms, by a weight of 1.
#[derive(Debug, Default)]
struct Clock {
    /// The latest moment at which a job that has begun was to begin.
    now: f64,
    /// Up to where each workspace has handed in work.
    ends: HashMap<WorkspaceId, f64>,
}

/// The weights of workspaces, and how far each has come at each service.
#[derive(Debug, Default)]
pub(super) struct Shares {
    weights: HashMap<WorkspaceId, f64>,
    clocks: HashMap<ServiceId, Clock>,
}

impl Shares {
    /// Takes in a job of so much work. Returns when it begins in virtual time, and how long after the jobs that begin now.
    fn hand_in(&mut self, service: &str, workspace: &WorkspaceId, work: f64) -> (f64, f64) {
        let weight = self.weight(workspace);
        let clock = self.clocks.entry(service.to_owned()).or_default();
        let end = clock.ends.entry(workspace.clone()).or_default();
        let begin = end.max(clock.now);
        *end = begin + work / weight;
        (begin, begin - clock.now)
    }

    /// The weights of the workspaces that are at work at a service, and that of this one: those whose last job is still to
    /// begin, or has just begun.
    fn weights_at_work(&self, service: &str, workspace: &str) -> f64 {
        let own = self.weight(workspace);
        let Some(clock) = self.clocks.get(service) else {
            return own;
        };
        let others = clock.ends.iter();
        let at_work = others.filter(|(id, end)| *id != workspace && **end > clock.now);
        own + at_work.map(|(id, _)| self.weight(id)).sum::<f64>()
    }

    /// The part of a service that a workspace has beside the others that are at work there.
    pub(super) fn part(&self, service: &str, workspace: &str) -> f64 {
        self.weight(workspace) / self.weights_at_work(service, workspace)
    }

    /// The weight of a workspace; 1 of one that has none.
    fn weight(&self, workspace: &str) -> f64 {
        let weight = self.weights.get(workspace).copied();
        let known = weight.filter(|weight| weight.is_finite() && *weight > 0.0);
        known.unwrap_or(1.0)
    }
}

impl Cell {
    /// Sets the weights of workspaces: their parts of a service that is full.
    pub fn set_weights(&mut self, weights: impl IntoIterator<Item = (WorkspaceId, f64)>) {
        self.shares.weights = weights.into_iter().collect();
    }

    /// Finds out whether a job is beyond its workspace's part.
    pub(super) fn share_out(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let Some(workspace) = job.submission.workspace.clone() else {
            return;
        };
        let service = job.submission.service.clone();
        let pace = self.pace_of(&job.submission.queue);
        let steps = &job.submission.spec.steps;
        let work = work_of_steps(steps) * pace;
        let chain = longest_chain(steps) as f64 * pace;
        let objective = job.submission.stretch * chain + job.submission.slack as f64;
        let (begin, ahead) = self.shares.hand_in(&service, &workspace, work);
        let weights = self.shares.weights_at_work(&service, &workspace);
        let room = self.room_of_service(&service);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.virtual_start = begin;
            job.over_share =
                room.is_some_and(|room| ahead * weights / room > FAR_BEYOND * objective);
        }
    }

    /// The same for the jobs that an earlier owner left, in the order in which they came.
    pub(super) fn share_out_all(&mut self) {
        let open = self.jobs.values().filter(|job| !job.phase.is_over());
        let mut jobs: Vec<(u64, JobId)> = open.map(|job| (job.order, job.submission.id)).collect();
        jobs.sort_unstable();
        jobs.into_iter().for_each(|(_, id)| self.share_out(id));
    }

    /// A run of a job is ordered: virtual time goes on to where the job begins.
    pub(crate) fn pass_time(&mut self, id: JobId) {
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
