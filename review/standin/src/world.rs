//! The workers and the list of machines, after PROTOCOL.md, and what the rules say of what runs there.

use crate::{
    http::{self, Request, Response},
    log::Log,
    record::Record,
};
use serde_json::{Value, json};
use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

/// Bounds of the settings of a small deployment (DEPLOY.md).
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);
const MAX_HOLD_MS: u64 = 10_000;
const MAX_WAIT: Duration = Duration::from_millis(2_000);

/// PROTOCOL.md: "ends up to `last-seen` are forgotten, while the rest come again (500 at once)".
const ENDS_AT_ONCE: usize = 500;

const TICK: Duration = Duration::from_millis(5);

/// The service that runs all jobs.
pub const SERVICE: &str = "huvo11a";

/// The room of a worker: 16 cores, 32 GB.
pub const CPU: u64 = 16_000;
pub const MEMORY: u64 = 32_768;

/// A step of a job, and how its tasks behave.
#[derive(Clone, Default)]
pub struct Step {
    pub count: usize,
    pub cpu: u64,
    pub memory: u64,
    pub run_time: Duration,
    /// Whether the tasks wait for an event of the outside and end once it has come.
    pub held: bool,
    pub lasting: bool,
    pub label: Option<&'static str>,
    pub estimated_ms: u64,
}

/// A job as its consumer submits it; one step after the other.
#[derive(Clone, Default)]
pub struct Job {
    pub spec: String,
    pub steps: Vec<Step>,
}

impl Job {
    /// Returns the body of the call that submits the job.
    pub fn body(&self) -> String {
        let rows = self.steps.iter().enumerate().map(|(number, step)| {
            let mut row = json!({ "count": step.count, "cpu": step.cpu, "mem-mb": step.memory });
            if step.estimated_ms > 0 {
                row["estimated-ms"] = step.estimated_ms.into();
            }
            if number > 0 {
                row["after"] = json!([number - 1]);
            }
            if step.lasting {
                row["long-running"] = true.into();
            }
            if let Some(label) = step.label {
                row["requirements"] = label.into();
            }
            row
        });
        json!({ "spec": self.spec, "steps": rows.collect::<Vec<_>>() }).to_string()
    }
}

struct Run {
    number: u64,
    step: Arc<Step>,
    began: Instant,
    /// Its place in the history.
    history: usize,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    history: usize,
}

