//! Watches each incarnation of a worker: polls it for its runs, extends its lease and detects its end.

use super::{
    ends,
    logs::kind,
    losses::{abandon_runs, abandon_worker},
    orders,
    owner::{FencingToken, Owner, max_lease_duration},
    polls::{LastPoll, PollResponse, next_poll, poll_worker},
    worker_list::{contact_worker, record_replaced},
};
use adapter::{
    http::CallError,
    workers::{ClockMs, WorkerError},
};
use clock::Instant;
use jobs::{Loss, Refusal, Report, ResponseOutcome, WorkerId};
use std::{iter, rc::Rc, time::Duration};
use tokio::{task, time};
use tracing::info;

/// Minimum time between two polls of a worker. Each poll has a cost, and runs that end shortly after each other are
/// reported together.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum time for which the next poll waits until the reported ends are durable.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(700);

/// Time until a worker that did not respond is polled again.
const POLL_RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// Records the time that a worker's clock shows.
pub fn set_clock(owner: &Owner, worker: &str, clock: ClockMs, now: Instant) {
    if let Some(contact) = owner.contacts.borrow_mut().get_mut(worker) {
        contact.clock = Some((clock, now));
    }
}

/// Records that an incarnation of a worker has responded to a poll, and the time that its clock shows. From the first
/// response on, the worker refuses calls of earlier owners, so that leases that they gave last no longer than any lease
/// that begins now.
fn record_response(owner: &Owner, id: &WorkerId, clock: ClockMs, now: Instant) {
    let longest = now + max_lease_duration(owner.node.settings.max_worker_lease);
    let known = owner.inherited_leases.of_known_answer(id);
    let until = known.map_or(longest, |known| known.min(longest));
    if let Some(contact) = owner.contacts.borrow_mut().get_mut(id) {
        if contact.last_answer.is_none() {
            contact.lease_until = contact.lease_until.min(until);
        }
        contact.clock = Some((clock, now));
        contact.last_answer = Some(now);
    }
}

/// What follows from a poll for the watch of an incarnation.
#[derive(Clone, Copy, PartialEq, Eq)]
enum PollOutcome {
    /// The watch continues.
    Continue,
    /// The watch continues, but the poll gave no usable response.
    Retry,
    /// The watch ends: another incarnation responded instead, and its responses decide about the earlier one's runs.
    Superseded,
    /// The watch ends: the incarnation is abandoned for this reason, provided that the owner still owns the cell.
    Abandon(Loss),
}

/// Polls an incarnation of a worker for its runs until it ends. Each poll extends its lease.
pub async fn watch(owner: Rc<Owner>, id: WorkerId) {
    let mut last = LastPoll::Answered;
    let mut end = PollOutcome::Abandon(Loss::Ended);
    while owner.is_alive() {
        let Some(info) = orders::find_worker(&owner, &id) else {
            break;
        };
        if !owner.may_hold() {
            time::sleep(POLL_RETRY_INTERVAL).await;
            continue;
        }
        let hold = next_poll(&owner, &id, last);
        let next = match poll_worker(&owner, &info, hold).await {
            Ok(polled) => {
                let next = apply_response(&owner, &id, &polled);
                if next == PollOutcome::Continue && hold.deadline.is_some() {
                    time::sleep(MIN_POLL_INTERVAL).await;
                    wait_acknowledged(&owner, &id, &polled.response.value).await;
                }
                next
            }
            Err(error) => {
                let next = apply_failure(&owner, &id, hold.fencing_token, error, last);
                if next == PollOutcome::Retry {
                    time::sleep(POLL_RETRY_INTERVAL).await;
                }
                next
            }
        };
        match next {
            PollOutcome::Continue => last = LastPoll::Answered,
            PollOutcome::Retry => last = LastPoll::Unanswered,
            PollOutcome::Superseded | PollOutcome::Abandon(_) => {
                end = next;
                break;
            }
        }
    }
    if owner.is_alive() {
        if let PollOutcome::Abandon(loss) = end {
            abandon_with_former(&owner, &id, loss);
        }
        owner.contacts.borrow_mut().remove(&id);
    }
}

