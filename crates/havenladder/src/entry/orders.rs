//! Sends the owner's orders to workers.

use super::{
    logs::kind,
    losses::abandon_worker,
    owner::{FencingToken, Owner, WORKER_LEASE_DURATION, max_lease_duration},
    resend::unless_overdue,
    starts::{MIN_RESEND_DELAY, start},
};
use adapter::{
    http::Connection,
    workers::{ClockMs, WorkerError},
};
use clock::Instant;
use jobs::{Loss, Order, Refusal, RunId, TaskId, WorkerId, WorkerInfo};
use std::{pin::pin, rc::Rc, sync::Arc, time::Duration};
use tokio::{task, time};
use tracing::info;

/// Time until a stop is resent after two calls without a response.
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Sends orders without waiting for the responses.
pub fn send_all(owner: &Rc<Owner>, orders: Vec<Order>) {
    orders.into_iter().for_each(|order| send(owner, order));
}

/// Sends an order without waiting for the response.
fn send(owner: &Rc<Owner>, order: Order) {
    let owner = Rc::clone(owner);
    task::spawn_local(async move {
        match order {
            Order::Start { worker, task, run } => start(&owner, &worker, task, run).await,
            Order::Stop { worker, task, run } => stop(&owner, &worker, task, run).await,
            Order::RequestPermits { task, workers } => {
                request_permits(&owner, task, &workers).await
            }
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

/// Returns the listed details of a worker, if the cell knows the worker.
pub fn find_worker(owner: &Owner, worker: &str) -> Option<Arc<WorkerInfo>> {
    owner
        .cell
        .borrow()
        .workers
        .get(worker)
        .map(|w| Arc::clone(&w.info))
}

/// Returns the end of a lease that begins now, in the worker's clock, if that clock is known.
pub fn lease_end(owner: &Owner, worker: &str) -> Option<ClockMs> {
    let now = Instant::now();
    let mut contacts = owner.contacts.borrow_mut();
    let contact = contacts.get_mut(worker)?;
    let (clock, read) = contact.clock?;
    let lease = WORKER_LEASE_DURATION.min(owner.node.settings.max_worker_lease);
    contact.lease_until = contact.lease_until.max(now + max_lease_duration(lease));
    owner.cell.borrow_mut().record_lease_call(worker, now);
    Some(clock + (now - read + lease).as_millis() as ClockMs)
}

/// Sends a stop until the worker has accepted it or it is no longer wanted.
async fn stop(owner: &Rc<Owner>, worker: &str, task: TaskId, run: RunId) {
    while owner.is_alive() && owner.cell.borrow().is_stopping(worker, task, run) {
        let Some(info) = find_worker(owner, worker) else {
            return;
        };
        let fencing_token = owner.fencing_token(worker);
        match send_stop(owner, &info, task, run, fencing_token).await {
            Ok(()) => {
                owner
                    .cell
                    .borrow_mut()
                    .stop_accepted(worker, task, run, Instant::now());
                return;
            }
            Err(WorkerError::Replaced) => {
                return abandon_worker(owner, worker, Loss::Ended);
            }
            Err(WorkerError::Refused(Refusal::Fenced))
                if !owner.has_raised_token(worker, fencing_token) =>
            {
                return owner.end("a worker has seen a newer owner");
            }
            Err(error) => {
                info!(target: kind::RUN, task = %task, run, worker, %error, "stop failed")
            }
        }
        time::sleep(STOP_RETRY_INTERVAL).await;
    }
}

/// Sends a stop, and resends it if no response arrives. Stopping a run twice has no further effect, and a response
/// may be lost.
async fn send_stop(
    owner: &Owner,
    info: &WorkerInfo,
    task: TaskId,
    run: RunId,
    fencing_token: FencingToken,
) -> Result<(), WorkerError> {
    let stop = |connection| {
        let workers = &owner.node.workers;
        workers.stop(info, task, run, fencing_token, connection)
    };
    let mut first = pin!(stop(Connection::Pooled));
    let delay = || owner.resend_delay(MIN_RESEND_DELAY);
    if let Some(outcome) = unless_overdue(first.as_mut(), delay).await {
        return outcome;
    }
    let mut second = pin!(stop(Connection::New));
    tokio::select! {
        outcome = first.as_mut() => match outcome {
            Err(WorkerError::Call(_)) => second.await,
            decisive => decisive
        },
        outcome = second.as_mut() => match outcome {
            Err(WorkerError::Call(_)) => first.await,
            decisive => decisive
        }
    }
}

/// Sends a change of pace once. It is not resent if it is lost.
async fn pace(owner: &Rc<Owner>, worker: &str, task: TaskId, run: RunId, percent: u64) {
    let Some(info) = find_worker(owner, worker) else {
        return;
    };
    let outcome = owner
        .node
        .workers
        .pace(&info, task, run, percent, owner.fencing_token(worker))
        .await;
    if let Err(error) = outcome {
        info!(target: kind::RUN, task = %task, run, worker, percent, %error, "change of pace failed");
    }
}

/// Asks the external permit service which of the given workers may run a step.
async fn request_permits(owner: &Rc<Owner>, task: TaskId, workers: &[WorkerId]) {
    let response = match &owner.node.advice {
        Some(advice) => advice.request_permits(task, workers).await,
        None => Ok(None),
    };
    let good = response.unwrap_or_else(|error| {
        info!(target: kind::RUN, %task, %error, "request for permits failed");
        None
    });
    info!(target: kind::RUN, %task, asked = workers.len(), good = good.as_ref().map(Vec::len), "permits");
    owner.cell.borrow_mut().set_permits(task, workers, good);
    owner.wake();
}
