//! Carries out the owner's orders to workers.

use super::{
    owner::{LEASE, Owner, longest},
    watch,
};
use adapter::{
    http::CallError,
    workers::{ClockMs, Start, Told, WorkerError},
};
use jobs::{Order, Refusal, RunId, TaskId, WorkerId, WorkerInfo};
use std::{
    pin::pin,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{sync::OwnedSemaphorePermit, task, time};
use tracing::info;

/// Time until a stop without an answer is sent again.
const STOP_AGAIN: Duration = Duration::from_millis(250);

/// How long a worker may take to answer a start until it gets no others: a healthy one takes some ms, and
/// one that is out of reach would draw starts, each of which extends its lease, for a second.
const DOUBTED: Duration = Duration::from_millis(150);

/// Sends orders, without waiting for their answers.
pub fn send_all(owner: &Rc<Owner>, orders: impl IntoIterator<Item = Order>) {
    orders.into_iter().for_each(|order| send(owner, order));
}

/// Sends an order, without waiting for its answer.
fn send(owner: &Rc<Owner>, order: Order) {
    let owner = Rc::clone(owner);
    task::spawn_local(async move {
        match order {
            Order::Start { worker, task, run } => start(&owner, &worker, task, run).await,
            Order::Stop { worker, task, run } => stop(&owner, &worker, task, run).await,
            Order::Ask { task, workers } => ask(&owner, task, &workers).await,
            Order::Pace {
                worker,
                task,
                run,
                percent,
            } => {
                pace(&owner, &worker, task, run, percent).await;
            }
        }
    });
}

/// What the list says of a worker, if the cell has it.
pub fn find(owner: &Owner, worker: &str) -> Option<Arc<WorkerInfo>> {
    owner
        .cell
        .borrow()
        .workers
        .get(worker)
        .map(|w| Arc::clone(&w.info))
}

/// The end of a lease that begins now, on the worker's clock, if its clock is known.
pub fn lease_end(owner: &Owner, worker: &str) -> Option<ClockMs> {
    let now = Instant::now();
    let mut contacts = owner.contacts.borrow_mut();
    let contact = contacts.get_mut(worker)?;
    let (clock, read) = contact.clock?;
    let lease = LEASE.min(owner.node.settings.hold);
    contact.leased = contact.leased.max(now + longest(lease));
    Some(clock + (now - read + lease).as_millis() as ClockMs)
}

/// Sends a start, unless what it follows from has changed since it was decided.
async fn start(owner: &Rc<Owner>, worker: &str, task: TaskId, run: RunId) {
    let turn = take_turn(owner, worker).await;
    if !owner.cell.borrow_mut().confirm_start(worker, task, run) {
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
    let order = Start {
        task: task.to_string(),
        run,
        spec: &spec,
        deadline,
        fence: owner.epoch,
        saved: &saved,
        ticket: &ticket,
    };
    let outcome = send_start(owner, &info, &order, turn).await;
    owner.node.metrics.started(name_outcome(&outcome));
    match &outcome {
        Ok(_) => info!(task = order.task, run, worker, deadline, "started"),
        Err(error) => info!(task = order.task, run, worker, %error, "start failed"),
    }
    settle(owner, worker, task, run, outcome);
    owner.wake();
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
    let turns = contact.map(|contact| contact.turns)?;
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
    order: &Start<'_>,
    turn: Option<OwnedSemaphorePermit>,
) -> Result<Told<()>, WorkerError> {
    let mut call = pin!(owner.node.workers.start(info, order));
    if let Ok(outcome) = time::timeout(DOUBTED, call.as_mut()).await {
        return outcome;
    }
    drop(turn);
    owner.cell.borrow_mut().mute_worker(&info.id);
    watch::look(owner, &info.id);
    call.await
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
        Err(WorkerError::Call(_) | WorkerError::Odd(_)) => "unknown",
    }
}

/// Draws from the outcome of a start what is certain about it.
fn settle(
    owner: &Owner,
    worker: &str,
    task: TaskId,
    run: RunId,
    outcome: Result<Told<()>, WorkerError>,
) {
    let now = Instant::now();
    let mut cell = owner.cell.borrow_mut();
    match outcome {
        Ok(told) => {
            watch::set_clock(owner, worker, told.clock, now);
            cell.started(worker, task, run, now);
        }
        Err(WorkerError::Refused(Refusal::Fenced)) => owner.end("a worker has seen a newer owner"),
        Err(WorkerError::Refused(why)) => cell.refused(worker, task, run, why, now),
        Err(WorkerError::Replaced) => cell.lose_worker(worker),
        Err(WorkerError::Call(CallError::Refused | CallError::Unreachable)) => {
            // It gets nothing more until it has answered a question.
            cell.mute_worker(worker);
            cell.refused(worker, task, run, Refusal::Unwell, now);
        }
        Err(WorkerError::Call(CallError::Unanswered) | WorkerError::Odd(_)) => {
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

/// Sends a stop until the worker has taken it, or it is not wanted any more.
async fn stop(owner: &Rc<Owner>, worker: &str, task: TaskId, run: RunId) {
    while owner.is_alive() && owner.cell.borrow().wants_stop(worker, task, run) {
        let Some(info) = find(owner, worker) else {
            return;
        };
        match owner.node.workers.stop(&info, task, run, owner.epoch).await {
            Ok(()) => {
                owner
                    .cell
                    .borrow_mut()
                    .stop_answered(worker, task, run, Instant::now());
                return;
            }
            Err(WorkerError::Replaced) => {
                owner.cell.borrow_mut().lose_worker(worker);
                return owner.wake();
            }
            Err(WorkerError::Refused(Refusal::Fenced)) => {
                return owner.end("a worker has seen a newer owner");
            }
            Err(error) => info!(task = %task, run, worker, %error, "stop failed"),
        }
        time::sleep(STOP_AGAIN).await;
    }
}

/// Sends a change of pace, once: one that is lost is not sent again.
async fn pace(owner: &Rc<Owner>, worker: &str, task: TaskId, run: RunId, percent: u64) {
    let Some(info) = find(owner, worker) else {
        return;
    };
    let outcome = owner
        .node
        .workers
        .pace(&info, task, run, percent, owner.epoch)
        .await;
    if let Err(error) = outcome {
        info!(task = %task, run, worker, percent, %error, "change of pace failed");
    }
}

/// Asks the service outside which of some workers may run a step.
async fn ask(owner: &Rc<Owner>, task: TaskId, workers: &[WorkerId]) {
    let answer = match &owner.node.advice {
        Some(advice) => advice.ask(task, workers).await,
        None => Ok(None),
    };
    let good = answer.unwrap_or_else(|error| {
        info!(%task, %error, "no answer to which workers may run a step");
        None
    });
    info!(%task, asked = workers.len(), good = good.as_ref().map(Vec::len), "permits");
    owner.cell.borrow_mut().set_permits(task, workers, good);
    owner.wake();
}
