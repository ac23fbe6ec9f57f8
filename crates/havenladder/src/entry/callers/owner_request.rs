//! Puts what a caller wants to the owner, wherever it is, and writes the answer.

use super::reply;
use crate::entry::{
    follow,
    listen::Reply,
    node::{IncarnationId, Node},
    peer::{self, CallerRequest, PeerRequest, PeerResponse},
    suspension,
};
use adapter::{
    callers::{write_pending, write_state},
    http::CallError,
    operator::Version,
};
use clock::{Instant, timer};
use hyper::{StatusCode, header};
use std::{rc::Rc, time::Duration};
use tokio::time;
use tracing::info;

/// Part of the caller's time after which an entry gives a request up that no owner has answered: the rest
/// is for the way back, and for another try at another entry. Under half, so that one more try fits.
const WAIT_SHARE: f64 = 0.4;

/// What is kept of that time for the owner's answer to come back: 2 to 10 ms as a rule, several times that
/// while the owner is busy. An owner that gives a job back later than its entry waits would do so in vain.
const RESPONSE_RESERVE: Duration = Duration::from_millis(100);

/// Time until an owner that was not there is looked for again.
const RETRY_INTERVAL: Duration = Duration::from_millis(40);

/// The longest time after which a caller is told to come back, in seconds: what waits then is not known now.
const MAX_RETRY_AFTER: u64 = 10;

/// How long a configuration that the owner knows may be on its way here before this entry looks for it: a large one takes
/// 0.2 s on the weakest entries' links.
const CONFIG_ARRIVAL_TIMEOUT: Duration = Duration::from_millis(300);

/// What became of a question to the owner.
pub(super) enum OwnerReply {
    /// The answer for the caller.
    Final(Reply),
    /// The owner knows a newer configuration, which this entry knows now as well: the call is to be judged anew.
    Outdated {
        /// Whether it may have been done before, by the configuration that was in force then.
        may_have_run: bool,
    },
}

/// Puts a question to the owner, wherever it is, until the caller's time gets short; a suspension of the machine
/// counts.
///
/// `sent` says whether the same may have been done before.
pub(super) async fn request_owner(
    node: &Rc<Node>,
    request: CallerRequest,
    may_have_run: bool,
    deadline: Instant,
) -> OwnerReply {
    tokio::select! {
        answer = request_until(node, request, may_have_run, deadline) => answer,
        never = suspension::check_periodically(node) => match never {},
    }
}

/// The same, as far as waits are ended that a suspension has outlasted.
async fn request_until(
    node: &Rc<Node>,
    mut request: CallerRequest,
    mut may_have_run: bool,
    deadline: Instant,
) -> OwnerReply {
    let now = Instant::now();
    let abandon_at = now + (deadline - now).mul_f64(WAIT_SHARE);
    loop {
        let left = abandon_at.saturating_duration_since(Instant::now());
        request.set_left(left.saturating_sub(RESPONSE_RESERVE));
        let response = match node.as_owner() {
            Some(owner) => {
                let answer = timer::timeout_at(abandon_at, owner.handle(request.clone())).await;
                answer.unwrap_or(PeerResponse::Unsure)
            }
            None if node.cut_off.get() => {
                return OwnerReply::Final(close_connection(&request, may_have_run));
            }
            None => forward(node, &request, abandon_at).await,
        };
        may_have_run |= response == PeerResponse::Unsure;
        match next_step(&response, may_have_run) {
            NextStep::Reply(reply) => return OwnerReply::Final(reply),
            NextStep::Refuse => return OwnerReply::Final(refuse(&request, may_have_run)),
            NextStep::Reauthenticate(version)
                if wait_for_version(node, version, abandon_at).await =>
            {
                return OwnerReply::Outdated { may_have_run };
            }
            NextStep::Reauthenticate(_) => {
                return OwnerReply::Final(refuse(&request, may_have_run));
            }
            NextStep::Retry => {}
        }
        if Instant::now() >= abandon_at {
            return OwnerReply::Final(refuse(&request, may_have_run));
        }
        let _ = time::timeout(RETRY_INTERVAL, node.lease_changed.notified()).await;
    }
}

/// Waits until this entry knows a version of the configuration; false if it does not in time. It is on its way as a rule:
/// only where it does not come does the entry look for it.
async fn wait_for_version(node: &Rc<Node>, version: Version, until: Instant) -> bool {
    let refresh_at = Instant::now() + CONFIG_ARRIVAL_TIMEOUT;
    while node.in_force.borrow().version() < version {
        let now = Instant::now();
        if now >= until {
            return false;
        }
        if now >= refresh_at {
            follow::refresh_soon(node);
        }
        time::sleep(RETRY_INTERVAL).await;
    }
    true
}

