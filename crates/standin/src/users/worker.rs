//! A worker: runs tasks under a lease, refuses lower fences, and lists ends until they are acknowledged.

use super::{
    events::{Events, RunEvent},
    listen,
};
use crate::http::{Answer, Call, answer};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use serde::Deserialize;
use serde_json::{Value, json};
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering::Relaxed},
    },
    time::{Duration, Instant},
};
use tokio::{sync::Notify, time};

/// Time between two looks at runs that end and at the lease.
const TICK: Duration = Duration::from_millis(5);

/// The clock at a worker's start, in ms: no other clock shows the same.
const CLOCK: u64 = 100_000;

/// How many tasks fit, each of the size that the soak hands in.
const ROOM: usize = 8;

/// The run time of a task whose text does not give one.
const RUN: Duration = Duration::from_millis(200);

/// The text of a task that ends each worker that starts it.
pub const ENDS_WORKER: &str = "ends-worker";

/// How long after its start such a task does so: users saw 2 to 10 ms.
const ENDS_AFTER: Duration = Duration::from_millis(10);

/// The longest that a call waits for ends, however long it asks for.
const MOST_WAIT: Duration = Duration::from_millis(2_000);

/// The body of any call.
#[derive(Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct Body {
    task: String,
    run: u64,
    spec: String,
    deadline_ms: Option<u64>,
    fencing_token: u64,
    last_seen: u64,
    wait_ms: u64,
}

struct Run {
    number: u64,
    ends: Instant,
    /// Whether its worker ends with it.
    fatal: bool,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

#[derive(Default)]
struct State {
    fence: u64,
    deadline: u64,
    runs: BTreeMap<String, Run>,
    ended: Vec<End>,
    last_end: u64,
    /// The highest run of each task that was stopped or has ended.
    closed: HashMap<String, u64>,
}

impl State {
    /// Takes note of a call's fence; false if a higher one was seen before.
    fn admit(&mut self, fence: u64) -> bool {
        let admitted = fence >= self.fence;
        self.fence = self.fence.max(fence);
        admitted
    }

    /// Whether this run of the task goes on here.
    fn has_run(&self, task: &str, run: u64) -> bool {
        self.runs.get(task).is_some_and(|known| known.number == run)
    }

    /// Whether the task has this run or a higher one behind it.
    fn has_closed(&self, task: &str, run: u64) -> bool {
        self.closed.get(task).is_some_and(|top| run <= *top)
    }

    /// Notes that the task's runs up to this one must not start again.
    fn close(&mut self, task: &str, run: u64) {
        let top = self.closed.entry(task.to_owned()).or_insert(0);
        *top = (*top).max(run);
    }
}

/// One life of a worker.
pub struct Worker {
    /// This life.
    pub id: String,
    /// Where it takes calls.
    pub address: Mutex<Option<SocketAddr>>,
    began: Instant,
    dead: AtomicBool,
    state: Mutex<State>,
    changed: Notify,
    /// Told when a task has ended this life.
    pub crashed: Notify,
    events: Events,
}

impl Worker {
    /// Starts a worker.
    ///
    /// # Errors
    ///
    /// Fails when no port is free.
    pub async fn start(id: String, events: Events) -> std::io::Result<Arc<Self>> {
        let worker = Arc::new(Worker {
            id,
            address: Mutex::new(None),
            began: Instant::now(),
            dead: AtomicBool::new(false),
            state: Mutex::default(),
            changed: Notify::new(),
            crashed: Notify::new(),
            events,
        });
        let address = listen(&worker, Worker::handle).await?;
        *worker.address.lock().expect("no thread panics here") = Some(address);
        tokio::spawn(tick(Arc::clone(&worker)));
        Ok(worker)
    }

    /// Ends this life; all that it runs ends with it.
    pub fn kill(&self) {
        self.dead.store(true, Relaxed);
        self.changed.notify_waiters();
        let mut state = self.state();
        for (task, run) in std::mem::take(&mut state.runs) {
            self.events
                .note(&self.id, &task, run.number, RunEvent::Lost);
        }
    }

    /// How many tasks it runs.
    pub fn running(&self) -> usize {
        self.state().runs.len()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics here")
    }

    fn clock(&self) -> u64 {
        CLOCK + self.began.elapsed().as_millis() as u64
    }

    async fn handle(self: Arc<Self>, call: Call) -> Answer {
        if self.dead.load(Relaxed) {
            return None;
        }
        if call
            .headers
            .get("expect-instance")
            .is_some_and(|life| *life != self.id)
        {
            return Some(answer(421, "application/json", "{}"));
        }
        let body: Body = serde_json::from_slice(&call.body).unwrap_or_default();
        let answer = match call.path.as_str() {
            "/run-start" => self.start_run(&body),
            "/run-stop" => self.stop_run(&body),
            "/hold" => self.hold(&body).await,
            _ => answer(400, "application/json", "{}"),
        };
        // What waits for an answer when a worker ends gets none.
        (!self.dead.load(Relaxed)).then_some(answer)
    }

    fn reply(&self, status: u16, reason: &str) -> Response<Full<Bytes>> {
        let mut body = json!({ "clock-ms": self.clock() });
        if !reason.is_empty() {
            body["reason"] = reason.into();
        }
        answer(status, "application/json", body.to_string())
    }

