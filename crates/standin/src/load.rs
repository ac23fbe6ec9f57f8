//! An open-loop load generator, and a first-in-first-out baseline to compare with.

use crate::ledger::now_ms;
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use platform::task::{HEADER_LEASE, HEADER_POOL, HEADER_REFUSED, HEADER_SERVICE, TASKS};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};
use tokio::{
    sync::Semaphore,
    task::JoinSet,
    time::{sleep, sleep_until},
};

/// Upper limit of the histograms, in microseconds; longer times are recorded as this one.
const MAX_TIME_US: u64 = 600_000_000;

/// A kind of request that is offered at a steady average rate.
#[derive(Clone, Debug)]
pub struct RequestKind {
    /// Path of the service.
    pub service: String,
    /// Pool of the service.
    pub pool: String,
    /// Requests per second.
    pub rate: f64,
    /// Shortest and longest run time, in milliseconds. Run times are drawn from a log-uniform
    /// distribution between them.
    pub run_ms: (f64, f64),
    /// Time from sending a request to its deadline.
    pub patience: Duration,
}

impl RequestKind {
    /// Returns the mean run time in seconds.
    pub fn mean_run(&self) -> f64 {
        let (low, high) = self.run_ms;
        if high <= low {
            return low / 1e3;
        }
        (high - low) / (high / low).ln() / 1e3
    }

    fn draw_run(&self, rng: &mut SmallRng) -> u64 {
        let (low, high) = self.run_ms;
        let run = low * (high / low).powf(rng.random::<f64>());
        run.round() as u64
    }
}

/// The results of one kind of request.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Number of requests that were sent.
    pub offered: u64,
    /// Number of requests that were done once, completely and in time.
    pub good: u64,
    /// Number of requests that were reported as not run.
    pub refused: u64,
    /// Number of all other requests: late, broken or with an unknown outcome.
    pub lost: u64,
    /// Time to a good response, in microseconds.
    pub good_us: Histogram<u64>,
    /// Time to a refusal, in microseconds.
    pub refused_us: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        let histogram = || Histogram::new_with_bounds(1, MAX_TIME_US, 3).expect("bounds in order");
        Self {
            offered: 0,
            good: 0,
            refused: 0,
            lost: 0,
            good_us: histogram(),
            refused_us: histogram(),
        }
    }
}

enum Outcome {
    Good,
    Refused,
    Lost,
}

impl Tally {
    fn record(&mut self, outcome: &Outcome, took: Duration) {
        let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        match outcome {
            Outcome::Good => {
                self.good += 1;
                self.good_us.saturating_record(micros);
            }
            Outcome::Refused => {
                self.refused += 1;
                self.refused_us.saturating_record(micros);
            }
            Outcome::Lost => self.lost += 1,
        }
    }
}

/// The processes that requests are sent to.
#[derive(Clone, Debug)]
pub enum Destination {
    /// Entries, one of which is picked at random for each request.
    Entries(Vec<SocketAddr>),
    /// Workers directly: requests queue first in, first out, for as many slots as there are, and
    /// each goes to a random worker.
    Baseline {
        /// Addresses of the workers.
        workers: Vec<SocketAddr>,
        /// Total number of slots of all workers.
        slots: usize,
    },
}

type Http = Client<HttpConnector, Full<Bytes>>;

/// Offers requests of each kind for `time` and returns a tally for each kind.
pub async fn offer(
    destination: Destination,
    kinds: &[RequestKind],
    time: Duration,
    seed: u64,
) -> Vec<Tally> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    let http: Http = Client::builder(TokioExecutor::new()).build(connector);
    let tallies: Arc<Vec<Mutex<Tally>>> =
        Arc::new(kinds.iter().map(|_| Mutex::default()).collect());
    let queue = Arc::new(FifoQueue::new(&destination));
    let mut requests = JoinSet::new();
    let mut rng = SmallRng::seed_from_u64(seed);
    let started_at = Instant::now();
    for (at, kind) in schedule(kinds, time, &mut rng) {
        sleep_until((started_at + at).into()).await;
        let (http, destination, queue) = (http.clone(), destination.clone(), Arc::clone(&queue));
        let (tallies, chosen) = (Arc::clone(&tallies), kinds[kind].clone());
        let (run, random) = (chosen.draw_run(&mut rng), rng.random::<u64>());
        requests.spawn(async move {
            let started_at = Instant::now();
            let outcome = match destination {
                Destination::Entries(entries) => {
                    let entry = entries[random as usize % entries.len()];
                    send_to_entry(&http, entry, &chosen, run).await
                }
                Destination::Baseline { workers, .. } => {
                    queue.send(&http, &workers, &chosen, run, random).await
                }
            };
            let mut tally = tallies[kind].lock().expect("no holder panics");
            tally.offered += 1;
            tally.record(&outcome, started_at.elapsed());
        });
    }
    requests.join_all().await;
    let tallies = tallies.iter();
    tallies
        .map(|tally| tally.lock().expect("no holder panics").clone())
        .collect()
}

