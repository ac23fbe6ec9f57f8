//! The users' VMs: the list of VMs, moves between pools and maintenance.

use super::{events::Events, log::Log, worker::Worker};
use crate::{
    http::{HandlerResponse, HttpRequest, build_response},
    proxy::{Faults, Proxy},
};
use serde_json::{Value, json as value};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering::Relaxed},
    },
    time::{Duration, Instant},
};
use tokio::time;

/// The time for which a VM is down during a move or maintenance.
const DOWNTIME: Duration = Duration::from_millis(800);

/// The time after which the log entry of a worker that ended abruptly expires: three of the
/// worker's write intervals.
const ENTRY_EXPIRY: Duration = Duration::from_millis(4_500);

/// The topic for workers' entries.
const WORKERS_TOPIC: &str = "keyed.servers";

/// An accepted order about a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmOrder {
    /// VM that the order is about.
    pub vm: String,
    /// Fencing token of the process that sent the order.
    pub fence: u64,
    /// Time at which the order was received.
    pub at: Instant,
}

/// A VM and its worker.
struct Vm {
    pool: String,
    /// State of the VM, as the list of VMs spells it.
    state: &'static str,
    /// Highest fencing token among the orders about the VM.
    fence: u64,
    /// Waves in which the VM has been maintained.
    waves: Vec<u64>,
    /// Worker of the VM while it is up.
    worker: Option<Arc<Worker>>,
    /// Address of the proxy in front of the worker.
    address: Option<SocketAddr>,
    /// Faults of the link to the worker.
    link: Arc<Faults>,
}

/// All VMs; clones share them.
#[derive(Clone)]
pub struct Cloud {
    log: Log,
    events: Events,
    vms: Arc<Mutex<BTreeMap<String, Vm>>>,
    /// Whether a worker that has ended restarts under the same id instead of a new one.
    keeps_ids: Arc<AtomicBool>,
    /// VM of each worker id so far, in the order in which the ids were assigned.
    worker_vms: Arc<Mutex<Vec<String>>>,
    /// Accepted orders in the order in which they were received.
    orders: Arc<Mutex<Vec<VmOrder>>>,
    /// Text of a row that the list of VMs holds before all others.
    odd_row: Arc<Mutex<Option<String>>>,
}

impl Cloud {
    /// Creates a cloud without VMs whose workers register in `log`.
    pub fn new(log: Log, events: Events) -> Self {
        Cloud {
            log,
            events,
            vms: Arc::default(),
            keeps_ids: Arc::default(),
            worker_vms: Arc::default(),
            orders: Arc::default(),
            odd_row: Arc::default(),
        }
    }

    /// Adds a row to the list of VMs, which need not describe one.
    pub fn add_odd_row(&self, text: &str) {
        *self.odd_row.lock().expect("no thread panics here") = Some(text.to_owned());
    }

    /// Makes workers keep their ids across restarts, whether a task ended them or their VM was
    /// moved or maintained. Applies to workers that are added from now on.
    pub fn keep_ids(&self) {
        self.keeps_ids.store(true, Relaxed);
    }

    /// Adds a VM to a pool.
    ///
    /// # Errors
    ///
    /// Fails when no port is free.
    pub async fn add(&self, name: &str, pool: &str) -> std::io::Result<()> {
        let vm = Vm {
            pool: pool.to_owned(),
            state: "down",
            fence: 0,
            waves: Vec::new(),
            worker: None,
            address: None,
            link: Arc::default(),
        };
        self.vms().insert(name.to_owned(), vm);
        self.boot(name).await
    }

    /// Returns the names of all VMs.
    pub fn names(&self) -> Vec<String> {
        self.vms().keys().cloned().collect()
    }

    /// Returns the VM on which a worker runs or ran.
    pub fn vm_of(&self, worker: &str) -> Option<String> {
        let number: String = worker
            .chars()
            .filter(char::is_ascii_digit)
            .take(4)
            .collect();
        let index = number.parse::<usize>().ok()?.checked_sub(1)?;
        let worker_vms = self.worker_vms.lock().expect("no thread panics here");
        worker_vms.get(index).cloned()
    }

    /// Returns the orders accepted so far.
    pub fn orders(&self) -> Vec<VmOrder> {
        self.orders.lock().expect("no thread panics here").clone()
    }

    /// Crashes a VM's worker abruptly. After the usual downtime the VM has a new worker, or the same one
    /// after a restart if workers keep their ids.
    pub fn crash(&self, name: &str) {
        self.take_down(name, "down");
    }

