//! Stand-ins for the users' machines, after their published pages: the log, the workers and the
//! list of VMs. The names that the users' machines use on the wire occur only here and in
//! `platform/`.

pub mod cloud;
pub mod events;
pub mod log;
pub mod operator;
pub mod settings;
pub mod worker;

use crate::http::{HandlerResponse, HttpRequest, serve};
use std::{io, net::SocketAddr, sync::Arc};
use tokio::net::TcpListener;

/// The header that says how many milliseconds the caller of a request waits.
pub const DEADLINE_HEADER: &str = "request-deadline-ms";

/// Serves requests on a free port of the loopback interface, each with a clone of `shared`, and
/// returns the address.
///
/// # Errors
///
/// Fails when no port is free.
pub async fn listen<T, H, A>(shared: &T, handle: H) -> io::Result<SocketAddr>
where
    T: Clone + Send + Sync + 'static,
    H: Fn(T, HttpRequest) -> A + Send + Sync + 'static,
    A: Future<Output = HandlerResponse> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    let (shared, handle) = (shared.clone(), Arc::new(handle));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (shared, handle) = (shared.clone(), Arc::clone(&handle));
            tokio::spawn(serve(stream, move |req| handle(shared.clone(), req)));
        }
    });
    Ok(addr)
}
