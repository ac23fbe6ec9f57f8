//! The stand-in's platform: log, list of VMs, calls, faults and the ledger, over HTTP.

use crate::{
    http::{HandlerResponse, HttpRequest, build_response, json, serve},
    ledger::{Ledger, RunEnd, VmEventKind, now_ms},
    log::Streams,
    vm::{Effect, Machine},
    worker,
};
use platform::{Appended, VmCall, VmInfo, VmLifecycle};
use protocol::encode;
use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant, UNIX_EPOCH},
};
use tokio::{
    net::TcpListener,
    sync::Notify,
    time::{sleep, sleep_until},
};

/// What the platform is made of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Halls by name, with the number of VMs in each.
    pub halls: Vec<(String, u32)>,
    /// VMs to a rack.
    pub rack: u32,
    /// Slots of each worker.
    pub slots: u32,
    /// Time of a reboot.
    pub reboot: Duration,
    /// How far the list of VMs lags.
    pub lag: Duration,
    /// Time for which the log keeps records.
    pub keep: Duration,
    /// Appends that the log takes in a second.
    pub rate: u32,
}

/// Everything the platform knows.
pub struct State {
    /// The VMs.
    pub machines: BTreeMap<String, Machine>,
    /// What really happened.
    pub ledger: Ledger,
    streams: Streams,
    list: Vec<VmInfo>,
    down: Option<Instant>,
    lose: u64,
    /// A fault that strikes a time after the next reboot has begun.
    trap: Option<(Duration, String, HttpRequest)>,
    plan: Plan,
}

/// The state, shared between connections.
#[derive(Clone)]
pub struct Shared {
    state: Arc<Mutex<State>>,
    appended: Arc<Notify>,
}

impl Shared {
    /// Locks the state.
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Ends a task, if it still runs.
    pub fn end(&self, vm: &str, attempt: &str, end: RunEnd) {
        let mut state = self.lock();
        let state = &mut *state;
        let Some(machine) = state.machines.get_mut(vm) else {
            return;
        };
        if let Some(place) = machine.running.remove(attempt) {
            machine.info.running -= 1;
            state.ledger.runs[place].end = Some(end);
            state.ledger.runs[place].ended = Some(now_ms());
        }
    }
}

/// Starts the platform and its workers; serves until the process ends.
pub async fn run(plan: Plan, listener: TcpListener) {
    let shared = Shared {
        state: Arc::new(Mutex::new(State {
            machines: BTreeMap::new(),
            ledger: Ledger::default(),
            streams: Streams::new(plan.keep, plan.rate),
            list: Vec::new(),
            down: None,
            lose: 0,
            trap: None,
            plan: plan.clone(),
        })),
        appended: Arc::default(),
    };
    let mut number = 0;
    for (hall, count) in &plan.halls {
        for index in 0..*count {
            number += 1;
            let rack = format!("{hall}-rack-{}", index / plan.rack.max(1) + 1);
            add(&shared, format!("vm-{number}"), hall, rack).await;
        }
    }
    tokio::spawn(refresh(shared.clone(), plan.lag));
    while let Ok((stream, _)) = listener.accept().await {
        let shared = shared.clone();
        tokio::spawn(serve(stream, move |request| {
            handle(shared.clone(), request)
        }));
    }
}

async fn add(shared: &Shared, id: String, hall: &str, rack: String) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(any).await.expect("a free port");
    let addr = listener
        .local_addr()
        .expect("a bound listener has an address");
    let machine = Machine::new(VmInfo {
        id: id.clone(),
        hall: hall.to_owned(),
        rack,
        addr: addr.to_string(),
        slots: shared.lock().plan.slots,
        boot: 1,
        state: VmLifecycle::Live,
        up: true,
        drained: false,
        running: 0,
        pool: String::new(),
        token: 0,
    });
    let power = machine.power.subscribe();
    shared.lock().machines.insert(id.clone(), machine);
    tokio::spawn(worker::run(shared.clone(), id, listener, power));
}

/// Renews the list of VMs, which lags by `lag`.
async fn refresh(shared: Shared, lag: Duration) {
    loop {
        {
            let mut state = shared.lock();
            state.list = state
                .machines
                .values()
                .map(|machine| machine.info.clone())
                .collect();
        }
        sleep(lag.max(Duration::from_millis(1))).await;
    }
}

