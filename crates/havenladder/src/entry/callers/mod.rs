//! Serves the requests of callers, and the readiness checks of the platform's balancer.

mod call;
mod owner_request;

use super::{
    listen::{self, Reply, accept_each},
    node::Node,
};
use adapter::traffic::Party;
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

/// Time in s after which a refused caller should retry. A new owner is found within 3 s.
const RETRY_AFTER: &str = "1";

/// Serves the connections of callers.
pub async fn listen(node: Rc<Node>, listener: TcpListener) {
    let failed = |error| warn!(%error, "cannot accept a connection of a caller");
    accept_each(listener, failed, |stream| serve(Rc::clone(&node), stream)).await;
}

/// Serves the connection of a caller. Once the process has received the signal to stop, the
/// request in progress is the last one.
async fn serve(node: Rc<Node>, stream: TcpStream) {
    // An error is ignored, since it only makes responses slower.
    let _ = stream.set_nodelay(true);
    let stream = node.client.traffic().meter(Party::Caller, stream);
    let service = service_fn(|request| serve_request(Rc::clone(&node), request));
    let builder = http1::Builder::new().timer(TokioTimer::new()).clone();
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        // A broken connection needs no handling here, since the request of the caller ends with it.
        _ = connection.as_mut() => return,
        () = node.stop.notified() => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// Answers a request and counts it.
async fn serve_request(node: Rc<Node>, request: Request<Incoming>) -> Result<Reply, Infallible> {
    node.in_flight.set(node.in_flight.get() + 1);
    let began = Instant::now();
    let method = request.method().clone();
    let mut reply = handle(&node, request).await;
    if node.is_stopping() {
        reply = close(reply);
    }
    node.metrics
        .answered(method.as_str(), reply.status().as_u16(), began.elapsed());
    node.in_flight.set(node.in_flight.get() - 1);
    Ok(reply)
}

/// Serves the readiness checks.
pub async fn listen_ready(node: Rc<Node>, listener: TcpListener) {
    let serve = |stream| {
        let node = Rc::clone(&node);
        listen::serve(stream, move |_| ready(Rc::clone(&node)))
    };
    // A failed accept needs no log line, since the balancer asks again every second.
    accept_each(listener, drop, serve).await;
}

/// Responds whether the entry serves callers: it has a configuration, is not cut off and is not
/// stopping.
async fn ready(node: Rc<Node>) -> Reply {
    let ready = node.config().is_some() && !node.cut_off.get() && !node.is_stopping();
    let status = if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    reply(status, "")
}

/// Lets a response close its connection, so that the caller connects again.
fn close(mut response: Reply) -> Reply {
    let close = header::HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
    response
}

/// Creates a response in JSON. If its status is that the service is unavailable, it says when to
/// retry.
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
