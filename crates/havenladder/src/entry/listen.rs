//! Takes connections and serves them, one task for each.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use std::{convert::Infallible, io, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    task, time,
};

/// Time until a connection is taken after one could not be: as a rule, descriptors have run out.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// What an entry answers over HTTP.
pub type Reply = Response<Full<Bytes>>;

/// Takes connections for ever and has each served by a task of its own; `failed` is told of those
/// that could not be taken.
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

/// Answers the requests of a connection until the other side ends it. Whoever breaks off asks again
/// by itself.
pub async fn serve<F: Future<Output = Reply>>(
    stream: TcpStream,
    answer: impl Fn(Request<Incoming>) -> F,
) {
    let service = service_fn(|request| {
        let reply = answer(request);
        async move { Ok::<_, Infallible>(reply.await) }
    });
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
