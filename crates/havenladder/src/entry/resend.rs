//! Calls that may be repeated, sent again while they have no answer.
//!
//! An answer may be lost though the call was carried out, and nothing is then said any more on that connection:
//! waiting for the whole time-out of the call took a lost answer for an outage. So the call is sent again on a
//! connection of its own, after the time that answers take as a rule; the earlier one is waited for beside it, as
//! it may only be slow.

use adapter::http::{CallError, Connection};
use clock::{Instant, timer};
use fleet::{ResponseTime, next_timeout};
use std::{
    cell::Cell,
    pin::{Pin, pin},
    time::Duration,
};
use tokio::task::JoinSet;

/// How late a wait ends where this process has nothing else to do: timers have steps of a ms and a busy thread some
/// more.
const LATE: Duration = Duration::from_millis(10);

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
type Ended<T> = (Result<T, CallError>, Duration);

/// Sends a call that may be repeated until it is answered.
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
    let until = Instant::now() + hold + limit;
    let mut wait = times.get().initial_timeout();
    let mut calls = 1;
    let mut under_way = JoinSet::new();
    under_way.spawn_local(timed(send(Connection::Kept)));
    let mut failure = CallError::Unreachable;
    let mut until_again = hold + wait;
    loop {
        let ended = {
            let answer = pin!(first_answer(&mut under_way, &mut failure));
            unless_overdue(answer, until_again).await
        };
        match ended {
            Some(Some((answer, took))) => {
                note(times, hold, took);
                let outcome = Ok(answer);
                return Answered { outcome, calls };
            }
            Some(None) => {
                let outcome = Err(failure);
                return Answered { outcome, calls };
            }
            None if Instant::now() >= until => {
                let outcome = Err(CallError::Unanswered);
                return Answered { outcome, calls };
            }
            None => {
                calls += 1;
                under_way.spawn_local(timed(send(Connection::Fresh)));
                wait = next_timeout(wait);
                // Who waits may have others to ask, and is told in time.
                until_again = wait.min(until.saturating_duration_since(Instant::now()));
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
        if late < LATE {
            return None;
        }
        due = Instant::now() + late;
    }
}

/// Times a call.
async fn timed<T>(call: impl Future<Output = Result<T, CallError>>) -> Ended<T> {
    let began = Instant::now();
    let outcome = call.await;
    (outcome, began.elapsed())
}

/// Learns from an answer; one that came before its time had something to tell, and could have come any time.
fn note(times: &Cell<ResponseTime>, hold: Duration, took: Duration) {
    if let Some(took) = took.checked_sub(hold) {
        let mut learned = times.get();
        learned.record(took);
        times.set(learned);
    }
}

/// Waits for the first of the calls under way that is answered; none once all have failed. `failure` is then why:
/// "no answer" where one of them, also one that failed before, may have been carried out.
async fn first_answer<T: 'static>(
    under_way: &mut JoinSet<Ended<T>>,
    failure: &mut CallError,
) -> Option<(T, Duration)> {
    while let Some(ended) = under_way.join_next().await {
        match ended {
            Ok((Ok(answer), took)) => return Some((answer, took)),
            Ok((Err(error), _)) if error.is_unsent() && failure.is_unsent() => *failure = error,
            // A call that panicked may have been made.
            Ok((Err(_), _)) | Err(_) => *failure = CallError::Unanswered,
        }
    }
    None
}
