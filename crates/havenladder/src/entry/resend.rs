//! Resends idempotent calls that have not been answered.
//!
//! A response may be lost although the call was carried out, and nothing more arrives on that
//! connection. Waiting for the whole timeout of the call would mistake a lost response for an
//! outage. So the call is sent again on a new connection once the usual response time is over. The
//! earlier attempt continues, since it may only be slow.

use adapter::http::{CallError, Connection};
use clock::{Instant, timer};
use fleet::{ResponseTime, next_timeout};
use std::{
    cell::Cell,
    pin::{Pin, pin},
    time::Duration,
};
use tokio::task::JoinSet;

/// Maximum delay of a wake-up while this process is not busy. Timers have a resolution of 1 ms, and
/// a busy thread adds some more.
const MAX_WAKE_DELAY: Duration = Duration::from_millis(10);

/// Limits on the wait for a response.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Time for which the service may hold its response back, in addition to the usual response
    /// time.
    pub hold: Duration,
    /// Time, beyond `hold`, for which the call is resent. After that it is abandoned, and its caller
    /// decides what to do.
    pub limit: Duration,
}

/// Result of a call that was sent one or more times.
#[derive(Debug)]
pub struct Answered<T> {
    /// The first response, or the reason why there is none.
    pub outcome: Result<T, CallError>,
    /// Number of times that the call was sent.
    pub calls: u32,
}

/// Outcome of one attempt, and its duration.
type TimedOutcome<T> = (Result<T, CallError>, Duration);

/// Sends an idempotent call until it is answered, all attempts have failed, or the limits are
/// reached.
pub async fn until_answered<T, F>(
    times: &Cell<ResponseTime>,
    timeouts: Timeouts,
    send: impl Fn(Connection) -> F,
) -> Answered<T>
where
    T: 'static,
    F: Future<Output = Result<T, CallError>> + 'static,
{
    let Timeouts { hold, limit } = timeouts;
    let deadline = Instant::now() + hold + limit;
    let mut wait = times.get().initial_timeout();
    let mut calls = 1;
    let mut in_flight = JoinSet::new();
    in_flight.spawn_local(timed(send(Connection::Pooled)));
    let mut failure = CallError::Unreachable;
    let mut until_resend = hold + wait;
    loop {
        let finished = {
            let response = pin!(first_response(&mut in_flight, &mut failure));
            unless_overdue(response, || until_resend).await
        };
        match finished {
            Some(Some((response, took))) => {
                record_time(times, hold, took);
                let outcome = Ok(response);
                return Answered { outcome, calls };
            }
            Some(None) => {
                let outcome = Err(failure);
                return Answered { outcome, calls };
            }
            None if Instant::now() >= deadline => {
                let outcome = Err(CallError::Unanswered);
                return Answered { outcome, calls };
            }
            None => {
                calls += 1;
                in_flight.spawn_local(timed(send(Connection::New)));
                wait = next_timeout(wait);
                // The wait ends at the deadline, so that the caller still has time to ask others.
                until_resend = wait.min(deadline.saturating_duration_since(Instant::now()));
            }
        }
    }
}

/// Waits for a response and returns `None` if it is overdue. A wait that ends late shows that this
/// process is late itself, so that the response may have arrived without having been read. The wait
/// is then extended by the delay, so that an owner that was paused does not call everybody twice.
///
/// The wait may grow in the meantime. Calls to many workers share the link of this process. If a
/// burst of them fills it, all responses are late, and resent calls would only add to what waits for
/// the link. Responses to the first calls of the burst show this before the others are overdue.
pub async fn unless_overdue<T>(
    mut response: Pin<&mut impl Future<Output = T>>,
    wait: impl Fn() -> Duration,
) -> Option<T> {
    let began = Instant::now();
    let mut due = began + wait();
    loop {
        if let Ok(response) = timer::timeout_at(due, response.as_mut()).await {
            return Some(response);
        }
        let late = due.elapsed();
        let extended = began + wait();
        due = match late < MAX_WAKE_DELAY {
            false => Instant::now() + late,
            true if extended > Instant::now() => extended,
            true => return None,
        };
    }
}

/// Measures the duration of a call.
async fn timed<T>(call: impl Future<Output = Result<T, CallError>>) -> TimedOutcome<T> {
    let began = Instant::now();
    let outcome = call.await;
    (outcome, began.elapsed())
}

/// Updates the response times from a response. One that came before its hold time was over could
/// have come at any time, and is left out.
pub fn record_time(times: &Cell<ResponseTime>, hold: Duration, took: Duration) {
    if let Some(took) = took.checked_sub(hold) {
        let mut response_time = times.get();
        response_time.record(took);
        times.set(response_time);
    }
}

/// Waits for the first successful attempt, and returns `None` once all have failed. `failure` is
/// then the reason: [`CallError::Unanswered`] if any attempt, including earlier ones, may have been
/// carried out.
async fn first_response<T: 'static>(
    in_flight: &mut JoinSet<TimedOutcome<T>>,
    failure: &mut CallError,
) -> Option<(T, Duration)> {
    while let Some(finished) = in_flight.join_next().await {
        match finished {
            Ok((Ok(response), took)) => return Some((response, took)),
            Ok((Err(error), _)) if error.is_unsent() && failure.is_unsent() => *failure = error,
            // A call that panicked may have been sent.
            Ok((Err(_), _)) | Err(_) => *failure = CallError::Unanswered,
        }
    }
    None
}
