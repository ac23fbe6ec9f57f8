//! The duty towards editors, clerks and other callers: HTTP in, one answer out.
//!
//! The listener is `hyper` on a small runtime of one thread: a slow or half-open connection
//! costs no thread, and a caller that hangs up is noticed. What a request is checked for, in
//! which order, is in [`mod@check`].

mod check;

use crate::{
    context::Context,
    duties::{
        placement::{Answer, Arrival, Message, Reply},
        runtime,
    },
    outcome,
    problem::{HEADER_OUTCOME, HEADER_REQUEST, Problem},
    recent::Trace,
    sync::lock,
};
use bytes::Bytes;
use check::{Checked, check};
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

/// Path at which the balancer asks whether the process lives.
const LIVE: &str = "/live";

/// Path at which the balancer asks whether the process takes requests.
const READY: &str = "/ready";

/// Bytes of headers that one connection may hold.
const HEADER_BYTES: usize = 16 << 10;

/// Time after which accepting goes on when the system has no more file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time after which a caller that found the entry full is asked to come back.
const FULL_BACK: Duration = Duration::from_secs(1);

type Out = Response<Full<Bytes>>;

/// Numbers of this entry's requests.
static NUMBERS: AtomicU64 = AtomicU64::new(1);

/// Serves editors until the process ends.
///
/// # Panics
///
/// Panics when the system gives no event queue: without it the process is of no use.
pub fn editors(ctx: &Arc<Context>, listener: StdListener) {
    let runtime = runtime().expect("the system gives an event queue");
    runtime.block_on(accept_all(ctx, listener));
}

