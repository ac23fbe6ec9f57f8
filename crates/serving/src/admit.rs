//! Admission: decides by measured run times whether a request can be done before its deadline.

use crate::{
    estimate::Estimate,
    job::{Job, NotRun, NotRunReason},
    pool::Pool,
};
use settings::Service;
use std::time::{Duration, Instant};

/// Minimum time after which a refused caller is asked to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Maximum time after which a refused caller is asked to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Safety factor on the expected wait. Run times vary, and a request that is admitted and fails later has kept
/// its caller waiting in vain.
const WAIT_FACTOR: f64 = 2.0;

/// Decision about a request that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// The request is admitted.
    Admit,
    /// The request is refused at once.
    Refuse(NotRun),
}

/// Decides whether to admit a request.
pub(crate) fn admit(
    job: &Job,
    service: &Service,
    pool: &Pool,
    estimate: &Estimate,
    now: Instant,
) -> Admission {
    if job.deadline <= now {
        return refuse(NotRunReason::DeadlinePast, Duration::ZERO, now);
    }
    if pool.queue.len() >= service.queue_limit {
        return refuse(NotRunReason::Overload, max_wait(job, pool, now), now);
    }
    let wait = wait(job, pool, estimate, now);
    let run = if wait.is_zero() {
        estimate.min(now)
    } else {
        estimate.percentile_90(now)
    };
    if now + wait.mul_f64(WAIT_FACTOR) + run > job.deadline {
        return refuse(NotRunReason::Overload, wait, now);
    }
    Admission::Admit
}

/// Returns whether a waiting request is unlikely to meet its deadline. While other requests wait, the slot goes
/// to one that will probably be done in time. A request that waits alone is tried as long as it may still
/// succeed.
pub(crate) fn is_too_late(
    deadline: Instant,
    estimate: &Estimate,
    others_wait: bool,
    now: Instant,
) -> bool {
    let run = if others_wait {
        estimate.percentile_90(now)
    } else {
        estimate.min(now)
    };
    now + run > deadline
}

/// Returns a refusal that asks the caller to retry at about `retry_at`.
pub(crate) fn not_run(reason: NotRunReason, retry_at: Instant, now: Instant) -> NotRun {
    let retry_at = retry_at.clamp(now + MIN_RETRY_AFTER, now + MAX_RETRY_AFTER);
    NotRun { reason, retry_at }
}

fn refuse(reason: NotRunReason, wait: Duration, now: Instant) -> Admission {
    Admission::Refuse(not_run(reason, now + wait, now))
}

fn wait(job: &Job, pool: &Pool, estimate: &Estimate, now: Instant) -> Duration {
    if pool.queue.len() == 0 && pool.has_free(now) {
        return Duration::ZERO;
    }
    let slots = pool.in_flight().max(1);
    pool.queue.wait(job.class, job.deadline, slots) + estimate.mean() / slots
}

fn max_wait(job: &Job, pool: &Pool, now: Instant) -> Duration {
    let last = now + MAX_RETRY_AFTER;
    pool.queue.wait(job.class, last, pool.in_flight())
}
