//! A worker, which runs tasks under a lease, refuses fencing tokens lower than the highest one it
//! has seen, and lists ended runs until they are acknowledged.

mod late;
mod state;

pub use late::{HoldMode, StartMode};
pub use state::MAX_HOLD_MS;

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
use state::{EndedRun, Run, State};
use std::{
    future::pending,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering::Relaxed},
    },
    time::{Duration, Instant},
};
use tokio::{sync::Notify, time};

/// The interval at which ended runs and the lease are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// The worker's clock at the start of its first incarnation, in milliseconds. It differs from every
/// other clock.
const CLOCK_START_MS: u64 = 100_000_000;

/// The time by which the clock of each incarnation starts behind that of the one before. A deadline
/// for the former clock is then far in the future of the next one.
const CLOCK_STEP_MS: u64 = 100_000;

/// The number of tasks that fit on a worker, each of the size that the soak submits.
const CAPACITY: usize = 8;

/// The number of small tasks that fit on a worker beside the others, each of a hundredth of a core.
const SMALL_CAPACITY: usize = 800;

/// The beginning of the specification of a small task, which the run time follows.
pub const SMALL: &str = "small ";

/// The number of ended runs that a worker lists at once.
const MAX_LISTED_ENDS: usize = 500;

/// The run time of a task whose specification gives none.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(200);

/// The specification of a task that ends each worker that starts it.
pub const ENDS_WORKER: &str = "ends-worker";

/// The time from the start of a task that ends its worker to the end of the worker: users saw 2 to
/// 10 ms.
const CRASH_DELAY: Duration = Duration::from_millis(10);

/// The maximum time for which a `/hold` request waits for ended runs, even if it asks for more.
const MAX_WAIT: Duration = Duration::from_millis(2_000);

/// The body of any request; fields that a request doesn't use have their defaults.
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
    /// When the worker received the request, and the start of the incarnation that did.
    #[serde(skip)]
    received: Option<(Instant, u64)>,
}

