//! Reads a call: its queue, its caller and the requested operation. The caller is authenticated
//! with the newest configuration that is available, and again if the owner or another entry knows a
//! newer one.

use super::{
    close,
    owner_request::{OwnerReply, request_owner},
    reply,
};
use crate::entry::{
    in_force::{Caller, Unauthorized},
    logs::kind,
    node::{Node, wall_ms},
    peer::{self, CallerOperation},
    refresh::{FreshnessRequirement, ensure_fresh},
    stop,
};
use adapter::{
    callers::{HEADER_DEADLINE, read_id, read_job},
    operator::{Queue, Version},
    workspaces::AUTH_SCHEME,
};
use bytes::Bytes;
use clock::Instant;
use hyper::{
    Method, Request, StatusCode,
    body::Incoming,
    header::{self, HeaderMap, HeaderValue},
};
use ingress::{CALLER_RECEIVE_BUFFER, Exchange, Reply, Unreceived};
use jobs::{JobId, JobSpec, Submission};
use std::{borrow::Cow, rc::Rc, time::Duration};
use tracing::info;
use workspaces::{Authorization, read_authorization};

/// Number of copies of a job that an entry has at a time: the one that it keeps for another attempt, the one that it
/// sends or gives to the owner, and the bytes that are sent.
const JOB_COPIES: usize = 3;

/// Time for which a caller waits if it does not specify any.
const DEFAULT_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Length of each of the two excerpts of a long text, in bytes. The error about a body may quote all of it.
const MAX_EXCERPT_BYTES: usize = 120;

/// Content of a request before its body is read.
struct RequestHead {
    method: Method,
    host: String,
    path: String,
    authorization: Authorization,
    /// Time at which the request arrived.
    received_at: Instant,
    /// Time until which the caller waits.
    deadline: Instant,
}

/// Request of an authenticated caller.
struct Admitted {
    queue: Queue,
    caller: Caller,
    version: Version,
    /// Remainder of the path after the queue's prefix: a job's id, or nothing.
    rest: String,
}

/// Reason why a call is not admitted with the configuration that this entry knows.
enum Rejection {
    /// This entry has no configuration yet.
    NoConfig,
    /// The configuration contains no such queue.
    UnknownQueue,
    /// The caller is not authorized.
    Unauthorized(Unauthorized),
}

impl RequestHead {
    fn read(request: &Request<Incoming>) -> Self {
        let received_at = Instant::now();
        let headers = request.headers();
        let authorization = headers.get_all(header::AUTHORIZATION).into_iter();
        RequestHead {
            method: request.method().clone(),
            host: text(headers, "host").to_owned(),
            path: request.uri().path().to_owned(),
            authorization: read_authorization(
                AUTH_SCHEME,
                authorization.map(|value| value.to_str().ok()),
            ),
            received_at,
            deadline: deadline(headers, received_at),
        }
    }
}

/// Returns a text of a caller for a log line or a response: if it is long, only its beginning and its end.
fn shorten(text: &str) -> Cow<'_, str> {
    if text.len() <= 2 * MAX_EXCERPT_BYTES {
        return text.into();
    }
    let begin = &text[..text.floor_char_boundary(MAX_EXCERPT_BYTES)];
    let end = &text[text.ceil_char_boundary(text.len() - MAX_EXCERPT_BYTES)..];
    format!("{begin} … {end}").into()
}

/// Returns the text of a header, or an empty one if there is none.
fn text<'h>(headers: &'h HeaderMap, name: &str) -> &'h str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or("")
}

/// Returns the time until which the caller waits, according to its header. The time is limited to
/// 20 times the default.
fn deadline(headers: &HeaderMap, now: Instant) -> Instant {
    let ms = text(headers, HEADER_DEADLINE)
        .parse()
        .map_or(DEFAULT_TIMEOUT, Duration::from_millis);
    now + ms.min(DEFAULT_TIMEOUT * 20)
}

