//! Tracks workers as they are listed, fall silent and are abandoned.

use crate::{
    Cell, Ending, Loss, LostRun, LostWorker, RunId, TaskId, Worker, WorkerId, WorkerInfo,
    WorkerName,
    cell::{Orphan, load_of},
    name_of,
    worker::RunState,
};
use clock::Instant;
use std::{collections::BTreeSet, mem, sync::Arc};

impl Cell {
    /// Adds or updates an incarnation of a worker with its entry in the platform's list.
    pub fn upsert_worker(&mut self, info: WorkerInfo, now: Instant) {
        self.incarnations.add(&info.id, Some(now));
        let is_drained = self.is_hall_drained(&info.hall);
        if let Some(worker) = self.workers.get_mut(&info.id) {
            worker.hall_drained = is_drained;
            worker.unlisted_at = None;
            worker.unusable = false;
            worker.return_limit = self.returns.limit(&info);
            return self.workers.update(info);
        }
        let mut worker = Worker::new(info);
        worker.hall_drained = is_drained;
        worker.return_limit = self.returns.limit(&worker.info);
        worker.contacted = self.takeover_barrier.listed;
        let orphans = self.orphans.remove(&worker.info.id);
        for Orphan { task, run, charge } in orphans.unwrap_or_default() {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let mut state = RunState::inherited(load_of(job, task), charge, now);
            // The worker's first response shuts out orders of the earlier owner that are still in transit, so
            // that any report requested from now on shows whether the run exists.
            state.answered_at = Some(now);
            worker.add(task, run, state);
        }
        self.workers.insert(worker);
    }

    /// Returns whether an earlier owner had placed runs on a worker that no list has named since.
    pub fn is_orphaned_worker(&self, id: &str) -> bool {
        self.orphans.contains_key(id)
    }

    /// Returns the workers that an earlier owner had placed runs on and that no list has named since.
    pub fn orphaned_workers(&self) -> Vec<WorkerId> {
        self.orphans.keys().cloned().collect()
    }

    /// Returns the workers that may have runs and do not respond: orphaned ones, and those that have not
    /// responded yet or not recently.
    pub fn silent_workers(&self) -> BTreeSet<WorkerId> {
        let silent = self.workers.values().filter(|worker| !worker.responsive);
        let silent = silent.map(|worker| worker.info.id.clone());
        silent.chain(self.orphans.keys().cloned()).collect()
    }

    /// Handles the removal of a worker's entry from the list. None of the worker's incarnations gets new
    /// runs; their own responses decide about the runs that they have. Returns the known incarnations.
    pub fn unlist_worker(&mut self, name: &str, now: Instant) -> Vec<WorkerId> {
        let incarnations = self.incarnations_of(name);
        self.incarnations.remove_listing(name);
        for incarnation in &incarnations {
            if let Some(worker) = self.workers.get_mut(incarnation)
                && !worker.info.draining
            {
                worker.unlisted_at = Some(now);
                Arc::make_mut(&mut worker.info).draining = true;
            }
        }
        let listed = incarnations.into_iter();
        listed
            .filter(|incarnation| self.workers.get(incarnation).is_some())
            .collect()
    }

    /// Returns the names of all known workers, whose entries are expected in a complete list.
    pub fn known_worker_names(&self) -> Vec<WorkerName> {
        self.incarnations.names().cloned().collect()
    }

    /// Marks a worker whose newest entry is not a valid worker entry, so that it gets no new runs until it
    /// has a valid one again. Returns true if the previous entry was valid or the worker is unknown.
    pub fn mark_unusable(&mut self, name: &str) -> bool {
        let mut changed = false;
        let mut known = false;
        for incarnation in self.incarnations_of(name) {
            if let Some(worker) = self.workers.get_mut(&incarnation) {
                known = true;
                changed |= !mem::replace(&mut worker.unusable, true);
            }
        }
        changed || !known
    }

