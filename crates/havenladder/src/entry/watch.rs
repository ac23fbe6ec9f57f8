//! Watches the lives of workers: what each says of its runs, until it is over.

use super::{
    ends,
    losses::{give_up, give_up_runs},
    orders,
    owner::{FencingToken, Owner, max_lease_duration},
    questions::{Answer, Answers, ask_worker, question},
    worker_list::{meet, note_gone},
};
use adapter::{
    http::CallError,
    workers::{ClockMs, WorkerError},
};
use clock::Instant;
use jobs::{Hearing, Loss, Refusal, Report, WorkerId};
use std::{rc::Rc, time::Duration};
use tokio::{task, time};
use tracing::info;

/// The least time between two questions to one worker: each has a price, and ends that come close
/// together share one.
const HOLD_GAP: Duration = Duration::from_millis(20);

/// How long a question waits for the ends of the one before to be durable, at the most.
const NOTED_WAIT: Duration = Duration::from_millis(700);

/// Time until a worker that did not answer is asked again.
const HOLD_AGAIN: Duration = Duration::from_millis(150);

/// Notes what a worker's clock shows.
pub fn set_clock(owner: &Owner, worker: &str, clock: ClockMs, now: Instant) {
    if let Some(contact) = owner.contacts.borrow_mut().get_mut(worker) {
        contact.clock = Some((clock, now));
    }
}

/// Notes that a life of a worker has answered a question, and what its clock shows.
fn note_answer(owner: &Owner, id: &str, clock: ClockMs, now: Instant) {
    if let Some(contact) = owner.contacts.borrow_mut().get_mut(id) {
        contact.clock = Some((clock, now));
        contact.last_answer = Some(now);
    }
}

/// Whether a life of a worker is asked again.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Watch {
    /// It is.
    GoesOn,
    /// It is, but its answer says nothing.
    Again,
    /// It is not: another life has answered in its place, which tells what becomes of its runs.
    Succeeded,
    /// It is not: it is given up for this reason, if the owner still decides.
    Ends(Loss),
}

/// Asks a life of a worker what it runs, again and again, and extends its lease by that.
pub async fn watch(owner: Rc<Owner>, id: WorkerId) {
    let mut last = Answers::Given;
    let mut end = Watch::Ends(Loss::Ended);
    while owner.is_alive() {
        let Some(info) = orders::find(&owner, &id) else {
            break;
        };
        if !owner.may_hold() {
            time::sleep(HOLD_AGAIN).await;
            continue;
        }
        let hold = question(&owner, &id, last);
        let next = match ask_worker(&owner, &info, hold).await {
            Ok(answer) => {
                let next = take_answer(&owner, &id, &answer);
                if next == Watch::GoesOn && hold.deadline.is_some() {
                    time::sleep(HOLD_GAP).await;
                    wait_noted(&owner, &id, &answer.told.value).await;
                }
                next
            }
            Err(error) => {
                let next = take_failure(&owner, &id, hold.fencing_token, error, last);
                if next == Watch::Again {
                    time::sleep(HOLD_AGAIN).await;
                }
                next
            }
        };
        match next {
            Watch::GoesOn => last = Answers::Given,
            Watch::Again => last = Answers::Missing,
            Watch::Succeeded | Watch::Ends(_) => {
                end = next;
                break;
            }
        }
    }
    if owner.is_alive() {
        if let Watch::Ends(loss) = end {
            give_up_with_former(&owner, &id, loss);
        }
        owner.contacts.borrow_mut().remove(&id);
    }
}

/// Gives a life of a worker up, and with it those before it that waited for what it would say of their runs.
fn give_up_with_former(owner: &Rc<Owner>, id: &WorkerId, loss: Loss) {
    let former = owner.cell.borrow().former(id);
    give_up(owner, id, loss);
    for life in former {
        give_up(owner, &life, Loss::Ended);
    }
}

/// Asks a worker once, beside the questions that wait for ends and without extending its lease: its answer
/// shows that it is in reach.
pub fn look(owner: &Rc<Owner>, id: &WorkerId) {
    let owner = Rc::clone(owner);
    let id = id.clone();
    task::spawn_local(async move {
        let Some(info) = orders::find(&owner, &id) else {
            return;
        };
        let hold = question(&owner, &id, Answers::Missing);
        match ask_worker(&owner, &info, hold).await {
            // What follows for the watch shows in its next answer.
            Ok(answer) => drop(take_answer(&owner, &id, &answer)),
            // The questions that wait for ends deal with it.
            Err(error) => info!(worker = %id, %error, "worker does not answer a look"),
        }
    });
}

