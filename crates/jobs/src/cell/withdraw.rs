//! Gives a job back of which nothing has left the owner.
//!
//! While the log is away, jobs that were taken in wait for their records, longer than their callers do. A
//! caller who was told nothing cannot know whether the job runs later; one whose job is given back is told
//! that it never does, and may hand it in again. Besides, the room is not taken by work that nobody waits for.

use crate::{Cell, JobId, Order, RunId, TaskId, WorkerId};

impl Cell {
    /// Takes a job out that has been taken in and of which neither a record nor a start has been handed on;
    /// false if something has been, or the job is over, or is not known.
    pub fn withdraw(&mut self, id: JobId) -> bool {
        let open = self.jobs.get(&id).filter(|job| !job.phase.is_over());
        let Some(service) = open.map(|job| job.submission.service.clone()) else {
            return false;
        };
        if !self.fresh.remove(&id) {
            return false;
        }
        self.dirty.remove(&id);
        self.forget_wishes(id);
        if let Some(queue) = self.waiting.get_mut(&service) {
            queue.retain(|rank| rank.task().job != id);
        }
        for (worker, task, run) in self.take_starts(id) {
            self.near.forget(task);
            if let Some(host) = self.workers.get_mut(&worker) {
                host.remove(task, run);
            }
        }
        self.unpark_job(id);
        self.jobs.remove(&id);
        true
    }

    /// Takes the starts of a job from those that wait for their records.
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
