//! Takes the calls of consumers and of the platform's balancer.

use super::{
    inner::{self, Ask, Tell},
    listen::{self, Reply, accept_each},
    node::{LifeId, Node, wall_ms},
    suspension,
};
use adapter::{
    callers::{HEADER_DEADLINE, read_id, read_job, write_pending, write_state},
    http::CallError,
    operator::Queue,
};
use bytes::Bytes;
use clock::{Instant, timer};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request, Response, StatusCode, body::Incoming, header, server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use jobs::{JobId, Submission};
use std::{convert::Infallible, pin::pin, rc::Rc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    time,
};
use tracing::{info, warn};

/// The longest body of a job; the platform's pages name 262,144 bytes.
const LONGEST: usize = 262_144;

/// How long a caller waits if it does not say.
const DEADLINE: Duration = Duration::from_millis(3_000);

/// Part of the caller's time after which an entry gives a request up that no owner has answered: the rest
/// is for the way back, and for another try at another entry. Under half, so that one more try fits.
const ANSWER_SHARE: f64 = 0.4;

/// What is kept of that time for the owner's answer to come back: 2 to 10 ms as a rule, several times that
/// while the owner is busy. An owner that gives a job back later than its entry waits would do so in vain.
const WAY_BACK: Duration = Duration::from_millis(100);

/// Time until an owner that was not there is looked for again.
const RETRY_INTERVAL: Duration = Duration::from_millis(40);

/// When a caller that was refused is to come back, in seconds: an owner is found within 3.
const RETRY_AFTER: &str = "1";

/// Takes the connections of consumers.
pub async fn listen(node: Rc<Node>, listener: TcpListener) {
    let failed = |error| warn!(%error, "no connection of a caller could be taken");
    accept_each(listener, failed, |stream| serve(Rc::clone(&node), stream)).await;
}

/// Serves a caller; when the process is to stop, the request under way is the last.
async fn serve(node: Rc<Node>, stream: TcpStream) {
    // Without this, answers are only slower.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| count(Rc::clone(&node), request));
    let builder = http1::Builder::new().timer(TokioTimer::new()).clone();
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        // A caller that breaks off is met in its request.
        _ = connection.as_mut() => return,
        () = node.stop.notified() => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// Answers a request and counts it.
async fn count(node: Rc<Node>, request: Request<Incoming>) -> Result<Reply, Infallible> {
    node.in_flight.set(node.in_flight.get() + 1);
    let began = Instant::now();
    let method = request.method().clone();
    let reply = handle(&node, request).await;
    node.metrics
        .answered(method.as_str(), reply.status().as_u16(), began.elapsed());
    node.in_flight.set(node.in_flight.get() - 1);
    Ok(reply)
}

/// Answers whether the entry takes callers.
pub async fn listen_ready(node: Rc<Node>, listener: TcpListener) {
    let answer = |stream| {
        let node = Rc::clone(&node);
        listen::serve(stream, move |_| ready(Rc::clone(&node)))
    };
    // The balancer asks again every second.
    accept_each(listener, drop, answer).await;
}

/// Whether the entry takes callers: it has a configuration, is not cut off and is not to stop.
async fn ready(node: Rc<Node>) -> Reply {
    let ready = node.config().is_some() && !node.cut_off.get() && !node.stopping.get();
    let status = if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    reply(status, "")
}

/// A reply in JSON; one that asks the caller to come back says when.
fn reply(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    let body = body.into();
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    if status == StatusCode::SERVICE_UNAVAILABLE {
        let after = header::HeaderValue::from_static(RETRY_AFTER);
        response.headers_mut().insert(header::RETRY_AFTER, after);
    }
    response
}

/// A header's text; empty if there is none.
fn text<'a>(request: &'a Request<Incoming>, name: &str) -> &'a str {
    request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
}

/// Until when the caller waits, by its header; one that asks for too long is not believed.
fn deadline(request: &Request<Incoming>, now: Instant) -> Instant {
    let ms = text(request, HEADER_DEADLINE)
        .parse()
        .map_or(DEADLINE, Duration::from_millis);
    now + ms.min(DEADLINE * 20)
}

/// Answers a request, by its queue, method and job.
async fn handle(node: &Rc<Node>, request: Request<Incoming>) -> Reply {
    let deadline = deadline(&request, Instant::now());
    let Some(config) = node.config() else {
        return reply(StatusCode::SERVICE_UNAVAILABLE, "");
    };
    let path = request.uri().path().to_owned();
    let Some(queue) = config.queue(text(&request, "host"), &path) else {
        return reply(StatusCode::NOT_FOUND, "");
    };
    let rest = &path[queue.prefix.len()..];
    if request.method() == Method::GET && rest.is_empty() {
        return ask(node, Ask::Pending(queue.name.clone()), deadline).await;
    }
    let Some(id) = read_id(rest) else {
        return reply(
            StatusCode::BAD_REQUEST,
            "{\"error\":\"a job's id is 16 hex digits\"}",
        );
    };
    match *request.method() {
        Method::GET => ask(node, Ask::State(id), deadline).await,
        Method::DELETE => ask(node, Ask::Cancel(id), deadline).await,
        Method::POST => submit(node, queue, id, request.into_body(), deadline).await,
        _ => reply(StatusCode::METHOD_NOT_ALLOWED, ""),
    }
}

