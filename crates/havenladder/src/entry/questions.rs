//! Questions to workers: what runs there and what has ended, which extends their leases.

use super::{orders, owner::Owner, resend::unless_overdue};
use adapter::{
    http::Connection,
    workers::{HoldRequest, WorkerError, WorkerResponse},
};
use clock::Instant;
use jobs::{Report, WorkerInfo};
use std::{pin::pin, time::Duration};

/// How long a question waits for an end at a worker that has runs. The lease is extended by each question, so
/// that the last one before an owner is lost may be as old as this.
const HOLD_WAIT: Duration = Duration::from_millis(500);

/// The same at a worker without runs, whose lease holds nothing: half as many questions.
const IDLE_WAIT: Duration = Duration::from_millis(1_000);

/// How long an answer may be overdue until the worker is asked once more, over a connection of its own: a healthy one
/// takes some ms, and an owner of 1,100 workers that is full reads its answer 76 ms later.
const OVERDUE: Duration = Duration::from_millis(100);

/// For how long after an answer a question may tell a worker which ends it may forget. The question may come to another
/// life, whose ends have the same numbers: it would forget what it has not told. Users saw workers back after 0.25 s at
/// the earliest, and they must have run something besides.
const SAME_LIFE: Duration = Duration::from_millis(200);

/// Whether a worker gave an answer to the last question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answers {
    /// It did, or was not asked yet.
    Given,
    /// It did not.
    Missing,
}

/// The answer to a question.
pub struct Answer {
    /// When the question was sent.
    pub asked: Instant,
    /// What the worker said.
    pub told: WorkerResponse<Report>,
}

/// Asks a worker a question. One whose answer is overdue is asked once more, without waiting for an end there and
/// without extending its lease: the answer may be lost, and what has ended be unknown for as long as it is waited for.
///
/// # Errors
///
/// Fails when the worker answers neither, or refuses.
pub async fn ask_worker(
    owner: &Owner,
    info: &WorkerInfo,
    hold: HoldRequest,
) -> Result<Answer, WorkerError> {
    let workers = &owner.node.workers;
    let asked = Instant::now();
    let mut first = pin!(workers.hold(info, hold, Connection::Pooled));
    let wait = Duration::from_millis(hold.wait_ms) + OVERDUE;
    if let Some(outcome) = unless_overdue(first.as_mut(), wait).await {
        return outcome.map(|told| Answer { asked, told });
    }
    let again = Instant::now();
    let second = question(owner, &info.id, Answers::Missing);
    let mut second = pin!(workers.hold(info, second, Connection::New));
    tokio::select! {
        // It ends last by its time-out: the worker is silent.
        outcome = first.as_mut() => outcome.map(|told| Answer { asked, told }),
        outcome = second.as_mut() => match outcome {
            Ok(told) => Ok(Answer { asked: again, told }),
            Err(_) => first.await.map(|told| Answer { asked, told }),
        },
    }
}

/// The next question to a worker.
pub fn question(owner: &Owner, id: &str, last: Answers) -> HoldRequest {
    let bare = HoldRequest {
        deadline: None,
        fencing_token: owner.fencing_token(id),
        acknowledged: 0,
        wait_ms: 0,
    };
    // A question without an answer may extend the lease all the same: a worker that is silent is
    // asked without, so that its lease can run out.
    if last == Answers::Missing {
        return bare;
    }
    let Some(acknowledged) = noted(owner, id) else {
        return bare;
    };
    // The first question only tells the worker's clock and who owns the cell now.
    let Some(deadline) = orders::lease_end(owner, id) else {
        return bare;
    };
    HoldRequest {
        deadline: Some(deadline),
        acknowledged,
        wait_ms: hold_wait(owner, id).as_millis() as u64,
        ..bare
    }
}

/// Up to which number a worker may forget its ends; none where another life of it may answer by now.
fn noted(owner: &Owner, id: &str) -> Option<u64> {
    let contacts = owner.contacts.borrow();
    let contact = contacts.get(id)?;
    let answered = contact.last_answer?;
    (contact.acknowledged == 0 || answered.elapsed() < SAME_LIFE).then_some(contact.acknowledged)
}

/// How long a question waits at a worker.
fn hold_wait(owner: &Owner, id: &str) -> Duration {
    let cell = owner.cell.borrow();
    match cell.workers.get(id) {
        Some(worker) if worker.runs.is_empty() => IDLE_WAIT,
        Some(_) | None => HOLD_WAIT,
    }
}
