//! Requests over connections that pass through a gate.
//!
//! Guards against refusals that their clients do not learn of, and against the end of a request that is whole.

use havenladder_ingress::{
    Budget, Counters, Ending, Exchange, Gate, Reply, RequestLimits, bind, serve, sweep,
};
use http_body_util::Full;
use hyper::{Request, StatusCode, body::Incoming};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::{LocalSet, spawn_local},
    time,
};

const BUDGET: Budget = Budget {
    connections: 3,
    bytes: 40_000,
};

const MAX_BODY: usize = 30_000;

/// Far longer than any test takes.
const LONG: Duration = Duration::from_secs(60);

const LIMITS: RequestLimits = RequestLimits {
    max_head: 16_384,
    head_timeout: LONG,
    body_timeout: LONG,
    idle_timeout: LONG,
    response_timeout: LONG,
};

/// Receives the body and answers, after a while if the path says so.
async fn respond(request: Request<Incoming>, exchange: Exchange) -> Reply {
    let is_slow = request.uri().path() == "/slow";
    let body = exchange.receive(request.into_body(), MAX_BODY, None).await;
    if is_slow {
        time::sleep(Duration::from_millis(2_000)).await;
    }
    let mut reply = Reply::new(Full::default());
    *reply.status_mut() = match body {
        Ok(_) => StatusCode::OK,
        Err(_) => StatusCode::SERVICE_UNAVAILABLE,
    };
    reply
}

/// Runs a test with a gate and the address of its listener.
fn with_gate<T: Future<Output = ()>>(
    limits: RequestLimits,
    test: impl FnOnce(Rc<Gate>, SocketAddr) -> T,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0)), 64 << 10).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let gate = Gate::new("test", BUDGET, limits, Counters::default());
        let gates = [Rc::clone(&gate)];
        spawn_local(async move { sweep(&gates).await });
        let served = serve(Rc::clone(&gate), listener, |stream| stream, respond);
        spawn_local(served);
        test(gate, address).await;
    });
}

/// Opens a connection and sends a head and a part of its body.
async fn send(address: SocketAddr, path: &str, length: usize, sent: usize) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let head = format!("POST {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n");
    let text = [head.as_bytes(), &vec![b'a'; sent]].concat();
    stream.write_all(&text).await.expect("the bytes are taken");
    // The gate sees requests in the order in which they are sent.
    time::sleep(Duration::from_millis(200)).await;
    stream
}

/// Returns the first bytes of a response, or an empty text if the connection was closed.
async fn status(stream: &mut TcpStream) -> String {
    let mut head = [0; 12];
    match stream.read_exact(&mut head).await {
        Ok(_) => String::from_utf8_lossy(&head).into_owned(),
        Err(_) => String::new(),
    }
}

fn count(gate: &Gate, ending: Ending) -> u64 {
    let counts = gate.counters().all();
    let found = counts.into_iter().find(|(known, _)| *known == ending);
    found.map_or(0, |(_, count)| count)
}

#[test]
fn a_request_that_is_refused_for_its_bytes_is_told_so() {
    with_gate(LIMITS, |gate, address| async move {
        let mut stalled = send(address, "/", 30_000, 29_000).await;
        let mut whole = send(address, "/", 20_000, 20_000).await;
        assert_eq!(status(&mut whole).await, "HTTP/1.1 200");
        assert_eq!(status(&mut stalled).await, "HTTP/1.1 503");
        assert_eq!(count(&gate, Ending::Bytes), 1);
    });
}

#[test]
fn a_request_that_is_whole_is_answered_while_others_take_the_other_places() {
    with_gate(LIMITS, |gate, address| async move {
        let mut whole = send(address, "/slow", 10, 10).await;
        let mut others = Vec::new();
        for _ in 0..5 {
            others.push(send(address, "/", 10, 5).await);
        }
        assert_eq!(status(&mut whole).await, "HTTP/1.1 200");
        assert_eq!(count(&gate, Ending::Connections), 3);
        assert_eq!(status(&mut others[0]).await, "");
    });
}

#[test]
fn requests_that_are_not_whole_are_refused_at_a_stop_and_whole_ones_are_answered() {
    with_gate(LIMITS, |gate, address| async move {
        let mut whole = send(address, "/slow", 10, 10).await;
        let mut partial = send(address, "/", 10, 5).await;
        gate.drain();
        gate.refuse_unfinished();
        assert_eq!(status(&mut partial).await, "HTTP/1.1 503");
        assert_eq!(status(&mut whole).await, "HTTP/1.1 200");
        assert_eq!(count(&gate, Ending::Stop), 1);
    });
}

#[test]
fn a_body_that_is_late_is_refused_and_a_head_that_is_late_is_closed() {
    let limits = RequestLimits {
        head_timeout: Duration::from_millis(1),
        body_timeout: Duration::from_millis(1),
        ..LIMITS
    };
    with_gate(limits, |gate, address| async move {
        let mut body = send(address, "/", 10, 5).await;
        let mut head = TcpStream::connect(address).await.expect("a connection");
        head.write_all(b"POST / HTTP")
            .await
            .expect("the bytes are taken");
        assert_eq!(status(&mut body).await, "HTTP/1.1 503");
        assert_eq!(status(&mut head).await, "");
        assert_eq!(count(&gate, Ending::LateBody), 1);
        assert_eq!(count(&gate, Ending::LateHead), 1);
    });
}
