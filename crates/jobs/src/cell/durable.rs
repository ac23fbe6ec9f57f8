//! Collects what has to be recorded, the orders that wait for records, and the orders that need none.

use crate::{
    Batch, Cell, Entry, Job, JobId, Order, Phase,
    parts::Parts,
    record::{
        encode_maintained, encode_part, encode_pending_maintenance, encode_state,
        encode_submission, encode_vm_orders, forget_part, forget_submission,
    },
};
use std::collections::BTreeSet;

impl Cell {
    /// Marks a job whose state has changed and is to be recorded.
    pub(crate) fn mark_dirty(&mut self, id: JobId) {
        self.dirty.insert(id);
    }

    /// Records that the ends of a worker up to this number have been processed. The worker may forget them
    /// once the next batch is durable.
    pub(crate) fn acknowledge_ends(&mut self, worker: &str, number: u64) {
        self.acknowledged.insert(worker.into(), number);
    }

    /// Returns the VMs that have been maintained in a wave.
    pub fn maintained_vms(&self, wave: u64) -> BTreeSet<String> {
        self.maintained_vms.get(&wave).cloned().unwrap_or_default()
    }

    /// Records that a VM has been maintained in a wave.
    pub fn record_maintenance(&mut self, wave: u64, vm: &str) {
        if self
            .maintained_vms
            .entry(wave)
            .or_default()
            .insert(vm.to_owned())
        {
            self.unrecorded_waves.insert(wave);
        }
    }

    /// Takes the orders that need no record: stops, changes of pace, and requests for permits.
    pub fn take_urgent(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.urgent)
    }

    /// Extracts the starts of jobs that are durable themselves from those that wait for their records. During
    /// a store outage, work continues with the jobs that the log holds.
    pub fn extract_durable_starts(&self, starts: &mut Vec<Order>) -> Vec<Order> {
        let is_durable = |order: &mut Order| match order {
            Order::Start { task, .. } => self
                .jobs
                .get(&task.job)
                .is_some_and(|job| job.durable_phase.is_some()),
            Order::Stop { .. } | Order::Pace { .. } | Order::RequestPermits { .. } => true,
        };
        starts.extract_if(.., is_durable).collect()
    }

    /// Takes the starts of durable jobs from those that wait for the next batch.
    pub fn take_durable_starts(&mut self) -> Vec<Order> {
        let mut starts = std::mem::take(&mut self.starts);
        let durable = self.extract_durable_starts(&mut starts);
        self.starts = starts;
        durable
    }

    /// Takes the records and starts that have accumulated since the last batch. If only the first of the records
    /// become durable, wherever that ends, the next owner restores each job in its present or its former state.
    pub fn take_batch(&mut self) -> Batch {
        let mut batch = Batch {
            entries: std::mem::take(&mut self.obsolete),
            ..Batch::default()
        };
        let dirty: Vec<JobId> = self.dirty.drain().collect();
        for id in dirty {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let is_new = self.new_jobs.remove(&id);
            batch.phases.push((id, job.phase));
            if job.phase.is_over() {
                push_end(job, is_new, &mut batch.entries);
            } else {
                push_state(job, is_new, &mut batch.entries);
            }
        }
        for wave in std::mem::take(&mut self.unrecorded_waves) {
            batch
                .entries
                .push(encode_maintained(wave, &self.maintained_vms[&wave]));
        }
        if let Some(vms) = self.vm_orders.take_change() {
            batch.entries.push(encode_vm_orders(&vms));
            let pending = self.vm_orders.pending();
            batch.entries.push(encode_pending_maintenance(&pending));
        }
        batch.vm_orders = self.vm_orders.batched;
        batch.starts = std::mem::take(&mut self.starts);
        batch.acknowledged = std::mem::take(&mut self.acknowledged).into_iter().collect();
        batch
    }

    /// Publishes the states in a batch whose records are durable.
    pub fn confirm(&mut self, batch: &Batch) {
        self.vm_orders.durable = self.vm_orders.durable.max(batch.vm_orders);
        for (id, phase) in &batch.phases {
            if let Some(job) = self.jobs.get_mut(id) {
                job.durable_phase = Some(*phase);
            }
        }
    }

    /// Gives up a job one of whose records the log can never take. One that is durable has failed. Any other one is
    /// withdrawn: without its state, the next owner does not restore it.
    pub fn give_up(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id).filter(|job| !job.phase.is_over()) else {
            return;
        };
        if job.durable_phase.is_some() {
            self.finish(id, Phase::Failed);
        } else {
            self.new_jobs.insert(id);
            self.withdraw(id);
            self.obsolete.push(forget_submission(id));
        }
    }
}

/// Adds the records of a job that is not over: its state follows the tasks that it refers to.
fn push_state(job: &mut Job, is_new: bool, entries: &mut Vec<Entry>) {
    if is_new {
        entries.push(encode_submission(job));
    }
    let changed = job.parts.as_mut().map(Parts::take_changed);
    let changed = changed.unwrap_or_default();
    entries.extend(changed.into_iter().map(|first| encode_part(job, first)));
    entries.push(encode_state(job));
}

/// Adds the records of a job that is over: its outcome precedes the removal of all else.
fn push_end(job: &mut Job, is_new: bool, entries: &mut Vec<Entry>) {
    let id = job.submission.id;
    entries.push(encode_state(job));
    if !is_new {
        entries.push(forget_submission(id));
    }
    let recorded = job.parts.as_mut().map(Parts::take_recorded);
    let recorded = recorded.unwrap_or_default();
    entries.extend(recorded.into_iter().map(|first| forget_part(id, first)));
}
