//! Reads a call: which queue it names, who makes it, and what is wanted. It is judged by the newest configuration that can
//! be had: where the owner, or another entry, knows a newer one, it is judged anew.

use super::{
    ask::{Answer, ask},
    reply,
};
use crate::entry::{
    follow::{Reliance, make_sure},
    in_force::{Barred, Caller},
    inner::{self, Wish},
    listen::Reply,
    node::{Node, wall_ms},
};
use adapter::{
    callers::{HEADER_DEADLINE, read_id, read_job},
    operator::{Queue, Version},
    workspaces::SCHEME,
};
use bytes::Bytes;
use clock::Instant;
use http_body_util::{BodyExt, Limited};
use hyper::{
    Method, Request, StatusCode,
    body::Incoming,
    header::{self, HeaderMap, HeaderValue},
};
use jobs::{JobId, JobSpec, Submission};
use std::{rc::Rc, time::Duration};
use tracing::info;
use workspaces::{Authorization, read_authorization};

/// The longest body of a job; the platform's pages name 262,144 bytes.
const LONGEST: usize = 262_144;

/// How long a caller waits if it does not say.
const DEADLINE: Duration = Duration::from_millis(3_000);

/// What a call says, before its body is read.
struct Head {
    method: Method,
    host: String,
    path: String,
    shown: Authorization,
    /// When it came.
    came: Instant,
    /// Until when its caller waits.
    deadline: Instant,
}

/// A call that is let in.
struct Admitted {
    queue: Queue,
    caller: Caller,
    version: Version,
    /// What the path names behind the queue's prefix: a job's id, or nothing.
    rest: String,
}

/// What becomes of a call before the owner is asked.
enum Judged {
    /// It is let in.
    In(Admitted),
    /// It is not, and this is why.
    Out(Reply),
}

impl Head {
    fn read(request: &Request<Incoming>) -> Self {
        let came = Instant::now();
        let headers = request.headers();
        let shown = headers.get_all(header::AUTHORIZATION).into_iter();
        Head {
            method: request.method().clone(),
            host: text(headers, "host").to_owned(),
            path: request.uri().path().to_owned(),
            shown: read_authorization(SCHEME, shown.map(|value| value.to_str().ok())),
            came,
            deadline: deadline(headers, came),
        }
    }
}

/// A header's text; empty if there is none.
fn text<'h>(headers: &'h HeaderMap, name: &str) -> &'h str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or("")
}

/// Until when the caller waits, by its header; one that asks for too long is not believed.
fn deadline(headers: &HeaderMap, now: Instant) -> Instant {
    let ms = text(headers, HEADER_DEADLINE)
        .parse()
        .map_or(DEADLINE, Duration::from_millis);
    now + ms.min(DEADLINE * 20)
}

/// Answers a request, by its queue, caller, method and job.
pub(super) async fn handle(node: &Rc<Node>, request: Request<Incoming>) -> Reply {
    let head = Head::read(&request);
    if !make_sure(node, Reliance::Newest).await {
        info!(
            path = head.path,
            "refused: the configuration may be too old"
        );
        return reply(StatusCode::SERVICE_UNAVAILABLE, "");
    }
    let mut admitted = match judge(node, &head).await {
        Judged::In(admitted) => admitted,
        Judged::Out(reply) => return reply,
    };
    let wanted = match read_wanted(&head, &admitted, request.into_body()).await {
        Ok(wanted) => wanted,
        Err(reply) => return reply,
    };
    let mut unsure = false;
    loop {
        let request = inner::Request {
            caller: admitted.caller.clone(),
            queue: admitted.queue.name.clone(),
            version: admitted.version,
            wish: wanted.put(&admitted),
        };
        unsure = match ask(node, request, unsure, head.deadline).await {
            Answer::Final(reply) => return reply,
            Answer::Outdated { sent } => sent,
        };
        match judge(node, &head).await {
            Judged::In(anew) => admitted = anew,
            // That it has not run would not be true for certain.
            Judged::Out(_) if unsure => return reply(StatusCode::GATEWAY_TIMEOUT, ""),
            Judged::Out(reply) => return reply,
        }
    }
}

/// Finds a call's queue and who makes it.
async fn judge(node: &Rc<Node>, head: &Head) -> Judged {
    let barred = match judge_now(node, head) {
        Ok(judged) => return judged,
        Err(barred) => barred,
    };
    // This entry may only be behind: a key may be as new as the call.
    if barred == Barred::Unknown {
        make_sure(node, Reliance::Unknown(head.came)).await;
        if let Ok(judged) = judge_now(node, head) {
            return judged;
        }
    }
    Judged::Out(bar(node, head, barred))
}

