//! The users' VMs: their list, moves between pools and upkeep.

use super::{events::Events, log::Log, worker::Worker};
use crate::{
    http::{HandlerResponse, HttpRequest, build_response, json},
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

/// How long a VM is away for a move or an upkeep.
const AWAY: Duration = Duration::from_millis(800);

/// How long the entry of a worker stays that has ended without notice: three of its writes.
const LAPSE: Duration = Duration::from_millis(4_500);

/// The topic with the workers' entries.
const WORKERS: &str = "keyed.servers";

/// An order about a VM that was taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ordered {
    /// The VM.
    pub vm: String,
    /// The fence of the process that gave it.
    pub fence: u64,
    /// When it came.
    pub at: Instant,
}

/// A VM.
struct Vm {
    pool: String,
    /// Its state, in the words of the list.
    state: &'static str,
    /// The highest fence that an order about it had.
    fence: u64,
    /// The waves in which it has had its upkeep.
    waves: Vec<u64>,
    /// Its worker, while it is up.
    worker: Option<Arc<Worker>>,
    /// Where that takes calls.
    address: Option<SocketAddr>,
    /// The faults of the way to its worker.
    link: Arc<Faults>,
}

/// All VMs; clones share them.
#[derive(Clone)]
pub struct Cloud {
    log: Log,
    events: Events,
    vms: Arc<Mutex<BTreeMap<String, Vm>>>,
    /// Whether a worker that has ended starts again under its id, and not under another.
    keeps_ids: Arc<AtomicBool>,
    /// The VM of each life of a worker that there has been, in the order in which they began.
    lives: Arc<Mutex<Vec<String>>>,
    /// The orders that were taken, in the order in which they came.
    orders: Arc<Mutex<Vec<Ordered>>>,
}

impl Cloud {
    /// A cloud without VMs, whose workers are listed in this log.
    pub fn new(log: Log, events: Events) -> Self {
        Cloud {
            log,
            events,
            vms: Arc::default(),
            keeps_ids: Arc::default(),
            lives: Arc::default(),
            orders: Arc::default(),
        }
    }

    /// Has workers that are added from now on start again under their ids, when a task ends them or their VM is moved or
    /// kept up.
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

    /// The names of all VMs.
    pub fn names(&self) -> Vec<String> {
        self.vms().keys().cloned().collect()
    }

    /// The VM that a worker has, or had.
    pub fn vm_of(&self, worker: &str) -> Option<String> {
        let number: String = worker
            .chars()
            .filter(char::is_ascii_digit)
            .take(4)
            .collect();
        let life = number.parse::<usize>().ok()?.checked_sub(1)?;
        let lives = self.lives.lock().expect("no thread panics here");
        lives.get(life).cloned()
    }

    /// The orders that were taken so far.
    pub fn orders(&self) -> Vec<Ordered> {
        self.orders.lock().expect("no thread panics here").clone()
    }

    /// Crashes a VM's worker without notice; another life of it comes a little later.
    pub fn crash(&self, name: &str) {
        self.take_down(name, "down");
    }

    /// Crashes a VM's worker without notice; it starts again under its id after a time, and writes its entry anew.
    pub fn restart(&self, name: &str, away: Duration) {
        let found = self.vms().get(name).and_then(|vm| vm.worker.clone());
        let Some(worker) = found else { return };
        worker.restart(away);
        let (cloud, name) = (self.clone(), name.to_owned());
        tokio::spawn(async move {
            time::sleep(away).await;
            cloud.write_entry(&name);
        });
    }

    /// Takes a VM down when a task ends its worker.
    fn watch_crash(&self, name: &str, worker: Arc<Worker>) {
        let (cloud, name) = (self.clone(), name.to_owned());
        tokio::spawn(async move {
            worker.crashed.notified().await;
            while cloud.keeps_ids.load(Relaxed) {
                time::sleep(AWAY).await;
                cloud.write_entry(&name);
                worker.crashed.notified().await;
            }
            if cloud.lose(&name, &worker) {
                cloud.boot_later(&name);
                time::sleep(LAPSE).await;
                cloud.log.put(WORKERS, &worker.id, b"");
            }
        });
    }

    /// Notes that a VM has this worker no more; false if it had another one.
    fn lose(&self, name: &str, worker: &Worker) -> bool {
        let mut vms = self.vms();
        let Some(vm) = vms.get_mut(name) else {
            return false;
        };
        let had = vm.worker.take_if(|its| its.id == worker.id).is_some();
        if had {
            vm.state = "down";
        }
        had
    }

    /// Starts another life of a VM's worker after the time for which it is away.
    fn boot_later(&self, name: &str) {
        let (cloud, name) = (self.clone(), name.to_owned());
        tokio::spawn(async move {
            time::sleep(AWAY).await;
            cloud.boot(&name).await.expect("a port is free");
        });
    }