    fn start_run(&self, body: &Body) -> Response<Full<Bytes>> {
        let mut state = self.state();
        if !state.admit(body.fencing_token) {
            return self.reply(409, "fence");
        }
        let deadline = body.deadline_ms.unwrap_or(0);
        if deadline < self.clock() {
            return self.reply(409, "late");
        }
        state.deadline = state.deadline.max(deadline);
        if state.has_run(&body.task, body.run) {
            return self.reply(200, "");
        }
        if state.has_closed(&body.task, body.run) || state.runs.contains_key(&body.task) {
            return self.reply(409, "old");
        }
        if state.runs.len() >= ROOM {
            return self.reply(409, "room");
        }
        let fatal = body.spec == ENDS_WORKER;
        let took = match body.spec.parse() {
            Ok(ms) => Duration::from_millis(ms),
            Err(_) if fatal => ENDS_AFTER,
            Err(_) => RUN,
        };
        let run = Run {
            number: body.run,
            ends: Instant::now() + took,
            fatal,
        };
        state.runs.insert(body.task.clone(), run);
        self.events
            .note(&self.id, &body.task, body.run, RunEvent::Started);
        self.reply(200, "")
    }

    fn stop_run(&self, body: &Body) -> Response<Full<Bytes>> {
        let mut state = self.state();
        if !state.admit(body.fencing_token) {
            return self.reply(409, "fence");
        }
        state.close(&body.task, body.run);
        if state
            .runs
            .get(&body.task)
            .is_some_and(|run| run.number <= body.run)
        {
            self.end(&mut state, &body.task, "stopped");
        }
        self.reply(200, "")
    }

    async fn hold(&self, body: &Body) -> Response<Full<Bytes>> {
        {
            let mut state = self.state();
            if !state.admit(body.fencing_token) {
                return self.reply(409, "fence");
            }
            state.deadline = state.deadline.max(body.deadline_ms.unwrap_or(0));
            self.forget(&mut state, body.last_seen);
        }
        let wait = Duration::from_millis(body.wait_ms).min(MOST_WAIT);
        self.wait_for_ends(time::Instant::now() + wait).await;
        self.report()
    }

    /// Waits until a run has ended that is not acknowledged, or the time is over.
    async fn wait_for_ends(&self, until: time::Instant) {
        loop {
            let changed = self.changed.notified();
            let dead = self.dead.load(Relaxed);
            if dead || !self.state().ended.is_empty() || time::Instant::now() >= until {
                return;
            }
            // The end of the wait is an answer without ends.
            let _ = time::timeout_at(until, changed).await;
        }
    }

    /// What runs, and what has ended and is not acknowledged.
    fn report(&self) -> Response<Full<Bytes>> {
        let state = self.state();
        let running: Vec<Value> = state
            .runs
            .iter()
            .map(|(task, run)| json!([task, run.number, "", progress(run)]))
            .collect();
        let ended: Vec<Value> = state
            .ended
            .iter()
            .map(|end| json!([end.number, end.task, end.run, end.how, ""]))
            .collect();
        let body = json!({ "clock-ms": self.clock(), "running": running, "ended-at": ended });
        answer(200, "application/json", body.to_string())
    }

    /// Forgets the ends up to a number, which the caller has made durable.
    fn forget(&self, state: &mut State, noted: u64) {
        for end in state
            .ended
            .iter()
            .filter(|end| end.number <= noted && end.how == "done")
        {
            self.events
                .note(&self.id, &end.task, end.run, RunEvent::Noted);
        }
        state.ended.retain(|end| end.number > noted);
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.runs.remove(task) else {
            return;
        };
        state.last_end += 1;
        let what = match how {
            "done" => RunEvent::Done,
            _ => RunEvent::Ended,
        };
        self.events.note(&self.id, task, run.number, what);
        state.close(task, run.number);
        let end = End {
            number: state.last_end,
            task: task.to_owned(),
            run: run.number,
            how,
        };
        state.ended.push(end);
        self.changed.notify_waiters();
    }
}

/// A figure that changes as long as the run goes on.
fn progress(run: &Run) -> u128 {
    let left = run.ends.saturating_duration_since(Instant::now());
    100_u128.saturating_sub(left.as_millis() / 10)
}

/// Ends runs whose time is over, and all of them when the lease is.
async fn tick(worker: Arc<Worker>) {
    while !worker.dead.load(Relaxed) {
        time::sleep(TICK).await;
        let now = Instant::now();
        let lapsed = worker.clock();
        let mut state = worker.state();
        if state.runs.values().any(|run| run.fatal && run.ends <= now) {
            drop(state);
            worker.kill();
            worker.crashed.notify_one();
            return;
        }
        let over = state.deadline < lapsed;
        let due: Vec<(String, bool)> = state
            .runs
            .iter()
            .filter(|(_, run)| over || run.ends <= now)
            .map(|(task, run)| (task.clone(), run.ends <= now))
            .collect();
        for (task, done) in due {
            worker.end(&mut state, &task, if done { "done" } else { "lapsed" });
        }
    }
}
