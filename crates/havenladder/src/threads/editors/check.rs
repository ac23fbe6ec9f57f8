//! Checks of a request before its body is read.

use crate::{context::Context, problem::Problem};
use bytes::Bytes;
use hyper::{
    HeaderMap, Method, Request, StatusCode,
    body::Incoming,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};
use protocol::{HEADER_FORWARDED, ServiceId};
use serving::{AttemptId, Claim, Job, Key, KeyError, RequestId, read_key};
use settings::{Service, nearest};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use xxhash_rust::xxh3::xxh3_64;

/// Prefix of the paths of services.
const SERVICES: &str = "/v1/";

/// Request header with the deadline of the response, in milliseconds since 1970.
const HEADER_DEADLINE: &str = "havenladder-deadline";

/// Request header with the caller's key, named as in the draft standard.
const HEADER_KEY: &str = "idempotency-key";

/// Maximum time from now to a deadline.
const MAX_DEADLINE_AHEAD: Duration = Duration::from_secs(24 * 60 * 60);

/// Request that has passed all checks.
pub struct CheckedRequest {
    /// Name of the service.
    pub service: ServiceId,
    /// Settings in force for the service.
    pub settings: Service,
    /// Announced length of the body, in bytes.
    pub length: usize,
    /// Time after which the response is of no use to the caller.
    pub deadline: Instant,
    /// Deadline by the wall clock.
    expires: SystemTime,
    /// Caller's key, if the service requires one.
    pub key: Option<Key>,
    /// Whether a peer has forwarded the request.
    pub forwarded: bool,
}

impl CheckedRequest {
    /// Returns the description of the request for the scheduler.
    pub fn job(&self, id: RequestId) -> Job {
        Job {
            id,
            service: self.service.clone(),
            class: self.settings.class,
            deadline: self.deadline,
            repeatable: self.settings.repeatable,
            forwarded: self.forwarded,
        }
    }

    /// Returns the claim on the request's key, or `None` if the service requires no key.
    pub fn claim(&self, body: &Bytes) -> Option<Claim> {
        Some(Claim {
            service: self.service.clone(),
            key: self.key?,
            claim: AttemptId::new(),
            digest: xxh3_64(body),
            expires: self.expires,
        })
    }
}

/// Checks a request.
///
/// # Errors
///
/// Returns the first problem that is found; the request was not run.
pub fn check(ctx: &Context, request: &Request<Incoming>) -> Result<CheckedRequest, Problem> {
    if !ctx.fleet.is_loaded() {
        return Err(not_loaded());
    }
    let (service, settings) = service(ctx, request.uri().path())?;
    if request.method() != Method::POST {
        let status = StatusCode::METHOD_NOT_ALLOWED;
        return Err(Problem::bad(status, "method", "services take POST"));
    }
    let headers = request.headers();
    let length = length(headers, settings.body_limit)?;
    let (deadline, expires) = deadline(headers, settings.timeout)?;
    let key = if settings.repeatable {
        None
    } else {
        Some(key(headers)?)
    };
    Ok(CheckedRequest {
        service,
        settings,
        length,
        deadline,
        expires,
        key,
        forwarded: headers.contains_key(HEADER_FORWARDED),
    })
}

fn not_loaded() -> Problem {
    Problem {
        status: StatusCode::SERVICE_UNAVAILABLE,
        kind: "not-ready",
        detail: "this entry has no settings yet; the request was not run".into(),
        field: None,
        outcome: "not-run",
        retry_after: Some(Duration::from_secs(1)),
    }
}

fn service(ctx: &Context, path: &str) -> Result<(ServiceId, Service), Problem> {
    let services = ctx.services.load();
    let name = path.strip_prefix(SERVICES).unwrap_or(path);
    if let Some(service) = services.get(name) {
        return Ok((name.to_owned(), service.clone()));
    }
    let detail = match nearest(name, services.keys().map(String::as_str)) {
        Some(known) => format!("no such service; did you mean {SERVICES}{known}?"),
        None => format!("no such service; paths are {SERVICES}<place>/<pool>/<service>"),
    };
    Err(Problem::bad(StatusCode::NOT_FOUND, "path", detail))
}

/// Returns the announced length of the body, which must be a single number. Chunked bodies are
/// rejected, since a request with both a length and chunks can be read in two ways.
fn length(headers: &HeaderMap, limit: usize) -> Result<usize, Problem> {
    let bad = |status, detail: String| Problem::bad(status, "content-length", detail);
    if headers.contains_key(TRANSFER_ENCODING) {
        let detail = "announce the body's length; chunked bodies are not taken";
        return Err(bad(StatusCode::LENGTH_REQUIRED, detail.into()));
    }
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let Some(length) = lengths.next() else {
        return Ok(0);
    };
    let number = length.to_str().ok().and_then(|text| text.parse().ok());
    let (Some(length), None) = (number, lengths.next()) else {
        let detail = "must be one whole number";
        return Err(bad(StatusCode::BAD_REQUEST, detail.into()));
    };
    if length > limit {
        let detail = format!("the service takes at most {limit} bytes");
        return Err(bad(StatusCode::PAYLOAD_TOO_LARGE, detail));
    }
    Ok(length)
}

fn deadline(headers: &HeaderMap, timeout: Duration) -> Result<(Instant, SystemTime), Problem> {
    let (now, wall) = (Instant::now(), SystemTime::now());
    let Some(value) = headers.get(HEADER_DEADLINE) else {
        return Ok((now + timeout, wall + timeout));
    };
    let bad = |detail: &str| Problem::bad(StatusCode::BAD_REQUEST, HEADER_DEADLINE, detail);
    let millis: Option<u64> = value.to_str().ok().and_then(|text| text.parse().ok());
    let Some(millis) = millis else {
        return Err(bad("must be a time in milliseconds since 1970"));
    };
    let at = UNIX_EPOCH + Duration::from_millis(millis.min(1 << 50));
    let Ok(left) = at.duration_since(wall) else {
        return Err(bad("the deadline is past"));
    };
    if left > MAX_DEADLINE_AHEAD {
        return Err(bad("the deadline is more than a day ahead"));
    }
    Ok((now + left, at))
}

fn key(headers: &HeaderMap) -> Result<Key, Problem> {
    let bad = |detail: String| Problem::bad(StatusCode::BAD_REQUEST, HEADER_KEY, detail);
    let Some(value) = headers.get(HEADER_KEY) else {
        let detail = "is missing: this service runs a request at most once, by its key, a ULID";
        return Err(bad(detail.into()));
    };
    let text = value.to_str().unwrap_or_default();
    read_key(text.trim_matches('"'), SystemTime::now())
        .map_err(|error: KeyError| bad(error.to_string()))
}
