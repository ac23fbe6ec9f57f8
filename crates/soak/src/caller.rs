//! Callers: hand in jobs, ask for them, cancel some, over connections that they use until these end; and
//! what they were told.

use crate::{
    faults::{HARMFUL_FROM, WORKSPACES_FROM},
    site::{self, HOST, PREFIX, Site, WORKSPACES},
};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, client::conn::http1};
use hyper_util::rt::TokioIo;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};
use standin::users::{self, worker::ENDS_WORKER};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering::Relaxed},
    },
    time::{Duration, Instant},
};
use tokio::{net::TcpStream, time};

/// How many callers there are.
const CALLERS: u64 = 3;

/// How long a caller waits for an answer.
const PATIENCE: Duration = Duration::from_millis(3_000);

/// One in how many jobs has a task that ends its workers. Each takes two to four workers away for 2.4 s: with 20 jobs a
/// second, three of 8 workers.
const FATAL: u32 = 40;

/// The same with the seeds below [`CROWDED_BELOW`]: more than 8 workers can bear, so that jobs may not be over in time.
const FATAL_CROWDED: u32 = 15;

/// See [`FATAL_CROWDED`].
const CROWDED_BELOW: u64 = 8_000;

/// How often a job is handed in until its caller gives it up.
const TRIES: usize = 5;

/// One job, as its caller knows it.
#[derive(Clone, Debug, Default)]
pub struct Job {
    /// When an entry said that it is kept.
    pub accepted: Option<Instant>,
    /// Whether every answer so far said that it was not taken.
    pub refused: bool,
    /// When a cancel was first sent.
    pub cancelling: Option<Instant>,
    /// When an entry said that it is cancelled.
    pub cancelled: Option<Instant>,
    /// When an entry showed it as done.
    pub succeeded: Option<Instant>,
    /// Whether an entry showed it as failed.
    pub failed: bool,
    /// Whether it has a task that ends each worker that starts it.
    pub fatal: bool,
    /// When an entry denied that it exists, after it was accepted.
    pub denied: Option<Instant>,
    /// Its workspace, where there are such.
    pub workspace: Option<&'static str>,
    /// Whether a call with a wrong key, or one of another workspace, was let in.
    pub leaked: bool,
}

/// All jobs by their ids; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Ledger(Arc<Mutex<BTreeMap<u64, Job>>>);

impl Ledger {
    /// All jobs.
    pub fn all(&self) -> BTreeMap<u64, Job> {
        self.0.lock().expect("no thread panics here").clone()
    }

    /// How many jobs are so.
    pub fn count(&self, is: impl Fn(&Job) -> bool) -> usize {
        self.all().values().filter(|job| is(job)).count()
    }

    /// Whether an accepted job may still go on.
    pub fn is_open(&self) -> bool {
        self.count(Job::is_open) > 0
    }

    /// The key of a job's workspace.
    fn key(&self, id: u64) -> Option<String> {
        let jobs = self.0.lock().expect("no thread panics here");
        let workspace = jobs.get(&id)?.workspace?;
        Some(site::key(workspace, 0))
    }

    fn change(&self, id: u64, change: impl FnOnce(&mut Job)) {
        let mut jobs = self.0.lock().expect("no thread panics here");
        change(jobs.entry(id).or_default());
    }
}

impl Job {
    /// Whether it is accepted and not known to be over.
    pub fn is_open(&self) -> bool {
        let over = self.succeeded.is_some() || self.failed || self.cancelled.is_some();
        self.accepted.is_some() && !over
    }
}

/// Callers that are at work.
pub struct Callers(Arc<AtomicBool>);

impl Callers {
    /// They hand in nothing more.
    pub fn stop(&self) {
        self.0.store(true, Relaxed);
    }
}

