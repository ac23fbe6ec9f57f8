//! Callers that submit jobs, poll them and cancel some of them over persistent connections, and a
//! record of the responses.

use crate::{
    crowd_faults::CROWDS_FROM_SEED,
    cut_off::CUT_OFF_FROM_SEED,
    faults::{BURSTS_FROM_SEED, HARMFUL_FROM_SEED, has_workspaces},
    site::{self, HOST, PREFIX, Site, WORKSPACES},
    specs,
};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, client::conn::http1};
use hyper_util::rt::TokioIo;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::Value;
use standin::users;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    ops::Range,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering::Relaxed},
    },
    time::{Duration, Instant},
};
use tokio::{net::TcpStream, time};

/// The number of callers.
const CALLERS: u64 = 3;

/// The time for which a caller waits for a response.
const CALL_TIMEOUT: Duration = Duration::from_millis(3_000);

/// The ratio of jobs with a task that ends its workers: one in this many. Each such job takes two
/// to four workers down for 2.4 s; at 20 jobs per second, that is three of 8 workers.
const FATAL_RATIO: u32 = 40;

/// The same ratio for seeds below [`CROWDED_BELOW_SEED`]. 8 workers cannot handle that many such
/// jobs, so some jobs may not end in time.
const FATAL_RATIO_CROWDED: u32 = 15;

/// The seed below which [`FATAL_RATIO_CROWDED`] applies.
const CROWDED_BELOW_SEED: u64 = 8_000;

/// The ratio of jobs with many small tasks: one in this many.
const BURST_RATIO: u32 = 100;

/// The ratio of jobs with long tasks: one in this many.
const LONG_RATIO: u32 = 3;

/// The minimum and maximum pause between two jobs of a caller, in ms.
const PAUSE_MS: Range<u64> = 20..120;

/// The same where jobs have long tasks. Half of 8 workers then have room for the tasks of the other half.
const LONG_PAUSE_MS: Range<u64> = 200..800;

/// The number of attempts after which a caller stops submitting a job.
const MAX_SUBMIT_ATTEMPTS: usize = 5;

/// A job as its caller knows it.
#[derive(Clone, Debug, Default)]
pub struct Job {
    /// Time at which an entry accepted the job.
    pub accepted: Option<Instant>,
    /// Whether every response so far said that the job was not accepted.
    pub refused: bool,
    /// Time at which a cancellation was first sent.
    pub cancel_sent: Option<Instant>,
    /// Time at which an entry reported the job as cancelled.
    pub cancelled: Option<Instant>,
    /// Time at which an entry reported the job as done.
    pub succeeded: Option<Instant>,
    /// Whether an entry reported the job as failed.
    pub failed: bool,
    /// Whether the job has a task that ends each worker that starts it.
    pub fatal: bool,
    /// Time at which an entry denied that the job exists although it had been accepted.
    pub denied: Option<Instant>,
    /// Workspace of the job, in soaks with workspaces.
    pub workspace: Option<&'static str>,
    /// Whether a call with an unknown key or a key of another workspace was admitted.
    pub leaked: bool,
}

/// All jobs by their ids; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Ledger(Arc<Mutex<BTreeMap<u64, Job>>>);

impl Ledger {
    /// Returns a copy of all jobs.
    pub fn all(&self) -> BTreeMap<u64, Job> {
        self.0.lock().expect("no thread panics here").clone()
    }

    /// Returns the number of jobs that fulfil a condition.
    pub fn count(&self, matches: impl Fn(&Job) -> bool) -> usize {
        self.all().values().filter(|job| matches(job)).count()
    }

    /// Returns whether an accepted job has not ended yet.
    pub fn is_open(&self) -> bool {
        self.count(Job::is_open) > 0
    }

    /// Returns the key of a job's workspace, if it has one.
    fn key(&self, id: u64) -> Option<String> {
        let jobs = self.0.lock().expect("no thread panics here");
        let workspace = jobs.get(&id)?.workspace?;
        Some(site::key(workspace, 0))
    }

    fn update(&self, id: u64, update: impl FnOnce(&mut Job)) {
        let mut jobs = self.0.lock().expect("no thread panics here");
        update(jobs.entry(id).or_default());
    }
}

impl Job {
    /// Returns whether the job was accepted and is not known to have ended.
    pub fn is_open(&self) -> bool {
        let over = self.succeeded.is_some() || self.failed || self.cancelled.is_some();
        self.accepted.is_some() && !over
    }
}

/// A handle to the running callers.
pub struct Callers(Arc<AtomicBool>);

impl Callers {
    /// Makes the callers stop once they have finished with their current job.
    pub fn stop(&self) {
        self.0.store(true, Relaxed);
    }
}