    /// Crashes a VM's worker abruptly. It restarts under the same id after `delay` and writes its
    /// entry again.
    pub fn restart(&self, name: &str, delay: Duration) {
        let found = self.vms().get(name).and_then(|vm| vm.worker.clone());
        let Some(worker) = found else { return };
        worker.restart(delay);
        let (cloud, name) = (self.clone(), name.to_owned());
        tokio::spawn(async move {
            time::sleep(delay).await;
            cloud.write_entry(&name);
        });
    }

    /// Watches for the end of a VM's worker caused by a task. A worker that keeps its id writes its
    /// entry again after the restart. Otherwise the VM goes down and boots a new worker later, and
    /// the old entry expires after [`ENTRY_EXPIRY`].
    fn watch_crashes(&self, name: &str, worker: Arc<Worker>) {
        let (cloud, name) = (self.clone(), name.to_owned());
        tokio::spawn(async move {
            worker.crashed.notified().await;
            while cloud.keeps_ids.load(Relaxed) {
                time::sleep(DOWNTIME).await;
                cloud.write_entry(&name);
                worker.crashed.notified().await;
            }
            if cloud.detach_worker(&name, &worker) {
                cloud.boot_later(&name);
                time::sleep(ENTRY_EXPIRY).await;
                cloud.log.put(WORKERS_TOPIC, &worker.id, b"");
            }
        });
    }

    /// Detaches a worker that has ended from its VM and marks the VM as down; returns false if the
    /// VM has another worker.
    fn detach_worker(&self, name: &str, worker: &Worker) -> bool {
        let mut vms = self.vms();
        let Some(vm) = vms.get_mut(name) else {
            return false;
        };
        let detached = vm.worker.take_if(|its| its.id == worker.id).is_some();
        if detached {
            vm.state = "down";
        }
        detached
    }

    /// Boots a new worker on a VM after [`DOWNTIME`].
    fn boot_later(&self, name: &str) {
        let (cloud, name) = (self.clone(), name.to_owned());
        tokio::spawn(async move {
            time::sleep(DOWNTIME).await;
            cloud.boot(&name).await.expect("a port is free");
        });
    }

    /// Returns the worker that a VM has now.
    pub fn worker(&self, name: &str) -> Option<Arc<Worker>> {
        self.vms().get(name)?.worker.clone()
    }

    /// Returns the faults of the link to the worker that a VM has now.
    pub fn link(&self, name: &str) -> Option<Arc<Faults>> {
        self.vms().get(name).map(|vm| Arc::clone(&vm.link))
    }

