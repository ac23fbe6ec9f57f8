//! Tracks the incarnations of workers that list entries name and that respond.

use crate::{Cell, Listing, Loss, ResponseOutcome, StartedAtMs, WorkerId, WorkerInfo};
use clock::Instant;

impl Cell {
    /// Processes an entry of the worker list, which may name any incarnation of its worker. Drops the oldest
    /// incarnations that only entries have named once there are too many of them.
    pub fn list_worker(&mut self, mut info: WorkerInfo, now: Instant) -> Listing {
        let listing = self
            .incarnations
            .record_listing(info.id.name(), info.id.started_at());
        let Listing::Incarnation(incarnation) = &listing else {
            return listing;
        };
        info.id = incarnation.clone();
        self.upsert_worker(info, now);
        for excess in self.incarnations.excess(incarnation.name()) {
            let worker = self.workers.get(&excess);
            if excess != *incarnation && worker.is_some_and(|worker| !worker.has_answered_or_runs())
            {
                self.abandon_worker(&excess, Loss::Lapsed, now);
            }
        }
        listing
    }

    /// Records which incarnation of a worker responded at `now` to a request sent to `recipient` at
    /// `requested_at`. If `recipient` has ended, it gets no new runs; the caller abandons it once its
    /// successor has reported its runs ([`Cell::outlived_incarnations`]).
    pub fn record_response(
        &mut self,
        recipient: &WorkerId,
        started_at: Option<StartedAtMs>,
        requested_at: Instant,
        now: Instant,
    ) -> ResponseOutcome {
        if self.workers.get(recipient).is_none() {
            // The worker was abandoned in the meantime.
            return ResponseOutcome::Outdated;
        }
        let outcome = self
            .incarnations
            .record_response(recipient, started_at, requested_at, now);
        match &outcome {
            ResponseOutcome::Same { restarted: true } => self.silence_others(recipient, now),
            ResponseOutcome::Replaced { next, .. } => {
                self.mark_silent(recipient, now);
                self.add_successor(recipient, next, now);
                self.silence_others(next, now);
            }
            ResponseOutcome::Same { restarted: false } | ResponseOutcome::Outdated => {}
        }
        outcome
    }

    /// Marks the other incarnations of a worker as silent. A start to one of them would bear the fencing token of the
    /// incarnation that has responded, which could then carry it out after it has reported its runs.
    fn silence_others(&mut self, incarnation: &WorkerId, now: Instant) {
        for other in self.incarnations_of(incarnation.name()) {
            if other != *incarnation {
                self.mark_silent(&other, now);
            }
        }
    }

    /// Adds an incarnation that responds in place of a former one. It gets no runs until its own entry has
    /// been read, since its labels and capacity may differ.
    fn add_successor(&mut self, former: &str, next: &WorkerId, now: Instant) {
        let Some(worker) = self.workers.get(former) else {
            return;
        };
        if self.workers.get(next).is_some() {
            return;
        }
        let info = WorkerInfo {
            id: next.clone(),
            draining: false,
            ..WorkerInfo::clone(&worker.info)
        };
        self.upsert_worker(info, now);
        if let Some(worker) = self.workers.get_mut(next) {
            // Requests to the former incarnation may have reached this one.
            worker.contacted = false;
            worker.unusable = true;
        }
    }

    /// Returns the incarnations of a worker that have certainly ended, now that this one has responded to a
    /// request sent at `requested_at`. Their runs have ended with them, and a start that was in transit to
    /// them is either listed by this one or will never be carried out. Returns none while this one may have
    /// further ends, since a run that was ordered from a former incarnation may be among them.
    pub fn outlived_incarnations(&self, incarnation: &str, requested_at: Instant) -> Vec<WorkerId> {
        let worker = self.workers.get(incarnation);
        if worker.is_some_and(|worker| worker.more_ends) {
            return Vec::new();
        }
        self.incarnations.ended_by(incarnation, requested_at)
    }

    /// Returns the incarnations of a worker that have ended because this one has responded since, even though
    /// it may still list runs that were ordered from them.
    pub fn former_incarnations(&self, incarnation: &str) -> Vec<WorkerId> {
        self.incarnations.predecessors(incarnation)
    }

    /// Returns the current incarnation of a worker, by the worker's name; `None` if the worker is unknown.
    pub fn current_incarnation(&self, name: &str) -> Option<&WorkerId> {
        self.incarnations.current(name)
    }

    /// Returns all incarnations of a worker that may have runs, by the worker's name.
    pub fn incarnations_of(&self, name: &str) -> Vec<WorkerId> {
        self.incarnations.of(name).cloned().collect()
    }

    /// Returns how often this owner has found a new incarnation of a worker in place of an earlier one. A
    /// worker rejects every fencing token lower than the highest that it has seen, so that a token that rises
    /// with this count shuts out orders still on their way to earlier incarnations.
    pub fn incarnation_changes(&self, incarnation: &str) -> u64 {
        self.incarnations.changes(incarnation)
    }
}