/// Starts the callers.
pub fn start(site: &Site, ledger: &Ledger, seed: u64) -> Callers {
    let stop = Arc::new(AtomicBool::new(false));
    let entries: Vec<SocketAddr> = site.entries.iter().map(|entry| entry.address).collect();
    for number in 0..CALLERS {
        let caller = Caller {
            rng: StdRng::seed_from_u64(seed * CALLERS + number),
            fatal: match seed {
                ..HARMFUL_FROM => None,
                HARMFUL_FROM..CROWDED_BELOW => Some(FATAL_CROWDED),
                CROWDED_BELOW.. => Some(FATAL),
            },
            lines: entries.iter().map(|at| Line::new(*at)).collect(),
            ledger: ledger.clone(),
            keyed: seed >= WORKSPACES_FROM,
        };
        tokio::spawn(call(caller, Arc::clone(&stop)));
    }
    Callers(stop)
}

/// Asks once for each job that may still go on, in each round at another entry.
pub async fn ask_open(site: &Site, ledger: &Ledger, round: usize) {
    let mut lines: Vec<Line> = site.entries.iter().map(|e| Line::new(e.address)).collect();
    for (number, (id, job)) in ledger.all().into_iter().enumerate() {
        if job.is_open() {
            let line = (number + round) % lines.len();
            ask(&mut lines[line], ledger, id).await;
        }
    }
}

struct Caller {
    rng: StdRng,
    /// One in how many of its jobs has a task that ends its workers; none has without.
    fatal: Option<u32>,
    lines: Vec<Line>,
    ledger: Ledger,
    /// Whether callers belong to workspaces.
    keyed: bool,
}

/// Hands in jobs and asks for them until told to stop.
async fn call(mut caller: Caller, stop: Arc<AtomicBool>) {
    let mut known = Vec::new();
    while !stop.load(Relaxed) {
        let id = caller.rng.random();
        caller.choose_workspace(id);
        if let Some(share) = caller.fatal
            && caller.rng.random_ratio(1, share)
        {
            caller.ledger.change(id, |job| job.fatal = true);
            caller.hand_in(id, &fatal_job()).await;
        } else {
            let body = caller.plain_job();
            caller.hand_in(id, &body).await;
        }
        known.push(id);
        let asked = known[caller.rng.random_range(0..known.len())];
        let line = caller.pick();
        ask(&mut caller.lines[line], &caller.ledger.clone(), asked).await;
        if caller.rng.random_bool(0.15) {
            caller.cancel(id).await;
        }
        if caller.keyed && caller.rng.random_bool(0.1) {
            caller.pry(asked).await;
        }
        let pause = caller.rng.random_range(20..120);
        time::sleep(Duration::from_millis(pause)).await;
    }
}

impl Caller {
    /// Chooses the workspace of a job.
    fn choose_workspace(&mut self, id: u64) {
        if self.keyed {
            let workspace = WORKSPACES[self.rng.random_range(0..WORKSPACES.len())];
            self.ledger
                .change(id, |job| job.workspace = Some(workspace));
        }
    }

    /// Asks for a job with a key that there never was, and with one of another workspace.
    async fn pry(&mut self, id: u64) {
        let own = self.ledger.all().get(&id).and_then(|job| job.workspace);
        let others = WORKSPACES.iter().filter(|name| Some(**name) != own);
        let mut wrong: Vec<String> = others.map(|name| site::key(name, 0)).collect();
        wrong.push("secret-of-nobody".to_owned());
        for key in wrong {
            let line = self.pick();
            let answer = self.lines[line].call(Method::GET, id, "", Some(key)).await;
            if answer.is_some_and(|(status, _)| status == 200) {
                self.ledger.change(id, |job| job.leaked = true);
            }
        }
    }

    fn pick(&mut self) -> usize {
        self.rng.random_range(0..self.lines.len())
    }

    /// A job of two steps, of 1 to 3 tasks each.
    fn plain_job(&mut self) -> String {
        let (first, mut second) = (
            step(self.rng.random_range(1..4)),
            step(self.rng.random_range(1..4)),
        );
        second["after"] = json!([0]);
        let took = self.rng.random_range(20..600).to_string();
        json!({ "spec": took, "steps": [first, second] }).to_string()
    }

