//! A caller of the newest routes, which checks that no entry reports one of them as missing.

use crate::{
    caller::Connection,
    site::{Routes, Site, WORKSPACES, key},
};
use hyper::Method;
use rand::{Rng, SeedableRng, rngs::StdRng};
use standin::users::operator::idle_route;
use std::{
    fmt,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering::Relaxed},
    },
    time::{Duration, Instant},
};
use tokio::time;

/// The time within which a route must be in force: the shortest that users configure.
const APPLY_TIMEOUT: Duration = Duration::from_millis(2_000);

/// The time between two calls.
const CALL_INTERVAL: Duration = Duration::from_millis(50);

/// A call that was rejected although its route was in force and its key valid.
#[derive(Clone, Copy, Debug)]
pub struct WrongRejection {
    /// Number of the idle route.
    pub route: usize,
    /// Entry that was called.
    pub entry: usize,
    /// Status of the response.
    pub status: u16,
    /// Time between the change that added the route and the call.
    pub age: Duration,
}

impl fmt::Display for WrongRejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let WrongRejection {
            route,
            entry,
            status,
            age,
        } = self;
        write!(
            f,
            "entry {entry} responds {status} to a call of route {route}, added {age:?} before"
        )
    }
}

/// The running prober.
pub struct Prober {
    stop: Arc<AtomicBool>,
    rejections: Arc<Mutex<Vec<WrongRejection>>>,
}

impl Prober {
    /// Starts to call the newest routes of a site, if it gets any.
    pub fn start(site: &Site, seed: u64) -> Self {
        let prober = Prober {
            stop: Arc::default(),
            rejections: Arc::default(),
        };
        let connections = site.entries.iter();
        let calls = Calls {
            rng: StdRng::seed_from_u64(seed),
            connections: connections
                .map(|entry| Connection::new(entry.address))
                .collect(),
            routes: site.routes.clone(),
            key: site.workspaces.is_some().then(|| key(WORKSPACES[0], 0)),
        };
        let (stop, rejections) = (Arc::clone(&prober.stop), Arc::clone(&prober.rejections));
        tokio::spawn(calls.run(stop, rejections));
        prober
    }

    /// Stops the prober, and returns the calls that were rejected wrongly.
    pub fn stop(&self) -> Vec<WrongRejection> {
        self.stop.store(true, Relaxed);
        let rejections = self.rejections.lock();
        rejections.expect("no thread panics here").clone()
    }
}

/// What the prober's calls need.
struct Calls {
    rng: StdRng,
    connections: Vec<Connection>,
    routes: Routes,
    key: Option<String>,
}

impl Calls {
    async fn run(mut self, stop: Arc<AtomicBool>, rejections: Arc<Mutex<Vec<WrongRejection>>>) {
        while !stop.load(Relaxed) {
            time::sleep(CALL_INTERVAL).await;
            if let Some(rejection) = self.call().await {
                let mut rejections = rejections.lock().expect("no thread panics here");
                rejections.push(rejection);
            }
        }
    }

    /// Calls the newest route that must be in force at a random entry, if there is one. Returns the call if it was
    /// rejected.
    async fn call(&mut self) -> Option<WrongRejection> {
        let entry = self.rng.random_range(0..self.connections.len());
        let (route, age) = self.routes.newest(Instant::now(), APPLY_TIMEOUT)?;
        let (host, path) = idle_route(route);
        let response =
            self.connections[entry].send_to(Method::GET, (&host, &path), "", self.key.clone());
        let (status, _) = response.await?;
        matches!(status, 401 | 404).then_some(WrongRejection {
            route,
            entry,
            status,
            age,
        })
    }
}
