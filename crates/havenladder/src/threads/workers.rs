//! Thread that sends attempts to workers, and to peers to which requests are forwarded.
//!
//! It only determines how an attempt ended. A refusal, after which the attempt has certainly not
//! run, is distinguished from a broken connection. A response counts only if it is complete and
//! carries the ID of its attempt.

use crate::{
    context::Context,
    outcome,
    problem::{self, HEADER_OUTCOME},
    threads::{
        placement::{Message, TaskResponse},
        runtime,
    },
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method, Request, Response, StatusCode,
    body::{Body, Incoming},
    header::{CONTENT_TYPE, HeaderValue},
};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use platform::task::{
    HEADER_ID, HEADER_LEASE, HEADER_POOL, HEADER_REFUSED, HEADER_REQUEST, HEADER_SERVICE,
    REFUSED_SEEN, TASKS,
};
use protocol::{HEADER_FORWARDED, PoolId, ServiceId};
use serving::{AttemptEnd, AttemptId};
use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};
use tokio::{sync::mpsc, task::JoinHandle, time::timeout_at};

/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time limit of the request that stops a task on a worker.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of idle connections that are kept per worker.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// Message to the workers thread.
#[derive(Debug)]
pub enum Dispatch {
    /// Sends an attempt.
    Send {
        /// ID of the attempt.
        attempt: AttemptId,
        /// Address of the worker or peer.
        addr: String,
        /// Whether the address is that of a peer.
        forwarded: bool,
        /// Pool in which the request is placed.
        pool: PoolId,
        /// Name of the service.
        service: ServiceId,
        /// ID of the request in all logs.
        name: String,
        /// Caller's key, which is sent to a peer.
        key: Option<String>,
        /// Body of the request.
        body: Bytes,
        /// Maximum size of the response, in bytes.
        max_bytes: usize,
        /// Whether the attempt may reuse a connection that the worker may just have closed.
        repeatable: bool,
        /// Time after which the response is of no use.
        deadline: Instant,
    },
    /// Stops an attempt.
    Stop(AttemptId),
}

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Attempt in progress.
struct RunningAttempt {
    task: JoinHandle<()>,
    addr: String,
}

/// End of an attempt, with the response if it is complete.
type AttemptResult = (AttemptEnd, Option<TaskResponse>);

/// Sends attempts until the process ends.
///
/// # Panics
///
/// Panics when the system provides no event queue, without which the process cannot work.
pub fn workers(ctx: &Arc<Context>, dispatches: mpsc::Receiver<Dispatch>) {
    let runtime = runtime().expect("the system provides an event queue");
    runtime.block_on(send_all(ctx, dispatches));
}

async fn send_all(ctx: &Arc<Context>, mut dispatches: mpsc::Receiver<Dispatch>) {
    let pooled = client(MAX_IDLE_CONNECTIONS);
    let fresh = client(0);
    let mut running: HashMap<AttemptId, RunningAttempt> = HashMap::new();
    let (ended, mut ends) = mpsc::channel(ctx.config.placement.requests * 2 + 64);
    loop {
        tokio::select! {
            dispatch = dispatches.recv() => match dispatch {
                None => return,
                Some(Dispatch::Stop(attempt)) => stop(&pooled, running.remove(&attempt), attempt),
                Some(send) => {
                    let http = if is_repeatable(&send) { &pooled } else { &fresh };
                    start(ctx, http.clone(), send, &ended, &mut running);
                }
            },
            Some(attempt) = ends.recv() => {
                running.remove(&attempt);
            }
        }
    }
}

fn client(idle: usize) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(idle)
        .retry_canceled_requests(idle > 0)
        .build(connector)
}

fn is_repeatable(dispatch: &Dispatch) -> bool {
    matches!(
        dispatch,
        Dispatch::Send {
            repeatable: true,
            ..
        }
    )
}

fn start(
    ctx: &Arc<Context>,
    http: HttpClient,
    dispatch: Dispatch,
    ended: &mpsc::Sender<AttemptId>,
    running: &mut HashMap<AttemptId, RunningAttempt>,
) {
    let Dispatch::Send { attempt, addr, .. } = &dispatch else {
        return;
    };
    let (attempt, addr) = (*attempt, addr.clone());
    let (ctx, ended) = (Arc::clone(ctx), ended.clone());
    let task = tokio::spawn(async move {
        let (end, response) = run_attempt(&http, dispatch).await;
        ctx.metrics.attempt(outcome::end_name(end));
        ctx.placement.notify(Message::Ended(attempt, end, response));
        // Sending fails only when the process ends.
        let _ = ended.send(attempt).await;
    });
    running.insert(attempt, RunningAttempt { task, addr });
}

/// Drops the connection of an attempt and requests that the worker stop the task.
fn stop(http: &HttpClient, running: Option<RunningAttempt>, attempt: AttemptId) {
    let Some(running) = running else {
        return;
    };
    running.task.abort();
    let Ok(request) = Request::builder()
        .method(Method::DELETE)
        .uri(task_uri(&running.addr, attempt))
        .body(Full::default())
    else {
        return;
    };
    let call = http.request(request);
    tokio::spawn(async move {
        // If this request fails, the task ends with its lease.
        let _ = tokio::time::timeout(STOP_TIMEOUT, call).await;
    });
}

