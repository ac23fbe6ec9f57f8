//! Admission: whether a request can be done in time, by what has been measured.

use crate::{
    estimate::Estimate,
    job::{Job, NotRun, NotRunReason},
    pool::Pool,
};
use settings::Service;
use std::time::{Duration, Instant};

/// The shortest time after which a refused caller is asked to come back.
const SHORTEST_BACK: Duration = Duration::from_millis(100);

/// The longest time after which a refused caller is asked to come back.
const LONGEST_BACK: Duration = Duration::from_secs(60);

/// Factor on the expected wait: runs differ, and a request that is taken and given up later has
/// kept its caller waiting for nothing.
const WAIT_MARGIN: f64 = 2.0;

/// What to do with a request that came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// Take it.
    Take,
    /// Refuse it at once.
    Refuse(NotRun),
}

/// Decides about one request.
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
        return refuse(NotRunReason::Overload, full_wait(job, pool, now), now);
    }
    let wait = wait(job, pool, estimate, now);
    let run = if wait.is_zero() {
        estimate.min(now)
    } else {
        estimate.percentile_90(now)
    };
    if now + wait.mul_f64(WAIT_MARGIN) + run > job.deadline {
        return refuse(NotRunReason::Overload, wait, now);
    }
    Admission::Take
}

/// Tells whether a request that waits should be given up. While others wait as well, its slot
/// goes to one that will most likely be done in time; alone it is tried as long as it can be.
pub(crate) fn is_hopeless(
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

/// Makes a refusal that asks the caller to come back about at `back`.
pub(crate) fn not_run(reason: NotRunReason, retry_at: Instant, now: Instant) -> NotRun {
    let retry_at = retry_at.clamp(now + SHORTEST_BACK, now + LONGEST_BACK);
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

fn full_wait(job: &Job, pool: &Pool, now: Instant) -> Duration {
    let last = now + LONGEST_BACK;
    pool.queue.wait(job.class, last, pool.in_flight())
}
