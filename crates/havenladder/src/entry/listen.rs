//! Accepts connections and serves each of them in a task of its own.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use std::{convert::Infallible, io, time::Duration};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpListener, TcpStream},
    task, time,
};

/// Delay after a connection could not be accepted, usually because the process has run out of file
/// descriptors.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// HTTP response of an entry.
pub type Reply = Response<Full<Bytes>>;

/// Accepts connections forever and serves each in a task of its own. `failed` is called with the
/// error of a connection that could not be accepted.
pub async fn accept_each<F: Future<Output = ()> + 'static>(
    listener: TcpListener,
    failed: impl Fn(io::Error),
    serve: impl Fn(TcpStream) -> F,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                task::spawn_local(serve(stream));
            }
            Err(error) => {
                failed(error);
                time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

/// Answers the requests of a connection until the peer closes it. An error is ignored, since a peer
/// whose connection breaks connects again by itself.
pub async fn serve<F: Future<Output = Reply>>(
    stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
    respond: impl Fn(Request<Incoming>) -> F,
) {
    let service = service_fn(|request| {
        let reply = respond(request);
        async move { Ok::<_, Infallible>(reply.await) }
    });
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
