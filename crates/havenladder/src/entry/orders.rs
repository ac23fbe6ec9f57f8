//! Carries out the owner's orders to workers.

use super::{
    losses::give_up,
    owner::{FencingToken, Owner, WORKER_LEASE_DURATION, max_lease_duration},
    resend::unless_overdue,
    starts::{REPEATED, start},
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

/// Time until a stop is sent again that had no answer twice.
const STOP_AGAIN: Duration = Duration::from_millis(250);

/// Sends orders, without waiting for their answers.
pub fn send_all(owner: &Rc<Owner>, orders: Vec<Order>) {
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
    let lease = WORKER_LEASE_DURATION.min(owner.node.settings.max_worker_lease);
    contact.lease_until = contact.lease_until.max(now + max_lease_duration(lease));
    Some(clock + (now - read + lease).as_millis() as ClockMs)
}

/// Sends a stop until the worker has taken it, or it is not wanted any more.
async fn stop(owner: &Rc<Owner>, worker: &str, task: TaskId, run: RunId) {
    while owner.is_alive() && owner.cell.borrow().wants_stop(worker, task, run) {
        let Some(info) = find(owner, worker) else {
            return;
        };
        let fence = owner.fencing_token(worker);
        match send_stop(owner, &info, task, run, fence).await {
            Ok(()) => {
                owner
                    .cell
                    .borrow_mut()
                    .stop_answered(worker, task, run, Instant::now());
                return;
            }
            Err(WorkerError::Replaced) => {
                return give_up(owner, worker, Loss::Ended);
            }
            Err(WorkerError::Refused(Refusal::Fenced))
                if !owner.has_raised_token(worker, fence) =>
            {
                return owner.end("a worker has seen a newer owner");
            }
            Err(error) => info!(task = %task, run, worker, %error, "stop failed"),
        }
        time::sleep(STOP_AGAIN).await;
    }
}

/// Sends a stop, and once more where no answer comes: a run is stopped once, and an answer may be lost.
async fn send_stop(
    owner: &Owner,
    info: &WorkerInfo,
    task: TaskId,
    run: RunId,
    fence: FencingToken,
) -> Result<(), WorkerError> {
    let stop = |connection| {
        let workers = &owner.node.workers;
        workers.stop(info, task, run, fence, connection)
    };
    let mut first = pin!(stop(Connection::Pooled));
    if let Some(outcome) = unless_overdue(first.as_mut(), REPEATED).await {
        return outcome;
    }
    let mut second = pin!(stop(Connection::New));
    tokio::select! {
        outcome = first.as_mut() => match outcome {
            Err(WorkerError::Call(_)) => second.await,
            settled => settled,
        },
        outcome = second.as_mut() => match outcome {
            Err(WorkerError::Call(_)) => first.await,
            settled => settled,
        },
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
        .pace(&info, task, run, percent, owner.fencing_token(worker))
        .await;
    if let Err(error) = outcome {
        info!(task = %task, run, worker, percent, %error, "change of pace failed");
    }
}

/// Asks the service outside which of some workers may run a step.
async fn ask(owner: &Rc<Owner>, task: TaskId, workers: &[WorkerId]) {
    let answer = match &owner.node.advice {
        Some(advice) => advice.request_permits(task, workers).await,
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
