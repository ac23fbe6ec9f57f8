//! Takes the calls of consumers and of the platform's balancer.

mod call;
mod owner_request;

use super::{
    listen::{self, Reply, accept_each},
    node::Node,
};
use bytes::Bytes;
use call::handle;
use clock::Instant;
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode, body::Incoming, header, server::conn::http1, service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{convert::Infallible, pin::pin, rc::Rc};
use tokio::net::{TcpListener, TcpStream};
use tracing::warn;

/// When a caller that was refused is to come back, in seconds: an owner is found within 3.
const RETRY_AFTER: &str = "1";

/// Takes the connections of consumers.
pub async fn listen(node: Rc<Node>, listener: TcpListener) {
    let failed = |error| warn!(%error, "no connection of a caller could be taken");
    accept_each(listener, failed, |stream| serve(Rc::clone(&node), stream)).await;
}

/// Serves a caller; when the process is to stop, the request under way is the last.
async fn serve(node: Rc<Node>, stream: TcpStream) {
    // Without this, answers are only slower.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| count(Rc::clone(&node), request));
    let builder = http1::Builder::new().timer(TokioTimer::new()).clone();
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        // A caller that breaks off is met in its request.
        _ = connection.as_mut() => return,
        () = node.stop.notified() => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// Answers a request and counts it.
async fn count(node: Rc<Node>, request: Request<Incoming>) -> Result<Reply, Infallible> {
    node.in_flight.set(node.in_flight.get() + 1);
    let began = Instant::now();
    let method = request.method().clone();
    let reply = handle(&node, request).await;
    node.metrics
        .answered(method.as_str(), reply.status().as_u16(), began.elapsed());
    node.in_flight.set(node.in_flight.get() - 1);
    Ok(reply)
}

/// Answers whether the entry takes callers.
pub async fn listen_ready(node: Rc<Node>, listener: TcpListener) {
    let answer = |stream| {
        let node = Rc::clone(&node);
        listen::serve(stream, move |_| ready(Rc::clone(&node)))
    };
    // The balancer asks again every second.
    accept_each(listener, drop, answer).await;
}

/// Whether the entry takes callers: it has a configuration, is not cut off and is not to stop.
async fn ready(node: Rc<Node>) -> Reply {
    let ready = node.config().is_some() && !node.cut_off.get() && !node.stopping.get();
    let status = if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    reply(status, "")
}

/// A reply in JSON; one that asks the caller to come back says when.
fn reply(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    let body = body.into();
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    if status == StatusCode::SERVICE_UNAVAILABLE {
        let after = header::HeaderValue::from_static(RETRY_AFTER);
        response.headers_mut().insert(header::RETRY_AFTER, after);
    }
    response
}