/// A worker, which may restart under the same id.
pub struct Worker {
    /// Id under which the worker is listed.
    pub id: String,
    /// Address on which the worker accepts requests.
    pub address: Mutex<Option<SocketAddr>>,
    killed: AtomicBool,
    state: Mutex<State>,
    changed: Notify,
    /// Notification that a task has ended an incarnation of the worker.
    pub crashed: Notify,
    /// Time after which the worker restarts under its id when a task ends it; `None` if it doesn't
    /// restart.
    restart_delay: Option<Duration>,
    start_mode: Mutex<StartMode>,
    hold_mode: Mutex<HoldMode>,
    /// Task and run of each request to start a run that has not been answered.
    withheld_starts: Mutex<Vec<(String, u64)>>,
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
        restart_delay: Option<Duration>,
        events: Events,
    ) -> std::io::Result<Arc<Self>> {
        let worker = Arc::new(Worker {
            id,
            address: Mutex::new(None),
            killed: AtomicBool::new(false),
            state: Mutex::new(State::starting_in(Duration::ZERO, CLOCK_START_MS)),
            changed: Notify::new(),
            crashed: Notify::new(),
            restart_delay,
            start_mode: Mutex::new(StartMode::Answered),
            hold_mode: Mutex::new(HoldMode::Answered),
            withheld_starts: Mutex::default(),
            events,
        });
        let address = listen(&worker, Worker::handle).await?;
        *worker.address.lock().expect("no thread panics here") = Some(address);
        tokio::spawn(check_runs(Arc::clone(&worker)));
        Ok(worker)
    }

    /// Ends the worker for good; all its runs are lost.
    pub fn kill(&self) {
        self.killed.store(true, Relaxed);
        self.changed.notify_waiters();
        self.lose_runs(&mut self.state());
    }

    /// Ends this incarnation abruptly and starts another one under the same id after `delay`.
    pub fn restart(&self, delay: Duration) {
        let mut state = self.state();
        self.lose_runs(&mut state);
        let clock_start_ms = state.clock_start_ms.saturating_sub(CLOCK_STEP_MS);
        *state = State::starting_in(delay, clock_start_ms);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Raises the highest fencing token that the worker has seen, as a request of another owner does.
    pub fn raise_fence(&self, by: u64) {
        self.state().fence += by;
    }

    /// Returns when the current incarnation started, in milliseconds since 1970.
    pub fn started_at_ms(&self) -> u64 {
        self.state().started_at_ms
    }

    /// Removes all runs without listing them as ended, and records them as lost.
    fn lose_runs(&self, state: &mut State) {
        for (task, run) in std::mem::take(&mut state.runs) {
            self.events
                .record(&self.id, &task, run.number, RunEvent::Lost);
        }
    }

    /// Returns the start time of the incarnation that accepts requests now, or `None` if there is
    /// none.
    fn incarnation(&self) -> Option<u64> {
        let state = self.state();
        let alive = !self.killed.load(Relaxed) && state.starts_at <= Instant::now();
        alive.then_some(state.started_at_ms)
    }

    /// Returns the number of running tasks.
    pub fn running(&self) -> usize {
        self.state().runs.len()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics here")
    }

    async fn handle(self: Arc<Self>, request: HttpRequest) -> HandlerResponse {
        let incarnation = self.incarnation()?;
        if request
            .headers
            .get("expect-instance")
            .is_some_and(|expected| *expected != self.id)
        {
            return Some(build_response(421, "application/json", "{}"));
        }
        let mut body: Body = serde_json::from_slice(&request.body).unwrap_or_default();
        body.received = Some((Instant::now(), incarnation));
        if let Some(delay) = self.delay_of(&request.path) {
            if request.path == "/run-start" {
                self.record_withheld(&body);
            }
            self.carry_out_late(request.path, body, delay);
            return pending().await;
        }
        let response = match request.path.as_str() {
            "/run-start" => self.start_run(&body),
            "/run-stop" => self.stop_run(&body),
            "/hold" => self.hold(&body).await,
            _ => build_response(400, "application/json", "{}"),
        };
        self.record_call(&request.path, &body, &response, None);
        // Requests that were waiting when an incarnation ended get no response.
        (self.incarnation() == Some(incarnation)).then_some(response)
    }

    fn build_reply(state: &State, status: u16, reason: &str) -> Response<Full<Bytes>> {
        let mut body = json!({ "clock-ms": state.clock_ms() });
        if !reason.is_empty() {
            body["reason"] = reason.into();
        }
        build_response(status, "application/json", body.to_string())
    }

    fn start_run(&self, body: &Body) -> Response<Full<Bytes>> {
        let mut state = self.state();
        if !state.observe_fence(body.fencing_token) {
            return Self::build_reply(&state, 409, "fence");
        }
        let deadline = body.deadline_ms.unwrap_or(0);
        if deadline < state.clock_ms() {
            return Self::build_reply(&state, 409, "late");
        }
        state.extend_lease(deadline);
        if state.has_run(&body.task, body.run) {
            return Self::build_reply(&state, 200, "");
        }
        if state.has_closed(&body.task, body.run) || state.runs.contains_key(&body.task) {
            return Self::build_reply(&state, 409, "old");
        }
        let small = body.spec.starts_with(SMALL);
        if state.count_like(small) >= if small { SMALL_CAPACITY } else { CAPACITY } {
            return Self::build_reply(&state, 409, "room");
        }
        let fatal = body.spec == ENDS_WORKER;
        let run_time = match body.spec.trim_start_matches(SMALL).parse() {
            Ok(ms) => Duration::from_millis(ms),
            Err(_) if fatal => CRASH_DELAY,
            Err(_) => DEFAULT_RUN_TIME,
        };
        let run = Run {
            number: body.run,
            began_at: Instant::now(),
            ends_at: Instant::now() + run_time,
            fatal,
            small,
        };
        state.runs.insert(body.task.clone(), run);
        let called_at = body.received.map_or_else(Instant::now, |(at, _)| at);
        let task = (body.task.as_str(), body.run);
        self.events
            .record_called(called_at, &self.id, task, RunEvent::Started);
        Self::build_reply(&state, 200, "")
    }

    fn stop_run(&self, body: &Body) -> Response<Full<Bytes>> {
        let mut state = self.state();
        if !state.observe_fence(body.fencing_token) {
            return Self::build_reply(&state, 409, "fence");
        }
        state.close(&body.task, body.run);
        if state
            .runs
            .get(&body.task)
            .is_some_and(|run| run.number <= body.run)
        {
            self.end(&mut state, &body.task, "stopped");
        }
        Self::build_reply(&state, 200, "")
    }

    async fn hold(&self, body: &Body) -> Response<Full<Bytes>> {
        if let Some(refusal) = self.extend(body) {
            return refusal;
        }
        let wait = Duration::from_millis(body.wait_ms).min(MAX_WAIT);
        self.wait_for_ends(time::Instant::now() + wait).await;
        self.report()
    }

    /// Extends the lease and removes the acknowledged ends. Returns the response if the request is refused.
    fn extend(&self, body: &Body) -> Option<Response<Full<Bytes>>> {
        let mut state = self.state();
        if !state.observe_fence(body.fencing_token) {
            return Some(Self::build_reply(&state, 409, "fence"));
        }
        state.extend_lease(body.deadline_ms.unwrap_or(0));
        self.acknowledge(&mut state, body);
        None
    }

    /// Waits until there is an ended run that is not acknowledged, the incarnation has ended, or
    /// the time is up.
    async fn wait_for_ends(&self, until: time::Instant) {
        let incarnation = self.incarnation();
        loop {
            let changed = self.changed.notified();
            let restarted = self.incarnation() != incarnation;
            if restarted || !self.state().ended.is_empty() || time::Instant::now() >= until {
                return;
            }
            // When the wait times out, the response lists no ended runs.
            let _ = time::timeout_at(until, changed).await;
        }
    }

    /// Returns a response that lists the running tasks and the first unacknowledged ends.
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
            .take(MAX_LISTED_ENDS)
            .map(|end| json!([end.number, end.task, end.run, end.outcome, ""]))
            .collect();
        let body = json!({
            "clock-ms": state.clock_ms(), "born": state.started_at_ms,
            "running": running, "ended-at": ended,
        });
        build_response(200, "application/json", body.to_string())
    }

    /// Removes the ended runs up to a number, which the owner has acknowledged as durable. Where a late request was
    /// received by another incarnation, the owner has not seen these ends: they are lost without being acknowledged.
    fn acknowledge(&self, state: &mut State, body: &Body) {
        let started_at_ms = state.started_at_ms;
        let is_own = body.received.is_none_or(|(_, by)| by == started_at_ms);
        let seen = |end: &&EndedRun| end.number <= body.last_seen && end.outcome == "done";
        for end in state.ended.iter().filter(|end| is_own && seen(end)) {
            self.events
                .record(&self.id, &end.task, end.run, RunEvent::Acknowledged);
        }
        state.ended.retain(|end| end.number > body.last_seen);
    }

    fn end(&self, state: &mut State, task: &str, outcome: &'static str) {
        let Some(run) = state.runs.remove(task) else {
            return;
        };
        state.last_end += 1;
        let kind = match outcome {
            "done" => RunEvent::Done,
            _ => RunEvent::Ended,
        };
        self.events.record(&self.id, task, run.number, kind);
        state.close(task, run.number);
        let end = EndedRun {
            number: state.last_end,
            task: task.to_owned(),
            run: run.number,
            outcome,
        };
        state.ended.push(end);
        self.changed.notify_waiters();
    }
}

