//! Handling of waiting requests that are cancelled, too late, or left without workers.

use super::{Phase, Scheduler, worker_of};
use crate::{
    admit::is_too_late,
    job::{AttemptEnd, AttemptId, Command, NotRunReason, Outcome, RequestId, Target},
};
use settings::pool_of;
use std::time::Instant;

impl Scheduler {
    pub(super) fn cancel(&mut self, id: RequestId, now: Instant) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let pool_id = pool_of(&request.job.service).to_owned();
        match request.phase {
            Phase::Claiming => {
                self.requests.remove(&id);
            }
            Phase::Queued => {
                if let Some(pool) = self.pools.get_mut(&pool_id) {
                    pool.queue.remove(id);
                }
                self.refuse(id, NotRunReason::Cancelled, now);
            }
            Phase::Running(attempt) => {
                self.release(attempt);
                self.commands.push(Command::Stop(attempt));
                self.answer(id, Outcome::Unknown(AttemptEnd::Broken));
            }
        }
        self.dispatch(&pool_id, now);
    }

    /// Releases the slot of an abandoned attempt.
    fn release(&mut self, attempt: AttemptId) {
        let Some(attempt) = self.attempts.remove(&attempt) else {
            return;
        };
        if let Target::Worker(vm) = &attempt.target
            && let Some(worker) = worker_of(&mut self.pools, &attempt.pool, vm)
        {
            worker.in_flight = worker.in_flight.saturating_sub(1);
        }
    }

    /// Refuses the waiting requests that can no longer be done in time, and dispatches those that can run now.
    pub(super) fn tick(&mut self, now: Instant) {
        let mut too_late = Vec::new();
        for pool in self.pools.values_mut() {
            let others_wait = pool.queue.len() > 1;
            let late: Vec<RequestId> = pool
                .queue
                .waiting()
                .filter(|(id, deadline)| {
                    let service = self.requests.get(id).map(|request| &request.job.service);
                    let estimate = service.and_then(|service| self.estimates.get(service));
                    estimate
                        .is_some_and(|estimate| is_too_late(*deadline, estimate, others_wait, now))
                })
                .map(|(id, _)| id)
                .collect();
            for id in &late {
                pool.queue.remove(*id);
            }
            too_late.extend(late);
        }
        for id in too_late {
            self.refuse(id, NotRunReason::Overload, now);
        }
        for id in self.stranded() {
            self.reroute(id, now);
        }
        self.dispatch_all(now);
    }

    /// Removes and returns the requests that wait in pools without workers.
    fn stranded(&mut self) -> Vec<RequestId> {
        let mut stranded = Vec::new();
        for pool in self
            .pools
            .values_mut()
            .filter(|pool| pool.workers.is_empty())
        {
            while let Some(id) = pool.queue.pop() {
                stranded.push(id);
            }
        }
        stranded
    }

    /// Forwards a request whose pool has lost its last worker. If its key is claimed here, it is refused, since
    /// an entry in another data centre would find the key held.
    fn reroute(&mut self, id: RequestId, now: Instant) {
        let job = self.requests.get(&id).map(|request| request.job.clone());
        let peer = job
            .filter(|job| job.repeatable)
            .and_then(|job| self.choose_peer(&job));
        match peer.map(|peer| (Target::Peer(peer.entry.clone()), peer.addr.clone())) {
            Some((target, addr)) => self.send(id, target, addr, now),
            None => self.refuse(id, NotRunReason::NoWorker, now),
        }
    }
}
