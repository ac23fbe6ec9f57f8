//! Sends starts to workers. Limits the concurrent starts for each worker, resends a start without a response, and
//! determines from the responses what is certain about a run.

use super::{
    link::wait_for_link,
    logs::kind,
    losses::abandon_worker,
    orders::{find_worker, lease_end},
    owner::{FencingToken, Owner},
    resend::{record_time, unless_overdue},
    watch,
};
use adapter::{
    http::{CallError, Connection},
    workers::{StartRequest, WorkerError, WorkerResponse},
};
use clock::Instant;
use jobs::{Cell, Loss, Refusal, RunId, RunPhase, TaskId, WorkerId, WorkerInfo};
use std::{pin::pin, rc::Rc, time::Duration};
use tokio::{sync::OwnedSemaphorePermit, task, time};
use tracing::info;

/// Time after a resent start after which a worker that has not responded to it gets no further ones. A healthy worker
/// takes a few ms, and one that cannot be reached would attract starts for a second, each of which extends its lease.
const RESENT_START_TIMEOUT: Duration = Duration::from_millis(70);

/// Minimum time after which a start or a stop without a response is resent over a new connection. A healthy worker
/// takes a few ms, and an overloaded owner of 1,100 workers reads the response 76 ms later.
pub const MIN_RESEND_DELAY: Duration = Duration::from_millis(80);

/// Sends a start, unless the state on which the decision was based has changed.
pub async fn start(owner: &Rc<Owner>, worker: &str, task: TaskId, run: RunId) {
    let waiting = owner.node.link.enqueue(payload_bytes(owner, task));
    let start_permit = acquire_start_permit(owner, worker).await;
    let admitted = wait_for_link(owner, waiting).await;
    let confirmed = owner
        .cell
        .borrow_mut()
        .prepare_start(worker, task, run, Instant::now());
    if !confirmed {
        owner.wake();
        return;
    }
    if !owner.may_hold() {
        // The start is withdrawn until this owner has renewed its lease.
        return withdraw(owner, worker, task, run);
    }
    if !is_answering(owner, worker) {
        // The start is withdrawn, and the task goes to another worker at once.
        withdraw(owner, worker, task, run);
        return owner.wake();
    }
    let Some(info) = find_worker(owner, worker) else {
        return;
    };
    let ticket = ticket(owner, worker, task);
    let Some((spec, saved)) = start_payload(owner, task) else {
        return;
    };
    let Some(deadline) = lease_end(owner, worker) else {
        owner
            .cell
            .borrow_mut()
            .start_refused(worker, task, run, Refusal::Unwell, Instant::now());
        return owner.wake();
    };
    let fencing_token = owner.fencing_token(worker);
    let order = StartRequest {
        task: task.to_string(),
        run,
        spec: &spec,
        deadline,
        fencing_token,
        checkpoint: &saved,
        ticket: &ticket,
    };
    admitted.sent();
    let outcome = send_start(owner, &info, (task, run), &order, start_permit).await;
    owner.node.metrics.started(outcome_name(&outcome));
    match &outcome {
        Ok(_) => info!(target: kind::RUN, task = order.task, run, worker, deadline, "started"),
        Err(error) => {
            info!(target: kind::RUN, task = order.task, run, worker, %error, "start failed")
        }
    }
    let started = outcome.is_ok();
    apply_outcome(owner, worker, task, run, fencing_token, outcome);
    if started {
        poll_after_quarantine(owner, worker, task, run);
    }
    owner.wake();
}

/// Polls a worker once a run in quarantine there is old enough to be cleared. Regular polls are half a second apart,
/// and nothing else can start on the worker until then.
fn poll_after_quarantine(owner: &Rc<Owner>, worker: &str, task: TaskId, run: RunId) {
    let quarantine = owner
        .cell
        .borrow()
        .workers
        .get(worker)
        .and_then(|w| w.quarantine);
    let Some(quarantine) = quarantine.filter(|quarantine| quarantine.key == (task, run)) else {
        return;
    };
    let (owner, worker) = (Rc::clone(owner), WorkerId::from(worker));
    task::spawn_local(async move {
        time::sleep(quarantine.threshold).await;
        watch::poll_once(&owner, &worker);
    });
}

