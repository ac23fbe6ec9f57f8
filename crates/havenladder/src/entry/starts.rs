//! Sends starts to workers: within a worker's turns, once more where no answer comes, and draws from the answers
//! what is certain about a run.

use super::{
    losses::give_up as give_up_worker,
    orders::{find, lease_end},
    owner::{FencingToken, Owner},
    resend::unless_overdue,
    watch,
};
use adapter::{
    http::{CallError, Connection},
    workers::{StartRequest, WorkerError, WorkerResponse},
};
use clock::Instant;
use jobs::{Loss, Refusal, RunId, TaskId, WorkerId, WorkerInfo};
use std::{pin::pin, rc::Rc, time::Duration};
use tokio::{sync::OwnedSemaphorePermit, task, time};
use tracing::info;

/// How long a worker may take to answer a start until it gets no others: a healthy one takes some ms, and
/// one that is out of reach would draw starts, each of which extends its lease, for a second.
const DOUBTED: Duration = Duration::from_millis(150);

/// How long a start, or a stop, is waited for until it is sent once more, over a connection of its own: a healthy
/// worker takes some ms, and an owner of 1,100 workers that is full reads its answer 76 ms later.
pub const REPEATED: Duration = Duration::from_millis(80);

/// Sends a start, unless what it follows from has changed since it was decided.
pub async fn start(owner: &Rc<Owner>, worker: &str, task: TaskId, run: RunId) {
    let turn = take_turn(owner, worker).await;
    let confirmed = owner
        .cell
        .borrow_mut()
        .confirm_start(worker, task, run, Instant::now());
    if !confirmed {
        owner.wake();
        return;
    }
    if !owner.may_hold() {
        // It is not sent, and waits until this owner has renewed its lease.
        return give_up(owner, worker, task, run);
    }
    if !answers(owner, worker) {
        // It is not sent, and goes to another worker at once.
        give_up(owner, worker, task, run);
        return owner.wake();
    }
    let Some(info) = find(owner, worker) else {
        return;
    };
    let ticket = ticket(owner, worker, task);
    let Some((spec, saved)) = words(owner, task) else {
        return;
    };
    let Some(deadline) = lease_end(owner, worker) else {
        owner
            .cell
            .borrow_mut()
            .refused(worker, task, run, Refusal::Unwell, Instant::now());
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
    let outcome = send_start(owner, &info, &order, turn).await;
    owner.node.metrics.started(name_outcome(&outcome));
    match &outcome {
        Ok(_) => info!(task = order.task, run, worker, deadline, "started"),
        Err(error) => info!(task = order.task, run, worker, %error, "start failed"),
    }
    let started = outcome.is_ok();
    settle(owner, worker, task, run, fencing_token, outcome);
    if started {
        look_after_quarantine(owner, worker, task, run);
    }
    owner.wake();
}

/// Has a worker asked once a run in quarantine there is old enough to be cleared: the questions that wait for ends
/// come half a second apart, and until then nothing else begins there.
fn look_after_quarantine(owner: &Rc<Owner>, worker: &str, task: TaskId, run: RunId) {
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
        time::sleep(quarantine.bar).await;
        watch::look(&owner, &worker);
    });
}

/// Takes a start back that is not sent.
fn give_up(owner: &Owner, worker: &str, task: TaskId, run: RunId) {
    let now = Instant::now();
    let mut cell = owner.cell.borrow_mut();
    cell.refused(worker, task, run, Refusal::Late, now);
}

/// Waits for a turn to send a start to a worker; none if the worker is not there any more.
async fn take_turn(owner: &Owner, worker: &str) -> Option<OwnedSemaphorePermit> {
    let contact = owner.contacts.borrow().get(worker).cloned();
    let turns = contact.map(|contact| contact.start_permits)?;
    // It is never closed.
    turns.acquire_owned().await.ok()
}

/// Whether a worker has answered of late: it may have fallen silent while a start waited for its turn.
fn answers(owner: &Owner, worker: &str) -> bool {
    let cell = owner.cell.borrow();
    cell.workers.get(worker).is_some_and(|worker| worker.known)
}

/// Sends a start to a worker. One that takes long to answer gets no others until it has answered a question;
/// those that wait for their turn need not wait for its answer.
async fn send_start(
    owner: &Rc<Owner>,
    info: &WorkerInfo,
    order: &StartRequest<'_>,
    turn: Option<OwnedSemaphorePermit>,
) -> Result<WorkerResponse<()>, WorkerError> {
    let workers = &owner.node.workers;
    let mut first = pin!(workers.start(info, order, Connection::Pooled));
    if let Some(outcome) = unless_overdue(first.as_mut(), REPEATED).await {
        return outcome;
    }
    info!(
        task = order.task,
        run = order.run,
        worker = %info.id,
        "start sent again"
    );
    let second = workers.start(info, order, Connection::New);
    let mut both = pin!(either(first, second));
    if let Ok(outcome) = time::timeout(DOUBTED - REPEATED, both.as_mut()).await {
        return outcome;
    }
    drop(turn);
    owner
        .cell
        .borrow_mut()
        .mute_worker(&info.id, Instant::now());
    watch::look(owner, &info.id);
    both.await
}

