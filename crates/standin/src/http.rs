//! A small HTTP server for the stand-ins.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response, StatusCode, body::Incoming, header::CONTENT_TYPE, server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use std::{collections::HashMap, convert::Infallible, future::Future, sync::Arc};
use tokio::net::TcpStream;

/// A request whose body has been read in full.
#[derive(Clone)]
pub struct HttpRequest {
    /// HTTP method.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Parameters of the query.
    pub query: HashMap<String, String>,
    /// Headers whose values are text.
    pub headers: HashMap<String, String>,
    /// Body.
    pub body: Bytes,
}

impl HttpRequest {
    /// Returns a parameter of the query that is a number.
    pub fn query_number(&self, key: &str) -> Option<u64> {
        self.query.get(key)?.parse().ok()
    }
}

/// The result of a handler: a response, or `None` to break the connection without one.
pub type HandlerResponse = Option<Response<Full<Bytes>>>;

/// Builds a response with a status and a content type.
pub fn build_response(status: u16, kind: &str, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = StatusCode::from_u16(status).expect("a constant status");
    let kind = kind.parse().expect("a constant content type");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

/// Builds a response with status 200 and a JSON body.
pub fn json(value: &impl serde::Serialize) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(value).expect("the stand-in's own types have a JSON form");
    build_response(200, "application/json", body)
}

/// Serves one connection until it closes.
pub async fn serve<F, A>(stream: TcpStream, handle: F)
where
    F: Fn(HttpRequest) -> A + Send + Sync + 'static,
    A: Future<Output = HandlerResponse> + Send + 'static,
{
    let handle = Arc::new(handle);
    let service = service_fn(move |request| {
        let handle = Arc::clone(&handle);
        async move {
            let request = read_request(request).await.ok_or(BrokenOnPurpose)?;
            handle(request).await.ok_or(BrokenOnPurpose)
        }
    });
    let _ = stream.set_nodelay(true);
    // A broken connection is the caller's concern.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn read_request(request: Request<Incoming>) -> Option<HttpRequest> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    let headers = parts
        .headers
        .iter()
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())))
        .collect();
    Some(HttpRequest {
        method: parts.method.to_string(),
        path: parts.uri.path().to_owned(),
        query: parse_query(parts.uri.query().unwrap_or_default()),
        headers,
        body,
    })
}

fn parse_query(text: &str) -> HashMap<String, String> {
    text.split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(key, value)| (key.to_owned(), value.to_owned()))
        .collect()
}

/// The error that makes the server break a connection on purpose.
#[derive(Debug)]
struct BrokenOnPurpose;

impl std::fmt::Display for BrokenOnPurpose {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "broken on purpose")
    }
}

impl std::error::Error for BrokenOnPurpose {}

impl From<Infallible> for BrokenOnPurpose {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}
