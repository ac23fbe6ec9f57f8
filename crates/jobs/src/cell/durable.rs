//! What has to be recorded, what waits for that, and what need not wait.

use crate::{
    Batch, Cell, JobId, Order,
    record::{
        encode_maintained, encode_state, encode_submission, encode_vm_orders, forget_submission,
    },
};
use std::collections::BTreeSet;

impl Cell {
    /// The state of a job has changed and is to be recorded.
    pub(crate) fn mark_dirty(&mut self, id: JobId) {
        self.dirty.insert(id);
    }

    /// The ends of a worker up to this number have been taken in: once the next batch is durable, the
    /// worker may forget them.
    pub(crate) fn note(&mut self, worker: &str, number: u64) {
        self.noted.insert(worker.into(), number);
    }

    /// The VMs that have had their upkeep in a wave.
    pub fn upkept(&self, wave: u64) -> BTreeSet<String> {
        self.upkept.get(&wave).cloned().unwrap_or_default()
    }

    /// A VM has had its upkeep in a wave.
    pub fn note_upkeep(&mut self, wave: u64, vm: &str) {
        if self.upkept.entry(wave).or_default().insert(vm.to_owned()) {
            self.upkept_dirty.insert(wave);
        }
    }

    /// Takes the orders that need no record: stops and changes of pace.
    pub fn take_urgent(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.urgent)
    }

    /// Takes the starts of jobs that are durable themselves, from those that wait for their records:
    /// while the log is away, work goes on with what it holds.
    pub fn take_known(&self, starts: &mut Vec<Order>) -> Vec<Order> {
        let known = |order: &mut Order| match order {
            Order::Start { task, .. } => self
                .jobs
                .get(&task.job)
                .is_some_and(|job| job.durable_phase.is_some()),
            Order::Stop { .. } | Order::Pace { .. } | Order::RequestPermits { .. } => true,
        };
        starts.extract_if(.., known).collect()
    }

    /// Takes the starts that wait for a batch, where their jobs are durable.
    pub fn take_unrecorded(&mut self) -> Vec<Order> {
        let mut starts = std::mem::take(&mut self.starts);
        let known = self.take_known(&mut starts);
        self.starts = starts;
        known
    }

    /// Takes the records and starts that have come up since the last batch.
    pub fn take_batch(&mut self) -> Batch {
        let mut batch = Batch::default();
        let dirty: Vec<JobId> = self.dirty.drain().collect();
        for id in dirty {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let fresh = self.fresh.remove(&id);
            if fresh && !job.phase.is_over() {
                batch.entries.push(encode_submission(job));
            } else if !fresh && job.phase.is_over() {
                batch.entries.push(forget_submission(id));
            }
            batch.entries.push(encode_state(job));
            batch.phases.push((id, job.phase));
        }
        for wave in std::mem::take(&mut self.upkept_dirty) {
            batch
                .entries
                .push(encode_maintained(wave, &self.upkept[&wave]));
        }
        if let Some(vms) = self.duty.take_change() {
            batch.entries.push(encode_vm_orders(&vms));
        }
        batch.vm_orders = self.duty.batched;
        batch.starts = std::mem::take(&mut self.starts);
        batch.acknowledged = std::mem::take(&mut self.noted).into_iter().collect();
        batch
    }

    /// The records of a batch are durable: what they say may be shown.
    pub fn confirm(&mut self, batch: &Batch) {
        self.duty.durable = self.duty.durable.max(batch.vm_orders);
        for (id, phase) in &batch.phases {
            if let Some(job) = self.jobs.get_mut(id) {
                job.durable_phase = Some(*phase);
            }
        }
    }
}