/// What came of a start.
type Outcome = Result<WorkerResponse<()>, WorkerError>;

/// What came of a start that was sent twice: a worker has a run once, however often it is told to start it, so that
/// one answer may settle what became of the other call.
async fn either(
    first: impl Future<Output = Outcome>,
    second: impl Future<Output = Outcome>,
) -> Outcome {
    let (mut first, mut second) = (pin!(first), pin!(second));
    tokio::select! {
        outcome = first.as_mut() => or_other(outcome, second).await,
        outcome = second.as_mut() => or_other(outcome, first).await,
    }
}

/// The outcome of the call that was answered first, unless the other one's is needed beside it.
async fn or_other(early: Outcome, other: impl Future<Output = Outcome>) -> Outcome {
    if settles(&early) {
        return early;
    }
    join(early, other.await)
}

/// Whether an answer tells what became of all calls for its run: the run is there, or never will be.
fn settles(outcome: &Outcome) -> bool {
    matches!(
        outcome,
        Ok(_) | Err(WorkerError::Replaced | WorkerError::Refused(Refusal::Fenced))
    )
}

/// What two calls for one run have led to. A refusal of one says nothing of the other, which may be carried out
/// later, unless that is refused as well or was never sent.
fn join(early: Outcome, late: Outcome) -> Outcome {
    if settles(&late) {
        return late;
    }
    let is_settled = |outcome: &Outcome| match outcome {
        Err(WorkerError::Refused(why)) => *why != Refusal::Old,
        Err(WorkerError::Call(error)) => error.is_unsent(),
        Ok(_) | Err(WorkerError::Replaced | WorkerError::UnexpectedStatus(_)) => false,
    };
    if is_settled(&early) && is_settled(&late) {
        return early;
    }
    Err(WorkerError::Call(CallError::Unanswered))
}

/// The permit for a task on a worker; empty if none is needed.
fn ticket(owner: &Owner, worker: &str, task: TaskId) -> String {
    let cell = owner.cell.borrow();
    let permit = cell.permit(task, worker);
    permit.map_or_else(String::new, |permit| permit.ticket.clone())
}

/// The name of the outcome of a start in the metrics.
fn name_outcome<T>(outcome: &Result<T, WorkerError>) -> &'static str {
    match outcome {
        Ok(_) => "started",
        Err(WorkerError::Refused(_)) => "refused",
        Err(WorkerError::Replaced) => "replaced",
        Err(WorkerError::Call(error)) if error.is_unsent() => "not-sent",
        Err(WorkerError::Call(_) | WorkerError::UnexpectedStatus(_)) => "unknown",
    }
}

/// Draws from the outcome of a start what is certain about it.
fn settle(
    owner: &Rc<Owner>,
    worker: &str,
    task: TaskId,
    run: RunId,
    fence: FencingToken,
    outcome: Result<WorkerResponse<()>, WorkerError>,
) {
    let now = Instant::now();
    let raised = owner.has_raised_token(worker, fence);
    let mut cell = owner.cell.borrow_mut();
    match outcome {
        Ok(told) => {
            watch::set_clock(owner, worker, told.clock, now);
            cell.started(worker, task, run, now);
        }
        // Another life refuses it; it may have taken the first of two calls.
        Err(WorkerError::Refused(Refusal::Fenced)) if raised => cell.unsure(worker, task, run),
        Err(WorkerError::Refused(Refusal::Fenced)) => owner.end("a worker has seen a newer owner"),
        Err(WorkerError::Refused(why)) => cell.refused(worker, task, run, why, now),
        Err(WorkerError::Replaced) => {
            drop(cell);
            give_up_worker(owner, worker, Loss::Ended);
        }
        Err(WorkerError::Call(CallError::Refused | CallError::Unreachable)) => {
            // It gets nothing more until it has answered a question.
            cell.mute_worker(worker, now);
            cell.refused(worker, task, run, Refusal::Unwell, now);
        }
        Err(WorkerError::Call(CallError::Unanswered) | WorkerError::UnexpectedStatus(_)) => {
            cell.unsure(worker, task, run);
        }
    }
}

/// The job's text and the task's saved progress.
fn words(owner: &Owner, task: TaskId) -> Option<(String, String)> {
    let cell = owner.cell.borrow();
    let job = cell.jobs.get(&task.job)?;
    let saved = job.task(task.round, task.step, task.index)?.saved.clone();
    Some((job.given.spec.text.clone(), saved))
}
