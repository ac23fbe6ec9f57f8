//! Sums up the work that waits for the bounds of workspaces.
//!
//! Tasks that wait for their workspace's bound are kept apart from those that wait for capacity, so that the backlog of
//! their service does not include them. Without this sum, a workspace at its bound would have jobs accepted that start
//! only long after they were to end.

use crate::{Cell, Job, Round, Submission, WorkspaceId, job::work_of_steps};
use std::collections::HashMap;

/// The work that waits for the bound of each workspace, in cores times ms, including jobs accepted since the last update.
/// Workspaces of which nothing waits are missing.
pub(super) type BoundBacklogs = HashMap<WorkspaceId, f64>;

impl Cell {
    /// Sums up the work of the jobs that wait for their workspaces' bounds.
    pub fn update_bound_backlogs(&mut self) {
        let blocked = self.ledger.blocked_jobs();
        let sums = blocked.map(|(workspace, ids)| {
            let jobs = ids.iter().filter_map(|id| self.jobs.get(id));
            let work = jobs.map(|job| self.remaining_work(job)).sum();
            (workspace.clone(), work)
        });
        self.bound_backlogs = sums.collect();
    }

    /// Adds the work of an accepted job, if its workspace waits for its bound.
    pub(super) fn add_to_bound_backlog(&mut self, submission: &Submission, work: f64) {
        let workspace = submission.workspace.as_ref();
        if let Some(total) = workspace.and_then(|id| self.bound_backlogs.get_mut(id)) {
            *total += work;
        }
    }

    /// Returns the wait for a workspace's bound before a new job of it starts, in ms.
    pub(super) fn bound_wait_ms(&self, workspace: Option<&WorkspaceId>) -> f64 {
        let Some(workspace) = workspace else {
            return 0.0;
        };
        let work = self.bound_backlogs.get(workspace).copied().unwrap_or(0.0);
        let max = self.account(workspace).map(|account| account.bound());
        match max.map(|bound| bound.amounts().cpu) {
            Some(cpu) if (1..u64::MAX).contains(&cpu) => work / (cpu as f64 / 1_000.0),
            // Nothing is known of a bound that allows nothing: it may be that of a configuration still in transit.
            Some(_) | None => 0.0,
        }
    }

    /// Returns the work of a job's tasks that have not ended, in cores times ms.
    fn remaining_work(&self, job: &Job) -> f64 {
        let spec = &job.submission.spec;
        let open: u64 = job.rounds.iter().map(Round::unfinished_count).sum();
        let all = spec.task_count() * job.rounds.len() as u64;
        let share = open as f64 / all.max(1) as f64;
        let factor = self.estimate_factor(&job.submission.queue);
        work_of_steps(&spec.steps) * factor / 1_000.0 * share
    }
}
