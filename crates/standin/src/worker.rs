//! The stand-in's workers, which run tasks as the tasks' bodies demand.
//!
//! A body consists of words: `run=20` (run time in milliseconds), `size=100` (bytes of the
//! response), `tag=x` (a tag of the caller), `fail` (fail at the end), `short` (announce a longer
//! response than is sent).

use crate::{
    http::{HandlerResponse, HttpRequest, build_response, json, serve},
    ledger::{Run, RunEnd, now_ms},
    platform::Shared,
};
use platform::task::{
    HEADER_ID, HEADER_LEASE, HEADER_POOL, HEADER_REFUSED, HEADER_SERVICE, REFUSED_SEEN, TASKS,
    USAGE, Usage,
};
use std::{io, net::SocketAddr, time::Duration};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
    time::sleep,
};

/// Maximum number of connections that wait to be accepted.
const MAX_PENDING_CONNECTIONS: u32 = 1024;

/// The demands of a task's body.
#[derive(Debug, Default, PartialEq, Eq)]
struct TaskSpec {
    run: u64,
    size: usize,
    tag: String,
    fails: bool,
    short: bool,
}

impl TaskSpec {
    fn parse(body: &str) -> Self {
        let mut spec = Self::default();
        for word in body.split_whitespace() {
            match word.split_once('=') {
                Some(("run", ms)) => spec.run = ms.parse().unwrap_or_default(),
                Some(("size", size)) => spec.size = size.parse().unwrap_or_default(),
                Some(("tag", tag)) => tag.clone_into(&mut spec.tag),
                _ if word == "fail" => spec.fails = true,
                _ if word == "short" => spec.short = true,
                _ => {}
            }
        }
        spec
    }
}

/// A port of a worker, which it keeps while its VM is down: the bound socket refuses connections, and no other process
/// can bind the port.
pub struct Port {
    addr: SocketAddr,
    _bound: TcpSocket,
}

impl Port {
    /// Reserves any free port.
    ///
    /// # Errors
    ///
    /// Fails when no port is free.
    pub fn reserve() -> io::Result<Self> {
        let bound = bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        Ok(Self {
            addr: bound.local_addr()?,
            _bound: bound,
        })
    }

    /// Returns the address of the worker.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Starts to accept connections, until the listener is dropped.
    ///
    /// # Errors
    ///
    /// Fails when the system has no resources for another listener.
    pub fn listen(&self) -> io::Result<TcpListener> {
        bind(self.addr)?.listen(MAX_PENDING_CONNECTIONS)
    }
}

/// Binds a socket to an address that another socket of this process may have as well.
fn bind(addr: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseport(true)?;
    socket.bind(addr)?;
    Ok(socket)
}

/// Accepts connections to one VM's worker while the VM is up, until the VM is removed.
pub async fn run(shared: Shared, id: String, port: Port, mut power: watch::Receiver<bool>) {
    loop {
        if !*power.borrow_and_update() {
            if power.changed().await.is_err() {
                return;
            }
            continue;
        }
        let listener = port.listen().expect("the worker's port is reserved");
        if accept_while_up(&shared, &id, &listener, &mut power)
            .await
            .is_err()
        {
            return;
        }
    }
}

/// Accepts connections until the VM is down.
///
/// # Errors
///
/// Fails when the VM has been removed.
async fn accept_while_up(
    shared: &Shared,
    id: &str,
    listener: &TcpListener,
    power: &mut watch::Receiver<bool>,
) -> Result<(), watch::error::RecvError> {
    while *power.borrow_and_update() {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    tokio::spawn(serve_stream(
                        shared.clone(),
                        id.to_owned(),
                        stream,
                        power.clone(),
                    ));
                }
            }
            changed = power.changed() => changed?,
        }
    }
    Ok(())
}

async fn serve_stream(
    shared: Shared,
    id: String,
    stream: TcpStream,
    mut power: watch::Receiver<bool>,
) {
    let handle = move |request| handle(shared.clone(), id.clone(), request);
    tokio::select! {
        () = serve(stream, handle) => {}
        _ = power.wait_for(|up| !up) => {}
    }
}

async fn handle(shared: Shared, id: String, request: HttpRequest) -> HandlerResponse {
    if request.path == USAGE {
        return usage(&shared, &id);
    }
    let attempt = request.path.strip_prefix(TASKS)?.to_owned();
    match request.method.as_str() {
        "POST" => run_task(shared, id, attempt, request).await,
        "DELETE" => {
            stop_task(&shared, &id, &attempt);
            Some(build_response(204, "text/plain", ""))
        }
        _ => Some(build_response(405, "text/plain", "")),
    }
}

