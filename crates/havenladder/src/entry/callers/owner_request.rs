//! Forwards a caller's request to the owner, wherever it is, and creates the response to the
//! caller.

use super::{close, reply};
use crate::entry::{
    logs::kind,
    node::{IncarnationId, Node},
    peer::{self, CallerRequest, PeerRequest, PeerResponse},
    refresh, stop, suspension,
};
use adapter::{
    callers::{write_pending, write_state},
    http::CallError,
    operator::Version,
};
use clock::{Instant, timer};
use hyper::{StatusCode, header};
use ingress::Reply;
use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::time;
use tracing::info;

/// Share of the caller's time after which an entry abandons a request that no owner has answered.
/// The rest is for the response and for another attempt at another entry. It is less than half, so
/// that one more attempt fits.
const WAIT_SHARE: f64 = 0.4;

/// Time reserved for the owner's response to arrive. It usually takes 2 to 10 ms, and several times
/// that while the owner is busy. Without the reserve, an owner could withdraw a job in vain,
/// because the entry would have stopped waiting and reported the outcome as unknown.
const RESPONSE_RESERVE: Duration = Duration::from_millis(100);

/// Delay before a request is sent again to an owner that was not found.
const RETRY_INTERVAL: Duration = Duration::from_millis(40);

/// Maximum time in s that a response gives a caller for its retry. Which jobs will be waiting after
/// a longer time is not known now.
const MAX_RETRY_AFTER: u64 = 10;

/// Time for which a configuration that the owner knows may be in transit before this entry requests
/// it. A large one takes 0.2 s on the weakest entries' links.
const CONFIG_ARRIVAL_TIMEOUT: Duration = Duration::from_millis(300);

/// Outcome of a request to the owner.
pub(super) enum OwnerReply {
    /// The response to the caller.
    Final(Reply),
    /// The owner knows a newer configuration, which this entry has received since. The call has to
    /// be authenticated again.
    Outdated {
        /// Whether the operation may have been carried out before, under the earlier configuration.
        may_have_run: bool,
    },
}

/// Sends a request to the owner, wherever it is, until the caller's time runs short or this process is about to end. A
/// suspension of the machine counts towards that time.
///
/// `may_have_run` says whether the operation may have been carried out before.
pub(super) async fn request_owner(
    node: &Rc<Node>,
    mut request: CallerRequest,
    may_have_run: bool,
    deadline: Instant,
) -> OwnerReply {
    let may_have_run = Cell::new(may_have_run);
    tokio::select! {
        biased;
        () = stop::wait_until_answer_due(node) => {
            OwnerReply::Final(refuse(&request, may_have_run.get()))
        }
        response = request_until(node, &mut request, &may_have_run, deadline) => response,
        never = suspension::check_periodically(node) => match never {},
    }
}

/// Sends a request as [`request_owner`] does, but relies on its caller to check for suspensions: only
/// [`suspension::check`] ends a wait whose time has passed during one.
///
/// `may_have_run` is also set while the owner has not answered.
async fn request_until(
    node: &Rc<Node>,
    request: &mut CallerRequest,
    may_have_run: &Cell<bool>,
    deadline: Instant,
) -> OwnerReply {
    let now = Instant::now();
    let abandon_at = now + (deadline - now).mul_f64(WAIT_SHARE);
    loop {
        let left = abandon_at.saturating_duration_since(Instant::now());
        request.set_left(left.saturating_sub(RESPONSE_RESERVE));
        let ran_before = may_have_run.replace(true);
        let response = match node.as_owner() {
            Some(owner) => {
                let response = timer::timeout_at(abandon_at, owner.handle(request.clone())).await;
                response.unwrap_or(PeerResponse::Unsure)
            }
            None if node.cut_off.get() => {
                return OwnerReply::Final(refuse_and_close(request, ran_before));
            }
            None => forward(node, request, abandon_at).await,
        };
        let in_doubt = ran_before || response == PeerResponse::Unsure;
        may_have_run.set(in_doubt);
        match next_step(&response, in_doubt) {
            NextStep::Reply(reply) => return OwnerReply::Final(reply),
            NextStep::Refuse => return OwnerReply::Final(refuse(request, in_doubt)),
            NextStep::Reauthenticate(version)
                if wait_for_version(node, version, abandon_at).await =>
            {
                return OwnerReply::Outdated {
                    may_have_run: in_doubt,
                };
            }
            NextStep::Reauthenticate(_) => {
                return OwnerReply::Final(refuse(request, in_doubt));
            }
            NextStep::Retry => {}
        }
        if Instant::now() >= abandon_at {
            return OwnerReply::Final(refuse(request, in_doubt));
        }
        let _ = time::timeout(RETRY_INTERVAL, node.lease_changed.notified()).await;
    }
}