/// Starts the callers.
pub fn start(site: &Site, ledger: &Ledger, seed: u64) -> Callers {
    let stop = Arc::new(AtomicBool::new(false));
    let entries: Vec<SocketAddr> = site.entries.iter().map(|entry| entry.address).collect();
    let has_bursts = (BURSTS_FROM_SEED..CUT_OFF_FROM_SEED).contains(&seed);
    let has_long_tasks = (CUT_OFF_FROM_SEED..CROWDS_FROM_SEED).contains(&seed);
    for number in 0..CALLERS {
        let caller = Caller {
            rng: StdRng::seed_from_u64(seed * CALLERS + number),
            fatal: match seed {
                ..HARMFUL_FROM_SEED => None,
                HARMFUL_FROM_SEED..CROWDED_BELOW_SEED => Some(FATAL_RATIO_CROWDED),
                CROWDED_BELOW_SEED..BURSTS_FROM_SEED => Some(FATAL_RATIO),
                BURSTS_FROM_SEED.. => None,
            },
            connections: entries.iter().map(|at| Connection::new(*at)).collect(),
            ledger: ledger.clone(),
            has_workspaces: has_workspaces(seed),
            has_bursts,
            has_long_tasks,
            pause_ms: if has_long_tasks {
                LONG_PAUSE_MS
            } else {
                PAUSE_MS
            },
        };
        tokio::spawn(run_caller(caller, Arc::clone(&stop)));
    }
    if has_bursts {
        tokio::spawn(submit_misfits(entries, seed));
    }
    Callers(stop)
}

/// Submits a job that fits nowhere until an entry accepts it. It waits until the end and must keep no other job waiting.
async fn submit_misfits(entries: Vec<SocketAddr>, id: u64) {
    let body = specs::misfit_job();
    for address in entries.into_iter().cycle() {
        let mut connection = Connection::new(address);
        let response = connection.send(Method::POST, id, &body, None).await;
        if response.is_some_and(|(status, _)| status == 200) {
            return;
        }
        time::sleep(Duration::from_millis(200)).await;
    }
}

/// Polls each open job once, using another entry for it in each round.
pub async fn poll_open_jobs(site: &Site, ledger: &Ledger, round: usize) {
    let mut connections: Vec<Connection> = site
        .entries
        .iter()
        .map(|e| Connection::new(e.address))
        .collect();
    for (number, (id, job)) in ledger.all().into_iter().enumerate() {
        if job.is_open() {
            let index = (number + round) % connections.len();
            poll_job(&mut connections[index], ledger, id).await;
        }
    }
}

struct Caller {
    rng: StdRng,
    /// Ratio of jobs with a task that ends its workers: one in this many; `None` for none.
    fatal: Option<u32>,
    connections: Vec<Connection>,
    ledger: Ledger,
    /// Whether the callers belong to workspaces.
    has_workspaces: bool,
    /// Whether some jobs have many small tasks.
    has_bursts: bool,
    /// Whether some jobs have long tasks.
    has_long_tasks: bool,
    pause_ms: Range<u64>,
}

/// Submits and polls jobs until `stop` is set.
async fn run_caller(mut caller: Caller, stop: Arc<AtomicBool>) {
    let mut known = Vec::new();
    while !stop.load(Relaxed) {
        let id = caller.rng.random();
        caller.choose_workspace(id);
        if let Some(share) = caller.fatal
            && caller.rng.random_ratio(1, share)
        {
            caller.ledger.update(id, |job| job.fatal = true);
            caller.submit(id, &specs::fatal_job()).await;
        } else if caller.has_bursts && caller.rng.random_ratio(1, BURST_RATIO) {
            caller.submit(id, &specs::burst_job()).await;
        } else if caller.has_long_tasks && caller.rng.random_ratio(1, LONG_RATIO) {
            let body = specs::long_job(&mut caller.rng);
            caller.submit(id, &body).await;
        } else {
            let body = specs::two_step_job(&mut caller.rng);
            caller.submit(id, &body).await;
        }
        known.push(id);
        let polled = known[caller.rng.random_range(0..known.len())];
        let index = caller.pick_connection();
        poll_job(
            &mut caller.connections[index],
            &caller.ledger.clone(),
            polled,
        )
        .await;
        if caller.rng.random_bool(0.15) {
            caller.cancel(id).await;
        }
        if caller.has_workspaces && caller.rng.random_bool(0.1) {
            caller.try_wrong_keys(polled).await;
        }
        let pause = caller.rng.random_range(caller.pause_ms.clone());
        time::sleep(Duration::from_millis(pause)).await;
    }
}

impl Caller {
    /// Picks a random workspace for a job, in soaks with workspaces.
    fn choose_workspace(&mut self, id: u64) {
        if self.has_workspaces {
            let workspace = WORKSPACES[self.rng.random_range(0..WORKSPACES.len())];
            self.ledger
                .update(id, |job| job.workspace = Some(workspace));
        }
    }

