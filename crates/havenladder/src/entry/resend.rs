//! Calls that may be repeated, sent again while they have no answer.
//!
//! An answer may be lost though the call was carried out, and nothing is then said any more on that connection:
//! waiting for the whole time-out of the call took a lost answer for an outage. So the call is sent again on a
//! connection of its own, after the time that answers take as a rule; the earlier one is waited for beside it, as
//! it may only be slow.

use adapter::http::{CallError, Connection};
use clock::{Instant, timer};
use fleet::{AnswerTime, next_wait};
use std::{
    cell::Cell,
    pin::{Pin, pin},
    time::Duration,
};
use tokio::task::JoinSet;

/// How late a wait ends where this process has nothing else to do: timers have steps of a ms and a busy thread some
/// more.
const MAX_WAKE_DELAY: Duration = Duration::from_millis(10);

/// How long an answer is waited for.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// For how long the service may hold its answer back, beyond what answers take.
    pub hold: Duration,
    /// For how much longer the call is sent again; who needs the answer then decides anew what to do.
    pub limit: Duration,
}

/// What came of a call.
#[derive(Debug)]
pub struct Answered<T> {
    /// The first answer, or why there is none.
    pub outcome: Result<T, CallError>,
    /// How often it was sent.
    pub calls: u32,
}

/// A call that is under way has ended: with what, and how long it took.
type TimedOutcome<T> = (Result<T, CallError>, Duration);

/// Sends a call that may be repeated until it is answered.
pub async fn until_answered<T, F>(
    times: &Cell<AnswerTime>,
    timeouts: Timeouts,
    send: impl Fn(Connection) -> F,
) -> Answered<T>
where
    T: 'static,
    F: Future<Output = Result<T, CallError>> + 'static,
{
    let Timeouts { hold, limit } = timeouts;
    let deadline = Instant::now() + hold + limit;
    let mut wait = times.get().first_wait();
    let mut calls = 1;
    let mut in_flight = JoinSet::new();
    in_flight.spawn_local(timed(send(Connection::Kept)));
    let mut failure = CallError::Unreachable;
    let mut until_resend = hold + wait;
    loop {
        let finished = {
            let answer = pin!(first_answer(&mut in_flight, &mut failure));
            unless_overdue(answer, until_resend).await
        };
        match finished {
            Some(Some((answer, took))) => {
                record_time(times, hold, took);
                let outcome = Ok(answer);
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
                in_flight.spawn_local(timed(send(Connection::Fresh)));
                wait = next_wait(wait);
                // Who waits may have others to ask, and is told in time.
                until_resend = wait.min(deadline.saturating_duration_since(Instant::now()));
            }
        }
    }
}

/// Waits for an answer until it is overdue; none if it is. A wait that ends late shows that this process is late
/// itself: the answer may be there, and not read yet. It is waited for as long again, so that an owner that stood still
/// does not ask everybody twice.
pub async fn unless_overdue<T>(
    mut answer: Pin<&mut impl Future<Output = T>>,
    wait: Duration,
) -> Option<T> {
    let mut due = Instant::now() + wait;
    loop {
        if let Ok(answer) = timer::timeout_at(due, answer.as_mut()).await {
            return Some(answer);
        }
        let late = due.elapsed();
        if late < MAX_WAKE_DELAY {
            return None;
        }
        due = Instant::now() + late;
    }
}

/// Times a call.
async fn timed<T>(call: impl Future<Output = Result<T, CallError>>) -> TimedOutcome<T> {
    let began = Instant::now();
    let outcome = call.await;
    (outcome, began.elapsed())
}

/// Learns from an answer; one that came before its time had something to tell, and could have come any time.
fn record_time(times: &Cell<AnswerTime>, hold: Duration, took: Duration) {
    if let Some(took) = took.checked_sub(hold) {
        let mut response_time = times.get();
        response_time.note(took);
        times.set(response_time);
    }
}

/// Waits for the first of the calls under way that is answered; none once all have failed. `failure` is then why:
/// "no answer" where one of them, also one that failed before, may have been carried out.
async fn first_answer<T: 'static>(
    in_flight: &mut JoinSet<TimedOutcome<T>>,
    failure: &mut CallError,
) -> Option<(T, Duration)> {
    while let Some(finished) = in_flight.join_next().await {
        match finished {
            Ok((Ok(answer), took)) => return Some((answer, took)),
            Ok((Err(error), _)) if error.is_unsent() && failure.is_unsent() => *failure = error,
            // A call that panicked may have been made.
            Ok((Err(_), _)) | Err(_) => *failure = CallError::Unanswered,
        }
    }
    None
}