    /// Hands in a job until it is accepted or refused for good.
    async fn hand_in(&mut self, id: u64, body: &str) {
        let key = self.ledger.key(id);
        let mut refused = true;
        for _ in 0..TRIES {
            let line = self.pick();
            let answer = self.lines[line]
                .call(Method::POST, id, body, key.clone())
                .await;
            let now = Instant::now();
            match answer.map(|(status, _)| status) {
                Some(200..=299) => {
                    return self.ledger.change(id, |job| job.accepted = Some(now));
                }
                Some(429 | 503) => {}
                Some(_) | None => refused = false,
            }
            self.ledger.change(id, |job| job.refused = refused);
            time::sleep(Duration::from_millis(300)).await;
        }
    }

    async fn cancel(&mut self, id: u64) {
        let now = Instant::now();
        self.ledger
            .change(id, |job| job.cancelling = job.cancelling.or(Some(now)));
        let key = self.ledger.key(id);
        let line = self.pick();
        let answer = self.lines[line].call(Method::DELETE, id, "", key).await;
        let told = Instant::now();
        if let Some((200..=299, _)) = answer {
            self.ledger.change(id, |job| job.cancelled = Some(told));
        }
    }
}

/// A step of so many tasks.
fn step(count: u32) -> Value {
    json!({ "count": count, "cpu": 1_000, "mem-mb": 100, "estimated-ms": 200 })
}

/// A job of one task that ends each worker that starts it.
fn fatal_job() -> String {
    json!({ "spec": ENDS_WORKER, "steps": [step(1)] }).to_string()
}

/// Asks for a job's state and notes what was told.
async fn ask(line: &mut Line, ledger: &Ledger, id: u64) {
    let asked = Instant::now();
    let Some((status, body)) = line.call(Method::GET, id, "", ledger.key(id)).await else {
        return;
    };
    let state = serde_json::from_slice::<Value>(&body).unwrap_or_default();
    let now = Instant::now();
    ledger.change(id, |job| match (status, state["state"].as_str()) {
        (410, _) if job.accepted.is_some_and(|at| at < asked) => job.denied = Some(now),
        (200, Some("succeeded")) => job.succeeded = job.succeeded.or(Some(now)),
        (200, Some("failed")) => job.failed = true,
        (200, Some("cancelled")) => job.cancelled = job.cancelled.or(Some(now)),
        _ => {}
    });
}

/// A connection to an entry, used until it ends.
struct Line {
    address: SocketAddr,
    sender: Option<http1::SendRequest<Full<Bytes>>>,
}

impl Line {
    fn new(address: SocketAddr) -> Self {
        Line {
            address,
            sender: None,
        }
    }

    /// Makes a call; none if it has no answer in time.
    async fn call(
        &mut self,
        method: Method,
        id: u64,
        body: &str,
        key: Option<String>,
    ) -> Option<(u16, Bytes)> {
        let exchange = self.exchange(method, id, body, key);
        let answer = time::timeout(PATIENCE, exchange).await.ok().flatten();
        if answer.is_none() {
            self.sender = None;
        }
        answer
    }

    async fn exchange(
        &mut self,
        method: Method,
        id: u64,
        body: &str,
        key: Option<String>,
    ) -> Option<(u16, Bytes)> {
        if self.sender.as_ref().is_none_or(|sender| sender.is_closed()) {
            let stream = TcpStream::connect(self.address).await.ok()?;
            let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
            // Its end shows in the next call.
            tokio::spawn(async move { drop(connection.await) });
            self.sender = Some(sender);
        }
        let sender = self.sender.as_mut()?;
        sender.ready().await.ok()?;
        let mut request = Request::builder();
        if let Some(key) = key {
            request = request.header("authorization", format!("Token {key}"));
        }
        let request = request
            .method(method)
            .uri(format!("{PREFIX}{id:016x}"))
            .header("host", HOST)
            .header(users::DEADLINE_HEADER, PATIENCE.as_millis() as u64)
            .body(Full::from(body.to_owned()))
            .ok()?;
        let response = sender.send_request(request).await.ok()?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some((status, body))
    }
}
