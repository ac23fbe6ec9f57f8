//! Serves the requests of callers, and the readiness checks of the platform's balancer.

mod call;
mod owner_request;

use super::{gates::caller_limits, node::Node};
use adapter::traffic::Party;
use bytes::Bytes;
use call::handle;
use clock::Instant;
use http_body_util::Full;
use hyper::{Method, Request, Response, StatusCode, body::Incoming, header};
use ingress::{Exchange, Reply};
use std::{net::TcpListener, rc::Rc};
use tracing::error;

/// Time in s after which a refused caller should retry. A new owner is found within 3 s.
const RETRY_AFTER: &str = "1";

/// Serves the connections of callers. Once the process has received the signal to stop, the request in progress of
/// each is the last one.
pub async fn listen(node: Rc<Node>, listener: TcpListener) {
    let gate = Rc::clone(&node.gates.callers);
    let caller = Rc::clone(&node);
    let prepare = move |stream| {
        update_limits(&caller);
        caller.client.traffic().meter(Party::Caller, stream)
    };
    let respond = move |request, exchange| serve_request(Rc::clone(&node), request, exchange);
    if let Err(error) = ingress::serve(gate, listener, prepare, respond).await {
        error!(%error, "callers are not served");
    }
}

/// Takes over the limits of the configuration in force.
fn update_limits(node: &Node) {
    if let Some(config) = node.config() {
        let limits = caller_limits(&node.settings, config.limits);
        node.gates.callers.set_limits(limits);
    }
}

/// Request that is counted as in progress until this is dropped, also if its caller disconnects before.
struct InFlight(Rc<Node>);

impl InFlight {
    fn new(node: &Rc<Node>) -> Self {
        node.in_flight.set(node.in_flight.get() + 1);
        InFlight(Rc::clone(node))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

/// Returns the name of a method in metrics, which keep an entry for each name for good. Callers may send any word.
fn method_label(method: &Method) -> &'static str {
    match *method {
        Method::GET => "GET",
        Method::POST => "POST",
        Method::DELETE => "DELETE",
        _ => "other",
    }
}

/// Answers a request and counts it.
async fn serve_request(node: Rc<Node>, request: Request<Incoming>, exchange: Exchange) -> Reply {
    let _in_flight = InFlight::new(&node);
    let began = Instant::now();
    let method = method_label(request.method());
    let mut reply = handle(&node, request, &exchange).await;
    if node.is_stopping() {
        reply = close(reply);
    }
    node.metrics
        .answered(method, reply.status().as_u16(), began.elapsed());
    reply
}

/// Serves the readiness checks.
pub async fn listen_ready(node: Rc<Node>, listener: TcpListener) {
    let gate = Rc::clone(&node.gates.readiness);
    let respond = move |_, _| ready(Rc::clone(&node));
    if let Err(error) = ingress::serve(gate, listener, |stream| stream, respond).await {
        error!(%error, "readiness checks are not served");
    }
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