/// Reads a job and hands it to the owner.
async fn submit(
    node: &Rc<Node>,
    queue: &Queue,
    id: JobId,
    body: Incoming,
    deadline: Instant,
) -> Reply {
    let Ok(body) = Limited::new(body, LONGEST).collect().await else {
        return reply(StatusCode::PAYLOAD_TOO_LARGE, "");
    };
    match read_submission(queue, id, &body.to_bytes()) {
        Ok(given) => {
            let submit = Ask::Submit { given, within: 0 };
            ask(node, submit, deadline).await
        }
        Err(why) => {
            info!(job = format!("{id:016x}"), why, "not taken");
            let body = serde_json::json!({ "error": why }).to_string();
            reply(StatusCode::BAD_REQUEST, body)
        }
    }
}

/// Reads the body of a job for a queue.
///
/// # Errors
///
/// Says what is wrong with it, for its caller.
fn read_submission(queue: &Queue, id: JobId, body: &[u8]) -> Result<Submission, String> {
    let spec = read_job(body).map_err(|error| error.to_string())?;
    spec.check().map_err(|error| error.to_string())?;
    Ok(Submission {
        id,
        queue: queue.name.clone(),
        service: queue.service.clone(),
        priority: queue.priority,
        attempts: queue.attempts,
        permits: queue.permits,
        at: wall_ms(),
        stretch: queue.stretch,
        slack: queue.slack,
        spec,
    })
}

/// Puts a question to the owner, wherever it is, until the caller's time gets short; a suspension of the machine
/// counts.
async fn ask(node: &Rc<Node>, ask: Ask, deadline: Instant) -> Reply {
    tokio::select! {
        reply = ask_in_time(node, ask, deadline) => reply,
        never = suspension::watch(node) => match never {},
    }
}

/// The same, as far as waits are ended that a suspension has outlasted.
async fn ask_in_time(node: &Rc<Node>, mut ask: Ask, deadline: Instant) -> Reply {
    let now = Instant::now();
    let give_up = now + (deadline - now).mul_f64(ANSWER_SHARE);
    let mut sent = false;
    loop {
        let left = give_up.saturating_duration_since(Instant::now());
        ask.set_left(left.saturating_sub(WAY_BACK));
        let tell = match node.own() {
            Some(owner) => {
                let answer = timer::timeout_at(give_up, owner.answer(ask.clone())).await;
                answer.unwrap_or(Tell::Unsure)
            }
            None if node.cut_off.get() => return turn_away(&ask, sent),
            None => forward(node, &ask, give_up).await,
        };
        sent |= tell == Tell::Unsure;
        if tell == Tell::Refused {
            return refuse(&ask, sent);
        }
        if let Some(reply) = write(&tell) {
            return reply;
        }
        if Instant::now() >= give_up {
            return refuse(&ask, sent);
        }
        let _ = time::timeout(RETRY_INTERVAL, node.lease_changed.notified()).await;
    }
}

/// Puts a question to the entry that owns the cell.
async fn forward(node: &Rc<Node>, ask: &Ask, deadline: Instant) -> Tell {
    let lease = node.lease.borrow().clone();
    let Some(lease) = lease.filter(|lease| lease.life != node.life && !lease.released) else {
        return Tell::NotOwner;
    };
    let answer = tokio::select! {
        answer = inner::ask(node, &lease.address, ask, deadline) => answer,
        () = node.reach_changed.notified() => Err(CallError::Unanswered),
    };
    match answer {
        Ok(tell) => {
            node.suspect.set(None);
            tell
        }
        Err(CallError::Refused) => {
            suspect(node, lease.life);
            Tell::NotOwner
        }
        Err(error) => {
            node.reach_due.notify_one();
            if error.is_unsent() {
                Tell::NotOwner
            } else {
                Tell::Unsure
            }
        }
    }
}

/// The owner's port refuses connections. Where it does so twice in a row, 40 ms apart, its process has
/// ended, and nobody needs to wait for its lease to run out.
fn suspect(node: &Node, life: LifeId) {
    if node.suspect.replace(Some(life)) == Some(life) && node.refused.get() != Some(life) {
        info!(life, "the owner's process has ended");
        node.refused.set(Some(life));
        node.claim_due.notify_one();
    }
}

/// The answer for a caller; none if the owner has to be asked again.
fn write(tell: &Tell) -> Option<Reply> {
    match tell {
        Tell::Accepted | Tell::Cancelled => Some(reply(StatusCode::OK, "{}")),
        Tell::Unknown => Some(reply(StatusCode::GONE, "")),
        Tell::State(phase) => Some(reply(StatusCode::OK, write_state(*phase))),
        Tell::Pending(count) => Some(reply(StatusCode::OK, write_pending(*count))),
        Tell::NotOwner
        | Tell::HandedOver
        | Tell::Life(_)
        | Tell::Refused
        | Tell::Outage { .. }
        | Tell::News(_)
        | Tell::Unsure => None,
    }
}

/// The answer of an entry that is cut off: the caller is to connect anew, to an entry that is not.
fn turn_away(ask: &Ask, sent: bool) -> Reply {
    let mut reply = refuse(ask, sent);
    let close = header::HeaderValue::from_static("close");
    reply.headers_mut().insert(header::CONNECTION, close);
    reply
}

/// A job that may have been kept is never said to be refused.
fn refuse(ask: &Ask, sent: bool) -> Reply {
    info!(ask = %ask, sent, "given up");
    let status = if sent {
        StatusCode::GATEWAY_TIMEOUT
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    reply(status, "")
}