/// Returns how much of the run is done, in percent.
fn progress(run: &Run) -> u128 {
    let all = run.ends_at.duration_since(run.began_at).as_millis();
    (run.began_at.elapsed().as_millis() * 100 / all.max(1)).min(100)
}

/// Ends runs whose time is up, and all runs when the lease has expired. A task that ends its worker
/// restarts or kills the worker.
async fn check_runs(worker: Arc<Worker>) {
    while !worker.killed.load(Relaxed) {
        time::sleep(CHECK_INTERVAL).await;
        let now = Instant::now();
        let mut state = worker.state();
        let clock_ms = state.clock_ms();
        if state
            .runs
            .values()
            .any(|run| run.fatal && run.ends_at <= now)
        {
            drop(state);
            match worker.restart_delay {
                Some(delay) => worker.restart(delay),
                None => worker.kill(),
            }
            worker.crashed.notify_one();
            continue;
        }
        let lapsed = state.deadline < clock_ms;
        let due: Vec<(String, bool)> = state
            .runs
            .iter()
            .filter(|(_, run)| lapsed || run.ends_at <= now)
            .map(|(task, run)| (task.clone(), run.ends_at <= now))
            .collect();
        for (task, done) in due {
            worker.end(&mut state, &task, if done { "done" } else { "lapsed" });
        }
    }
}