/// Withdraws a start that has not been sent.
fn withdraw(owner: &Owner, worker: &str, task: TaskId, run: RunId) {
    let now = Instant::now();
    let mut cell = owner.cell.borrow_mut();
    cell.start_refused(worker, task, run, Refusal::Late, now);
}

/// Waits until a start may be sent to a worker. Returns `None` if the worker is no longer known.
async fn acquire_start_permit(owner: &Owner, worker: &str) -> Option<OwnedSemaphorePermit> {
    let contact = owner.contacts.borrow().get(worker).cloned();
    let start_permits = contact.map(|contact| contact.start_permits)?;
    // The semaphore is never closed.
    start_permits.acquire_owned().await.ok()
}

/// Returns whether a worker has responded recently. It may have become silent while a start was waiting for a permit.
fn is_answering(owner: &Owner, worker: &str) -> bool {
    let cell = owner.cell.borrow();
    cell.workers
        .get(worker)
        .is_some_and(|worker| worker.responsive)
}

/// Returns whether a start that has no response may be resent: this owner still decides, and the run is still wanted.
fn is_wanted(owner: &Owner, worker: &str, key: (TaskId, RunId)) -> bool {
    let cell = owner.cell.borrow();
    let state = cell.workers.get(worker).and_then(|w| w.runs.get(&key));
    owner.may_hold() && state.is_some_and(|state| state.phase != RunPhase::Stopping)
}

/// Sends a start to a worker. If the response takes too long, the worker gets no further starts until it has
/// responded to a poll, and the start's permit is released so that waiting starts need not wait for this response.
async fn send_start(
    owner: &Rc<Owner>,
    info: &WorkerInfo,
    key: (TaskId, RunId),
    order: &StartRequest<'_>,
    start_permit: Option<OwnedSemaphorePermit>,
) -> Result<WorkerResponse<()>, WorkerError> {
    let mut first = pin!(timed_start(owner, info, order, Connection::Pooled));
    let delay = || owner.resend_delay(MIN_RESEND_DELAY);
    if let Some(outcome) = unless_overdue(first.as_mut(), delay).await {
        return outcome;
    }
    if !is_wanted(owner, &info.id, key) {
        // The run may have been freed, and another call could begin it beside the next one of its task.
        drop(start_permit);
        return first.await;
    }
    info!(
        target: kind::RUN,
        task = order.task,
        run = order.run,
        worker = %info.id,
        "start resent"
    );
    owner
        .cell
        .borrow_mut()
        .record_lease_call(&info.id, Instant::now());
    let second = timed_start(owner, info, order, Connection::New);
    let mut both = pin!(first_decisive(first, second));
    if let Ok(outcome) = time::timeout(RESENT_START_TIMEOUT, both.as_mut()).await {
        return outcome;
    }
    drop(start_permit);
    owner
        .cell
        .borrow_mut()
        .mark_silent(&info.id, Instant::now());
    watch::poll_once(owner, &info.id);
    both.await
}

/// Sends a start once and records the worker's response time.
async fn timed_start(
    owner: &Owner,
    info: &WorkerInfo,
    order: &StartRequest<'_>,
    connection: Connection,
) -> Outcome {
    let sent_at = Instant::now();
    let outcome = owner.node.workers.start(info, order, connection).await;
    if outcome.is_ok() {
        record_time(&owner.node.worker_times, Duration::ZERO, sent_at.elapsed());
    }
    outcome
}

/// The outcome of a start.
type Outcome = Result<WorkerResponse<()>, WorkerError>;

/// Returns the outcome of a start that was sent twice. A worker runs a start only once, however often it receives it,
/// so one response may also decide the outcome of the other call.
async fn first_decisive(
    first: impl Future<Output = Outcome>,
    second: impl Future<Output = Outcome>,
) -> Outcome {
    let (mut first, mut second) = (pin!(first), pin!(second));
    tokio::select! {
        outcome = first.as_mut() => or_combined(outcome, second).await,
        outcome = second.as_mut() => or_combined(outcome, first).await
    }
}

/// Returns the outcome of the first call to get a response, combined with the other one if the first is not decisive.
async fn or_combined(early: Outcome, other: impl Future<Output = Outcome>) -> Outcome {
    if is_decisive(&early) {
        return early;
    }
    combine(early, other.await)
}