async fn run_attempt(http: &HttpClient, dispatch: Dispatch) -> AttemptResult {
    let Dispatch::Send {
        attempt,
        deadline,
        forwarded,
        max_bytes,
        name,
        ..
    } = &dispatch
    else {
        return (AttemptEnd::NotSent, None);
    };
    let (attempt, deadline, forwarded, max_bytes) = (*attempt, *deadline, *forwarded, *max_bytes);
    let name = name.clone();
    // The deadline is checked right before the request is sent, so that a process that was
    // suspended after placing the request does not send it now.
    if Instant::now() >= deadline {
        return (AttemptEnd::NotSent, None);
    }
    let Ok(request) = request(dispatch) else {
        return (AttemptEnd::NotSent, None);
    };
    let exchange = async {
        match http.request(request).await {
            Ok(response) if forwarded => read_peer_response(response, &name, max_bytes).await,
            Ok(response) => read_worker_response(response, attempt, max_bytes).await,
            Err(error) if error.is_connect() => (AttemptEnd::NotSent, None),
            Err(_) => (AttemptEnd::Broken, None),
        }
    };
    timeout_at(deadline.into(), exchange)
        .await
        .unwrap_or((AttemptEnd::Broken, None))
}

fn request(dispatch: Dispatch) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let Dispatch::Send {
        attempt,
        addr,
        forwarded,
        pool,
        service,
        name,
        key,
        body,
        deadline,
        ..
    } = dispatch
    else {
        return Request::builder().body(Full::default());
    };
    let lease = unix_ms(deadline).to_string();
    let mut builder = Request::builder().method(Method::POST);
    if forwarded {
        builder = builder
            .uri(format!("http://{addr}/v1/{service}"))
            .header(HEADER_FORWARDED, "1")
            .header(problem::HEADER_REQUEST, name)
            .header("havenladder-deadline", lease);
        if let Some(key) = key {
            builder = builder.header("idempotency-key", key);
        }
    } else {
        builder = builder
            .uri(task_uri(&addr, attempt))
            .header(HEADER_SERVICE, service)
            .header(HEADER_POOL, pool)
            .header(HEADER_REQUEST, name)
            .header(HEADER_LEASE, lease);
    }
    builder.body(Full::new(body))
}

fn task_uri(addr: &str, attempt: AttemptId) -> String {
    format!("http://{addr}{TASKS}{attempt}")
}

/// Converts a deadline to milliseconds since 1970 by the wall clock.
fn unix_ms(deadline: Instant) -> u128 {
    let left = deadline.saturating_duration_since(Instant::now());
    let at = SystemTime::now() + left;
    at.duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis()
}

async fn read_worker_response(
    response: Response<Incoming>,
    attempt: AttemptId,
    max_bytes: usize,
) -> AttemptResult {
    match response.headers().get(HEADER_REFUSED) {
        // The worker has already begun a copy of this attempt, so the attempt may have run.
        Some(why) if why == REFUSED_SEEN => return (AttemptEnd::Broken, None),
        Some(_) => return (AttemptEnd::Refused, None),
        None => {}
    }
    let id = response.headers().get(HEADER_ID);
    let has_attempt_id = id.is_some_and(|id| id.as_bytes() == attempt.to_string().as_bytes());
    if !has_attempt_id {
        return (AttemptEnd::Broken, None);
    }
    if response.status() != StatusCode::OK {
        return (AttemptEnd::Failed, None);
    }
    match read_complete(response, max_bytes).await {
        Some(response) => (AttemptEnd::Done, Some(response)),
        None => (AttemptEnd::Failed, None),
    }
}

/// Reads the response of a peer, which counts only if it carries the ID of the request.
async fn read_peer_response(
    response: Response<Incoming>,
    name: &str,
    max_bytes: usize,
) -> AttemptResult {
    let id = response.headers().get(problem::HEADER_REQUEST);
    if id.is_none_or(|id| id.as_bytes() != name.as_bytes()) {
        return (AttemptEnd::Broken, None);
    }
    let outcome = response.headers().get(HEADER_OUTCOME);
    let outcome = outcome.map_or(&b""[..], HeaderValue::as_bytes);
    let status = response.status();
    match outcome {
        b"not-run" if status.is_server_error() => (AttemptEnd::Refused, None),
        b"done" | b"not-run" | b"in-progress" => match read_complete(response, max_bytes).await {
            Some(response) => (AttemptEnd::Done, Some(response)),
            None => (AttemptEnd::Broken, None),
        },
        _ => (AttemptEnd::Broken, None),
    }
}

/// Reads a body to its announced end. Returns `None` if the body is cut short, exceeds `max_bytes`, or
/// has no announced end.
async fn read_complete(response: Response<Incoming>, max_bytes: usize) -> Option<TaskResponse> {
    let status = response.status().as_u16();
    let content_type = response.headers().get(CONTENT_TYPE).cloned();
    let chunked = response.headers().contains_key("transfer-encoding");
    let mut body = response.into_body();
    if body.size_hint().exact().is_none() && !chunked {
        return None;
    }
    let body = ingress::collect(&mut body, max_bytes).await.ok()?;
    Some(TaskResponse {
        status,
        content_type,
        body,
    })
}
