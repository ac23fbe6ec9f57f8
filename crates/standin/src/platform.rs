//! The stand-in's platform over HTTP: log, list of VMs, calls about VMs, faults and the ledger.

use crate::{
    http::{HandlerResponse, HttpRequest, build_response, json, serve},
    ledger::{Ledger, RunEnd, VmEventKind, now_ms},
    log::Streams,
    vm::{Effect, SimulatedVm},
    worker::{self, Port},
};
use platform::{Appended, VmCall, VmInfo, VmLifecycle};
use protocol::encode;
use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, mpsc},
    thread,
    time::{Duration, Instant, UNIX_EPOCH},
};
use tokio::{
    net::TcpListener,
    runtime::{Builder, Handle},
    sync::Notify,
    time::{sleep, sleep_until},
};

/// Settings of the platform.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Names of the data centres, with the number of VMs in each.
    pub halls: Vec<(String, u32)>,
    /// Number of VMs per rack.
    pub rack: u32,
    /// Slots of each worker.
    pub slots: u32,
    /// Duration of a reboot.
    pub reboot: Duration,
    /// Delay with which the list of VMs is updated.
    pub lag: Duration,
    /// Retention time of the log's records.
    pub keep: Duration,
    /// Maximum number of appends to the log per second.
    pub rate: u32,
}

/// The state of the platform.
pub struct State {
    /// VMs by their ids.
    pub vms: BTreeMap<String, SimulatedVm>,
    /// Runs of tasks and events of VMs so far.
    pub ledger: Ledger,
    streams: Streams,
    listed: Vec<VmInfo>,
    down_until: Option<Instant>,
    responses_to_lose: u64,
    /// A fault that is injected into a rack at a given time after the next reboot begins.
    pending_fault: Option<(Duration, String, HttpRequest)>,
    plan: Plan,
}

/// A handle to the state that connections share.
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

    /// Records the end of a task if it still runs.
    pub fn end(&self, id: &str, attempt: &str, end: RunEnd) {
        let mut state = self.lock();
        let state = &mut *state;
        let Some(vm) = state.vms.get_mut(id) else {
            return;
        };
        if let Some(index) = vm.running.remove(attempt) {
            vm.info.running -= 1;
            state.ledger.runs[index].end = Some(end);
            state.ledger.runs[index].ended = Some(now_ms());
        }
    }
}

/// Runs the platform in a thread of its own, until the process ends. Returns the handle of its runtime and its address.
pub fn start(plan: Plan) -> (Handle, SocketAddr) {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("the system provides an event queue");
        let handle = runtime.handle().clone();
        runtime.block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let addr = listener
                .local_addr()
                .expect("a bound listener has an address");
            sender
                .send((handle, addr))
                .expect("the caller waits for the address");
            run(plan, listener).await;
        });
    });
    receiver.recv().expect("the platform has started")
}

/// Starts the platform and its workers, and serves requests until the process ends.
pub async fn run(plan: Plan, listener: TcpListener) {
    let shared = Shared {
        state: Arc::new(Mutex::new(State {
            vms: BTreeMap::new(),
            ledger: Ledger::default(),
            streams: Streams::new(plan.keep, plan.rate),
            listed: Vec::new(),
            down_until: None,
            responses_to_lose: 0,
            pending_fault: None,
            plan: plan.clone(),
        })),
        appended: Arc::default(),
    };
    let mut number = 0;
    for (hall, count) in &plan.halls {
        for index in 0..*count {
            number += 1;
            let rack = format!("{hall}-rack-{}", index / plan.rack.max(1) + 1);
            add(&shared, format!("vm-{number}"), hall, rack);
        }
    }
    tokio::spawn(refresh(shared.clone(), plan.lag));
    while let Ok((stream, _)) = listener.accept().await {
        let shared = shared.clone();
        tokio::spawn(serve(stream, move |req| handle(shared.clone(), req)));
    }
}

