//! Thread that serves callers over HTTP.
//!
//! It runs `hyper` on a single-threaded runtime: slow or half-open connections occupy no thread,
//! and a caller that disconnects is noticed. [`mod@check`] holds the checks of a request and their
//! order.

mod check;

use crate::{
    context::Context,
    outcome,
    problem::{HEADER_OUTCOME, HEADER_REQUEST, Problem},
    recent::Trace,
    sync::lock,
    threads::{
        listen::{self, allowed_connections, request_limits},
        placement::{Arrival, Message, Reply, TaskResponse},
        runtime,
    },
};
use bytes::Bytes;
use check::{CheckedRequest, check};
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
};
use ingress::{Budget, Exchange, Gate, Reply as HttpResponse, Unreceived};
use serving::{Event, NotRun, NotRunReason, Outcome, RequestId};
use std::{
    net::TcpListener,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant, SystemTime},
};
use tokio::{sync::oneshot, task::LocalSet};

/// Path at which the load balancer checks whether the process is alive.
const LIVE: &str = "/live";

/// Path at which the load balancer checks whether the process accepts requests.
const READY: &str = "/ready";

/// Part of the process's descriptors that connections of callers may take: one in this many.
const DESCRIPTOR_SHARE: usize = 2;

/// Time after which a caller may retry when the entry is overloaded.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Counter for the IDs of this entry's requests.
static NEXT_REQUEST_ID: AtomicU64 = AtomicU64::new(1);

/// Serves callers until the process ends.
///
/// # Panics
///
/// Panics when the system provides no event queue, without which the process cannot work.
pub fn editors(ctx: &Arc<Context>, listener: TcpListener) {
    let runtime = runtime().expect("the system provides an event queue");
    let budget = Budget {
        connections: allowed_connections(
            "callers",
            ctx.config.editors.connections,
            DESCRIPTOR_SHARE,
        ),
        bytes: ctx.config.placement.bytes,
    };
    let limits = request_limits(&ctx.config.editors);
    let gate = Gate::new("callers", budget, limits, ctx.caller_endings.clone());
    let ctx = Arc::clone(ctx);
    let respond = move |request, exchange| handle(Arc::clone(&ctx), request, exchange);
    let served = LocalSet::new().block_on(&runtime, listen::serve(gate, listener, respond));
    served.expect("the listener is open");
}

async fn handle(ctx: Arc<Context>, request: Request<Incoming>, exchange: Exchange) -> HttpResponse {
    match request.uri().path() {
        LIVE => text(StatusCode::OK, "live\n"),
        READY if ctx.is_ready() => text(StatusCode::OK, "ready\n"),
        READY => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        _ => serve(&ctx, request, &exchange).await,
    }
}

fn text(status: StatusCode, text: &'static str) -> HttpResponse {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// Guard that counts a whole request as in progress until it is dropped.
struct InProgress<'c>(&'c Context);

impl<'c> InProgress<'c> {
    /// Counts a request as in progress. Returns `None` if that exceeds the limit.
    fn take(ctx: &'c Context) -> Option<Self> {
        let before = ctx.in_progress.fetch_add(1, Ordering::Relaxed);
        let guard = Self(ctx);
        (before < ctx.config.placement.requests).then_some(guard)
    }
}

impl Drop for InProgress<'_> {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Guard that reports the request as cancelled if the caller disconnects before the response.
struct CancelOnDrop<'c> {
    ctx: &'c Context,
    id: RequestId,
    replied: bool,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if !self.replied {
            let event = Event::Cancelled(self.id);
            self.ctx.placement.notify(Message::Event(event));
        }
    }
}

async fn serve(ctx: &Context, request: Request<Incoming>, exchange: &Exchange) -> HttpResponse {
    let started = Instant::now();
    let name = request_name(&request);
    let mut response = match check(ctx, &request) {
        Ok(checked) => {
            let request = Unread { request, exchange };
            place(ctx, request, checked, &name, started).await
        }
        Err(problem) => refuse(ctx, &name, &problem),
    };
    if let Ok(value) = HeaderValue::from_str(&name) {
        response.headers_mut().insert(HEADER_REQUEST, value);
    }
    response
}

/// Returns the ID of a request in all logs: the one that a peer has sent, or a new one.
fn request_name(request: &Request<Incoming>) -> String {
    let header = request.headers().get(HEADER_REQUEST);
    let header = header.and_then(|value| value.to_str().ok());
    match header {
        Some(name) if ulid::Ulid::from_string(name).is_ok() => name.to_owned(),
        _ => ulid::Ulid::new().to_string(),
    }
}

fn refuse(ctx: &Context, name: &str, problem: &Problem) -> HttpResponse {
    tracing::info!(
        request = name,
        kind = problem.kind,
        field = problem.field,
        "refused"
    );
    record_trace(ctx, name, "", problem.outcome, &problem.detail);
    problem.response()
}