/// Handles a request according to its queue, caller, method and job.
pub(super) async fn handle(
    node: &Rc<Node>,
    request: Request<Incoming>,
    exchange: &Exchange,
) -> Reply {
    let head = RequestHead::read(&request);
    if stop::is_answer_due(node) {
        return reply(StatusCode::SERVICE_UNAVAILABLE, "");
    }
    if exchange.hold(CALLER_RECEIVE_BUFFER).is_err() {
        return reply(StatusCode::SERVICE_UNAVAILABLE, "");
    }
    if !ensure_fresh(node, FreshnessRequirement::Newest).await {
        return refuse_unconfirmed(&head);
    }
    let mut admitted = match authenticate(node, &head).await {
        Ok(admitted) => admitted,
        Err(reply) => return reply,
    };
    let body = RequestBody {
        body: request.into_body(),
        exchange,
    };
    let operation = match read_operation(node, &head, &admitted, body).await {
        Ok(operation) => operation,
        Err(reply) => return reply,
    };
    let mut may_have_run = false;
    loop {
        let request = peer::CallerRequest {
            caller: admitted.caller.clone(),
            queue: admitted.queue.name.clone(),
            version: admitted.version,
            operation: operation.for_owner(&admitted),
        };
        may_have_run = match request_owner(node, request, may_have_run, head.deadline).await {
            OwnerReply::Final(reply) => return reply,
            OwnerReply::Outdated { may_have_run } => may_have_run,
        };
        match authenticate(node, &head).await {
            Ok(again) => admitted = again,
            // The operation may have been carried out, so that the response must not say that it
            // was not.
            Err(_) if may_have_run => return reply(StatusCode::GATEWAY_TIMEOUT, ""),
            Err(reply) => return reply,
        }
    }
}

/// Finds the queue of a call and authenticates its caller.
///
/// # Errors
///
/// Returns the response to the caller if the call is not admitted.
async fn authenticate(node: &Rc<Node>, head: &RequestHead) -> Result<Admitted, Reply> {
    let rejection = match authenticate_now(node, head) {
        Ok(admitted) => return Ok(admitted),
        Err(rejection) => rejection,
    };
    let confirmed = match rejection {
        // This entry may only be behind, since a queue or a key may be as new as the call.
        Rejection::UnknownQueue | Rejection::Unauthorized(Unauthorized::Unknown) => {
            ensure_fresh(node, FreshnessRequirement::AsOf(head.received_at)).await
        }
        Rejection::NoConfig | Rejection::Unauthorized(_) => may_reject(node, head),
    };
    authenticate_now(node, head).map_err(|rejection| match rejection {
        _ if !confirmed => refuse_unconfirmed(head),
        Rejection::NoConfig => reply(StatusCode::SERVICE_UNAVAILABLE, ""),
        Rejection::UnknownQueue => reject_unknown_queue(node, head),
        Rejection::Unauthorized(reason) => reject_unauthorized(node, head, reason),
    })
}

/// Admits a call with the configuration that this entry knows now.
///
/// # Errors
///
/// Returns the reason if the call is not admitted.
fn authenticate_now(node: &Node, head: &RequestHead) -> Result<Admitted, Rejection> {
    let in_force = node.in_force.borrow();
    let config = in_force.config().ok_or(Rejection::NoConfig)?;
    let queue = config.queue(&head.host, &head.path);
    let queue = queue.ok_or(Rejection::UnknownQueue)?;
    let caller = in_force.authenticate(queue, &head.authorization);
    Ok(Admitted {
        queue: queue.clone(),
        caller: caller.map_err(Rejection::Unauthorized)?,
        version: config.version,
        rest: head.path[queue.prefix.len()..].to_owned(),
    })
}

/// Returns whether the configuration is recent enough to reject a call because of it.
fn may_reject(node: &Node, head: &RequestHead) -> bool {
    node.freshness.get().may_reject(head.received_at)
}

/// Creates the response to a call that this entry can neither admit nor reject, since it cannot confirm that its
/// configuration is the newest one. Nothing of the call has been carried out, and another entry may know more.
fn refuse_unconfirmed(head: &RequestHead) -> Reply {
    let path = shorten(&head.path);
    info!(target: kind::REQUEST, path = &*path, "refused: the configuration may be too old");
    reply(StatusCode::SERVICE_UNAVAILABLE, "")
}

/// Creates the response to a call of a queue that the configuration does not contain.
fn reject_unknown_queue(node: &Node, head: &RequestHead) -> Reply {
    let version = node.in_force.borrow().version();
    let age = node.freshness.get().age(Instant::now()).as_millis() as u64;
    let (host, path) = (shorten(&head.host), shorten(&head.path));
    info!(target: kind::REQUEST, host = &*host, path = &*path, version, age, "no such queue");
    reply(StatusCode::NOT_FOUND, "")
}

/// Creates the response to a caller that is not authorized. Nothing of the call has been carried
/// out.
fn reject_unauthorized(node: &Node, head: &RequestHead, unauthorized: Unauthorized) -> Reply {
    let reason = unauthorized.reason();
    let version = node.in_force.borrow().version();
    node.metrics.unauthorized(reason);
    let (method, path) = (shorten(head.method.as_str()), shorten(&head.path));
    info!(target: kind::REQUEST, method = &*method, path = &*path, reason, version, "caller is not authorized");
    let body = serde_json::json!({ "error": reason }).to_string();
    let mut reply = reply(StatusCode::UNAUTHORIZED, body);
    let scheme = HeaderValue::from_static(AUTH_SCHEME);
    reply.headers_mut().insert(header::WWW_AUTHENTICATE, scheme);
    reply
}