    /// Handles a request.
    pub async fn handle(&self, request: HttpRequest) -> HandlerResponse {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let name = body["machine"].as_str().unwrap_or_default();
        let fence = request
            .headers
            .get("fencing-token")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let status = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/machines") => {
                return Some(build_response(200, "application/json", self.list()));
            }
            ("POST", "/machine-move") => {
                self.move_to(name, body["pool"].as_str().unwrap_or_default(), fence)
            }
            ("POST", "/machine-upkeep") => {
                self.maintain(name, body["wave"].as_u64().unwrap_or(0), fence)
            }
            _ => Err("call"),
        };
        Some(match status {
            Ok(()) => build_response(200, "application/json", "{}"),
            Err(reason) => build_response(
                409,
                "application/json",
                value!({ "reason": reason }).to_string(),
            ),
        })
    }

    fn vms(&self) -> MutexGuard<'_, BTreeMap<String, Vm>> {
        self.vms.lock().expect("no thread panics here")
    }

    fn list(&self) -> String {
        let vms = self.vms();
        let row = |(name, vm): (&String, &Vm)| {
            value!({
                "machine": name,
                "pool": vm.pool,
                "state": vm.state,
                "zone": hall_of(name),
                "labels": ["k", "r1"],
                "capacity": capacity(),
                "id": vm.worker.as_ref().map(|worker| worker.id.clone()),
            })
        };
        let odd_row = self.odd_row.lock().expect("no thread panics here").clone();
        let rows: Vec<String> = vms.iter().map(|vm| row(vm).to_string()).collect();
        let rows: Vec<String> = odd_row.into_iter().chain(rows).collect();
        format!(
            r#"{{"machines":[{}],"next-page-token":null}}"#,
            rows.join(",")
        )
    }

    fn move_to(&self, name: &str, pool: &str, fence: u64) -> Result<(), &'static str> {
        self.accept_order(name, fence)?;
        if self.vms().get(name).is_some_and(|vm| vm.pool == pool) {
            return Ok(());
        }
        self.check_up(name)?;
        if let Some(vm) = self.vms().get_mut(name) {
            vm.pool = pool.to_owned();
        }
        self.take_down(name, "moving");
        Ok(())
    }

    fn maintain(&self, name: &str, wave: u64, fence: u64) -> Result<(), &'static str> {
        self.accept_order(name, fence)?;
        if self
            .vms()
            .get(name)
            .is_some_and(|vm| vm.waves.contains(&wave))
        {
            return Ok(());
        }
        self.check_up(name)?;
        if let Some(vm) = self.vms().get_mut(name) {
            vm.waves.push(wave);
        }
        self.take_down(name, "upkeep");
        Ok(())
    }

    /// Records an order unless a higher fencing token was seen for the VM.
    fn accept_order(&self, name: &str, fence: u64) -> Result<(), &'static str> {
        let mut vms = self.vms();
        let vm = vms.get_mut(name).ok_or("busy")?;
        if fence < vm.fence {
            return Err("fence");
        }
        vm.fence = fence;
        let mut orders = self.orders.lock().expect("no thread panics here");
        orders.push(VmOrder {
            vm: name.to_owned(),
            fence,
            at: Instant::now(),
        });
        Ok(())
    }

    fn check_up(&self, name: &str) -> Result<(), &'static str> {
        let up = self.vms().get(name).is_some_and(|vm| vm.state == "up");
        up.then_some(()).ok_or("busy")
    }

    /// Ends the worker of a VM and boots the VM again later.
    fn take_down(&self, name: &str, state: &'static str) {
        if self.keeps_ids.load(Relaxed) {
            return self.take_down_temporarily(name, state);
        }
        let worker = self.vms().get_mut(name).and_then(|vm| {
            vm.state = state;
            vm.worker.take()
        });
        let Some(worker) = worker else { return };
        worker.kill();
        self.log.put(WORKERS_TOPIC, &worker.id, b"");
        self.boot_later(name);
    }

    /// Ends the worker of a VM; it restarts under the same id when the VM is up again.
    fn take_down_temporarily(&self, name: &str, state: &'static str) {
        if let Some(vm) = self.vms().get_mut(name) {
            vm.state = state;
        }
        self.restart(name, DOWNTIME);
        let (cloud, name) = (self.clone(), name.to_owned());
        tokio::spawn(async move {
            time::sleep(DOWNTIME).await;
            if let Some(vm) = cloud.vms().get_mut(&name) {
                vm.state = "up";
            }
        });
    }

    /// Starts a new worker on a VM and registers it.
    async fn boot(&self, name: &str) -> std::io::Result<()> {
        let number = {
            let mut worker_vms = self.worker_vms.lock().expect("no thread panics here");
            worker_vms.push(name.to_owned());
            worker_vms.len()
        };
        let restart_delay = self.keeps_ids.load(Relaxed).then_some(DOWNTIME);
        let id = format!("i-{number:04}");
        let worker = Worker::start(id, restart_delay, self.events.clone()).await?;
        let address = *worker.address.lock().expect("no thread panics here");
        let Some(address) = address else {
            return Ok(());
        };
        let proxy = Proxy::start(address).await?;
        if let Some(vm) = self.vms().get_mut(name) {
            vm.state = "up";
            vm.worker = Some(Arc::clone(&worker));
            vm.address = Some(proxy.addr);
            vm.link = Arc::clone(&proxy.faults);
        }
        self.write_entry(name);
        self.watch_crashes(name, worker);
        Ok(())
    }

    /// Marks the entry of a VM's worker as draining; the worker keeps serving requests.
    pub fn announce_draining(&self, name: &str) {
        self.write_entry_in_state(name, "draining");
    }

    /// Writes the entry of a VM's worker as ready, if the VM has a worker.
    fn write_entry(&self, name: &str) {
        self.write_entry_in_state(name, "ready");
    }

    /// Writes the entry of a VM's worker in the given state, if the VM has a worker.
    fn write_entry_in_state(&self, name: &str, state: &str) {
        let vms = self.vms();
        let Some(vm) = vms.get(name) else { return };
        let (Some(worker), Some(address)) = (&vm.worker, vm.address) else {
            return;
        };
        let entry = value!({
            "service": vm.pool, "address": address.to_string(), "zone": hall_of(name), "version": "v1",
            "slots": 8, "state": state, "cold-remaining-ms": 0, "capacity": capacity(),
            "labels": ["k", "r1"], "born": worker.started_at_ms(), "sequence": 1,
        });
        self.log
            .put(WORKERS_TOPIC, &worker.id, entry.to_string().as_bytes());
    }
}

/// Returns the data centre of a VM: `b` if the number at the end of its name is odd, otherwise `a`.
pub fn hall_of(name: &str) -> &'static str {
    let odd = name.ends_with(['1', '3', '5', '7', '9']);
    if odd { "b" } else { "a" }
}

/// Returns the capacity of a VM: eight tasks of one core each.
fn capacity() -> Value {
    value!({ "cpu": 8_000, "mem-mb": 8_000, "gpu": 0 })
}