async fn place(
    ctx: &Context,
    request: Unread<'_>,
    checked: CheckedRequest,
    name: &str,
    started: Instant,
) -> HttpResponse {
    let service = checked.service.clone();
    let forwarded = checked.forwarded;
    let deadline = checked.deadline;
    let refuse_overload = || {
        let retry_at = started + OVERLOAD_RETRY_AFTER;
        let reason = NotRunReason::Overload;
        let outcome = Outcome::NotRun(NotRun { reason, retry_at });
        let response = None;
        respond(ctx, name, &service, Reply { outcome, response })
    };
    // A request that would be refused anyway is refused before its body is received.
    if ctx.in_progress.load(Ordering::Relaxed) >= ctx.config.placement.requests {
        return refuse_overload();
    }
    let body = match request.receive(&checked).await {
        Ok(body) => body,
        Err(Unreceived::Overload | Unreceived::Stop) => return refuse_overload(),
        Err(why) => return refuse(ctx, name, &unreceived_problem(why)),
    };
    let Some(_in_progress) = InProgress::take(ctx) else {
        return refuse_overload();
    };
    let id = NEXT_REQUEST_ID.fetch_add(1, Ordering::Relaxed);
    let (arrival, reply_receiver) = arrival(id, checked, name, body);
    let mut cancel_on_drop = CancelOnDrop {
        ctx,
        id,
        replied: false,
    };
    let reply = match ctx.placement.arrive(Box::new(arrival)) {
        Ok(()) => reply_receiver.await.ok(),
        Err(_) => None,
    };
    cancel_on_drop.replied = true;
    let reply = reply.unwrap_or(Reply {
        outcome: Outcome::NotRun(NotRun {
            reason: NotRunReason::Overload,
            retry_at: Instant::now() + OVERLOAD_RETRY_AFTER,
        }),
        response: None,
    });
    let now = Instant::now();
    ctx.metrics
        .request(&service, outcome::name(&reply.outcome), now - started);
    if let Some(loss) = outcome::loss(&reply.outcome, now <= deadline)
        && !forwarded
    {
        lock(&ctx.burn).count(&service, loss, SystemTime::now());
    }
    respond(ctx, name, &service, reply)
}

fn arrival(
    id: RequestId,
    checked: CheckedRequest,
    name: &str,
    body: Bytes,
) -> (Arrival, oneshot::Receiver<Reply>) {
    let (reply, reply_receiver) = oneshot::channel();
    let claim = checked.claim(&body);
    let arrival = Arrival {
        job: checked.job(id),
        name: name.to_owned(),
        body,
        max_response_bytes: checked.settings.body_limit,
        claim,
        key: checked.key.map(|key| key.to_string()),
        reply,
    };
    (arrival, reply_receiver)
}

/// Request whose body has not been received yet.
struct Unread<'e> {
    request: Request<Incoming>,
    exchange: &'e Exchange,
}

impl Unread<'_> {
    /// Receives the body of the announced length, as long as the request can be answered in time.
    ///
    /// # Errors
    ///
    /// Fails with the reason if it is not received.
    async fn receive(self, checked: &CheckedRequest) -> Result<Bytes, Unreceived> {
        let left = checked.deadline.saturating_duration_since(Instant::now());
        let by = clock::Instant::now() + left;
        let body = self.request.into_body();
        self.exchange.receive(body, checked.length, Some(by)).await
    }
}

/// Returns the problem of a request whose body was not received.
fn unreceived_problem(why: Unreceived) -> Problem {
    let (status, detail) = match why {
        Unreceived::Late => (StatusCode::REQUEST_TIMEOUT, "the body did not come in time"),
        _ => (
            StatusCode::BAD_REQUEST,
            "the body is shorter than its announced length",
        ),
    };
    Problem::bad(status, "body", detail)
}

fn respond(ctx: &Context, name: &str, service: &str, reply: Reply) -> HttpResponse {
    if let Some(response) = reply.response {
        record_trace(ctx, name, service, "done", "the whole answer was sent");
        return done_response(response);
    }
    let problem = outcome::problem(&reply.outcome);
    record_trace(ctx, name, service, problem.outcome, &problem.detail);
    problem.response()
}

fn done_response(task_response: TaskResponse) -> HttpResponse {
    let mut response = Response::new(Full::new(task_response.body));
    *response.status_mut() = StatusCode::from_u16(task_response.status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    headers.insert(HEADER_OUTCOME, HeaderValue::from_static("done"));
    if let Some(content_type) = task_response.content_type {
        headers.insert(CONTENT_TYPE, content_type);
    }
    response
}

fn record_trace(ctx: &Context, name: &str, service: &str, outcome: &str, detail: &str) {
    ctx.recent.record(Trace {
        request: name.to_owned(),
        service: service.to_owned(),
        at: SystemTime::now(),
        outcome: outcome.to_owned(),
        detail: detail.to_owned(),
    });
}
