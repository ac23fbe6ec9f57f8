//! Handling of attempts that ended: updates the estimates and the worker's health, and retries or answers the
//! request.

use super::{Attempt, Scheduler, worker_of};
use crate::job::{AttemptEnd, AttemptId, Command, NotRunReason, Outcome, Target};
use std::time::Instant;

/// Maximum number of attempts that may fail or break before a request fails.
const MAX_FAILURES: u32 = 3;

/// Maximum number of refusals before a request fails.
const MAX_REFUSALS: usize = 16;

impl Scheduler {
    pub(super) fn ended(&mut self, id: AttemptId, end: AttemptEnd, now: Instant) {
        let Some(attempt) = self.attempts.remove(&id) else {
            // This is the late response of an abandoned attempt, for which nothing waits.
            return;
        };
        self.record_end(&attempt, end, now);
        match end {
            AttemptEnd::Done => self.answer(attempt.request, Outcome::Done(id)),
            AttemptEnd::Refused | AttemptEnd::NotSent => self.retry_refused(&attempt, now),
            AttemptEnd::Broken | AttemptEnd::Failed => self.retry_failed(&attempt, end, now),
        }
        self.dispatch(&attempt.pool, now);
    }

    /// Updates the worker and the estimate of the service after an attempt at a worker.
    fn record_end(&mut self, attempt: &Attempt, end: AttemptEnd, now: Instant) {
        let Target::Worker(vm) = &attempt.target else {
            return;
        };
        let Some(request) = self.requests.get(&attempt.request) else {
            return;
        };
        let estimate = self
            .estimates
            .entry(request.job.service.clone())
            .or_default();
        let may_eject = self
            .pools
            .get(&attempt.pool)
            .is_some_and(|pool| pool.may_eject(now));
        let Some(worker) = worker_of(&mut self.pools, &attempt.pool, vm) else {
            return;
        };
        worker.in_flight = worker.in_flight.saturating_sub(1);
        let run = now - attempt.sent;
        let ejected_until = match end {
            AttemptEnd::Done => {
                worker.health.succeed();
                estimate.record(run, now);
                None
            }
            AttemptEnd::Refused => {
                worker.refuse(now, estimate.mean());
                None
            }
            // A run that took until its deadline tells how long the service takes, not that the worker is at
            // fault.
            AttemptEnd::Broken if now >= request.job.deadline => {
                estimate.record(run, now);
                None
            }
            AttemptEnd::NotSent | AttemptEnd::Failed | AttemptEnd::Broken => {
                worker.health.fail(now, may_eject)
            }
        };
        if let Some(until) = ejected_until {
            self.commands.push(Command::Eject(vm.clone(), until));
        }
    }

    fn retry_refused(&mut self, attempt: &Attempt, now: Instant) {
        let id = attempt.request;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.refusals += 1;
        let failed = matches!(attempt.target, Target::Peer(_))
            || request.refusals > MAX_REFUSALS
            || request.job.deadline <= now;
        if failed {
            return self.refuse(id, NotRunReason::Refused, now);
        }
        self.enqueue(id, now);
    }

    fn retry_failed(&mut self, attempt: &Attempt, end: AttemptEnd, now: Instant) {
        let id = attempt.request;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.failures += 1;
        request.uncertain = Some(end);
        let may_retry = request.job.repeatable
            && request.failures < MAX_FAILURES
            && request.job.deadline > now
            && matches!(attempt.target, Target::Worker(_));
        let pool = self.pools.get_mut(&attempt.pool);
        if may_retry && pool.is_some_and(|pool| pool.retries.spend()) {
            return self.enqueue(id, now);
        }
        self.answer(id, Outcome::Unknown(end));
    }
}