/// Waits until this entry knows a version of the configuration, and returns false if it does not in
/// time. The version is usually in transit, so that it is only requested if it does not arrive.
async fn wait_for_version(node: &Rc<Node>, version: Version, until: Instant) -> bool {
    let refresh_at = Instant::now() + CONFIG_ARRIVAL_TIMEOUT;
    while node.in_force.borrow().version() < version {
        let now = Instant::now();
        if now >= until {
            return false;
        }
        if now >= refresh_at {
            refresh::refresh_soon(node);
        }
        time::sleep(RETRY_INTERVAL).await;
    }
    true
}

/// Sends a request to the entry that owns the cell.
async fn forward(node: &Rc<Node>, request: &CallerRequest, deadline: Instant) -> PeerResponse {
    let lease = node.lease.borrow().clone();
    let Some(lease) =
        lease.filter(|lease| lease.incarnation != node.incarnation && !lease.released)
    else {
        return PeerResponse::NotOwner;
    };
    let peer_request = PeerRequest::Caller(Box::new(request.clone()));
    let response = tokio::select! {
        response = peer::call(node, &lease.address, &peer_request, deadline) => response,
        () = node.reach_changed.notified() => Err(CallError::Unanswered),
        () = wait_until_replaced(node, lease.incarnation) => Err(CallError::Unanswered),
    };
    match response {
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

/// Waits until an owner has been replaced, and then for as long as a response in transit may take.
/// The request can then be sent to the next owner in time, even if the replaced one is paused and
/// never answers.
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

/// Suspects an owner whose port refuses connections. If it does so twice in a row, 40 ms apart, its
/// process has ended, and its lease may be claimed before it expires.
fn suspect_owner(node: &Node, incarnation: IncarnationId) {
    if node.suspected_owner.replace(Some(incarnation)) == Some(incarnation)
        && node.ended_owner.get() != Some(incarnation)
    {
        info!(life = incarnation, "the owner's process has ended");
        node.ended_owner.set(Some(incarnation));
        node.claim_due.notify_one();
    }
}

/// Next step after a response of the owner.
enum NextStep {
    /// Send this response to the caller.
    Reply(Reply),
    /// Report to the caller that the request is refused, or that its outcome is not known if it may
    /// have been carried out.
    Refuse,
    /// Authenticate the call with this version of the configuration.
    Reauthenticate(Version),
    /// Send the request to the owner again.
    Retry,
}

/// Returns the next step after a response of the owner. `may_have_run` says whether the operation
/// may have been carried out before. If so, the caller does not get the reason why a job is rejected:
/// it would imply that nothing of the job runs, but an earlier attempt may still be carried out.
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

/// Creates the response to a job for which there is no capacity in time, with the time after which
/// to retry. That time is spread at random up to twice its value, so that callers that were
/// rejected together do not all return for the capacity that one of them can have.
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

/// Creates the response of an entry that is cut off. The caller should connect again, to another
/// entry.
fn refuse_and_close(request: &CallerRequest, may_have_run: bool) -> Reply {
    close(refuse(request, may_have_run))
}

/// Creates the response to a request that could not be completed. A job that may have been accepted
/// is never reported as refused.
fn refuse(request: &CallerRequest, may_have_run: bool) -> Reply {
    info!(target: kind::REQUEST, ask = %request, sent = may_have_run, "given up");
    let status = if may_have_run {
        StatusCode::GATEWAY_TIMEOUT
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    reply(status, "")
}