async fn handle(shared: Shared, request: HttpRequest) -> HandlerResponse {
    let parts: Vec<&str> = request.path.trim_matches('/').split('/').collect();
    if parts[0] != "fault" && parts[0] != "ledger" {
        let down = shared.lock().down;
        if down.is_some_and(|until| Instant::now() < until) {
            return None;
        }
    }
    match (request.method.as_str(), parts.as_slice()) {
        ("POST", ["log", stream]) => append(&shared, stream, &request).await,
        ("GET", ["log", stream]) => read(&shared, stream, &request).await,
        ("GET", ["log", stream, "at"]) => {
            let at = UNIX_EPOCH + Duration::from_millis(request.query_number("ms")?);
            let offset = shared.lock().streams.offset_at(stream, at);
            Some(json(&Appended { offset }))
        }
        ("GET", ["vms"]) => list(&shared, &request),
        ("GET", ["vms", vm]) => match shared.lock().machines.get(*vm) {
            Some(machine) => Some(json(&machine.info)),
            None => Some(build_response(404, "text/plain", "no such VM")),
        },
        ("POST", ["vms", vm]) => vm_call(&shared, vm, &request),
        ("GET", ["ledger", "appends"]) => Some(json(&shared.lock().streams.appends)),
        ("GET", ["ledger"]) => Some(json(&shared.lock().ledger)),
        ("POST", ["fault", rest @ ..]) => fault(&shared, rest, &request).await,
        _ => Some(build_response(404, "text/plain", "no such path")),
    }
}

/// The list of VMs, of one hall or all, unless the caller's copy is still right. Counts of
/// running tasks alone do not make a new list.
fn list(shared: &Shared, request: &HttpRequest) -> HandlerResponse {
    let hall = request.query.get("hall");
    let state = shared.lock();
    let in_hall = |vm: &&VmInfo| hall.is_none_or(|hall| vm.hall == *hall);
    let vms: Vec<VmInfo> = state.list.iter().filter(in_hall).cloned().collect();
    let mut hasher = DefaultHasher::new();
    for vm in &vms {
        format!(
            "{:?}",
            VmInfo {
                running: 0,
                ..vm.clone()
            }
        )
        .hash(&mut hasher);
    }
    let tag = format!("\"{:x}\"", hasher.finish());
    if request.headers.get("if-none-match") == Some(&tag) {
        return Some(build_response(304, "application/json", ""));
    }
    let mut response = json(&vms);
    response.headers_mut().insert("etag", tag.parse().ok()?);
    Some(response)
}

async fn append(shared: &Shared, stream: &str, request: &HttpRequest) -> HandlerResponse {
    let turn = shared.lock().streams.turn();
    sleep_until(turn.into()).await;
    let offset = shared.lock().streams.append(stream, request.body.to_vec());
    shared.appended.notify_waiters();
    or_lost(shared, json(&Appended { offset }))
}

async fn read(shared: &Shared, stream: &str, request: &HttpRequest) -> HandlerResponse {
    let from = request.query_number("from").unwrap_or_default();
    let wait = Duration::from_millis(request.query_number("wait_ms").unwrap_or_default());
    let until = Instant::now() + wait;
    loop {
        let appended = shared.appended.notified();
        let slice = shared.lock().streams.read(stream, from);
        let left = until.saturating_duration_since(Instant::now());
        if !slice.records.is_empty() || left.is_zero() || slice.has_gap(from) {
            let body = encode(&slice).expect("a slice has a form in the codec");
            return Some(build_response(200, "application/msgpack", body));
        }
        tokio::select! {
            () = appended => {}
            () = sleep(left) => {}
        }
    }
}

/// Gives the answer, or loses it although the call has taken effect.
fn or_lost(
    shared: &Shared,
    response: hyper::Response<http_body_util::Full<bytes::Bytes>>,
) -> HandlerResponse {
    let mut state = shared.lock();
    if state.lose > 0 {
        state.lose -= 1;
        return None;
    }
    Some(response)
}