/// Returns whether an outcome decides all calls for the run: the run exists, or never will.
fn is_decisive(outcome: &Outcome) -> bool {
    matches!(
        outcome,
        Ok(_) | Err(WorkerError::Replaced | WorkerError::Refused(Refusal::Fenced))
    )
}

/// Combines the outcomes of two calls for one run. A refusal of one call does not decide the other, which may still
/// be carried out unless it was refused as well or never sent.
fn combine(early: Outcome, late: Outcome) -> Outcome {
    if is_decisive(&late) {
        return late;
    }
    let has_no_effect = |outcome: &Outcome| match outcome {
        Err(WorkerError::Refused(why)) => *why != Refusal::Old,
        Err(WorkerError::Call(error)) => error.is_unsent(),
        Ok(_) | Err(WorkerError::Replaced | WorkerError::UnexpectedStatus(_)) => false,
    };
    if has_no_effect(&early) && has_no_effect(&late) {
        return early;
    }
    Err(WorkerError::Call(CallError::Unanswered))
}

/// Returns the permit's ticket for a task on a worker, or an empty string if none is needed.
fn ticket(owner: &Owner, worker: &str, task: TaskId) -> String {
    let cell = owner.cell.borrow();
    let permit = cell.permit(task, worker);
    permit.map_or_else(String::new, |permit| permit.ticket.clone())
}

/// Returns the name of a start's outcome in the metrics.
fn outcome_name<T>(outcome: &Result<T, WorkerError>) -> &'static str {
    match outcome {
        Ok(_) => "started",
        Err(WorkerError::Refused(_)) => "refused",
        Err(WorkerError::Replaced) => "replaced",
        Err(WorkerError::Call(error)) if error.is_unsent() => "not-sent",
        Err(WorkerError::Call(_) | WorkerError::UnexpectedStatus(_)) => "unknown",
    }
}

/// Applies what the outcome of a start shows about the run.
fn apply_outcome(
    owner: &Rc<Owner>,
    worker: &str,
    task: TaskId,
    run: RunId,
    fencing_token: FencingToken,
    outcome: Result<WorkerResponse<()>, WorkerError>,
) {
    let now = Instant::now();
    let raised = owner.has_raised_token(worker, fencing_token);
    let mut cell = owner.cell.borrow_mut();
    match outcome {
        Ok(response) => {
            watch::set_clock(owner, worker, response.clock, now);
            cell.start_accepted(worker, task, run, now);
        }
        // A new incarnation refused the call, but the earlier one may have accepted the first of the two calls.
        Err(WorkerError::Refused(Refusal::Fenced)) if raised => cell.unacked(worker, task, run),
        Err(WorkerError::Refused(Refusal::Fenced)) => owner.end("a worker has seen a newer owner"),
        Err(WorkerError::Refused(why)) => cell.start_refused(worker, task, run, why, now),
        Err(WorkerError::Replaced) => {
            drop(cell);
            abandon_worker(owner, worker, Loss::Ended);
        }
        Err(WorkerError::Call(CallError::Refused | CallError::Unreachable)) => {
            // The worker gets no further starts until it has responded to a poll.
            cell.mark_silent(worker, now);
            cell.start_refused(worker, task, run, Refusal::Unwell, now);
        }
        Err(WorkerError::Call(CallError::Unanswered) | WorkerError::UnexpectedStatus(_)) => {
            cell.unacked(worker, task, run);
        }
    }
}

/// Returns the number of bytes of the payload of a start.
fn payload_bytes(owner: &Owner, task: TaskId) -> u64 {
    let cell = owner.cell.borrow();
    payload(&cell, task).map_or(0, |(spec, saved)| (spec.len() + saved.len()) as u64)
}

/// Returns a copy of the payload of a start.
fn start_payload(owner: &Owner, task: TaskId) -> Option<(String, String)> {
    let cell = owner.cell.borrow();
    let (spec, saved) = payload(&cell, task)?;
    Some((spec.to_owned(), saved.to_owned()))
}

/// Returns the job's text and the task's saved progress.
fn payload(cell: &Cell, task: TaskId) -> Option<(&str, &str)> {
    let job = cell.jobs.get(&task.job)?;
    let state = job.task(task.round, task.step, task.index)?;
    Some((&job.submission.spec.text, &state.saved))
}