/// Takes in the answer to a question, if it is one of the life that was asked.
fn take_answer(owner: &Rc<Owner>, id: &WorkerId, answer: &Answer) -> Watch {
    let now = Instant::now();
    let Answer { asked, told } = answer;
    let hearing = owner
        .cell
        .borrow_mut()
        .hear(id, told.started_at, *asked, now);
    match hearing {
        Hearing::Same { began } => {
            if began {
                note_restart(owner, id, now);
            }
            take_report(owner, id, answer, now);
            Watch::GoesOn
        }
        Hearing::Overtaken => {
            info!(worker = %id, "answer of an earlier life was overtaken");
            Watch::Again
        }
        Hearing::Over { next, began } => {
            if !owner.contacts.borrow().contains_key(&next) {
                meet(owner, next.clone(), owner.inherited_leases_until);
            }
            if began {
                note_restart(owner, &next, now);
            }
            owner.wake();
            Watch::Succeeded
        }
    }
}

/// A life of a worker answers in the place of another one. It may have taken calls with deadlines by the clock of that
/// one, so that its lease may be the longest there is.
fn note_restart(owner: &Owner, id: &WorkerId, now: Instant) {
    info!(worker = %id, "worker has started again");
    owner.node.metrics.restarted_worker();
    let leased = now + max_lease_duration(owner.node.settings.max_worker_lease);
    if let Some(contact) = owner.contacts.borrow_mut().get_mut(id) {
        contact.lease_until = contact.lease_until.max(leased);
    }
}

/// Takes in what a life of a worker says of its runs. Those before it are over with that.
fn take_report(owner: &Rc<Owner>, id: &WorkerId, answer: &Answer, now: Instant) {
    let Answer { asked, told } = answer;
    note_answer(owner, id, told.clock, now);
    ends::log_listed(owner, id, &told.value);
    let mut cell = owner.cell.borrow_mut();
    let vanished = cell.report(id, &told.value, *asked, now);
    let outlived = cell.outlived(id, *asked);
    drop(cell);
    ends::log_vanished(owner, id, &vanished);
    for life in outlived {
        give_up(owner, &life, Loss::Ended);
    }
    owner.wake();
}

/// Draws from a question that failed what is certain about the worker.
fn take_failure(
    owner: &Rc<Owner>,
    id: &WorkerId,
    fence: FencingToken,
    error: WorkerError,
    last: Answers,
) -> Watch {
    match error {
        WorkerError::Replaced => {
            info!(worker = %id, "another worker has its address");
            note_gone(owner, id);
            return Watch::Ends(Loss::Ended);
        }
        WorkerError::Refused(Refusal::Fenced) if owner.has_raised_token(id, fence) => {
            return Watch::Again;
        }
        WorkerError::Refused(Refusal::Fenced) => {
            owner.end("a worker has seen a newer owner");
            return Watch::Ends(Loss::Lapsed);
        }
        WorkerError::Call(CallError::Refused) => {
            owner.cell.borrow_mut().note_refusal(id, Instant::now());
        }
        WorkerError::Refused(_) | WorkerError::Call(_) | WorkerError::UnexpectedStatus(_) => {}
    }
    if last == Answers::Given {
        info!(worker = %id, %error, "worker does not answer");
        owner.cell.borrow_mut().mute_worker(id, Instant::now());
    }
    if has_lapsed(owner, id) && release_lapsed(owner, id) {
        return Watch::Ends(Loss::Lapsed);
    }
    Watch::Again
}

/// Waits until the ends that a worker listed are durable: until then, it would list them again at
/// once. Its lease must be extended meanwhile, so the wait is bounded.
async fn wait_noted(owner: &Owner, worker: &str, report: &Report) {
    let Some(last) = report.ended.iter().map(|end| end.number).max() else {
        return;
    };
    let until = time::Instant::now() + NOTED_WAIT;
    while owner.is_alive() && time::Instant::now() < until {
        let noted = owner
            .contacts
            .borrow()
            .get(worker)
            .map_or(u64::MAX, |c| c.acknowledged);
        if noted >= last {
            return;
        }
        // A timeout only means that nothing has become durable for so long.
        let _ = time::timeout_at(until, owner.state_changed.notified()).await;
    }
}

/// Whether the lease of a worker has run out for certain.
fn has_lapsed(owner: &Owner, id: &str) -> bool {
    let contacts = owner.contacts.borrow();
    contacts
        .get(id)
        .is_none_or(|contact| contact.lease_until < Instant::now())
}

/// Whether a worker may have runs.
fn has_runs(owner: &Owner, id: &str) -> bool {
    let cell = owner.cell.borrow();
    let worker = cell.workers.get(id);
    worker.is_some_and(|worker| !worker.runs.is_empty())
}

/// Nothing runs on a worker whose lease has run out: its tasks are free. True if the worker is also
/// gone from the list.
fn release_lapsed(owner: &Rc<Owner>, id: &str) -> bool {
    if orders::find(owner, id).is_none_or(|info| info.draining) {
        return true;
    }
    if has_runs(owner, id) {
        give_up_runs(owner, id);
    }
    // What was on its way to them may have come here, and has run out as well.
    let former = owner.cell.borrow().former(id);
    for life in former {
        give_up(owner, &life, Loss::Ended);
    }
    false
}
