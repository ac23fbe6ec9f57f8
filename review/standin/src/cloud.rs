//! The platform's calls about machines, after PROTOCOL.md: the list, and upkeeps in waves under fencing tokens. One order
//! may be left without an answer and carried out seconds later.

use crate::{
    http::{Request, Response},
    record::Record,
    world::World,
};
use serde_json::{Value, json};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// `upkeep_s` of the settings.
const UPKEEP: Duration = Duration::from_millis(2_000);

/// The time for which an order without an answer keeps its channel.
const SILENCE: Duration = Duration::from_millis(3_000);

/// An order for an upkeep.
#[derive(Clone)]
pub struct Order {
    pub machine: String,
    pub wave: u64,
    pub holder: String,
    pub fence: u64,
    pub at: Instant,
}

#[derive(Default)]
struct State {
    fences: HashMap<String, u64>,
    done: BTreeSet<(String, u64)>,
    /// The machines that are down for their upkeep, since when.
    down: BTreeMap<String, Instant>,
    /// Whether the next order is left without an answer.
    swallows: bool,
    /// The order that was left without an answer and has not been carried out.
    held: Option<Order>,
    breaks: Vec<String>,
}

pub struct Cloud {
    world: Arc<World>,
    record: Record,
    bound: usize,
    state: Mutex<State>,
}

impl Cloud {
    pub fn new(world: Arc<World>, record: Record, bound: usize) -> Arc<Self> {
        Arc::new(Cloud {
            world,
            record,
            bound,
            state: Mutex::default(),
        })
    }

    pub fn handle(self: &Arc<Self>, request: &Request) -> Option<Response> {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/machines") => Response::new(200, self.list().to_string()),
            ("POST", "/machine-upkeep") => self.upkeep(request),
            _ => Response::new(409, "{\"reason\":\"busy\"}"),
        }
    }

    fn list(&self) -> Value {
        let state = self.state.lock().unwrap();
        let mut rows = self.world.machines();
        for row in &mut rows {
            let name = row["machine"].as_str().unwrap_or_default();
            if state.down.contains_key(name) {
                row["state"] = "upkeep".into();
                row["id"] = Value::Null;
            }
        }
        json!({ "machines": rows, "next-page-token": null })
    }

    fn upkeep(self: &Arc<Self>, request: &Request) -> Option<Response> {
        let body: Value = serde_json::from_slice(&request.body).ok()?;
        let header = |name: &str| request.headers.get(name).cloned().unwrap_or_default();
        let order = Order {
            machine: body["machine"].as_str()?.to_owned(),
            wave: body["wave"].as_u64()?,
            holder: header("duty-holder"),
            fence: header("fencing-token").parse().ok()?,
            at: Instant::now(),
        };
        let swallowed = {
            let mut state = self.state.lock().unwrap();
            let swallowed = std::mem::take(&mut state.swallows);
            if swallowed {
                state.held = Some(order.clone());
            }
            swallowed
        };
        if swallowed {
            self.record.say(format!(
                "cloud: the order of {} (fence {}) for the upkeep of {} gets no answer",
                order.holder, order.fence, order.machine
            ));
            thread::sleep(SILENCE);
            return None;
        }
        match self.carry_out(&order) {
            Ok(()) => Response::new(200, "{}"),
            Err(reason) => Response::new(409, json!({ "reason": reason }).to_string()),
        }
    }

    /// Begins an upkeep. LIMIT: "While `upper-bound` machines of its wave are down for their upkeep, an upkeep begins."
    fn carry_out(self: &Arc<Self>, order: &Order) -> Result<(), &'static str> {
        let mut state = self.state.lock().unwrap();
        let highest = state.fences.entry(order.machine.clone()).or_insert(0);
        if order.fence < *highest {
            return Err("fence");
        }
        *highest = order.fence;
        if state.done.contains(&(order.machine.clone(), order.wave)) {
            return Ok(());
        }
        let worker = self.world.worker_of(&order.machine);
        if state.down.contains_key(&order.machine) || worker.is_none() {
            return Err("busy");
        }
        let others: Vec<String> = state.down.keys().cloned().collect();
        let late = order.at.elapsed();
        self.record.say(format!(
            "cloud: upkeep of {} begins by the order of {} (fence {}) given {:.1} s ago, while {others:?} are down",
            order.machine,
            order.holder,
            order.fence,
            late.as_secs_f64()
        ));
        if others.len() >= self.bound {
            state.breaks.push(format!(
                "LIMIT: the upkeep of {} begins while {others:?} are down for their upkeep, with upper-bound {}",
                order.machine, self.bound
            ));
        }
        state.done.insert((order.machine.clone(), order.wave));
        state.down.insert(order.machine.clone(), Instant::now());
        drop(state);
        if let Some(worker) = worker {
            self.world.crash(&worker);
        }
        let (cloud, machine) = (Arc::clone(self), order.machine.clone());
        thread::spawn(move || {
            thread::sleep(UPKEEP);
            cloud.world.boot_again(&machine);
            cloud.state.lock().unwrap().down.remove(&machine);
        });
        Ok(())
    }

    /// Leaves the next order without an answer.
    pub fn swallow_next(&self) {
        self.state.lock().unwrap().swallows = true;
    }

    /// Returns the order that was left without an answer.
    pub fn held(&self) -> Option<Order> {
        self.state.lock().unwrap().held.clone()
    }

    /// Carries out the order that was left without an answer.
    pub fn carry_out_held(self: &Arc<Self>) {
        let held = self.state.lock().unwrap().held.take();
        if let Some(order) = held
            && let Err(reason) = self.carry_out(&order)
        {
            self.record.say(format!(
                "cloud: the late order for {} is refused: {reason}",
                order.machine
            ));
        }
    }

    /// Returns how many machines have begun their upkeep in a wave.
    pub fn begun(&self, wave: u64) -> usize {
        self.state
            .lock()
            .unwrap()
            .done
            .iter()
            .filter(|(_, w)| *w == wave)
            .count()
    }

    pub fn breaks(&self) -> Vec<String> {
        self.state.lock().unwrap().breaks.clone()
    }
}