/// Puts a question to the entry that owns the cell.
async fn forward(node: &Rc<Node>, request: &CallerRequest, deadline: Instant) -> PeerResponse {
    let lease = node.lease.borrow().clone();
    let Some(lease) =
        lease.filter(|lease| lease.incarnation != node.incarnation && !lease.released)
    else {
        return PeerResponse::NotOwner;
    };
    let ask = PeerRequest::Caller(Box::new(request.clone()));
    let answer = tokio::select! {
        answer = peer::call(node, &lease.address, &ask, deadline) => answer,
        () = node.reach_changed.notified() => Err(CallError::Unanswered),
        () = wait_until_replaced(node, lease.incarnation) => Err(CallError::Unanswered),
    };
    match answer {
        Ok(response) => {
            node.suspected_owner.set(None);
            response
        }
        Err(CallError::Refused) => {
            suspect_owner(node, lease.incarnation);
            PeerResponse::NotOwner
        }
        Err(error) => {
            node.reach_due.notify_one();
            if error.is_unsent() {
                PeerResponse::NotOwner
            } else {
                PeerResponse::Unsure
            }
        }
    }
}

/// Waits until an owner has been replaced, and for as long again as an answer that is on its way takes: one that stands still
/// answers nobody, while the next one may do so in time.
async fn wait_until_replaced(node: &Node, incarnation: IncarnationId) {
    loop {
        let changed = node.lease_changed.notified();
        let lease = node.lease.borrow().as_ref().map(|lease| lease.incarnation);
        if lease != Some(incarnation) {
            break;
        }
        changed.await;
    }
    time::sleep(RESPONSE_RESERVE).await;
}

/// The owner's port refuses connections. Where it does so twice in a row, 40 ms apart, its process has
/// ended, and nobody needs to wait for its lease to run out.
fn suspect_owner(node: &Node, incarnation: IncarnationId) {
    if node.suspected_owner.replace(Some(incarnation)) == Some(incarnation)
        && node.ended_owner.get() != Some(incarnation)
    {
        info!(life = incarnation, "the owner's process has ended");
        node.ended_owner.set(Some(incarnation));
        node.claim_due.notify_one();
    }
}

/// What follows from the owner's answer.
enum NextStep {
    /// This is the answer for the caller.
    Reply(Reply),
    /// The caller is told that the job is not taken, or, where it may be, that this is not known.
    Refuse,
    /// The call is to be judged by this version of the configuration.
    Reauthenticate(Version),
    /// The owner has to be asked again.
    Retry,
}

/// What follows from the owner's answer; `sent` says whether the same may have been done before. A reason for which a job is
/// not taken says that nothing of it runs: that is not certain after an attempt without an answer, which may still be
/// carried out.
fn next_step(response: &PeerResponse, may_have_run: bool) -> NextStep {
    match response {
        PeerResponse::Accepted | PeerResponse::Cancelled => {
            NextStep::Reply(reply(StatusCode::OK, "{}"))
        }
        PeerResponse::Refused => NextStep::Refuse,
        PeerResponse::TooLate(_) | PeerResponse::TooLarge if may_have_run => NextStep::Refuse,
        PeerResponse::TooLate(ms) => NextStep::Reply(reject(*ms)),
        PeerResponse::TooLarge => NextStep::Reply(reply(
            StatusCode::BAD_REQUEST,
            "{\"error\":\"the job can never run under its workspace's bound\"}",
        )),
        PeerResponse::Unknown => NextStep::Reply(reply(StatusCode::GONE, "")),
        PeerResponse::State(phase) => NextStep::Reply(reply(StatusCode::OK, write_state(*phase))),
        PeerResponse::Pending(count) => {
            NextStep::Reply(reply(StatusCode::OK, write_pending(*count)))
        }
        PeerResponse::Outdated(version) => NextStep::Reauthenticate(*version),
        PeerResponse::NotOwner
        | PeerResponse::HandedOver
        | PeerResponse::Incarnation(_)
        | PeerResponse::Outage { .. }
        | PeerResponse::Update(_)
        | PeerResponse::Assignment(_)
        | PeerResponse::Replication(_)
        | PeerResponse::Unsure => NextStep::Retry,
    }
}

/// The answer to a job for which there is no room in time: when to come back. Callers that were told at one moment are
/// spread over as long again, so that they do not all come for the room that one of them can have.
fn reject(ms: u64) -> Reply {
    let spread = rand::random_range(0..=ms);
    let seconds = (ms + spread).div_ceil(1_000).clamp(1, MAX_RETRY_AFTER);
    let mut reply = reply(
        StatusCode::TOO_MANY_REQUESTS,
        "{\"error\":\"it would be done too late\"}",
    );
    reply
        .headers_mut()
        .insert(header::RETRY_AFTER, header::HeaderValue::from(seconds));
    reply
}

/// The answer of an entry that is cut off: the caller is to connect anew, to an entry that is not.
fn close_connection(request: &CallerRequest, may_have_run: bool) -> Reply {
    let mut reply = refuse(request, may_have_run);
    let close = header::HeaderValue::from_static("close");
    reply.headers_mut().insert(header::CONNECTION, close);
    reply
}

/// A job that may have been kept is never said to be refused.
fn refuse(request: &CallerRequest, may_have_run: bool) -> Reply {
    info!(ask = %request, sent = may_have_run, "given up");
    let status = if may_have_run {
        StatusCode::GATEWAY_TIMEOUT
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    reply(status, "")
}