    /// Polls a job with an unknown key and with keys of other workspaces, and records whether one
    /// was admitted.
    async fn try_wrong_keys(&mut self, id: u64) {
        let own = self.ledger.all().get(&id).and_then(|job| job.workspace);
        let others = WORKSPACES.iter().filter(|name| Some(**name) != own);
        let mut wrong: Vec<String> = others.map(|name| site::key(name, 0)).collect();
        wrong.push("secret-of-nobody".to_owned());
        for key in wrong {
            let index = self.pick_connection();
            let response = self.connections[index]
                .send(Method::GET, id, "", Some(key))
                .await;
            if response.is_some_and(|(status, _)| status == 200) {
                self.ledger.update(id, |job| job.leaked = true);
            }
        }
    }

    fn pick_connection(&mut self) -> usize {
        self.rng.random_range(0..self.connections.len())
    }

    /// Submits a job until it is accepted, or until [`MAX_SUBMIT_ATTEMPTS`] attempts have failed.
    async fn submit(&mut self, id: u64, body: &str) {
        let key = self.ledger.key(id);
        let mut refused = true;
        for _ in 0..MAX_SUBMIT_ATTEMPTS {
            let index = self.pick_connection();
            let response = self.connections[index]
                .send(Method::POST, id, body, key.clone())
                .await;
            let now = Instant::now();
            match response.map(|(status, _)| status) {
                Some(200..=299) => {
                    return self.ledger.update(id, |job| job.accepted = Some(now));
                }
                Some(429 | 503) => {}
                Some(_) | None => refused = false,
            }
            self.ledger.update(id, |job| job.refused = refused);
            time::sleep(Duration::from_millis(300)).await;
        }
    }

    async fn cancel(&mut self, id: u64) {
        let now = Instant::now();
        self.ledger
            .update(id, |job| job.cancel_sent = job.cancel_sent.or(Some(now)));
        let key = self.ledger.key(id);
        let index = self.pick_connection();
        let response = self.connections[index]
            .send(Method::DELETE, id, "", key)
            .await;
        let answered_at = Instant::now();
        if let Some((200..=299, _)) = response {
            self.ledger
                .update(id, |job| job.cancelled = Some(answered_at));
        }
    }
}

/// Polls the state of a job and records the response.
async fn poll_job(connection: &mut Connection, ledger: &Ledger, id: u64) {
    let sent_at = Instant::now();
    let Some((status, body)) = connection.send(Method::GET, id, "", ledger.key(id)).await else {
        return;
    };
    let state = serde_json::from_slice::<Value>(&body).unwrap_or_default();
    let now = Instant::now();
    ledger.update(id, |job| match (status, state["state"].as_str()) {
        (410, _) if job.accepted.is_some_and(|at| at < sent_at) => job.denied = Some(now),
        (200, Some("succeeded")) => job.succeeded = job.succeeded.or(Some(now)),
        (200, Some("failed")) => job.failed = true,
        (200, Some("cancelled")) => job.cancelled = job.cancelled.or(Some(now)),
        _ => {}
    });
}

/// A connection to an entry that is opened on the first call and used until it closes.
pub(crate) struct Connection {
    address: SocketAddr,
    sender: Option<http1::SendRequest<Full<Bytes>>>,
}

impl Connection {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Connection {
            address,
            sender: None,
        }
    }

    /// Sends a request about a job; returns `None` if there is no response in time.
    async fn send(
        &mut self,
        method: Method,
        id: u64,
        body: &str,
        key: Option<String>,
    ) -> Option<(u16, Bytes)> {
        let path = format!("{PREFIX}{id:016x}");
        self.send_to(method, (HOST, &path), body, key).await
    }

    /// Sends a request to a host and path; returns `None` if there is no response in time.
    pub(crate) async fn send_to(
        &mut self,
        method: Method,
        target: (&str, &str),
        body: &str,
        key: Option<String>,
    ) -> Option<(u16, Bytes)> {
        let exchange = self.exchange(method, target, body, key);
        let response = time::timeout(CALL_TIMEOUT, exchange).await.ok().flatten();
        if response.is_none() {
            self.sender = None;
        }
        response
    }

    async fn exchange(
        &mut self,
        method: Method,
        (host, path): (&str, &str),
        body: &str,
        key: Option<String>,
    ) -> Option<(u16, Bytes)> {
        if self.sender.as_ref().is_none_or(|sender| sender.is_closed()) {
            let stream = TcpStream::connect(self.address).await.ok()?;
            let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
            // The next call notices that the connection has closed.
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
            .uri(path)
            .header("host", host)
            .header(users::DEADLINE_HEADER, CALL_TIMEOUT.as_millis() as u64)
            .body(Full::from(body.to_owned()))
            .ok()?;
        let response = sender.send_request(request).await.ok()?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some((status, body))
    }
}
