//! What a new owner makes of the records that the owners before it left.

use crate::{
    Cell, Job, JobId, JobSpec, QueueId, RunId, ServiceId, Submission, Task, TaskId, TaskPhase,
    WorkerId, cell::Orphan, record::Decoded,
};
use std::collections::HashMap;

impl Cell {
    /// Restores the jobs from what the log holds, in any order of records. What an earlier owner
    /// had placed stays placed until its worker has reported or has been given up. Returns the jobs that are left out,
    /// since their records do not fit each other: an owner that ended on one would take each next one with it.
    pub fn load(&mut self, records: Vec<Decoded>) -> Vec<JobId> {
        let mut states = HashMap::new();
        for record in records {
            match record {
                Decoded::Submission(_, given) if given.spec.check().is_err() => {}
                Decoded::Submission(order, given) => {
                    self.next_order = self.next_order.max(order + 1);
                    if !given.spec.is_long_running() {
                        self.begun.insert(given.service.clone());
                    }
                    self.jobs.insert(given.id, Job::new(given, order));
                }
                Decoded::State(id, state) => {
                    states.insert(id, state);
                }
                Decoded::VmOrders(vms) => self.duty.inherited = vms,
                Decoded::Maintained(wave, vms) => {
                    self.upkept.insert(wave, vms);
                }
            }
        }
        for (id, state) in states {
            let job = self.jobs.entry(id).or_insert_with(|| Job::new(over(id), 0));
            job.phase = state.phase;
            job.durable_phase = Some(state.phase);
            if state.phase.is_over() {
                job.submission.workspace = state.workspace.or(job.submission.workspace.take());
            }
            if !state.phase.is_over() && job.fits(&state.rounds) {
                job.rounds = state.rounds;
            } else if !state.phase.is_over() {
                job.durable_phase = None;
            }
        }
        // What was handed in is written in one call with its state: one without the other is a record
        // that was lost or never complete, and must not stop the takeover.
        let is_whole = |job: &Job| {
            let known = job.phase.is_over() || !job.submission.spec.steps.is_empty();
            job.durable_phase.is_some() && known
        };
        let odd = self.jobs.extract_if(|_, job| !is_whole(job));
        let odd: Vec<JobId> = odd.map(|(id, _)| id).collect();
        self.share_out_all();
        let ids: Vec<JobId> = self.jobs.keys().copied().collect();
        ids.into_iter().for_each(|id| self.restore(id));
        odd
    }

    /// Takes in what an earlier owner placed of a job, and lets what waits of it wait on.
    fn restore(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.phase.is_over() {
            return;
        }
        let placed = placed_runs(job);
        self.open_account(id);
        self.note_spread(id);
        self.restore_suspicions(id);
        for (worker, task, run) in placed {
            self.lives.add(&worker, None);
            let charge = self.charge(task);
            let orphan = Orphan { task, run, charge };
            self.orphans.entry(worker).or_default().push(orphan);
        }
        self.set_timers(id);
        self.enqueue_all(id);
    }
}

/// What stands for a job that is over and of which only the outcome is kept.
fn over(id: JobId) -> Submission {
    let spec = JobSpec {
        text: String::new(),
        steps: Vec::new(),
        schedule: None,
    };
    Submission {
        id,
        queue: QueueId::new(),
        service: ServiceId::new(),
        priority: 0,
        max_attempts: 0,
        requires_permits: false,
        submitted_at: 0,
        stretch: 1.0,
        slack: 0,
        spec,
        workspace: None,
    }
}

/// The runs that the records of a job name, each with its worker.
fn placed_runs(job: &Job) -> Vec<(WorkerId, TaskId, RunId)> {
    let run = |(id, task): (TaskId, &Task)| match &task.phase {
        TaskPhase::Placed(worker) => Some((worker.clone(), id, task.run)),
        TaskPhase::Waiting | TaskPhase::Done => None,
    };
    job.tasks().filter_map(run).collect()
}