    /// Marks a worker that does not respond, so that it gets no new runs until it does.
    pub fn mark_silent(&mut self, id: &str, now: Instant) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.responsive = false;
            worker.silent_since.get_or_insert(now);
        }
    }

    /// Records that a worker's port has refused a connection: either no process listens there, or a network
    /// fault in between makes it appear so.
    pub fn record_refused_connection(&mut self, id: &str, now: Instant) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.refused_at = Some(now);
        }
    }

    /// Returns whether a worker's port refused a connection before this time, and the worker has not
    /// responded since.
    pub fn has_refused_connection(&self, id: &str, before: Instant) -> bool {
        let worker = self.workers.get(id);
        worker.is_some_and(|worker| worker.refused_at.is_some_and(|at| at < before))
    }

    /// Abandons a worker: its process has ended, or its lease has certainly expired. Returns `None` if the
    /// worker is unknown.
    pub fn abandon_worker(&mut self, id: &str, loss: Loss, now: Instant) -> Option<LostWorker> {
        self.takeover_barrier.expected_workers.remove(name_of(id));
        let orphans = self.orphans.remove(id);
        let worker = self.workers.remove(id);
        self.incarnations.forget(id);
        if orphans.is_none() && worker.is_none() {
            return None;
        }
        let ending = Ending::of(loss, worker.as_ref());
        // The list may name workers that never existed; their ends say nothing about how often workers crash.
        let is_real =
            orphans.is_some() || worker.as_ref().is_some_and(Worker::has_answered_or_runs);
        let runs = lost_runs(orphans.unwrap_or_default(), worker, now);
        for LostRun { task, run, .. } in &runs {
            if self.is_current(id, *task, *run) {
                self.lost_tasks.insert(*task);
                self.requeue(*task);
            }
        }
        let failed = match ending {
            Ending::Crashed if is_real => self.attribute_crash(id, &runs, now),
            Ending::Crashed | Ending::Ordered | Ending::Announced | Ending::Unclear => Vec::new(),
        };
        Some(LostWorker {
            ending,
            runs,
            failed,
        })
    }

    /// Records that a call that extends a worker's lease is sent.
    pub fn record_lease_call(&mut self, id: &str, now: Instant) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.called_at = Some(now);
        }
    }

    /// Returns until when runs that no report of this incarnation has named may exist at another one.
    pub fn unreported_until(&self, id: &str) -> Option<Instant> {
        let hold = self.limits.max_call_delay + self.limits.max_lease;
        self.workers.get(id)?.unreported_until(hold)
    }

    /// Returns until when calls to the other incarnations of a worker may have effects on this one.
    pub fn last_effect_of_others(&self, id: &WorkerId) -> Option<Instant> {
        let hold = self.limits.max_call_delay + self.limits.max_lease;
        let others = self.incarnations.of(id.name()).filter(|other| *other != id);
        let workers = others.filter_map(|other| self.workers.get(other));
        let called_at = workers.filter_map(|worker| worker.called_at).max();
        called_at.map(|at| at + hold)
    }

    /// Handles the expiry of a worker's lease: its runs are lost. The worker may only be disconnected; if it
    /// proves to have ended, its end is attributed to the runs that are lost now. Returns `None` if no run is
    /// lost or the worker is unknown.
    ///
    /// Runs that no report of this incarnation has named are kept until no call to it can have any effect: their
    /// starts may have reached another incarnation, on whose clock the lease expires much later.
    pub fn expire_lease(&mut self, id: &str, now: Instant) -> Option<LostWorker> {
        let until = self.unreported_until(id);
        let worker = self.workers.get_mut(id)?;
        let kept: Vec<(TaskId, RunId)> = match until {
            Some(until) if now < until => worker.unreported().collect(),
            Some(_) | None => Vec::new(),
        };
        if kept.len() == worker.runs.len() {
            return None;
        }
        let take = |key: (TaskId, RunId)| Some((key, worker.remove(key.0, key.1)?));
        let kept: Vec<_> = kept.into_iter().filter_map(take).collect();
        let info = WorkerInfo::clone(&worker.info);
        let (called_at, unlisted_at) = (worker.called_at, worker.unlisted_at);
        let lost = self.abandon_worker(id, Loss::Lapsed, now);
        self.upsert_worker(info, now);
        if let (Some(worker), Some(lost)) = (self.workers.get_mut(id), &lost) {
            worker.lapsed.clone_from(&lost.runs);
            worker.called_at = called_at;
            worker.unlisted_at = unlisted_at;
            for ((task, run), state) in kept {
                worker.add(task, run, state);
            }
        }
        lost
    }
}

/// Returns the runs of a worker that is abandoned, the youngest first: those that only records name, and
/// those that are in the worker's state.
fn lost_runs(orphans: Vec<Orphan>, worker: Option<Worker>, now: Instant) -> Vec<LostRun> {
    let earlier = orphans.into_iter();
    let mut lost: Vec<LostRun> = earlier
        .map(|orphan| LostRun::of_earlier(orphan.task, orphan.run))
        .collect();
    if let Some(worker) = worker {
        let known = worker
            .runs
            .iter()
            .map(|(key, state)| LostRun::of(&worker, *key, state, now));
        lost.extend(known);
        lost.extend(worker.lapsed);
    }
    lost.sort_by_key(|run| run.age);
    lost
}