fn usage(shared: &Shared, id: &str) -> HandlerResponse {
    let state = shared.lock();
    let vm = state.vms.get(id)?;
    Some(json(&Usage {
        running: vm.info.running,
        draining: vm.info.drained,
        boot: vm.info.boot,
    }))
}

async fn run_task(
    shared: Shared,
    id: String,
    attempt: String,
    request: HttpRequest,
) -> HandlerResponse {
    let spec = TaskSpec::parse(&String::from_utf8_lossy(&request.body));
    if let Err(reason) = begin_task(&shared, &id, &attempt, &request, &spec) {
        let mut refusal = build_response(503, "text/plain", reason);
        refusal
            .headers_mut()
            .insert(HEADER_REFUSED, reason.parse().ok()?);
        return Some(refusal);
    }
    // A caller that disconnects drops this future, and dropping the guard frees the slot.
    let guard = SlotGuard {
        shared: shared.clone(),
        id: id.clone(),
        attempt: attempt.clone(),
    };
    let lease: u64 = request.headers.get(HEADER_LEASE)?.parse().ok()?;
    let left = lease.saturating_sub(now_ms());
    if spec.run > 0 {
        sleep(Duration::from_millis(spec.run.min(left))).await;
    }
    let end = run_end(&shared, &id, &spec, left);
    shared.end(&id, &attempt, end);
    drop(guard);
    let mut done = match end {
        RunEnd::Done => build_response(200, "text/plain", response_body(&spec, &id)),
        _ => build_response(500, "text/plain", "the task failed"),
    };
    done.headers_mut().insert(HEADER_ID, attempt.parse().ok()?);
    if spec.short {
        let longer = (response_body(&spec, &id).len() + 10).to_string();
        done.headers_mut()
            .insert("content-length", longer.parse().ok()?);
    }
    Some(done)
}

fn run_end(shared: &Shared, id: &str, spec: &TaskSpec, left: u64) -> RunEnd {
    let failing = shared.lock().vms.get(id).is_none_or(|vm| vm.failing);
    if spec.fails || failing {
        RunEnd::Failed
    } else if spec.run > left {
        RunEnd::Lapsed
    } else {
        RunEnd::Done
    }
}

fn response_body(spec: &TaskSpec, id: &str) -> String {
    let mut text = format!("tag={} vm={id}\n", spec.tag);
    while text.len() < spec.size {
        text.push('.');
    }
    text
}

fn begin_task(
    shared: &Shared,
    id: &str,
    attempt: &str,
    request: &HttpRequest,
    spec: &TaskSpec,
) -> Result<(), &'static str> {
    let mut state = shared.lock();
    let state = &mut *state;
    let vm = state.vms.get_mut(id).ok_or("gone")?;
    let header = |name| request.headers.get(name).cloned().unwrap_or_default();
    let pool = header(HEADER_POOL);
    let lease: u64 = header(HEADER_LEASE).parse().map_err(|_| "no-lease")?;
    if vm.info.drained {
        return Err("draining");
    }
    if !vm.info.pool.is_empty() && vm.info.pool != pool {
        return Err("wrong-pool");
    }
    if vm.info.running >= vm.info.slots {
        return Err("full");
    }
    if lease <= now_ms() {
        return Err("lease-past");
    }
    if !vm.attempts.insert(attempt.to_owned()) {
        return Err(REFUSED_SEEN);
    }
    vm.info.running += 1;
    vm.running
        .insert(attempt.to_owned(), state.ledger.runs.len());
    state.ledger.runs.push(Run {
        attempt: attempt.to_owned(),
        service: header(HEADER_SERVICE),
        pool,
        vm: id.to_owned(),
        tag: spec.tag.clone(),
        began: now_ms(),
        ended: None,
        end: None,
    });
    Ok(())
}

fn stop_task(shared: &Shared, id: &str, attempt: &str) {
    shared.end(id, attempt, RunEnd::Stopped);
}

/// A guard that frees a task's slot when it is dropped, also when the caller has disconnected.
struct SlotGuard {
    shared: Shared,
    id: String,
    attempt: String,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        stop_task(&self.shared, &self.id, &self.attempt);
    }
}
