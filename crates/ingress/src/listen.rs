//! Accepts the connections of a listener and serves their requests.

use crate::{
    gate::{Exchange, Gate, Watched},
    stream::WatchedStream,
};
use bytes::Bytes;
use clock::Instant;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use socket2::{Domain, Socket, Type};
use std::{
    convert::Infallible,
    io,
    net::{SocketAddr, TcpListener as StdListener},
    pin::pin,
    rc::Rc,
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpListener, TcpStream},
    task, time,
};

/// Delay after a connection could not be accepted.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which deadlines are checked, for all connections together. A timer for each would wake the process for
/// every request.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Connections that wait to be accepted.
const BACKLOG: i32 = 1_024;

/// Smallest read buffer that the library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// HTTP response.
pub type Reply = Response<Full<Bytes>>;

/// Opens a listener whose connections keep at most some `receive_buffer` bytes that the process has not read. Without
/// this, the kernel lets the buffer of a fast connection grow to several MB.
///
/// # Errors
///
/// Fails if the address is not free.
pub fn bind(address: SocketAddr, receive_buffer: usize) -> io::Result<StdListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    // A platform without this option has a bound of its own.
    let _ = socket.set_recv_buffer_size(receive_buffer);
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

/// Accepts connections forever, each of which passes through `prepare`, and answers their requests.
///
/// # Errors
///
/// Fails if the listener cannot be used.
pub async fn serve<S, R, F>(
    gate: Rc<Gate>,
    listener: StdListener,
    prepare: impl Fn(TcpStream) -> S,
    respond: R,
) -> io::Result<()>
where
    S: AsyncRead + AsyncWrite + Unpin + 'static,
    R: Fn(Request<Incoming>, Exchange) -> F + Clone + 'static,
    F: Future<Output = Reply> + 'static,
{
    let listener = TcpListener::from_std(listener)?;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Some(watched) = gate.open() {
                    // An error is ignored, since it only makes responses slower.
                    let _ = stream.set_nodelay(true);
                    let stream = prepare(stream);
                    let served =
                        serve_connection(Rc::clone(&gate), watched, stream, respond.clone());
                    task::spawn_local(served);
                }
                gate.wait_for_room().await;
            }
            Err(error) => {
                gate.accept_failed(&error);
                time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

/// Removes a connection from its gate when its task ends.
struct Closing(Rc<Watched>);

impl Drop for Closing {
    fn drop(&mut self) {
        self.0.close();
    }
}

/// Answers the requests of a connection until either end closes it.
async fn serve_connection<S, R, F>(gate: Rc<Gate>, watched: Rc<Watched>, stream: S, respond: R)
where
    S: AsyncRead + AsyncWrite + Unpin + 'static,
    R: Fn(Request<Incoming>, Exchange) -> F,
    F: Future<Output = Reply>,
{
    let _closing = Closing(Rc::clone(&watched));
    let stream = WatchedStream {
        stream,
        watched: Rc::clone(&watched),
    };
    let service = service_fn(|request| {
        let exchange = Exchange::begin(&watched);
        let reply = respond(request, exchange.clone());
        async move {
            let reply = reply.await;
            exchange.respond();
            Ok::<_, Infallible>(reply)
        }
    });
    let connection = http1::Builder::new()
        // The gate has the deadlines of heads.
        .header_read_timeout(None)
        // A head of the maximum size still has to be complete.
        .max_buf_size((gate.limits().max_head + 1).max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    tokio::select! {
        biased;
        () = watched.wait_for_close() => return,
        // A connection that breaks needs no handling: its client connects again.
        _ = connection.as_mut() => return,
        () = gate.wait_for_drain() => {}
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        biased;
        () = watched.wait_for_close() => {}
        _ = connection => {}
    }
}

/// Ends, forever, connections of these gates that do not keep their deadlines.
pub async fn sweep(gates: &[Rc<Gate>]) {
    loop {
        let planned = Instant::now() + SWEEP_INTERVAL;
        time::sleep(SWEEP_INTERVAL).await;
        let now = Instant::now();
        let late = now.saturating_duration_since(planned);
        // A short delay is the usual one of a timer.
        let late = if late > SWEEP_INTERVAL {
            late
        } else {
            Duration::ZERO
        };
        gates.iter().for_each(|gate| gate.sweep(now, late));
    }
}