fn vm_call(shared: &Shared, vm: &str, request: &HttpRequest) -> HandlerResponse {
    let Ok(wanted) = serde_json::from_slice::<VmCall>(&request.body) else {
        return Some(build_response(400, "text/plain", "not a call"));
    };
    let (effect, failures) = {
        let mut state = shared.lock();
        let state = &mut *state;
        let Some(machine) = state.machines.get_mut(vm) else {
            return Some(build_response(404, "text/plain", "no such VM"));
        };
        let effect = machine.call(&wanted, &mut state.ledger, state.plan.reboot);
        let failures = machine.failures;
        if matches!(effect, Effect::Removed) {
            state.machines.remove(vm);
        }
        (effect, failures)
    };
    match effect {
        Effect::Done | Effect::Removed => {}
        Effect::Stale => return Some(build_response(409, "text/plain", "stale")),
        Effect::BackAfter(time) => {
            spring_trap(shared);
            back_after(shared, vm, time, VmEventKind::Back, failures);
        }
    }
    or_lost(shared, build_response(200, "application/json", "{}"))
}

/// Brings a VM back after a time, unless it has failed once more than so often meanwhile.
fn back_after(shared: &Shared, vm: &str, time: Duration, kind: VmEventKind, failures: u32) {
    let (shared, vm) = (shared.clone(), vm.to_owned());
    tokio::spawn(async move {
        sleep(time).await;
        let mut state = shared.lock();
        let state = &mut *state;
        if let Some(machine) = state.machines.get_mut(&vm)
            && machine.failures == failures
        {
            machine.restore(&mut state.ledger, kind);
        }
    });
}

/// A reboot has begun: the fault that waits for one strikes after its time.
fn spring_trap(shared: &Shared) {
    let Some((delay, rack, request)) = shared.lock().trap.take() else {
        return;
    };
    let shared = shared.clone();
    tokio::spawn(async move {
        sleep(delay).await;
        fault_rack(&shared, &rack, &request);
    });
}

/// Injects a fault: `log?down_ms=`, `lose?n=`, `vm/<id>?down_ms=|slow=|failing=|leaving=`,
/// `rack/<id>?down_ms=`, with `&after_reboot_ms=` so long after the next reboot has begun, `add/<hall>/<rack>/<id>`, `via/<vm>/<address>`.
async fn fault(shared: &Shared, path: &[&str], request: &HttpRequest) -> HandlerResponse {
    match path {
        ["log"] => {
            let time = Duration::from_millis(request.query_number("down_ms")?);
            shared.lock().down = Some(Instant::now() + time);
        }
        ["lose"] => shared.lock().lose = request.query_number("n")?,
        ["rack", rack] => match request.query_number("after_reboot_ms") {
            Some(ms) => {
                let delay = Duration::from_millis(ms);
                shared.lock().trap = Some((delay, (*rack).to_owned(), request.clone()));
            }
            None => fault_rack(shared, rack, request),
        },
        ["vm", vm] => fault_vm(shared, vm, request),
        ["via", vm, addr] => {
            if let Some(machine) = shared.lock().machines.get_mut(*vm) {
                (*addr).clone_into(&mut machine.info.addr);
            }
        }
        ["add", hall, rack, vm] => {
            add(shared, (*vm).to_owned(), hall, (*rack).to_owned()).await;
        }
        _ => return Some(build_response(404, "text/plain", "no such fault")),
    }
    Some(build_response(200, "application/json", "{}"))
}

/// Injects a fault into all VMs of a rack.
fn fault_rack(shared: &Shared, rack: &str, request: &HttpRequest) {
    let vms: Vec<String> = shared
        .lock()
        .machines
        .values()
        .filter(|machine| machine.info.rack == rack)
        .map(|machine| machine.info.id.clone())
        .collect();
    for vm in vms {
        fault_vm(shared, &vm, request);
    }
}

fn fault_vm(shared: &Shared, vm: &str, request: &HttpRequest) {
    let mut state = shared.lock();
    let state = &mut *state;
    let Some(machine) = state.machines.get_mut(vm) else {
        return;
    };
    if let Some(slow) = request.query_number("slow") {
        machine.slowness = u32::try_from(slow).unwrap_or(u32::MAX);
    }
    if let Some(failing) = request.query_number("failing") {
        machine.failing = failing > 0;
    }
    if request.query.contains_key("leaving") {
        machine.info.state = VmLifecycle::Leaving;
    }
    if let Some(time) = request.query_number("down_ms") {
        machine.fail(&mut state.ledger);
        let failures = machine.failures;
        back_after(
            shared,
            vm,
            Duration::from_millis(time),
            VmEventKind::Restore,
            failures,
        );
    }
}