/// The same by what this entry knows now.
///
/// # Errors
///
/// Tells why the call is not let in, where that is for its key.
fn judge_now(node: &Node, head: &Head) -> Result<Judged, Barred> {
    let in_force = node.in_force.borrow();
    let Some(config) = in_force.config() else {
        return Ok(Judged::Out(reply(StatusCode::SERVICE_UNAVAILABLE, "")));
    };
    let Some(queue) = config.queue(&head.host, &head.path) else {
        return Ok(Judged::Out(reply(StatusCode::NOT_FOUND, "")));
    };
    let caller = in_force.judge(queue, &head.shown)?;
    Ok(Judged::In(Admitted {
        queue: queue.clone(),
        caller,
        version: config.version,
        rest: head.path[queue.prefix.len()..].to_owned(),
    }))
}

/// The answer to a call that is not let in for its key. Nothing of it has run.
fn bar(node: &Node, head: &Head, barred: Barred) -> Reply {
    let reason = barred.reason();
    let version = node.in_force.borrow().version();
    node.metrics.barred(reason);
    info!(method = %head.method, path = head.path, reason, version, "not let in");
    let body = serde_json::json!({ "error": reason }).to_string();
    let mut reply = reply(StatusCode::UNAUTHORIZED, body);
    let scheme = HeaderValue::from_static(SCHEME);
    reply.headers_mut().insert(header::WWW_AUTHENTICATE, scheme);
    reply
}

/// What a call asks for, by its method, path and body.
enum Wanted {
    Submit(JobId, JobSpec),
    Cancel(JobId),
    State(JobId),
    Pending,
}

impl Wanted {
    /// The same as it is put to the owner; a job that is handed in takes what its queue says now.
    fn put(&self, admitted: &Admitted) -> Wish {
        match self {
            Wanted::Submit(id, spec) => Wish::Submit {
                given: submission(admitted, *id, spec.clone()),
                within: 0,
            },
            Wanted::Cancel(id) => Wish::Cancel(*id),
            Wanted::State(id) => Wish::State(*id),
            Wanted::Pending => Wish::Pending,
        }
    }
}

/// Reads what a call asks for.
///
/// # Errors
///
/// Fails with the answer for its caller where the path is no job's, there is no such method, or the body is odd.
async fn read_wanted(head: &Head, admitted: &Admitted, body: Incoming) -> Result<Wanted, Reply> {
    if head.method == Method::GET && admitted.rest.is_empty() {
        return Ok(Wanted::Pending);
    }
    let Some(id) = read_id(&admitted.rest) else {
        let body = "{\"error\":\"a job's id is 16 hex digits\"}";
        return Err(reply(StatusCode::BAD_REQUEST, body));
    };
    match head.method {
        Method::GET => Ok(Wanted::State(id)),
        Method::DELETE => Ok(Wanted::Cancel(id)),
        Method::POST => Ok(Wanted::Submit(id, read_spec(id, body).await?)),
        _ => Err(reply(StatusCode::METHOD_NOT_ALLOWED, "")),
    }
}

/// Reads what a job is to do.
///
/// # Errors
///
/// Fails with the answer for its caller where the body is too long or odd.
async fn read_spec(id: JobId, body: Incoming) -> Result<JobSpec, Reply> {
    let Ok(body) = Limited::new(body, LONGEST).collect().await else {
        return Err(reply(StatusCode::PAYLOAD_TOO_LARGE, ""));
    };
    decode_spec(&body.to_bytes()).map_err(|why| {
        info!(job = format!("{id:016x}"), why, "not taken");
        let body = serde_json::json!({ "error": why }).to_string();
        reply(StatusCode::BAD_REQUEST, body)
    })
}

/// Decodes what a job is to do.
///
/// # Errors
///
/// Says what is wrong with it, for its caller.
fn decode_spec(body: &Bytes) -> Result<JobSpec, String> {
    let spec = read_job(body).map_err(|error| error.to_string())?;
    spec.check().map_err(|error| error.to_string())?;
    Ok(spec)
}

/// A job as it is handed in to a queue.
fn submission(admitted: &Admitted, id: JobId, spec: JobSpec) -> Submission {
    let queue = &admitted.queue;
    let workspace = match &admitted.caller {
        Caller::Anyone => None,
        Caller::Of(workspace) => Some(workspace.clone()),
    };
    Submission {
        id,
        queue: queue.name.clone(),
        service: queue.service.clone(),
        priority: queue.priority,
        max_attempts: queue.attempts,
        requires_permits: queue.permits,
        submitted_at: wall_ms(),
        stretch: queue.stretch,
        slack: queue.slack,
        spec,
        workspace,
    }
}