    /// The faults of the way to the worker that a VM has now.
    pub fn link(&self, name: &str) -> Option<Arc<Faults>> {
        self.vms().get(name).map(|vm| Arc::clone(&vm.link))
    }

    /// Answers a call.
    pub async fn handle(&self, request: HttpRequest) -> HandlerResponse {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let name = body["machine"].as_str().unwrap_or_default();
        let fence = request
            .headers
            .get("fencing-token")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let status = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/machines") => return Some(json(&self.list())),
            ("POST", "/machine-move") => {
                self.move_to(name, body["pool"].as_str().unwrap_or_default(), fence)
            }
            ("POST", "/machine-upkeep") => {
                self.upkeep(name, body["wave"].as_u64().unwrap_or(0), fence)
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

    fn list(&self) -> Value {
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
        let rows: Vec<Value> = vms.iter().map(row).collect();
        value!({ "machines": rows, "next-page-token": null })
    }

    fn move_to(&self, name: &str, pool: &str, fence: u64) -> Result<(), &'static str> {
        self.admit(name, fence)?;
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

    fn upkeep(&self, name: &str, wave: u64, fence: u64) -> Result<(), &'static str> {
        self.admit(name, fence)?;
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

    /// Refuses a lower fence than one seen for the VM.
    fn admit(&self, name: &str, fence: u64) -> Result<(), &'static str> {
        let mut vms = self.vms();
        let vm = vms.get_mut(name).ok_or("busy")?;
        if fence < vm.fence {
            return Err("fence");
        }
        vm.fence = fence;
        let mut orders = self.orders.lock().expect("no thread panics here");
        orders.push(Ordered {
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

    /// Ends the worker of a VM and starts another life of it later.
    fn take_down(&self, name: &str, state: &'static str) {
        if self.keeps_ids.load(Relaxed) {
            return self.take_down_for_a_while(name, state);
        }
        let worker = self.vms().get_mut(name).and_then(|vm| {
            vm.state = state;
            vm.worker.take()
        });
        let Some(worker) = worker else { return };
        worker.kill();
        self.log.put(WORKERS, &worker.id, b"");
        self.boot_later(name);
    }

    /// Ends the worker of a VM, which is back under its id when the VM is.
    fn take_down_for_a_while(&self, name: &str, state: &'static str) {
        if let Some(vm) = self.vms().get_mut(name) {
            vm.state = state;
        }
        self.restart(name, AWAY);
        let (cloud, name) = (self.clone(), name.to_owned());
        tokio::spawn(async move {
            time::sleep(AWAY).await;
            if let Some(vm) = cloud.vms().get_mut(&name) {
                vm.state = "up";
            }
        });
    }

    /// Starts a new life of a VM's worker and lists it.
    async fn boot(&self, name: &str) -> std::io::Result<()> {
        let number = {
            let mut lives = self.lives.lock().expect("no thread panics here");
            lives.push(name.to_owned());
            lives.len()
        };
        let back = self.keeps_ids.load(Relaxed).then_some(AWAY);
        let id = format!("i-{number:04}");
        let worker = Worker::start(id, back, self.events.clone()).await?;
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
        self.watch_crash(name, worker);
        Ok(())
    }

    /// Has the entry of a VM's worker say that it is about to leave; it serves on.
    pub fn announce_draining(&self, name: &str) {
        self.write_entry_as(name, "draining");
    }

    /// Writes the entry of a VM's worker, if it has one.
    fn write_entry(&self, name: &str) {
        self.write_entry_as(name, "ready");
    }

    /// The same, in a state.
    fn write_entry_as(&self, name: &str, state: &str) {
        let vms = self.vms();
        let Some(vm) = vms.get(name) else { return };
        let (Some(worker), Some(address)) = (&vm.worker, vm.address) else {
            return;
        };
        let entry = value!({
            "service": vm.pool, "address": address.to_string(), "zone": hall_of(name), "version": "v1",
            "slots": 8, "state": state, "cold-remaining-ms": 0, "capacity": capacity(),
            "labels": ["k", "r1"], "born": worker.born(), "sequence": 1,
        });
        self.log
            .put(WORKERS, &worker.id, entry.to_string().as_bytes());
    }
}

/// The data centre of a VM: `b` for every second one, by the number that its name ends with.
pub fn hall_of(name: &str) -> &'static str {
    let odd = name.ends_with(['1', '3', '5', '7', '9']);
    if odd { "b" } else { "a" }
}

/// The room of a VM: eight tasks of one core.
fn capacity() -> Value {
    value!({ "cpu": 8_000, "mem-mb": 8_000, "gpu": 0 })
}