/// Abandons an incarnation of a worker, and those before it that were waiting for its report on their runs.
fn abandon_with_former(owner: &Rc<Owner>, id: &WorkerId, loss: Loss) {
    let former = owner.cell.borrow().former_incarnations(id);
    abandon_worker(owner, id, loss);
    for incarnation in former {
        abandon_worker(owner, &incarnation, Loss::Ended);
    }
}

/// Polls a worker once, in addition to its watch and without extending its lease, to check whether it can be reached.
pub fn poll_once(owner: &Rc<Owner>, id: &WorkerId) {
    let owner = Rc::clone(owner);
    let id = id.clone();
    task::spawn_local(async move {
        let Some(info) = orders::find_worker(&owner, &id) else {
            return;
        };
        let hold = next_poll(&owner, &id, LastPoll::Unanswered);
        match poll_worker(&owner, &info, hold).await {
            // The watch draws its own conclusion from its next poll.
            Ok(polled) => drop(apply_response(&owner, &id, &polled)),
            // The watch handles a worker that does not respond.
            Err(error) => {
                info!(target: kind::WORKER, worker = %id, %error, "worker does not answer a poll")
            }
        }
    });
}

/// Applies the response to a poll, after checking which incarnation sent it.
fn apply_response(owner: &Rc<Owner>, id: &WorkerId, polled: &PollResponse) -> PollOutcome {
    let now = Instant::now();
    let PollResponse { sent_at, response } = polled;
    let attribution =
        owner
            .cell
            .borrow_mut()
            .record_response(id, response.started_at, *sent_at, now);
    match attribution {
        ResponseOutcome::Same { restarted } => {
            if restarted {
                record_restart(owner, id, now);
            }
            apply_report(owner, id, polled, now);
            PollOutcome::Continue
        }
        ResponseOutcome::Outdated => {
            info!(target: kind::WORKER, worker = %id, "response of an earlier incarnation was overtaken");
            PollOutcome::Retry
        }
        ResponseOutcome::Replaced { next, restarted } => {
            if !owner.contacts.borrow().contains_key(&next) {
                contact_worker(owner, next.clone());
            }
            if restarted {
                record_restart(owner, &next, now);
            }
            owner.wake();
            PollOutcome::Superseded
        }
    }
}

/// Records that a new incarnation responds in place of an earlier one.
fn record_restart(owner: &Owner, id: &WorkerId, now: Instant) {
    info!(target: kind::WORKER, worker = %id, "worker has restarted");
    owner.node.metrics.restarted_worker();
    extend_to_max_lease(owner, id, now);
}

/// Records that an incarnation may still accept calls to the earlier ones, whose deadlines were computed for another
/// clock, so that its lease may last as long as any lease can.
fn extend_to_max_lease(owner: &Owner, id: &WorkerId, now: Instant) {
    let leased = now + max_lease_duration(owner.node.settings.max_worker_lease);
    let former = owner.cell.borrow().last_effect_of_others(id);
    if let Some(contact) = owner.contacts.borrow_mut().get_mut(id) {
        contact.lease_until = contact.lease_until.max(leased).max(former.unwrap_or(now));
    }
}

/// Records that an incarnation refuses calls to the earlier ones from now on. Leases that it has accepted last no longer
/// than the longest one.
fn limit_to_max_lease(owner: &Owner, id: &str, now: Instant) {
    let leased = now + max_lease_duration(owner.node.settings.max_worker_lease);
    if let Some(contact) = owner.contacts.borrow_mut().get_mut(id) {
        contact.lease_until = leased;
    }
}

/// Applies an incarnation's report of its runs, and abandons the earlier incarnations that the report shows to have
/// ended.
fn apply_report(owner: &Rc<Owner>, id: &WorkerId, polled: &PollResponse, now: Instant) {
    let PollResponse { sent_at, response } = polled;
    record_response(owner, id, response.clock, now);
    ends::log_listed(owner, id, &response.value);
    ends::log_superseded(owner, id, &response.value);
    let mut cell = owner.cell.borrow_mut();
    let missing = cell.apply_report(id, &response.value, *sent_at, now);
    let outlived = cell.outlived_incarnations(id, *sent_at);
    drop(cell);
    ends::log_missing(owner, id, &missing);
    if !outlived.is_empty() {
        limit_to_max_lease(owner, id, now);
    }
    for incarnation in outlived {
        abandon_worker(owner, &incarnation, Loss::Ended);
    }
    owner.wake();
}