async fn accept_all(ctx: &Arc<Context>, listener: StdListener) {
    let listener = TcpListener::from_std(listener).expect("the listener is open");
    let places = Arc::new(Semaphore::new(ctx.config.editors.connections));
    loop {
        let Ok(place) = Arc::clone(&places).acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                let ctx = Arc::clone(ctx);
                tokio::spawn(async move {
                    connection(&ctx, stream).await;
                    drop(place);
                });
            }
            Err(error) => {
                tracing::warn!(%error, "could not accept a connection");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection(ctx: &Arc<Context>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let served = Arc::clone(ctx);
    let service = service_fn(move |request| {
        let ctx = Arc::clone(&served);
        async move { Ok::<_, Infallible>(handle(&ctx, request).await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(ctx.config.editors.header_time)
        .max_buf_size(HEADER_BYTES)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        tracing::debug!(%error, "a connection ended early");
    }
}

async fn handle(ctx: &Arc<Context>, request: Request<Incoming>) -> Out {
    match request.uri().path() {
        LIVE => text(StatusCode::OK, "live\n"),
        READY if ctx.is_ready() => text(StatusCode::OK, "ready\n"),
        READY => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        _ => serve(ctx, request).await,
    }
}

fn text(status: StatusCode, text: &'static str) -> Out {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// Counts a request as in progress for as long as it lives.
struct InProgress<'c> {
    ctx: &'c Context,
    bytes: usize,
}

impl<'c> InProgress<'c> {
    /// Takes a place for a request with a body of `bytes`, if there is one.
    fn take(ctx: &'c Context, bytes: usize) -> Option<Self> {
        let requests = ctx.in_progress.fetch_add(1, Ordering::Relaxed);
        let held = ctx.held_bytes.fetch_add(bytes, Ordering::Relaxed);
        let place = Self { ctx, bytes };
        let limits = &ctx.config.placement;
        (requests < limits.requests && held + bytes <= limits.bytes).then_some(place)
    }
}

impl Drop for InProgress<'_> {
    fn drop(&mut self) {
        self.ctx.in_progress.fetch_sub(1, Ordering::Relaxed);
        self.ctx.held_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Tells the scheduler when a caller goes away before its answer.
struct Waiting<'c> {
    ctx: &'c Context,
    id: RequestId,
    answered: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.answered {
            let event = Event::Cancelled(self.id);
            self.ctx.placement.tell(Message::Happened(event));
        }
    }
}

async fn serve(ctx: &Arc<Context>, request: Request<Incoming>) -> Out {
    let began = Instant::now();
    let name = request_name(&request);
    let mut response = match check(ctx, &request) {
        Ok(checked) => place(ctx, request, checked, &name, began).await,
        Err(problem) => refuse(ctx, &name, &problem),
    };
    if let Ok(value) = HeaderValue::from_str(&name) {
        response.headers_mut().insert(HEADER_REQUEST, value);
    }
    response
}

/// The id of a request in all logs: a peer's, or a fresh one.
fn request_name(request: &Request<Incoming>) -> String {
    let given = request.headers().get(HEADER_REQUEST);
    let given = given.and_then(|value| value.to_str().ok());
    match given {
        Some(name) if ulid::Ulid::from_string(name).is_ok() => name.to_owned(),
        _ => ulid::Ulid::new().to_string(),
    }
}

fn refuse(ctx: &Context, name: &str, problem: &Problem) -> Out {
    tracing::info!(
        request = name,
        kind = problem.kind,
        field = problem.field,
        "refused"
    );
    note(ctx, name, "", problem.outcome, &problem.detail);
    problem.response()
}

async fn place(
    ctx: &Context,
    request: Request<Incoming>,
    checked: Checked,
    name: &str,
    began: Instant,
) -> Out {
    let service = checked.service.clone();
    let forwarded = checked.forwarded;
    let deadline = checked.deadline;
    let Some(_place) = InProgress::take(ctx, checked.length) else {
        let retry_at = began + FULL_BACK;
        let reason = NotRunReason::Overload;
        let outcome = Outcome::NotRun(NotRun { reason, retry_at });
        return respond(
            ctx,
            name,
            &service,
            Reply {
                outcome,
                answer: None,
            },
        );
    };
    let body = match read_body(ctx, request, &checked).await {
        Ok(body) => body,
        Err(problem) => return refuse(ctx, name, &problem),
    };
    let id = NUMBERS.fetch_add(1, Ordering::Relaxed);
    let (arrival, reply) = arrival(id, checked, name, body);
    let mut waiting = Waiting {
        ctx,
        id,
        answered: false,
    };
    let reply = match ctx.placement.arrive(Box::new(arrival)) {
        Ok(()) => reply.await.ok(),
        Err(_) => None,
    };
    waiting.answered = true;
    let reply = reply.unwrap_or(Reply {
        outcome: Outcome::NotRun(NotRun {
            reason: NotRunReason::Overload,
            retry_at: Instant::now() + FULL_BACK,
        }),
        answer: None,
    });
    let now = Instant::now();
    ctx.metrics
        .request(&service, outcome::name(&reply.outcome), now - began);
    if let Some(loss) = outcome::loss(&reply.outcome, now <= deadline)
        && !forwarded
    {
        lock(&ctx.burn).count(&service, loss, SystemTime::now());
    }
    respond(ctx, name, &service, reply)
}

fn arrival(
    id: RequestId,
    checked: Checked,
    name: &str,
    body: Bytes,
) -> (Arrival, oneshot::Receiver<Reply>) {
    let (reply, answer) = oneshot::channel();
    let claim = checked.claim(&body);
    let arrival = Arrival {
        job: checked.job(id),
        name: name.to_owned(),
        body,
        limit: checked.settings.body_limit,
        claim,
        key: checked.key.map(|key| key.to_string()),
        reply,
    };
    (arrival, answer)
}

async fn read_body(
    ctx: &Context,
    request: Request<Incoming>,
    checked: &Checked,
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

fn respond(ctx: &Context, name: &str, service: &str, reply: Reply) -> Out {
    if let Some(answer) = reply.answer {
        note(ctx, name, service, "done", "the whole answer was sent");
        return done(answer);
    }
    let problem = outcome::problem(&reply.outcome);
    note(ctx, name, service, problem.outcome, &problem.detail);
    problem.response()
}

fn done(answer: Answer) -> Out {
    let mut response = Response::new(Full::new(answer.body));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    headers.insert(HEADER_OUTCOME, HeaderValue::from_static("done"));
    if let Some(kind) = answer.kind {
        headers.insert(CONTENT_TYPE, kind);
    }
    response
}

fn note(ctx: &Context, name: &str, service: &str, outcome: &str, detail: &str) {
    ctx.recent.note(Trace {
        request: name.to_owned(),
        service: service.to_owned(),
        at: SystemTime::now(),
        outcome: outcome.to_owned(),
        detail: detail.to_owned(),
    });
}