fn add(shared: &Shared, id: String, hall: &str, rack: String) {
    let port = Port::reserve().expect("a free port");
    let vm = SimulatedVm::new(VmInfo {
        id: id.clone(),
        hall: hall.to_owned(),
        rack,
        addr: port.addr().to_string(),
        slots: shared.lock().plan.slots,
        boot: 1,
        state: VmLifecycle::Live,
        up: true,
        drained: false,
        running: 0,
        pool: String::new(),
        token: 0,
    });
    let power = vm.power.subscribe();
    shared.lock().vms.insert(id.clone(), vm);
    tokio::spawn(worker::run(shared.clone(), id, port, power));
}

/// Updates the list of VMs every `lag`, so that it lags behind by up to that time.
async fn refresh(shared: Shared, lag: Duration) {
    loop {
        {
            let mut state = shared.lock();
            state.listed = state.vms.values().map(|vm| vm.info.clone()).collect();
        }
        sleep(lag.max(Duration::from_millis(1))).await;
    }
}

async fn handle(shared: Shared, request: HttpRequest) -> HandlerResponse {
    let parts: Vec<&str> = request.path.trim_matches('/').split('/').collect();
    if parts[0] != "fault" && parts[0] != "ledger" {
        let down_until = shared.lock().down_until;
        if down_until.is_some_and(|until| Instant::now() < until) {
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
        ("GET", ["vms", id]) => match shared.lock().vms.get(*id) {
            Some(vm) => Some(json(&vm.info)),
            None => Some(build_response(404, "text/plain", "no such VM")),
        },
        ("POST", ["vms", id]) => vm_call(&shared, id, &request),
        ("GET", ["ledger", "appends"]) => Some(json(&shared.lock().streams.appends)),
        ("GET", ["ledger"]) => Some(json(&shared.lock().ledger)),
        ("POST", ["fault", rest @ ..]) => fault(&shared, rest, &request),
        _ => Some(build_response(404, "text/plain", "no such path")),
    }
}

/// Returns the list of VMs of one data centre or of all, or "not modified" if the caller's copy is
/// current. A change in the number of running tasks alone doesn't change the list's tag.
fn list(shared: &Shared, request: &HttpRequest) -> HandlerResponse {
    let hall = request.query.get("hall");
    let state = shared.lock();
    let in_hall = |vm: &&VmInfo| hall.is_none_or(|hall| vm.hall == *hall);
    let vms: Vec<VmInfo> = state.listed.iter().filter(in_hall).cloned().collect();
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
    let append_at = shared.lock().streams.reserve_append();
    sleep_until(append_at.into()).await;
    let offset = shared.lock().streams.append(stream, request.body.to_vec());
    shared.appended.notify_waiters();
    respond_unless_lost(shared, json(&Appended { offset }))
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

/// Returns the response, or drops it if responses are to be lost; the call has taken effect either
/// way.
fn respond_unless_lost(
    shared: &Shared,
    response: hyper::Response<http_body_util::Full<bytes::Bytes>>,
) -> HandlerResponse {
    let mut state = shared.lock();
    if state.responses_to_lose > 0 {
        state.responses_to_lose -= 1;
        return None;
    }
    Some(response)
}

fn vm_call(shared: &Shared, id: &str, request: &HttpRequest) -> HandlerResponse {
    let Ok(wanted) = serde_json::from_slice::<VmCall>(&request.body) else {
        return Some(build_response(400, "text/plain", "not a call"));
    };
    let (effect, failures) = {
        let mut state = shared.lock();
        let state = &mut *state;
        let Some(vm) = state.vms.get_mut(id) else {
            return Some(build_response(404, "text/plain", "no such VM"));
        };
        let effect = vm.call(&wanted, &mut state.ledger, state.plan.reboot);
        let failures = vm.failures;
        if matches!(effect, Effect::Removed) {
            state.vms.remove(id);
        }
        (effect, failures)
    };
    match effect {
        Effect::Done | Effect::Removed => {}
        Effect::Stale => return Some(build_response(409, "text/plain", "stale")),
        Effect::BackAfter(time) => {
            inject_pending_fault(shared);
            back_after(shared, id, time, VmEventKind::Back, failures);
        }
    }
    respond_unless_lost(shared, build_response(200, "application/json", "{}"))
}

/// Brings a VM back after `time`, unless it has failed again meanwhile: `failures` is the number of
/// its failures so far.
fn back_after(shared: &Shared, id: &str, time: Duration, kind: VmEventKind, failures: u32) {
    let (shared, id) = (shared.clone(), id.to_owned());
    tokio::spawn(async move {
        sleep(time).await;
        let mut state = shared.lock();
        let state = &mut *state;
        if let Some(vm) = state.vms.get_mut(&id)
            && vm.failures == failures
        {
            vm.restore(&mut state.ledger, kind);
        }
    });
}

/// Injects the pending fault, if there is one, after its delay. Called when a reboot begins.
fn inject_pending_fault(shared: &Shared) {
    let Some((delay, rack, request)) = shared.lock().pending_fault.take() else {
        return;
    };
    let shared = shared.clone();
    tokio::spawn(async move {
        sleep(delay).await;
        fault_rack(&shared, &rack, &request);
    });
}

/// Injects the fault that the path names: `log?down_ms=` (an outage of the platform), `lose?n=`
/// (the next `n` responses are lost), `vm/<id>?down_ms=|slow=|failing=|leaving=`,
/// `rack/<id>?down_ms=` (with `&after_reboot_ms=`: only that long after the next reboot has begun),
/// `add/<hall>/<rack>/<id>` (a new VM) and `via/<vm>/<address>` (another address of the VM's
/// worker).
fn fault(shared: &Shared, path: &[&str], request: &HttpRequest) -> HandlerResponse {
    match path {
        ["log"] => {
            let time = Duration::from_millis(request.query_number("down_ms")?);
            shared.lock().down_until = Some(Instant::now() + time);
        }
        ["lose"] => shared.lock().responses_to_lose = request.query_number("n")?,
        ["rack", rack] => match request.query_number("after_reboot_ms") {
            Some(ms) => {
                let delay = Duration::from_millis(ms);
                shared.lock().pending_fault = Some((delay, (*rack).to_owned(), request.clone()));
            }
            None => fault_rack(shared, rack, request),
        },
        ["vm", id] => fault_vm(shared, id, request),
        ["via", id, addr] => {
            if let Some(vm) = shared.lock().vms.get_mut(*id) {
                (*addr).clone_into(&mut vm.info.addr);
            }
        }
        ["add", hall, rack, id] => {
            add(shared, (*id).to_owned(), hall, (*rack).to_owned());
        }
        _ => return Some(build_response(404, "text/plain", "no such fault")),
    }
    Some(build_response(200, "application/json", "{}"))
}

/// Injects a fault into all VMs of a rack.
fn fault_rack(shared: &Shared, rack: &str, request: &HttpRequest) {
    let ids: Vec<String> = shared
        .lock()
        .vms
        .values()
        .filter(|vm| vm.info.rack == rack)
        .map(|vm| vm.info.id.clone())
        .collect();
    for id in ids {
        fault_vm(shared, &id, request);
    }
}

fn fault_vm(shared: &Shared, id: &str, request: &HttpRequest) {
    let mut state = shared.lock();
    let state = &mut *state;
    let Some(vm) = state.vms.get_mut(id) else {
        return;
    };
    if let Some(slow) = request.query_number("slow") {
        vm.reboot_factor = u32::try_from(slow).unwrap_or(u32::MAX);
    }
    if let Some(failing) = request.query_number("failing") {
        vm.failing = failing > 0;
    }
    if request.query.contains_key("leaving") {
        vm.info.state = VmLifecycle::Leaving;
    }
    if let Some(time) = request.query_number("down_ms") {
        vm.fail(&mut state.ledger);
        let failures = vm.failures;
        back_after(
            shared,
            id,
            Duration::from_millis(time),
            VmEventKind::Restore,
            failures,
        );
    }
}
