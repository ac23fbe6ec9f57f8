//! Polls of workers: each returns the worker's current runs and those that have ended, and extends its lease.

use super::{
    orders,
    owner::Owner,
    resend::{record_time, unless_overdue},
};
use adapter::{
    http::Connection,
    workers::{HoldRequest, WorkerError, WorkerResponse},
};
use clock::Instant;
use jobs::{Report, WorkerInfo};
use std::{pin::pin, time::Duration};

/// Time for which a poll waits for a run to end at a worker that has runs. Each poll extends the lease, so when an
/// owner is lost the last extension may be this old.
const POLL_WAIT: Duration = Duration::from_millis(500);

/// Time for which a poll waits at a worker without runs. Its lease protects no run, so half as many polls are enough.
const IDLE_POLL_WAIT: Duration = Duration::from_millis(1_000);

/// Minimum delay of a response after which the poll is resent over a new connection. A healthy worker responds within
/// a few ms, and an overloaded owner of 1,100 workers reads the response 76 ms later.
const MIN_RESEND_DELAY: Duration = Duration::from_millis(100);

/// Maximum age of the last response at which a poll may acknowledge ends, which the worker then forgets. The poll may
/// reach a new incarnation, which uses the same numbers for its own ends and would forget ends that it has not
/// reported. Workers were seen to be back after 0.25 s at the earliest, and the new incarnation must also have
/// finished a run.
const MAX_RESPONSE_AGE: Duration = Duration::from_millis(200);

/// Whether a worker responded to the last poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LastPoll {
    /// The worker responded, or has not been polled yet.
    Answered,
    /// The worker did not respond.
    Unanswered,
}

/// The response to a poll.
pub struct PollResponse {
    /// When the poll was sent.
    pub sent_at: Instant,
    /// The worker's response.
    pub response: WorkerResponse<Report>,
}

/// Polls a worker. If the response is overdue, sends a second poll that neither waits for a run to end nor extends
/// the lease, because the first response may be lost and ends would stay unknown until its timeout.
///
/// # Errors
///
/// Fails if the worker responds to neither poll or refuses the poll.
pub async fn poll_worker(
    owner: &Owner,
    info: &WorkerInfo,
    hold: HoldRequest,
) -> Result<PollResponse, WorkerError> {
    let sent_at = Instant::now();
    let mut first = pin!(timed_poll(owner, info, hold, Connection::Pooled));
    let delay = || Duration::from_millis(hold.wait_ms) + owner.resend_delay(MIN_RESEND_DELAY);
    if let Some(outcome) = unless_overdue(first.as_mut(), delay).await {
        return outcome.map(|response| PollResponse { sent_at, response });
    }
    let resent_at = Instant::now();
    let second = next_poll(owner, &info.id, LastPoll::Unanswered);
    let mut second = pin!(timed_poll(owner, info, second, Connection::New));
    tokio::select! {
        // If the first poll ends by its timeout, the second one has had time to be answered: the worker is silent.
        outcome = first.as_mut() => outcome.map(|response| PollResponse { sent_at, response }),
        outcome = second.as_mut() => match outcome {
            Ok(response) => Ok(PollResponse { sent_at: resent_at, response }),
            Err(_) => first.await.map(|response| PollResponse { sent_at, response })
        }
    }
}

/// Polls a worker once and records its response time.
async fn timed_poll(
    owner: &Owner,
    info: &WorkerInfo,
    hold: HoldRequest,
    connection: Connection,
) -> Result<WorkerResponse<Report>, WorkerError> {
    let sent_at = Instant::now();
    let outcome = owner.node.workers.hold(info, hold, connection).await;
    if outcome.is_ok() {
        let waited = Duration::from_millis(hold.wait_ms);
        record_time(&owner.node.worker_times, waited, sent_at.elapsed());
    }
    outcome
}

/// Returns the next poll to send to a worker.
pub fn next_poll(owner: &Owner, id: &str, last: LastPoll) -> HoldRequest {
    let without_lease = HoldRequest {
        deadline: None,
        fencing_token: owner.fencing_token(id),
        acknowledged: 0,
        wait_ms: 0,
    };
    // Even a poll without a response may extend the lease. A silent worker is polled without a deadline, so that its
    // lease can expire.
    if last == LastPoll::Unanswered {
        return without_lease;
    }
    let Some(acknowledged) = acknowledged(owner, id) else {
        return without_lease;
    };
    // The first poll only reads the worker's clock and raises its fencing token to that of this owner.
    let Some(deadline) = orders::lease_end(owner, id) else {
        return without_lease;
    };
    HoldRequest {
        deadline: Some(deadline),
        acknowledged,
        wait_ms: poll_wait(owner, id).as_millis() as u64,
        ..without_lease
    }
}

/// Returns the number up to which a worker may forget its ends, or `None` if a new incarnation may already be
/// responding.
fn acknowledged(owner: &Owner, id: &str) -> Option<u64> {
    let contacts = owner.contacts.borrow();
    let contact = contacts.get(id)?;
    let answered = contact.last_answer?;
    (contact.acknowledged == 0 || answered.elapsed() < MAX_RESPONSE_AGE)
        .then_some(contact.acknowledged)
}

/// Returns how long a poll waits at a worker.
fn poll_wait(owner: &Owner, id: &str) -> Duration {
    let cell = owner.cell.borrow();
    match cell.workers.get(id) {
        Some(worker) if worker.runs.is_empty() => IDLE_POLL_WAIT,
        Some(_) | None => POLL_WAIT,
    }
}