/// Applies what a failed poll shows about the worker.
fn apply_failure(
    owner: &Rc<Owner>,
    id: &WorkerId,
    fencing_token: FencingToken,
    error: WorkerError,
    last: LastPoll,
) -> PollOutcome {
    match error {
        WorkerError::Replaced => {
            info!(target: kind::WORKER, worker = %id, "another worker answers at its address");
            record_replaced(owner, id);
            return PollOutcome::Abandon(Loss::Ended);
        }
        WorkerError::Refused(Refusal::Fenced) if owner.has_raised_token(id, fencing_token) => {
            return PollOutcome::Retry;
        }
        WorkerError::Refused(Refusal::Fenced) => {
            owner.end("a worker has seen a newer owner");
            return PollOutcome::Abandon(Loss::Lapsed);
        }
        WorkerError::Call(CallError::Refused) => {
            owner
                .cell
                .borrow_mut()
                .record_refused_connection(id, Instant::now());
        }
        WorkerError::Refused(_) | WorkerError::Call(_) | WorkerError::UnexpectedStatus(_) => {}
    }
    if last == LastPoll::Answered {
        info!(target: kind::WORKER, worker = %id, %error, "worker does not answer");
        owner.cell.borrow_mut().mark_silent(id, Instant::now());
    }
    if has_lapsed(owner, id) && release_lapsed(owner, id) {
        return PollOutcome::Abandon(Loss::Lapsed);
    }
    PollOutcome::Retry
}

/// Waits until the ends that a worker reported are durable; an earlier poll would return the same ends at once. The
/// wait is bounded, because the worker's lease must be extended in time.
async fn wait_acknowledged(owner: &Owner, worker: &str, report: &Report) {
    let Some(last) = report.ended.iter().map(|end| end.number).max() else {
        return;
    };
    let until = time::Instant::now() + ACKNOWLEDGE_TIMEOUT;
    while owner.is_alive() && time::Instant::now() < until {
        let acknowledged = owner
            .contacts
            .borrow()
            .get(worker)
            .map_or(u64::MAX, |c| c.acknowledged);
        if acknowledged >= last {
            return;
        }
        // A timeout only means that nothing has become durable in the meantime.
        let _ = time::timeout_at(until, owner.state_changed.notified()).await;
    }
}

/// Returns whether a worker's lease has certainly expired.
fn has_lapsed(owner: &Owner, id: &str) -> bool {
    let contacts = owner.contacts.borrow();
    contacts
        .get(id)
        .is_none_or(|contact| contact.lease_until < Instant::now())
}

/// Returns whether a worker may have runs.
fn has_runs(owner: &Owner, id: &str) -> bool {
    let cell = owner.cell.borrow();
    let worker = cell.workers.get(id);
    worker.is_some_and(|worker| !worker.runs.is_empty())
}

/// Returns whether runs that this incarnation was ordered to start may still begin or go on at another one.
fn may_have_unreported(owner: &Owner, id: &str) -> bool {
    let until = owner.cell.borrow().unreported_until(id);
    until.is_some_and(|until| Instant::now() < until)
}

/// Frees the tasks of a worker whose lease has expired, since nothing can run there any more. Returns whether the
/// worker can be abandoned: it is no longer known, or it is draining and its starts can have no effect any more.
fn release_lapsed(owner: &Rc<Owner>, id: &str) -> bool {
    let Some(info) = orders::find_worker(owner, id) else {
        return true;
    };
    // Runs sent to the earlier incarnations may have reached this one, where their leases have expired as well.
    let mut former = owner.cell.borrow().former_incarnations(id);
    let unreported = iter::once(id).chain(former.iter().map(|former| &**former));
    let unreported = unreported
        .filter(|id| may_have_unreported(owner, id))
        .count();
    if info.draining && unreported == 0 {
        return true;
    }
    if has_runs(owner, id) {
        abandon_runs(owner, id);
    }
    former.retain(|incarnation| !may_have_unreported(owner, incarnation));
    for incarnation in former {
        abandon_worker(owner, &incarnation, Loss::Ended);
    }
    false
}