/// Operation that a call requests, according to its method, path and body.
enum Operation {
    Submit(JobId, JobSpec),
    Cancel(JobId),
    State(JobId),
    Pending,
}

impl Operation {
    /// Converts the operation to a request for the owner. A submitted job takes the current
    /// settings of its queue.
    fn for_owner(&self, admitted: &Admitted) -> CallerOperation {
        match self {
            Operation::Submit(id, spec) => CallerOperation::Submit {
                submission: submission(admitted, *id, spec.clone()),
                timeout_ms: 0,
            },
            Operation::Cancel(id) => CallerOperation::Cancel(*id),
            Operation::State(id) => CallerOperation::State(*id),
            Operation::Pending => CallerOperation::Pending,
        }
    }
}

/// Reads the requested operation.
///
/// # Errors
///
/// Fails with the response to the caller if the path is not that of a job, the method is not
/// supported, or the body is not valid.
async fn read_operation(
    node: &Node,
    head: &RequestHead,
    admitted: &Admitted,
    body: RequestBody<'_>,
) -> Result<Operation, Reply> {
    if head.method == Method::GET && admitted.rest.is_empty() {
        return Ok(Operation::Pending);
    }
    let Some(id) = read_id(&admitted.rest) else {
        // A newer configuration may contain a queue with a longer prefix.
        if !may_reject(node, head) {
            return Err(refuse_unconfirmed(head));
        }
        let body = "{\"error\":\"a job's id is 16 hex digits\"}";
        return Err(reply(StatusCode::BAD_REQUEST, body));
    };
    match head.method {
        Method::GET => Ok(Operation::State(id)),
        Method::DELETE => Ok(Operation::Cancel(id)),
        Method::POST => Ok(Operation::Submit(id, body.read_spec(node, head, id).await?)),
        _ => Err(reply(StatusCode::METHOD_NOT_ALLOWED, "")),
    }
}

/// Body of a request that has not been received yet.
struct RequestBody<'e> {
    body: Incoming,
    exchange: &'e Exchange,
}

impl RequestBody<'_> {
    /// Reads the specification of a job.
    ///
    /// # Errors
    ///
    /// Fails with the response to the caller if the body is too large, not valid or not complete in time, or if other
    /// requests hold too much.
    async fn read_spec(self, node: &Node, head: &RequestHead, id: JobId) -> Result<JobSpec, Reply> {
        let limits = node.config().unwrap_or_default().limits;
        let body = self
            .exchange
            .receive(self.body, limits.max_body, Some(head.deadline));
        let body = body.await.map_err(refuse_unreceived)?;
        let spec = decode_spec(&body).map_err(|why| {
            let why = &*shorten(&why);
            info!(target: kind::REQUEST, job = format!("{id:016x}"), why, "the job is not valid");
            let body = serde_json::json!({ "error": why }).to_string();
            reply(StatusCode::BAD_REQUEST, body)
        })?;
        let held = spec.memory_bytes() * JOB_COPIES + CALLER_RECEIVE_BUFFER;
        match self.exchange.hold(held) {
            Ok(()) => Ok(spec),
            Err(_) => Err(reply(StatusCode::SERVICE_UNAVAILABLE, "")),
        }
    }
}

/// Creates the response to a request whose body was not received. Nothing of it has been carried out.
fn refuse_unreceived(why: Unreceived) -> Reply {
    let status = match why {
        Unreceived::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Unreceived::Broken => StatusCode::BAD_REQUEST,
        Unreceived::Late | Unreceived::Overload | Unreceived::Stop => {
            StatusCode::SERVICE_UNAVAILABLE
        }
    };
    close(reply(status, ""))
}

/// Decodes the specification of a job.
///
/// # Errors
///
/// Fails with a message for the caller that says what is not valid.
fn decode_spec(body: &Bytes) -> Result<JobSpec, String> {
    let spec = read_job(body).map_err(|error| error.to_string())?;
    spec.check().map_err(|error| error.to_string())?;
    Ok(spec)
}

/// Creates the submission of a job to a queue.
fn submission(admitted: &Admitted, id: JobId, spec: JobSpec) -> Submission {
    let queue = &admitted.queue;
    let workspace = match &admitted.caller {
        Caller::Anyone => None,
        Caller::Workspace(workspace) => Some(workspace.clone()),
    };
    Submission {
        id,
        queue: queue.name.clone(),
        service: queue.service.clone(),
        priority: queue.priority,
        max_attempts: queue.max_attempts,
        requires_permits: queue.needs_permit,
        submitted_at: wall_ms(),
        stretch: queue.stretch,
        slack: queue.latency_allowance_ms,
        spec,
        workspace,
    }
}
