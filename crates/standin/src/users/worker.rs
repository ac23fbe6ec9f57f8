//! A worker: runs tasks under a lease, refuses lower fences, and lists ends until they are acknowledged.

use super::{
    events::{Events, RunEvent},
    listen,
};
use crate::http::{HandlerResponse, HttpRequest, build_response};
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
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
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

/// What one life of a worker holds and knows.
struct State {
    /// When this life began, or begins: before, there is no answer.
    began: Instant,
    /// The same as a time of day, in ms since 1970.
    born: u64,
    fence: u64,
    deadline: u64,
    runs: BTreeMap<String, Run>,
    ended: Vec<End>,
    last_end: u64,
    /// The highest run of each task that was stopped or has ended.
    closed: HashMap<String, u64>,
}

impl State {
    /// A life that begins after this time and knows nothing of any before.
    fn beginning_in(away: Duration) -> Self {
        State {
            began: Instant::now() + away,
            born: wall_ms(SystemTime::now() + away),
            fence: 0,
            deadline: 0,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            closed: HashMap::new(),
        }
    }

    /// What its clock shows.
    fn clock(&self) -> u64 {
        CLOCK + self.began.elapsed().as_millis() as u64
    }

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

/// A worker, which may start again under its id.
pub struct Worker {
    /// The id under which it is listed.
    pub id: String,
    /// Where it takes calls.
    pub address: Mutex<Option<SocketAddr>>,
    dead: AtomicBool,
    state: Mutex<State>,
    changed: Notify,
    /// Told when a task has ended a life of it.
    pub crashed: Notify,
    /// Whether it starts again under its id when a task ends it, and after which time.
    back: Option<Duration>,
    events: Events,
}

impl Worker {
    /// Starts a worker.
    ///
    /// # Errors
    ///
    /// Fails when no port is free.
    pub async fn start(
        id: String,
        back: Option<Duration>,
        events: Events,
    ) -> std::io::Result<Arc<Self>> {
        let worker = Arc::new(Worker {
            id,
            address: Mutex::new(None),
            dead: AtomicBool::new(false),
            state: Mutex::new(State::beginning_in(Duration::ZERO)),
            changed: Notify::new(),
            crashed: Notify::new(),
            back,
            events,
        });
        let address = listen(&worker, Worker::handle).await?;
        *worker.address.lock().expect("no thread panics here") = Some(address);
        tokio::spawn(tick(Arc::clone(&worker)));
        Ok(worker)
    }

    /// Ends it for good; all that it runs ends with it.
    pub fn kill(&self) {
        self.dead.store(true, Relaxed);
        self.changed.notify_waiters();
        self.lose_runs(&mut self.state());
    }

    /// Ends this life without notice, and begins another under the same id after a time.
    pub fn restart(&self, away: Duration) {
        let mut state = self.state();
        self.lose_runs(&mut state);
        *state = State::beginning_in(away);
        drop(state);
        self.changed.notify_waiters();
    }

    /// When its life began, in ms since 1970.
    pub fn born(&self) -> u64 {
        self.state().born
    }

    /// All that it runs ends with it, without an end that is listed.
    fn lose_runs(&self, state: &mut State) {
        for (task, run) in std::mem::take(&mut state.runs) {
            self.events
                .record(&self.id, &task, run.number, RunEvent::Lost);
        }
    }

    /// Its life that takes calls now; none while there is none.
    fn life(&self) -> Option<u64> {
        let state = self.state();
        let lives = !self.dead.load(Relaxed) && state.began <= Instant::now();
        lives.then_some(state.born)
    }

    /// How many tasks it runs.
    pub fn running(&self) -> usize {
        self.state().runs.len()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics here")
    }

    async fn handle(self: Arc<Self>, request: HttpRequest) -> HandlerResponse {
        let life = self.life()?;
        if request
            .headers
            .get("expect-instance")
            .is_some_and(|life| *life != self.id)
        {
            return Some(build_response(421, "application/json", "{}"));
        }
        let body: Body = serde_json::from_slice(&request.body).unwrap_or_default();
        let answer = match request.path.as_str() {
            "/run-start" => self.start_run(&body),
            "/run-stop" => self.stop_run(&body),
            "/hold" => self.hold(&body).await,
            _ => build_response(400, "application/json", "{}"),
        };
        // What waits for an answer when a life ends gets none.
        (self.life() == Some(life)).then_some(answer)
    }

    fn reply(state: &State, status: u16, reason: &str) -> Response<Full<Bytes>> {
        let mut body = json!({ "clock-ms": state.clock() });
        if !reason.is_empty() {
            body["reason"] = reason.into();
        }
        build_response(status, "application/json", body.to_string())
    }

    fn start_run(&self, body: &Body) -> Response<Full<Bytes>> {
        let mut state = self.state();
        if !state.admit(body.fencing_token) {
            return Self::reply(&state, 409, "fence");
        }
        let deadline = body.deadline_ms.unwrap_or(0);
        if deadline < state.clock() {
            return Self::reply(&state, 409, "late");
        }
        state.deadline = state.deadline.max(deadline);
        if state.has_run(&body.task, body.run) {
            return Self::reply(&state, 200, "");
        }
        if state.has_closed(&body.task, body.run) || state.runs.contains_key(&body.task) {
            return Self::reply(&state, 409, "old");
        }
        if state.runs.len() >= ROOM {
            return Self::reply(&state, 409, "room");
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
            .record(&self.id, &body.task, body.run, RunEvent::Started);
        Self::reply(&state, 200, "")
    }

    fn stop_run(&self, body: &Body) -> Response<Full<Bytes>> {
        let mut state = self.state();
        if !state.admit(body.fencing_token) {
            return Self::reply(&state, 409, "fence");
        }
        state.close(&body.task, body.run);
        if state
            .runs
            .get(&body.task)
            .is_some_and(|run| run.number <= body.run)
        {
            self.end(&mut state, &body.task, "stopped");
        }
        Self::reply(&state, 200, "")
    }

    async fn hold(&self, body: &Body) -> Response<Full<Bytes>> {
        {
            let mut state = self.state();
            if !state.admit(body.fencing_token) {
                return Self::reply(&state, 409, "fence");
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
        let life = self.life();
        loop {
            let changed = self.changed.notified();
            let over = self.life() != life;
            if over || !self.state().ended.is_empty() || time::Instant::now() >= until {
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
        let body = json!({
            "clock-ms": state.clock(), "born": state.born, "running": running, "ended-at": ended,
        });
        build_response(200, "application/json", body.to_string())
    }

    /// Forgets the ends up to a number, which the caller has made durable.
    fn forget(&self, state: &mut State, noted: u64) {
        for end in state
            .ended
            .iter()
            .filter(|end| end.number <= noted && end.how == "done")
        {
            self.events
                .record(&self.id, &end.task, end.run, RunEvent::Acknowledged);
        }
        state.ended.retain(|end| end.number > noted);
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.runs.remove(task) else {
            return;
        };
        state.last_end += 1;
        let kind = match how {
            "done" => RunEvent::Done,
            _ => RunEvent::Ended,
        };
        self.events.record(&self.id, task, run.number, kind);
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

/// A time of day in ms since 1970.
fn wall_ms(at: SystemTime) -> u64 {
    let since = at.duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
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
        let mut state = worker.state();
        let lapsed = state.clock();
        if state.runs.values().any(|run| run.fatal && run.ends <= now) {
            drop(state);
            match worker.back {
                Some(away) => worker.restart(away),
                None => worker.kill(),
            }
            worker.crashed.notify_one();
            continue;
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
