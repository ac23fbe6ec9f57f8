//! The stand-in's workers: each runs tasks as their bodies say.
//!
//! A body is words: `run=20` (milliseconds), `size=100` (bytes of the answer), `tag=x` (the
//! caller's mark), `fail` (fail at the end), `short` (announce more than is sent).

use crate::{
    http::{HandlerResponse, HttpRequest, build_response, json, serve},
    ledger::{Run, RunEnd, now_ms},
    platform::Shared,
};
use platform::task::{
    HEADER_ID, HEADER_LEASE, HEADER_POOL, HEADER_REFUSED, HEADER_SERVICE, REFUSED_SEEN, TASKS,
    USAGE, Usage,
};
use std::time::Duration;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::sleep,
};

/// What a body asks for.
#[derive(Debug, Default, PartialEq, Eq)]
struct Ask {
    run: u64,
    size: usize,
    tag: String,
    fails: bool,
    short: bool,
}

impl Ask {
    fn read(body: &str) -> Self {
        let mut ask = Self::default();
        for word in body.split_whitespace() {
            match word.split_once('=') {
                Some(("run", ms)) => ask.run = ms.parse().unwrap_or_default(),
                Some(("size", size)) => ask.size = size.parse().unwrap_or_default(),
                Some(("tag", tag)) => tag.clone_into(&mut ask.tag),
                _ if word == "fail" => ask.fails = true,
                _ if word == "short" => ask.short = true,
                _ => {}
            }
        }
        ask
    }
}

/// Listens for one VM's worker, while the VM is up, until it is removed.
pub async fn run(
    shared: Shared,
    vm: String,
    listener: TcpListener,
    mut power: watch::Receiver<bool>,
) {
    let addr = listener
        .local_addr()
        .expect("a bound listener has an address");
    let mut listener = Some(listener);
    loop {
        if !*power.borrow_and_update() {
            listener = None;
            if power.changed().await.is_err() {
                return;
            }
            continue;
        }
        if listener.is_none() {
            listener = TcpListener::bind(addr).await.ok();
        }
        let Some(open) = &listener else {
            sleep(Duration::from_millis(20)).await;
            continue;
        };
        tokio::select! {
            accepted = open.accept() => {
                if let Ok((stream, _)) = accepted {
                    tokio::spawn(connection(shared.clone(), vm.clone(), stream, power.clone()));
                }
            }
            changed = power.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}

async fn connection(
    shared: Shared,
    vm: String,
    stream: TcpStream,
    mut power: watch::Receiver<bool>,
) {
    let handle = move |request| handle(shared.clone(), vm.clone(), request);
    tokio::select! {
        () = serve(stream, handle) => {}
        _ = power.wait_for(|up| !up) => {}
    }
}

async fn handle(shared: Shared, vm: String, request: HttpRequest) -> HandlerResponse {
    if request.path == USAGE {
        return usage(&shared, &vm);
    }
    let attempt = request.path.strip_prefix(TASKS)?.to_owned();
    match request.method.as_str() {
        "POST" => task(shared, vm, attempt, request).await,
        "DELETE" => {
            stop(&shared, &vm, &attempt);
            Some(build_response(204, "text/plain", ""))
        }
        _ => Some(build_response(405, "text/plain", "")),
    }
}

fn usage(shared: &Shared, vm: &str) -> HandlerResponse {
    let state = shared.lock();
    let machine = state.machines.get(vm)?;
    Some(json(&Usage {
        running: machine.info.running,
        draining: machine.info.drained,
        boot: machine.info.boot,
    }))
}

async fn task(
    shared: Shared,
    vm: String,
    attempt: String,
    request: HttpRequest,
) -> HandlerResponse {
    let ask = Ask::read(&String::from_utf8_lossy(&request.body));
    if let Err(why) = begin(&shared, &vm, &attempt, &request, &ask) {
        let mut refusal = build_response(503, "text/plain", why);
        refusal
            .headers_mut()
            .insert(HEADER_REFUSED, why.parse().ok()?);
        return Some(refusal);
    }
    // A caller that goes away drops this future, and the guard then frees the slot.
    let guard = Guard {
        shared: shared.clone(),
        vm: vm.clone(),
        attempt: attempt.clone(),
    };
    let lease: u64 = request.headers.get(HEADER_LEASE)?.parse().ok()?;
    let left = lease.saturating_sub(now_ms());
    if ask.run > 0 {
        sleep(Duration::from_millis(ask.run.min(left))).await;
    }
    let end = end_of(&shared, &vm, &ask, left);
    shared.end(&vm, &attempt, end);
    drop(guard);
    let mut done = match end {
        RunEnd::Done => build_response(200, "text/plain", text(&ask, &vm)),
        _ => build_response(500, "text/plain", "the task failed"),
    };
    done.headers_mut().insert(HEADER_ID, attempt.parse().ok()?);
    if ask.short {
        let longer = (text(&ask, &vm).len() + 10).to_string();
        done.headers_mut()
            .insert("content-length", longer.parse().ok()?);
    }
    Some(done)
}

fn end_of(shared: &Shared, vm: &str, ask: &Ask, left: u64) -> RunEnd {
    let failing = shared
        .lock()
        .machines
        .get(vm)
        .is_none_or(|machine| machine.failing);
    if ask.fails || failing {
        RunEnd::Failed
    } else if ask.run > left {
        RunEnd::Lapsed
    } else {
        RunEnd::Done
    }
}

fn text(ask: &Ask, vm: &str) -> String {
    let mut text = format!("tag={} vm={vm}\n", ask.tag);
    while text.len() < ask.size {
        text.push('.');
    }
    text
}

fn begin(
    shared: &Shared,
    vm: &str,
    attempt: &str,
    request: &HttpRequest,
    ask: &Ask,
) -> Result<(), &'static str> {
    let mut state = shared.lock();
    let state = &mut *state;
    let machine = state.machines.get_mut(vm).ok_or("gone")?;
    let header = |name| request.headers.get(name).cloned().unwrap_or_default();
    let pool = header(HEADER_POOL);
    let lease: u64 = header(HEADER_LEASE).parse().map_err(|_| "no-lease")?;
    if machine.info.drained {
        return Err("draining");
    }
    if !machine.info.pool.is_empty() && machine.info.pool != pool {
        return Err("wrong-pool");
    }
    if machine.info.running >= machine.info.slots {
        return Err("full");
    }
    if lease <= now_ms() {
        return Err("lease-past");
    }
    if !machine.seen.insert(attempt.to_owned()) {
        return Err(REFUSED_SEEN);
    }
    machine.info.running += 1;
    machine
        .running
        .insert(attempt.to_owned(), state.ledger.runs.len());
    state.ledger.runs.push(Run {
        attempt: attempt.to_owned(),
        service: header(HEADER_SERVICE),
        pool,
        vm: vm.to_owned(),
        tag: ask.tag.clone(),
        began: now_ms(),
        ended: None,
        end: None,
    });
    Ok(())
}

fn stop(shared: &Shared, vm: &str, attempt: &str) {
    shared.end(vm, attempt, RunEnd::Stopped);
}

/// Frees the slot of a task whose caller went away.
struct Guard {
    shared: Shared,
    vm: String,
    attempt: String,
}

impl Drop for Guard {
    fn drop(&mut self) {
        stop(&self.shared, &self.vm, &self.attempt);
    }
}