/// One run in the history of a task.
#[derive(Clone)]
pub struct Past {
    pub task: String,
    pub run: u64,
    pub worker: String,
    pub began: Instant,
    pub ended: Option<(Instant, &'static str)>,
    /// When the worker was told that the end has been taken note of.
    pub noted: Option<Instant>,
    /// Whether the lease of the worker lapsed between the end and that moment.
    pub lapsed_between: bool,
}

struct Worker {
    id: String,
    machine: String,
    zone: &'static str,
    labels: Vec<String>,
    address: SocketAddr,
    server: http::Server,
    alive: bool,
    born: Instant,
    fence: u64,
    deadline: u64,
    runs: BTreeMap<String, Run>,
    closed: HashMap<String, u64>,
    ended: VecDeque<End>,
    last_end: u64,
    sequence: u64,
    /// The cores and the memory that its runs take.
    used: (u64, u64),
}

impl Worker {
    fn clock_ms(&self) -> u64 {
        100_000 + self.born.elapsed().as_millis() as u64
    }
}

/// A job that a consumer submits: the text and the steps.
type Expected = (String, Vec<Arc<Step>>);

struct State {
    jobs: HashMap<String, Expected>,
    workers: Vec<Worker>,
    history: Vec<Past>,
    next_id: usize,
    odd: Vec<String>,
    /// When the event came that held tasks wait for, and the time over which they end.
    released: Option<(Instant, Duration)>,
}

/// All workers.
pub struct World {
    state: Mutex<State>,
    changed: Condvar,
    log: Arc<Log>,
    record: Record,
    /// Whether each start and end is written to the record.
    verbose: bool,
}

impl World {
    pub fn new(log: Arc<Log>, record: Record, verbose: bool) -> Arc<Self> {
        let state = State {
            jobs: HashMap::new(),
            workers: Vec::new(),
            history: Vec::new(),
            next_id: 1,
            odd: Vec::new(),
            released: None,
        };
        let world = Arc::new(World {
            state: Mutex::new(state),
            changed: Condvar::new(),
            log,
            record,
            verbose,
        });
        let ticker = Arc::clone(&world);
        thread::spawn(move || {
            loop {
                thread::sleep(TICK);
                ticker.tick();
            }
        });
        let heart = Arc::clone(&world);
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                heart.write_entries();
            }
        });
        world
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Starts a worker on a machine and enters it in the list.
    pub fn boot(self: &Arc<Self>, machine: &str, zone: &'static str, labels: &[&str]) -> String {
        let id = {
            let mut state = self.lock();
            state.next_id += 1;
            format!("i-{:08x}", 0x7f3a_0000 + state.next_id)
        };
        let (world, own) = (Arc::clone(self), id.clone());
        let server = http::serve(move |request| world.handle(&own, &request));
        let worker = Worker {
            id: id.clone(),
            machine: machine.to_owned(),
            zone,
            labels: labels.iter().map(|l| (*l).to_owned()).collect(),
            address: server.address,
            server,
            alive: true,
            born: Instant::now(),
            fence: 0,
            deadline: 0,
            runs: BTreeMap::new(),
            closed: HashMap::new(),
            ended: VecDeque::new(),
            last_end: 0,
            sequence: 0,
            used: (0, 0),
        };
        self.lock().workers.push(worker);
        self.write_entries();
        id
    }

    /// Crashes a worker: its port refuses, its runs are gone. Its entry goes after three heartbeats.
    pub fn crash(self: &Arc<Self>, id: &str) {
        let mut state = self.lock();
        let now = Instant::now();
        let Some(index) = state.workers.iter().position(|w| w.id == id) else {
            return;
        };
        let worker = &mut state.workers[index];
        worker.alive = false;
        worker.server.stop();
        let lost: Vec<usize> = worker.runs.values().map(|run| run.history).collect();
        worker.runs.clear();
        worker.used = (0, 0);
        for past in lost {
            state.history[past].ended = Some((now, "lost"));
        }
        drop(state);
        self.changed.notify_all();
        let (log, id) = (Arc::clone(&self.log), id.to_owned());
        thread::spawn(move || {
            thread::sleep(HEARTBEAT * 3);
            log.put("keyed.servers", &id, b"");
        });
    }

    fn write_entries(&self) {
        let mut state = self.lock();
        let rows: Vec<(String, String)> = state
            .workers
            .iter_mut()
            .filter(|worker| worker.alive)
            .map(|worker| {
                worker.sequence += 1;
                let entry = json!({
                    "service": SERVICE, "address": worker.address.to_string(), "zone": worker.zone,
                    "version": "v1", "slots": 8, "state": "ready", "cold-remaining-ms": 0,
                    "capacity": { "cpu": CPU, "mem-mb": MEMORY, "gpu": 0 }, "labels": worker.labels,
                    "clock-ms": worker.clock_ms(), "sequence": worker.sequence,
                });
                (worker.id.clone(), entry.to_string())
            })
            .collect();
        drop(state);
        for (id, entry) in rows {
            self.log.put("keyed.servers", &id, entry.as_bytes());
        }
    }

    /// Returns the rows of the list of machines, each with its latest worker.
    pub fn machines(&self) -> Vec<Value> {
        let state = self.lock();
        let mut rows: BTreeMap<&str, Value> = BTreeMap::new();
        for worker in &state.workers {
            let row = json!({
                "machine": worker.machine, "pool": SERVICE, "zone": worker.zone, "labels": worker.labels,
                "state": if worker.alive { "up" } else { "down" },
                "capacity": { "cpu": CPU, "mem-mb": MEMORY, "gpu": 0 },
                "id": worker.alive.then(|| worker.id.clone()),
            });
            rows.insert(&worker.machine, row);
        }
        rows.into_values().collect()
    }

    /// Returns the live worker of a machine.
    pub fn worker_of(&self, machine: &str) -> Option<String> {
        let state = self.lock();
        let mut workers = state.workers.iter();
        let worker = workers.find(|worker| worker.alive && worker.machine == machine);
        worker.map(|worker| worker.id.clone())
    }

    /// Starts a new worker on a machine that had one, of the same kind.
    pub fn boot_again(self: &Arc<Self>, machine: &str) {
        let place = {
            let state = self.lock();
            let last = state
                .workers
                .iter()
                .rev()
                .find(|worker| worker.machine == machine);
            last.map(|worker| (worker.zone, worker.labels.clone()))
        };
        if let Some((zone, labels)) = place {
            let labels: Vec<&str> = labels.iter().map(String::as_str).collect();
            self.boot(machine, zone, &labels);
        }
    }

    /// Tells the workers' world what a consumer is about to submit.
    pub fn expect(&self, id: &str, job: &Job) {
        let steps = job.steps.iter().cloned().map(Arc::new).collect();
        self.lock()
            .jobs
            .insert(id.to_owned(), (job.spec.clone(), steps));
    }

    fn handle(&self, id: &str, request: &Request) -> Option<Response> {
        let intended = request.headers.get("expect-instance");
        if intended.is_some_and(|intended| intended != id) {
            return Response::new(421, "{}");
        }
        let Ok(body) = serde_json::from_slice::<Value>(&request.body) else {
            return Response::new(400, "{}");
        };
        match request.path.as_str() {
            "/run-start" => self.start(id, &body),
            "/run-stop" => self.stop(id, &body),
            "/hold" => self.hold(id, &body),
            "/pace" => self.reply(id, 200, ""),
            _ => Response::new(400, "{}"),
        }
    }

    fn reply(&self, id: &str, status: u16, reason: &str) -> Option<Response> {
        let mut state = self.lock();
        let clock = live(&mut state, id)?.clock_ms();
        drop(state);
        answer(clock, status, reason)
    }

    fn start(&self, id: &str, body: &Value) -> Option<Response> {
        let now = Instant::now();
        let task = body["task"].as_str()?.to_owned();
        let number = body["run"].as_u64()?;
        let checkpoint = body["checkpoint"].as_str().unwrap_or("").to_owned();
        let mut guard = self.lock();
        let state = &mut *guard;
        let step = step_of(&state.jobs, &task);
        let spec = state.jobs.get(job_of(&task)).map(|(spec, _)| spec.clone());
        let worker = live(state, id)?;
        let clock = worker.clock_ms();
        let fence = body["fencing-token"].as_u64().unwrap_or(0);
        if fence < worker.fence {
            return answer(clock, 409, "fence");
        }
        worker.fence = fence;
        let deadline = body["deadline-ms"].as_u64().unwrap_or(0);
        if deadline < clock {
            return answer(clock, 409, "late");
        }
        worker.deadline = worker.deadline.max(deadline.min(clock + MAX_HOLD_MS));
        if worker
            .runs
            .get(&task)
            .is_some_and(|run| run.number == number)
        {
            return answer(clock, 200, "");
        }
        let closed = worker
            .closed
            .get(&task)
            .is_some_and(|highest| number <= *highest);
        if closed || worker.runs.contains_key(&task) {
            return answer(clock, 409, "old");
        }
        let (Some(step), Some(spec)) = (step, spec) else {
            state
                .odd
                .push(format!("UNASKED: start of {task}, which nobody sent"));
            return answer(clock, 400, "");
        };
        if spec != body["spec"].as_str().unwrap_or("") {
            state
                .odd
                .push(format!("UNASKED: start of {task} with another spec"));
        }
        let used = live(state, id)?.used;
        if used.0 + step.cpu > CPU || used.1 + step.memory > MEMORY {
            return answer(clock, 409, "room");
        }
        // No task here saves its progress, so that no checkpoint can belong to it.
        if !checkpoint.is_empty() {
            state.odd.push(format!(
                "UNASKED: start of {task} with checkpoint {checkpoint:?}"
            ));
        }
        let history = state.history.len();
        state.history.push(Past {
            task: task.clone(),
            run: number,
            worker: id.to_owned(),
            began: now,
            ended: None,
            noted: None,
            lapsed_between: false,
        });
        if self.verbose {
            self.record
                .line(format!("worker {id}: starts {task} run {number}"));
        }
        let size = (step.cpu, step.memory);
        let run = Run {
            number,
            began: now,
            history,
            step,
        };
        let worker = live(state, id)?;
        worker.runs.insert(task, run);
        worker.used.0 += size.0;
        worker.used.1 += size.1;
        answer(clock, 200, "")
    }

    fn stop(&self, id: &str, body: &Value) -> Option<Response> {
        let task = body["task"].as_str()?.to_owned();
        let number = body["run"].as_u64()?;
        let mut guard = self.lock();
        let state = &mut *guard;
        let worker = live(state, id)?;
        let clock = worker.clock_ms();
        let fence = body["fencing-token"].as_u64().unwrap_or(0);
        if fence < worker.fence {
            return answer(clock, 409, "fence");
        }
        worker.fence = fence;
        let highest = worker.closed.entry(task.clone()).or_insert(0);
        *highest = (*highest).max(number);
        if worker
            .runs
            .get(&task)
            .is_some_and(|run| run.number <= number)
        {
            self.end(state, id, &task, "stopped");
        }
        answer(clock, 200, "")
    }

    fn hold(&self, id: &str, body: &Value) -> Option<Response> {
        let now = Instant::now();
        let wait = Duration::from_millis(body["wait-ms"].as_u64().unwrap_or(0)).min(MAX_WAIT);
        let mut guard = self.lock();
        {
            let state = &mut *guard;
            let worker = live(state, id)?;
            let clock = worker.clock_ms();
            let fence = body["fencing-token"].as_u64().unwrap_or(0);
            if fence < worker.fence {
                return answer(clock, 409, "fence");
            }
            if fence > worker.fence {
                self.record.line(format!(
                    "worker {id}: first call with fencing token {fence}; {} runs, {} ends not taken note of",
                    worker.runs.len(),
                    worker.ended.len()
                ));
            }
            worker.fence = fence;
            let deadline = body["deadline-ms"].as_u64().unwrap_or(0);
            worker.deadline = worker.deadline.max(deadline.min(clock + MAX_HOLD_MS));
            let seen = body["last-seen"].as_u64().unwrap_or(0);
            let mut noted = Vec::new();
            while worker.ended.front().is_some_and(|end| end.number <= seen) {
                noted.extend(worker.ended.pop_front().map(|end| end.history));
            }
            for past in noted {
                state.history[past].noted.get_or_insert(now);
            }
        }
        let until = now + wait;
        loop {
            let worker = live(&mut guard, id)?;
            let left = until.saturating_duration_since(Instant::now());
            if !worker.ended.is_empty() || left.is_zero() {
                break;
            }
            guard = self.changed.wait_timeout(guard, left).unwrap().0;
        }
        let state = &mut *guard;
        let worker = live(state, id)?;
        let rows = worker.runs.iter();
        let running: Vec<Value> = rows
            .map(|(task, run)| json!([task, run.number, "", percent(run)]))
            .collect();
        let listed = worker.ended.iter().take(ENDS_AT_ONCE);
        let ended: Vec<Value> = listed
            .map(|end| json!([end.number, end.task, end.run, end.how, ""]))
            .collect();
        if worker.ended.len() > ENDS_AT_ONCE {
            self.record.line(format!(
                "worker {id}: lists {} of {} ends, {} runs",
                ended.len(),
                worker.ended.len(),
                running.len()
            ));
        }
        let body = json!({ "clock-ms": worker.clock_ms(), "running": running, "ended-at": ended });
        drop(guard);
        Response::new(200, body.to_string())
    }

    /// Ends a run on a worker and lists the end.
    fn end(&self, state: &mut State, id: &str, task: &str, how: &'static str) {
        let State {
            workers, history, ..
        } = state;
        let Some(worker) = workers.iter_mut().find(|w| w.id == id) else {
            return;
        };
        let Some(run) = worker.runs.remove(task) else {
            return;
        };
        worker.used.0 -= run.step.cpu;
        worker.used.1 -= run.step.memory;
        history[run.history].ended = Some((Instant::now(), how));
        let highest = worker.closed.entry(task.to_owned()).or_insert(0);
        *highest = (*highest).max(run.number);
        worker.last_end += 1;
        if self.verbose {
            self.record.line(format!(
                "worker {id}: {task} run {} ends: {how}",
                run.number
            ));
        }
        worker.ended.push_back(End {
            number: worker.last_end,
            task: task.to_owned(),
            run: run.number,
            how,
            history: run.history,
        });
    }

    /// Lets time pass: leases lapse, runs get done.
    fn tick(&self) {
        let now = Instant::now();
        let mut guard = self.lock();
        let state = &mut *guard;
        let released = state.released;
        let mut ends: Vec<(String, String, &'static str)> = Vec::new();
        for worker in state.workers.iter_mut().filter(|worker| worker.alive) {
            let lapsed = worker.deadline < worker.clock_ms();
            if lapsed {
                for end in &worker.ended {
                    state.history[end.history].lapsed_between = true;
                }
            }
            for (task, run) in &worker.runs {
                let step = &run.step;
                if lapsed {
                    ends.push((worker.id.clone(), task.clone(), "lapsed"));
                } else if step.held {
                    let share =
                        f64::from(index_of(task) * 7_919 % step.count as u32) / step.count as f64;
                    if released.is_some_and(|(at, over)| now >= at + over.mul_f64(share)) {
                        ends.push((worker.id.clone(), task.clone(), "done"));
                    }
                } else if !step.lasting && now >= run.began + step.run_time {
                    ends.push((worker.id.clone(), task.clone(), "done"));
                }
            }
        }
        let any = !ends.is_empty();
        for (id, task, how) in ends {
            self.end(state, &id, &task, how);
        }
        drop(guard);
        if any {
            self.changed.notify_all();
        }
    }

    /// Lets the event come that held tasks wait for; they end within this time.
    pub fn release(&self, over: Duration) {
        self.lock().released = Some((Instant::now(), over));
    }

    /// Returns the history of all runs.
    pub fn history(&self) -> Vec<Past> {
        self.lock().history.clone()
    }

    /// Returns how many runs of a job are in progress.
    pub fn running_of(&self, job: &str) -> usize {
        let state = self.lock();
        let tasks = state.workers.iter().flat_map(|worker| worker.runs.keys());
        tasks.filter(|task| job_of(task) == job).count()
    }

    /// Returns the workers that run members of a job, with the number of their runs of it.
    pub fn hosts_of(&self, job: &str) -> Vec<(String, usize)> {
        let state = self.lock();
        let count = |worker: &Worker| {
            worker
                .runs
                .keys()
                .filter(|task| job_of(task) == job)
                .count()
        };
        let hosts = state.workers.iter().filter(|worker| worker.alive);
        hosts
            .map(|w| (w.id.clone(), count(w)))
            .filter(|(_, n)| *n > 0)
            .collect()
    }

    /// Returns how many tasks of this size fit on the live workers now, and the share of their cores in use.
    pub fn room(&self, cpu: u64, memory: u64) -> (u64, f64) {
        let state = self.lock();
        let (mut fitting, mut in_use, mut all) = (0, 0, 0);
        for worker in state.workers.iter().filter(|worker| worker.alive) {
            let used = worker.used;
            fitting += ((CPU - used.0) / cpu.max(1)).min((MEMORY - used.1) / memory.max(1));
            in_use += used.0;
            all += CPU;
        }
        (fitting, in_use as f64 / all.max(1) as f64)
    }

    /// Returns what was sent to workers that nobody asked for.
    pub fn odd(&self) -> Vec<String> {
        self.lock().odd.clone()
    }
}

