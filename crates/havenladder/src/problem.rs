//! Error responses as problem details (RFC 9457), extended by the outcome of the request.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER},
};
use serde_json::json;
use std::time::Duration;

/// Response header with the outcome: `done`, `not-run`, `in-progress` or `unknown`.
pub const HEADER_OUTCOME: HeaderName = HeaderName::from_static("havenladder-outcome");

/// Response header with the ID of the request, which is the same in all logs.
pub const HEADER_REQUEST: HeaderName = HeaderName::from_static("havenladder-request");

/// Error response that an entry creates itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// HTTP status.
    pub status: StatusCode,
    /// Short machine-readable name of the problem.
    pub kind: &'static str,
    /// Explanation for the caller of what happened and what to do next.
    pub detail: String,
    /// Header or part of the request that is wrong.
    pub field: Option<&'static str>,
    /// Outcome of the request.
    pub outcome: &'static str,
    /// Time after which the caller may retry.
    pub retry_after: Option<Duration>,
}

impl Problem {
    /// Creates the problem for an invalid request, which was not run.
    pub fn bad(status: StatusCode, field: &'static str, detail: impl Into<String>) -> Self {
        Self {
            status,
            kind: "bad-request",
            detail: detail.into(),
            field: Some(field),
            outcome: "not-run",
            retry_after: None,
        }
    }

    /// Returns the problem as an HTTP response.
    pub fn response(&self) -> Response<Full<Bytes>> {
        let body = json!({
            "type": format!("urn:havenladder:{}", self.kind),
            "title": self.status.canonical_reason(),
            "status": self.status.as_u16(),
            "detail": self.detail,
            "field": self.field,
            "outcome": self.outcome,
            "retry_after_ms": self.retry_after.map(|retry_after| retry_after.as_millis()),
        });
        let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        let kind = HeaderValue::from_static("application/problem+json");
        headers.insert(CONTENT_TYPE, kind);
        headers.insert(HEADER_OUTCOME, HeaderValue::from_static(self.outcome));
        if let Some(retry_after) = self.retry_after {
            // The header holds whole seconds; rounding up keeps callers from retrying too early.
            let seconds = retry_after.as_millis().div_ceil(1_000);
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds as u64));
        }
        response
    }
}
