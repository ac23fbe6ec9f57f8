//! Crowds of misbehaving clients in a soak: they come to random listeners of random entries, beside all other faults,
//! while what each entry uses of its machine is checked.

use crate::{
    crowd::{Crowd, Return, Shape, Target},
    invariants::{Invariant, Violation},
    site::{HOST, PREFIX, Site},
    usage::Usage,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use standin::users::settings::Resources;
use std::{
    collections::BTreeSet,
    net::SocketAddr,
    ops::Range,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering::Relaxed},
    },
    time::Duration,
};
use tokio::time;

/// The first seed with crowds, and with machines whose memory and descriptors are stated.
pub const CROWDS_FROM_SEED: u64 = 14_000;

/// The memory of a machine in MB.
const MEMORY_MB: u64 = 96;

/// The number of descriptors that are reserved for files.
const FILE_DESCRIPTORS: u64 = 200;

/// The number of sockets of a machine without workers and other entries.
const BASE_SOCKETS: u64 = 100;

/// The number of sockets that a machine has in addition for each worker and each entry.
const SOCKETS_EACH: u64 = 8;

/// The time between two crowds in milliseconds.
const INTERVAL_MS: Range<u64> = 200..1_500;

/// The time for which a crowd stays in milliseconds. Crowds overlap.
const STAY_MS: Range<u64> = 300..6_000;

/// The number of clients of a crowd.
const CLIENTS: Range<usize> = 5..150;

/// The interval at which the processes are looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// The listeners of an entry: the distance of the port from that of callers, and what requests begin with.
const LISTENERS: [(u16, &str); 3] = [(0, ""), (1, "GET /readiness/"), (4, "POST /ask/")];

/// Returns the resources of each machine of a site.
pub fn resources(entries: usize, vms: usize) -> Resources {
    let sockets = BASE_SOCKETS + SOCKETS_EACH * (entries + vms) as u64;
    Resources {
        memory_mb: MEMORY_MB,
        descriptors: FILE_DESCRIPTORS + sockets,
    }
}

/// The running crowds.
pub struct Crowds {
    stop: Arc<AtomicBool>,
    violations: Arc<Mutex<Vec<Violation>>>,
}

impl Crowds {
    /// Lets crowds come to the entries of a site, if the seed has any.
    pub fn start(site: &Site, seed: u64) -> Self {
        let crowds = Crowds {
            stop: Arc::default(),
            violations: Arc::default(),
        };
        if seed >= CROWDS_FROM_SEED {
            let entries = site.entries.iter();
            let addresses = entries.map(|entry| entry.address).collect();
            tokio::spawn(come_and_go(addresses, seed, Arc::clone(&crowds.stop)));
            let watch = Watch {
                resources: resources(site.entries.len(), site.cloud.names().len()),
                processes: site.entries.iter().map(|entry| entry.process()).collect(),
                reported: BTreeSet::new(),
                violations: Arc::clone(&crowds.violations),
            };
            tokio::spawn(watch.run(Arc::clone(&crowds.stop)));
        }
        crowds
    }

    /// Lets no more crowds come, and returns which entries have used more than their machines have.
    ///
    /// # Panics
    ///
    /// Panics if the check has panicked.
    pub fn stop(&self) -> Vec<Violation> {
        self.stop.store(true, Relaxed);
        let violations = self.violations.lock();
        violations.expect("no thread panics here").clone()
    }
}

/// Lets crowds come to random listeners and leave again.
async fn come_and_go(entries: Vec<SocketAddr>, seed: u64, stop: Arc<AtomicBool>) {
    let mut rng = StdRng::seed_from_u64(seed);
    while !stop.load(Relaxed) {
        time::sleep(Duration::from_millis(rng.random_range(INTERVAL_MS))).await;
        let target = draw_target(&entries, &mut rng);
        let shape = draw_shape(&mut rng);
        let comes_again = match rng.random_bool(0.5) {
            true => Return::Always,
            false => Return::Never,
        };
        let crowd = Crowd::gather(&target, shape, rng.random_range(CLIENTS), comes_again);
        let stay = Duration::from_millis(rng.random_range(STAY_MS));
        tokio::spawn(async move {
            time::sleep(stay).await;
            crowd.dismiss().await;
        });
    }
}

/// Draws the listener that a crowd comes to: in half of the cases that of callers.
fn draw_target(entries: &[SocketAddr], rng: &mut StdRng) -> Target {
    let callers = entries[rng.random_range(0..entries.len())];
    let (distance, path) = match rng.random_bool(0.5) {
        true => LISTENERS[0],
        false => LISTENERS[rng.random_range(0..LISTENERS.len())],
    };
    let path = match path {
        "" => format!("POST {PREFIX}"),
        other => other.to_owned(),
    };
    Target {
        address: SocketAddr::new(callers.ip(), callers.port() + distance),
        host: HOST.to_owned(),
        path,
    }
}

/// Draws what the clients of a crowd send. None of it is a whole job, since nobody keeps account of those.
fn draw_shape(rng: &mut StdRng) -> Shape {
    let bytes = rng.random_range(100..262_000);
    match rng.random_range(0..8) {
        0 => Shape::Silent,
        1 => Shape::OpenHead(bytes),
        2 => Shape::OpenLine(bytes),
        3 => Shape::Chunks {
            bytes: bytes / 20,
            chunk: 1,
        },
        4 => Shape::Chunks {
            bytes,
            chunk: 4_000,
        },
        5 => Shape::Short(bytes),
        6 => Shape::OpenTrailer(bytes / 20),
        _ => Shape::Pipeline(bytes),
    }
}

/// Looks at what processes use.
struct Watch {
    resources: Resources,
    processes: Vec<Arc<AtomicU32>>,
    /// Processes that have been reported.
    reported: BTreeSet<u32>,
    violations: Arc<Mutex<Vec<Violation>>>,
}

impl Watch {
    async fn run(mut self, stop: Arc<AtomicBool>) {
        while !stop.load(Relaxed) {
            for number in 0..self.processes.len() {
                self.look_at(number);
            }
            time::sleep(LOOK_INTERVAL).await;
        }
    }

    /// Reports an entry that uses more than its machine has, once.
    fn look_at(&mut self, number: usize) {
        let process = self.processes[number].load(Relaxed);
        // A process that has ended uses nothing.
        let Ok(usage) = Usage::read(process) else {
            return;
        };
        let sockets = (self.resources.descriptors - FILE_DESCRIPTORS) as usize;
        let is_over = usage.peak > self.resources.memory_mb << 20 || usage.sockets > sockets;
        if is_over && self.reported.insert(process) {
            let mut violations = self.violations.lock().expect("no thread panics here");
            violations.push(Violation {
                invariant: Invariant::WithinMachine,
                subject: format!("entry {number}: {usage:?} of {:?}", self.resources),
            });
        }
    }
}
