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

/// A request whose body has been read.
#[derive(Clone)]
pub struct Call {
    /// The method.
    pub method: String,
    /// The path without the query.
    pub path: String,
    /// The query.
    pub query: HashMap<String, String>,
    /// The headers that hold text.
    pub headers: HashMap<String, String>,
    /// The body.
    pub body: Bytes,
}

impl Call {
    /// Returns a number of the query.
    pub fn number(&self, key: &str) -> Option<u64> {
        self.query.get(key)?.parse().ok()
    }
}

/// An answer; `None` breaks the connection instead.
pub type Answer = Option<Response<Full<Bytes>>>;

/// Makes an answer.
pub fn answer(status: u16, kind: &str, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = StatusCode::from_u16(status).expect("a constant status");
    let kind = kind.parse().expect("a constant content type");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

/// Makes an answer in JSON.
pub fn json(value: &impl serde::Serialize) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(value).expect("the stand-in's own types have a JSON form");
    answer(200, "application/json", body)
}

/// Serves one connection until it ends.
pub async fn serve<F, A>(stream: TcpStream, handle: F)
where
    F: Fn(Call) -> A + Send + Sync + 'static,
    A: Future<Output = Answer> + Send + 'static,
{
    let handle = Arc::new(handle);
    let service = service_fn(move |request| {
        let handle = Arc::clone(&handle);
        async move {
            let call = read(request).await.ok_or(Broken)?;
            handle(call).await.ok_or(Broken)
        }
    });
    let _ = stream.set_nodelay(true);
    // A connection that breaks is the caller's matter.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn read(request: Request<Incoming>) -> Option<Call> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    let headers = parts
        .headers
        .iter()
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())))
        .collect();
    Some(Call {
        method: parts.method.to_string(),
        path: parts.uri.path().to_owned(),
        query: query(parts.uri.query().unwrap_or_default()),
        headers,
        body,
    })
}

fn query(text: &str) -> HashMap<String, String> {
    text.split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(key, value)| (key.to_owned(), value.to_owned()))
        .collect()
}

/// The stand-in broke the connection on purpose.
#[derive(Debug)]
struct Broken;

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "broken on purpose")
    }
}

impl std::error::Error for Broken {}

impl From<Infallible> for Broken {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}
