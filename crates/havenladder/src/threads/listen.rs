//! Listeners of a process: what their connections may hold, and how requests are handled that block.

use crate::{configs::EditorsConfig, context::Context, key::is_key, threads::STACK_BYTES};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::Incoming,
    header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue},
    http::request::Parts,
};
use ingress::{Exchange, Gate, Reply, RequestLimits, Unreceived};
use protocol::HEADER_KEY;
use std::{io, net::TcpListener, rc::Rc, sync::Arc};
use tokio::{
    runtime::Builder,
    task::{LocalSet, spawn_blocking, spawn_local},
};
use tracing::warn;

/// Maximum size of a head in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Descriptors that are kept for files, workers, the platform and calls to peers.
const OWN_DESCRIPTORS: usize = 128;

/// Returns how many connections a listener may have: as many as the settings say, but no more than a share of the
/// descriptors that the system lets the process open.
pub fn allowed_connections(listener: &'static str, set: usize, share: usize) -> usize {
    let allowed = ingress::descriptor_limit().saturating_sub(OWN_DESCRIPTORS) / share;
    if set > allowed {
        warn!(
            listener,
            set, allowed, "the process can open too few descriptors for all connections"
        );
    }
    set.min(allowed.max(1))
}

/// Request that has been received.
pub struct WholeRequest {
    /// Its method, path and headers.
    pub head: Parts,
    /// Its body.
    pub body: Bytes,
}

/// Response of a handler.
pub struct HandlerResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Type of the body.
    pub content_type: &'static str,
    /// The body.
    pub body: Vec<u8>,
}

/// Returns the limits of a request on any listener.
pub fn request_limits(config: &EditorsConfig) -> RequestLimits {
    RequestLimits {
        max_head: MAX_HEAD_BYTES,
        head_timeout: config.header_time,
        body_timeout: config.body_time,
        idle_timeout: config.idle_time,
        response_timeout: config.idle_time,
    }
}

/// What a listener serves.
#[derive(Clone, Copy)]
pub struct Service {
    /// Number of requests that are handled at a time, each on a thread that it may block.
    pub handlers: usize,
    /// Maximum size of a body in bytes.
    pub max_body: usize,
    /// Returns the key that clients must send. Nothing of a body is received without it.
    pub key: fn(&Context) -> &str,
    /// Handles a request.
    pub handle: fn(&Context, &WholeRequest) -> HandlerResponse,
    /// Creates the response to a request that is not handled, with an explanation.
    pub refuse: fn(StatusCode, &str) -> HandlerResponse,
}

/// Serves a listener until the process ends, on the calling thread.
///
/// # Panics
///
/// Panics when the system provides no event queue, without which the process cannot work.
pub fn serve_blocking(ctx: &Arc<Context>, gate: Rc<Gate>, listener: TcpListener, service: Service) {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .max_blocking_threads(service.handlers)
        .thread_stack_size(STACK_BYTES)
        .build()
        .expect("the system provides an event queue");
    let ctx = Arc::clone(ctx);
    let respond = move |request, exchange| respond(Arc::clone(&ctx), service, request, exchange);
    let served = LocalSet::new().block_on(&runtime, serve(gate, listener, respond));
    served.expect("the listener is open");
}

/// Serves a listener and ends connections that do not keep their deadlines.
///
/// # Errors
///
/// Fails if the listener cannot be used.
pub async fn serve<R, F>(gate: Rc<Gate>, listener: TcpListener, respond: R) -> io::Result<()>
where
    R: Fn(Request<Incoming>, Exchange) -> F + Clone + 'static,
    F: Future<Output = Reply> + 'static,
{
    let gates = [Rc::clone(&gate)];
    spawn_local(async move { ingress::sweep(&gates).await });
    ingress::serve(gate, listener, |stream| stream, respond).await
}

/// Receives a request and handles it on a thread that it may block.
async fn respond(
    ctx: Arc<Context>,
    service: Service,
    request: Request<Incoming>,
    exchange: Exchange,
) -> Reply {
    let received = receive(&ctx, service, request, &exchange).await;
    let handled = match received {
        Ok(request) => spawn_blocking(move || (service.handle)(&ctx, &request)).await,
        Err(refusal) => Ok(refusal),
    };
    // A handler that panics ends the process.
    reply(handled.unwrap_or_else(|error| {
        (service.refuse)(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string())
    }))
}

/// Receives a request whose client has the key.
///
/// # Errors
///
/// Fails with the response if the key is missing or the body is not received.
async fn receive(
    ctx: &Context,
    service: Service,
    request: Request<Incoming>,
    exchange: &Exchange,
) -> Result<WholeRequest, HandlerResponse> {
    if !has_key(request.headers(), (service.key)(ctx)) {
        let detail = "the key is missing or wrong";
        return Err((service.refuse)(StatusCode::UNAUTHORIZED, detail));
    }
    let (head, body) = request.into_parts();
    let body = exchange.receive(body, service.max_body, None).await;
    let refuse = |why: Unreceived| {
        let (status, detail) = match why {
            Unreceived::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"),
            Unreceived::Broken => (StatusCode::BAD_REQUEST, "the body is malformed"),
            Unreceived::Late => (StatusCode::REQUEST_TIMEOUT, "the body did not come in time"),
            Unreceived::Overload | Unreceived::Stop => (
                StatusCode::SERVICE_UNAVAILABLE,
                "other requests hold too much",
            ),
        };
        (service.refuse)(status, detail)
    };
    Ok(WholeRequest {
        head,
        body: body.map_err(refuse)?,
    })
}

/// Returns whether a request carries the key, either in its own header or as a bearer token.
fn has_key(headers: &HeaderMap, key: &str) -> bool {
    let text = |value: &HeaderValue| value.to_str().unwrap_or_default().to_owned();
    let own = headers.get_all(HEADER_KEY).iter().map(text);
    let bearer = headers.get_all(AUTHORIZATION).iter().map(text);
    let bearer = bearer.filter_map(|value| Some(value.strip_prefix("Bearer ")?.to_owned()));
    own.chain(bearer).any(|value| is_key(&value, key))
}

fn reply(response: HandlerResponse) -> Reply {
    let mut reply = Response::new(Full::new(response.body.into()));
    *reply.status_mut() = response.status;
    let content_type = HeaderValue::from_static(response.content_type);
    reply.headers_mut().insert(CONTENT_TYPE, content_type);
    reply
}