fn answer(clock: u64, status: u16, reason: &str) -> Option<Response> {
    let mut body = json!({ "clock-ms": clock });
    if !reason.is_empty() {
        body["reason"] = reason.into();
    }
    Response::new(status, body.to_string())
}

fn live<'s>(state: &'s mut State, id: &str) -> Option<&'s mut Worker> {
    state
        .workers
        .iter_mut()
        .find(|worker| worker.id == id && worker.alive)
}

/// Returns the id of a task's job.
pub fn job_of(task: &str) -> &str {
    task.split('.').next().unwrap_or("")
}

fn step_of(jobs: &HashMap<String, Expected>, task: &str) -> Option<Arc<Step>> {
    let number: usize = task.split('.').nth(2)?.parse().ok()?;
    jobs.get(job_of(task))?.1.get(number).cloned()
}

/// Returns the number of a task in its step.
fn index_of(task: &str) -> u32 {
    task.rsplit('.')
        .next()
        .and_then(|index| index.parse().ok())
        .unwrap_or(0)
}

fn percent(run: &Run) -> u64 {
    if run.step.lasting {
        return 100;
    }
    if run.step.held {
        return (run.began.elapsed().as_millis() as u64 / 200).min(99);
    }
    let done = run.began.elapsed().as_secs_f64() / run.step.run_time.as_secs_f64().max(0.001);
    ((done * 100.0) as u64).min(99)
}