/// Returns the arrival times of all kinds in order; the arrivals of each kind are a Poisson
/// process.
fn schedule(kinds: &[RequestKind], time: Duration, rng: &mut SmallRng) -> Vec<(Duration, usize)> {
    let mut arrivals = Vec::new();
    for (index, kind) in kinds.iter().enumerate() {
        let mut at = 0.0;
        loop {
            at += -rng.random::<f64>().max(1e-12).ln() / kind.rate;
            if at >= time.as_secs_f64() {
                break;
            }
            arrivals.push((Duration::from_secs_f64(at), index));
        }
    }
    arrivals.sort();
    arrivals
}

async fn send_to_entry(http: &Http, entry: SocketAddr, kind: &RequestKind, run: u64) -> Outcome {
    let deadline = now_ms() + kind.patience.as_millis() as u64;
    let request = Request::post(format!("http://{entry}/v1/{}", kind.service))
        .header("havenladder-deadline", deadline.to_string())
        .body(Full::from(format!("run={run}")))
        .expect("a well-formed request");
    let Ok(response) = http.request(request).await else {
        return Outcome::Lost;
    };
    let outcome = response.headers().get("havenladder-outcome").cloned();
    if response.into_body().collect().await.is_err() {
        return Outcome::Lost;
    }
    match outcome.as_ref().map(|outcome| outcome.as_bytes()) {
        Some(b"done") if now_ms() <= deadline => Outcome::Good,
        Some(b"not-run") => Outcome::Refused,
        _ => Outcome::Lost,
    }
}

/// The queue of the baseline: the request that has waited longest gets the next free slot.
struct FifoQueue {
    permits: Semaphore,
}

impl FifoQueue {
    fn new(destination: &Destination) -> Self {
        let slots = match destination {
            Destination::Entries(_) => 1,
            Destination::Baseline { slots, .. } => *slots,
        };
        Self {
            permits: Semaphore::new(slots),
        }
    }

    async fn send(
        &self,
        http: &Http,
        workers: &[SocketAddr],
        kind: &RequestKind,
        run: u64,
        random: u64,
    ) -> Outcome {
        let deadline = Instant::now() + kind.patience;
        // Tokio's semaphore is fair: it grants permits first in, first out.
        let _permit = self
            .permits
            .acquire()
            .await
            .expect("the semaphore is never closed");
        let mut rng = SmallRng::seed_from_u64(random);
        loop {
            let worker = workers[rng.random_range(0..workers.len())];
            match send_to_worker(http, worker, kind, run).await {
                Some(true) if Instant::now() <= deadline => return Outcome::Good,
                Some(true) => return Outcome::Lost,
                Some(false) => sleep(Duration::from_millis(1)).await,
                None => return Outcome::Lost,
            }
        }
    }
}

/// Sends a task directly to a worker. Returns true if it was done, false if the worker refused it,
/// and `None` if the exchange failed.
pub async fn send_to_worker(
    http: &Http,
    worker: SocketAddr,
    kind: &RequestKind,
    run: u64,
) -> Option<bool> {
    let attempt = ulid::Ulid::new();
    let lease = now_ms() + 600_000;
    let request = Request::post(format!("http://{worker}{TASKS}{attempt}"))
        .header(HEADER_SERVICE, &kind.service)
        .header(HEADER_POOL, &kind.pool)
        .header(HEADER_LEASE, lease.to_string())
        .body(Full::from(format!("run={run}")))
        .expect("a well-formed request");
    let response = http.request(request).await.ok()?;
    let refused = response.headers().contains_key(HEADER_REFUSED);
    let status = response.status();
    response.into_body().collect().await.ok()?;
    if refused {
        return Some(false);
    }
    (status == StatusCode::OK).then_some(true)
}
