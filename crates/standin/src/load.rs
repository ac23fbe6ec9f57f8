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

/// The longest time that is told apart, in microseconds.
const MAX_TIME_US: u64 = 600_000_000;

/// One kind of request.
#[derive(Clone, Debug)]
pub struct RequestKind {
    /// Path of its service.
    pub service: String,
    /// Its pool.
    pub pool: String,
    /// Requests a second.
    pub rate: f64,
    /// Shortest and longest run, in milliseconds; drawn evenly on a logarithmic scale.
    pub run_ms: (f64, f64),
    /// Time that each request has.
    pub patience: Duration,
}

impl RequestKind {
    /// The mean run, in seconds.
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

/// What became of one kind of request.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Requests that were offered.
    pub offered: u64,
    /// Requests done once, whole and in time.
    pub good: u64,
    /// Requests that were told they were not run.
    pub refused: u64,
    /// All others: late, broken or unknown.
    pub lost: u64,
    /// Time to a good answer, in microseconds.
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
    fn count(&mut self, outcome: &Outcome, took: Duration) {
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

/// Where requests are sent.
#[derive(Clone, Debug)]
pub enum Destination {
    /// To entries, one after the other.
    Entries(Vec<SocketAddr>),
    /// To a random worker, first in, first out, with as many at once as there are slots.
    Baseline {
        /// The workers.
        workers: Vec<SocketAddr>,
        /// Slots of all of them.
        slots: usize,
    },
}

type Http = Client<HttpConnector, Full<Bytes>>;

/// Offers requests of each kind for `time` and returns a tally for each.
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
    let line = Arc::new(Line::new(&destination));
    let mut requests = JoinSet::new();
    let mut rng = SmallRng::seed_from_u64(seed);
    let began = Instant::now();
    for (at, kind) in schedule(kinds, time, &mut rng) {
        sleep_until((began + at).into()).await;
        let (http, destination, line) = (http.clone(), destination.clone(), Arc::clone(&line));
        let (tallies, ask) = (Arc::clone(&tallies), kinds[kind].clone());
        let (run, pick) = (ask.draw_run(&mut rng), rng.random::<u64>());
        requests.spawn(async move {
            let began = Instant::now();
            let outcome = match destination {
                Destination::Entries(entries) => {
                    let entry = entries[pick as usize % entries.len()];
                    through_entry(&http, entry, &ask, run).await
                }
                Destination::Baseline { workers, .. } => {
                    line.through(&http, &workers, &ask, run, pick).await
                }
            };
            let mut tally = tallies[kind].lock().expect("no holder panics");
            tally.offered += 1;
            tally.count(&outcome, began.elapsed());
        });
    }
    requests.join_all().await;
    let tallies = tallies.iter();
    tallies
        .map(|tally| tally.lock().expect("no holder panics").clone())
        .collect()
}

/// Arrivals of all kinds in order, each kind a Poisson process.
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

async fn through_entry(http: &Http, entry: SocketAddr, kind: &RequestKind, run: u64) -> Outcome {
    let deadline = now_ms() + kind.patience.as_millis() as u64;
    let request = Request::post(format!("http://{entry}/v1/{}", kind.service))
        .header("havenladder-deadline", deadline.to_string())
        .body(Full::from(format!("run={run}")))
        .expect("a well-formed request");
    let Ok(answer) = http.request(request).await else {
        return Outcome::Lost;
    };
    let outcome = answer.headers().get("havenladder-outcome").cloned();
    if answer.into_body().collect().await.is_err() {
        return Outcome::Lost;
    }
    match outcome.as_ref().map(|outcome| outcome.as_bytes()) {
        Some(b"done") if now_ms() <= deadline => Outcome::Good,
        Some(b"not-run") => Outcome::Refused,
        _ => Outcome::Lost,
    }
}

/// The baseline's queue: whoever came first goes next, to a random worker.
struct Line {
    turn: Semaphore,
}

impl Line {
    fn new(destination: &Destination) -> Self {
        let slots = match destination {
            Destination::Entries(_) => 1,
            Destination::Baseline { slots, .. } => *slots,
        };
        Self {
            turn: Semaphore::new(slots),
        }
    }

    async fn through(
        &self,
        http: &Http,
        workers: &[SocketAddr],
        kind: &RequestKind,
        run: u64,
        pick: u64,
    ) -> Outcome {
        let deadline = Instant::now() + kind.patience;
        // The semaphore of this runtime is fair: first in, first out.
        let _turn = self.turn.acquire().await.expect("it is never closed");
        let mut rng = SmallRng::seed_from_u64(pick);
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

/// Sends a task straight to a worker: done, refused, or broken.
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
    let answer = http.request(request).await.ok()?;
    let refused = answer.headers().contains_key(HEADER_REFUSED);
    let status = answer.status();
    answer.into_body().collect().await.ok()?;
    if refused {
        return Some(false);
    }
    (status == StatusCode::OK).then_some(true)
}
