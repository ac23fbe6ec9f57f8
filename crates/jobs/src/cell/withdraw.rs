//! Withdraws a job of which nothing has left the owner.
//!
//! During a store outage, accepted jobs wait for their records longer than their callers do. A caller without
//! a response cannot know whether its job will still run. If the job is withdrawn, the caller is notified
//! that it never will, and may submit it again; besides, no capacity is spent on work that nobody waits for.

use crate::{Cell, JobId, Order, RunId, TaskId, WorkerId};

impl Cell {
    /// Removes a job of which neither a record nor a start has been passed on. Returns false if one has been,
    /// or if the job is over or unknown.
    pub fn withdraw(&mut self, id: JobId) -> bool {
        let open = self.jobs.get(&id).filter(|job| !job.phase.is_over());
        let Some(service) = open.map(|job| job.submission.service.clone()) else {
            return false;
        };
        if !self.new_jobs.remove(&id) {
            return false;
        }
        self.dirty.remove(&id);
        self.clear_job_requests(id);
        if let Some(queue) = self.waiting.get_mut(&service) {
            queue.retain(|rank| rank.task().job != id);
        }
        for (worker, task, run) in self.take_starts(id) {
            self.near.forget(task);
            if let Some(host) = self.workers.get_mut(&worker) {
                host.remove(task, run);
            }
        }
        self.forget_blocked_tasks(id);
        self.jobs.remove(&id);
        true
    }

    /// Removes the starts of a job from those that wait for their records, and returns them.
    fn take_starts(&mut self, id: JobId) -> Vec<(WorkerId, TaskId, RunId)> {
        let of_job =
            |order: &mut Order| matches!(order, Order::Start { task, .. } if task.job == id);
        let taken = self.starts.extract_if(.., of_job);
        let run = |order| match order {
            Order::Start { worker, task, run } => Some((worker, task, run)),
            Order::Stop { .. } | Order::Pace { .. } | Order::RequestPermits { .. } => None,
        };
        taken.filter_map(run).collect()
    }
}
