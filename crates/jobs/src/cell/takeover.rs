//! Restores the state of a cell from the records that earlier owners left.

use crate::{
    Cell, Job, JobId, JobSpec, QueueId, RunId, ServiceId, Submission, Task, TaskId, TaskPhase,
    WorkerId,
    cell::Orphan,
    parts::Part,
    record::{Decoded, State, forget_part, forget_submission},
};
use std::collections::{HashMap, hash_map};

impl Cell {
    /// Restores the jobs from the records of the log, which may come in any order. Tasks that an earlier
    /// owner had placed stay placed until their worker has reported or has been abandoned. Returns the jobs
    /// that are left out because their records are inconsistent: if an owner failed on one of these, each
    /// following owner would fail on it as well.
    pub fn load_records(&mut self, records: Vec<Decoded>) -> Vec<JobId> {
        let mut states = HashMap::new();
        let mut invalid = Vec::new();
        let mut parts: HashMap<JobId, Vec<(usize, Part)>> = HashMap::new();
        for record in records {
            match record {
                Decoded::Submission(_, submission) if submission.spec.check().is_err() => {}
                Decoded::Submission(order, submission) => {
                    self.next_order = self.next_order.max(order.saturating_add(1));
                    if !submission.spec.is_long_running() {
                        self.finite_services.insert(submission.service.clone());
                    }
                    self.jobs.insert(submission.id, Job::new(submission, order));
                }
                Decoded::State(id, state) => {
                    states.insert(id, state);
                }
                Decoded::Part(id, first, part) => {
                    parts.entry(id).or_default().push((first, part));
                }
                Decoded::VmOrders(vms) => self.vm_orders.inherited = vms,
                Decoded::PendingMaintenance(vms) => self.vm_orders.inherit_pending(vms),
                Decoded::Maintained(wave, vms) => {
                    self.maintained_vms.insert(wave, vms);
                }
            }
        }
        for (id, state) in states {
            let parts = parts.remove(&id).unwrap_or_default();
            if state.phase.is_over() {
                self.restore_outcome(id, state, &parts);
            } else {
                match self.jobs.get_mut(&id) {
                    Some(job) => restore_state(job, state, parts),
                    None => invalid.push(id),
                }
            }
        }
        // The state of a job follows its submission, perhaps in a later call. If one of them is missing, a record
        // was lost or the calls were not completed; that must not stop the takeover.
        let incomplete = self.jobs.extract_if(|_, job| job.durable_phase.is_none());
        invalid.extend(incomplete.map(|(id, _)| id));
        self.assign_virtual_starts();
        let ids: Vec<JobId> = self.jobs.keys().copied().collect();
        ids.into_iter().for_each(|id| self.restore_job(id));
        invalid
    }

    /// Restores a job that is over. The records that the earlier owner did not remove are removed with the next batch.
    fn restore_outcome(&mut self, id: JobId, state: State, parts: &[(usize, Part)]) {
        let job = match self.jobs.entry(id) {
            hash_map::Entry::Occupied(job) => {
                self.obsolete.push(forget_submission(id));
                job.into_mut()
            }
            hash_map::Entry::Vacant(job) => job.insert(Job::new(finished_submission(id), 0)),
        };
        job.phase = state.phase;
        job.durable_phase = Some(state.phase);
        job.submission.workspace = state.workspace.or(job.submission.workspace.take());
        let parts = parts.iter().map(|(first, _)| forget_part(id, *first));
        self.obsolete.extend(parts);
    }

    /// Restores the runs that an earlier owner placed for a job, and queues the job's waiting tasks.
    fn restore_job(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.phase.is_over() {
            return;
        }
        let placed = placed_runs(job);
        self.open_account(id);
        self.record_anti_affinity(id);
        self.restore_suspicions(id);
        for (worker, task, run) in placed {
            self.incarnations.add(&worker, None);
            let charge = self.charge(task);
            let orphan = Orphan { task, run, charge };
            self.orphans.entry(worker).or_default().push(orphan);
        }
        self.set_timers(id);
        self.enqueue_all(id);
    }
}

/// Restores the state of a job that is not over. It does not become durable if its records are inconsistent.
fn restore_state(job: &mut Job, state: State, parts: Vec<(usize, Part)>) {
    job.phase = state.phase;
    let is_consistent = if job.fits(&state.rounds) {
        job.restore_rounds(state.rounds);
        true
    } else {
        state.rounds.is_empty() && job.restore_parts(parts)
    };
    job.durable_phase = is_consistent.then_some(state.phase);
}

/// Returns an empty submission for a job that is over and of which only the outcome is kept.
fn finished_submission(id: JobId) -> Submission {
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

/// Returns the runs that the records of a job name, each with its worker.
fn placed_runs(job: &Job) -> Vec<(WorkerId, TaskId, RunId)> {
    let run = |(id, task): (TaskId, &Task)| match &task.phase {
        TaskPhase::Placed(worker) => Some((worker.clone(), id, task.run)),
        TaskPhase::Waiting | TaskPhase::Done => None,
    };
    job.tasks().filter_map(run).collect()
}
