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
        placement::{Arrival, Message, Reply, TaskResponse},
        runtime,
    },
};
use bytes::Bytes;
use check::{CheckedRequest, check};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use serving::{Event, NotRun, NotRunReason, Outcome, RequestId};
use std::{
    convert::Infallible,
    net::TcpListener as StdListener,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant, SystemTime},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, oneshot},
    time::{sleep, timeout},
};

/// Path at which the load balancer checks whether the process is alive.
const LIVE: &str = "/live";

/// Path at which the load balancer checks whether the process accepts requests.
const READY: &str = "/ready";

/// Maximum size in bytes of the header buffer of one connection.
const MAX_HEADER_BYTES: usize = 16 << 10;

/// Delay before connections are accepted again after an error, such as a lack of file descriptors.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Time after which a caller may retry when the entry is overloaded.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);

type HttpResponse = Response<Full<Bytes>>;

/// Counter for the IDs of this entry's requests.
static NEXT_REQUEST_ID: AtomicU64 = AtomicU64::new(1);

/// Serves callers until the process ends.
///
/// # Panics
///
/// Panics when the system provides no event queue, without which the process cannot work.
pub fn editors(ctx: &Arc<Context>, listener: StdListener) {
    let runtime = runtime().expect("the system provides an event queue");
    runtime.block_on(accept_all(ctx, listener));
}

async fn accept_all(ctx: &Arc<Context>, listener: StdListener) {
    let listener = TcpListener::from_std(listener).expect("the listener is open");
    let permits = Arc::new(Semaphore::new(ctx.config.editors.connections));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                let ctx = Arc::clone(ctx);
                tokio::spawn(async move {
                    serve_connection(&ctx, stream).await;
                    drop(permit);
                });
            }
            Err(error) => {
                tracing::warn!(%error, "could not accept a connection");
                sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}

async fn serve_connection(ctx: &Arc<Context>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let served = Arc::clone(ctx);
    let service = service_fn(move |request| {
        let ctx = Arc::clone(&served);
        async move { Ok::<_, Infallible>(handle(&ctx, request).await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(ctx.config.editors.header_time)
        .max_buf_size(MAX_HEADER_BYTES)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        tracing::debug!(%error, "a connection was closed early");
    }
}

async fn handle(ctx: &Arc<Context>, request: Request<Incoming>) -> HttpResponse {
    match request.uri().path() {
        LIVE => text(StatusCode::OK, "live\n"),
        READY if ctx.is_ready() => text(StatusCode::OK, "ready\n"),
        READY => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        _ => serve(ctx, request).await,
    }
}

fn text(status: StatusCode, text: &'static str) -> HttpResponse {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// Guard that counts a request and its body as in progress until it is dropped.
struct InProgress<'c> {
    ctx: &'c Context,
    bytes: usize,
}

impl<'c> InProgress<'c> {
    /// Counts a request with a body of `bytes` as in progress. Returns `None` if that exceeds a
    /// limit.
    fn take(ctx: &'c Context, bytes: usize) -> Option<Self> {
        let requests_before = ctx.in_progress.fetch_add(1, Ordering::Relaxed);
        let bytes_before = ctx.in_progress_bytes.fetch_add(bytes, Ordering::Relaxed);
        let guard = Self { ctx, bytes };
        let limits = &ctx.config.placement;
        (requests_before < limits.requests && bytes_before + bytes <= limits.bytes).then_some(guard)
    }
}

impl Drop for InProgress<'_> {
    fn drop(&mut self) {
        self.ctx.in_progress.fetch_sub(1, Ordering::Relaxed);
        self.ctx
            .in_progress_bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
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

async fn serve(ctx: &Arc<Context>, request: Request<Incoming>) -> HttpResponse {
    let started = Instant::now();
    let name = request_name(&request);
    let mut response = match check(ctx, &request) {
        Ok(checked) => place(ctx, request, checked, &name, started).await,
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
    request: Request<Incoming>,
    checked: CheckedRequest,
    name: &str,
    started: Instant,
) -> HttpResponse {
    let service = checked.service.clone();
    let forwarded = checked.forwarded;
    let deadline = checked.deadline;
    let Some(_in_progress) = InProgress::take(ctx, checked.length) else {
        let retry_at = started + OVERLOAD_RETRY_AFTER;
        let reason = NotRunReason::Overload;
        let outcome = Outcome::NotRun(NotRun { reason, retry_at });
        return respond(
            ctx,
            name,
            &service,
            Reply {
                outcome,
                response: None,
            },
        );
    };
    let body = match read_body(ctx, request, &checked).await {
        Ok(body) => body,
        Err(problem) => return refuse(ctx, name, &problem),
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

async fn read_body(
    ctx: &Context,
    request: Request<Incoming>,
    checked: &CheckedRequest,
) -> Result<Bytes, Problem> {
    let body = Limited::new(request.into_body(), checked.length).collect();
    match timeout(ctx.config.editors.body_time, body).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(_)) => Err(Problem::bad(
            StatusCode::BAD_REQUEST,
            "body",
            "the body is shorter than its announced length",
        )),
        Err(_) => Err(Problem::bad(
            StatusCode::REQUEST_TIMEOUT,
            "body",
            "the body did not come in time",
        )),
    }
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
