//! State that the background tasks of an entry share.

pub use super::lease_state::{IncarnationId, Lease};

use super::{
    gates::Gates, in_force::InForce, link::Link, logs::queue::LogQueue, metrics::Metrics,
    owner::Owner, reach::Directory, replication::Replication,
};
use adapter::{
    advice::AdviceClient, cloud::Cloud, http::Client, operator::Config, settings::Settings,
    store::Store, workers::WorkerClient,
};
use clock::Instant;
use fleet::{Reach, ResponseTime};
use jobs::Dispatch;
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{SystemTime, UNIX_EPOCH},
};
use tokio::sync::Notify;
use workspaces::Freshness;

/// State that the background tasks of an entry share.
pub struct Node {
    /// Settings from the platform's file.
    pub settings: Settings,
    /// Incarnation of this process.
    pub incarnation: IncarnationId,
    /// Time at which the process started.
    pub began: Instant,
    /// Metrics of the entry.
    pub metrics: Metrics,
    /// What the connections and requests of each listener may hold.
    pub gates: Gates,
    /// HTTP client for all outgoing calls.
    pub client: Client,
    /// The platform's store.
    pub store: Store,
    /// Response times of the store.
    pub store_times: Cell<ResponseTime>,
    /// Client of the workers.
    pub workers: WorkerClient,
    /// Response times of all workers together, which share the link of this entry.
    pub worker_times: Cell<ResponseTime>,
    /// Link of this entry.
    pub link: Link,
    /// Client of the platform's VM service.
    pub cloud: Cloud,
    /// Response times of the VM list.
    pub list_times: Cell<ResponseTime>,
    /// Client of the permit service, which says which workers may run a step. `None` if there is no
    /// such service.
    pub advice: Option<AdviceClient>,
    /// Settings and orders of operators that are in force.
    pub in_force: RefCell<InForce>,
    /// How recently this entry's configuration was known to be the newest one.
    pub freshness: Cell<Freshness>,
    /// State of replication: the source of this entry and its followers.
    pub replication: Replication,
    /// Notified when a refresh of the configuration has ended.
    pub refreshed: Notify,
    /// Newest known record of the lease.
    pub lease: RefCell<Option<Lease>>,
    /// End of the lease's log, as far as it is known.
    pub lease_end: Cell<u64>,
    /// Notified when the owner changes, or when this entry is ready to own the cell.
    pub lease_changed: Notify,
    /// Owner whose port refused the last connection.
    pub suspected_owner: Cell<Option<IncarnationId>>,
    /// Owner whose port refused two connections in a row, so that its process has ended.
    pub ended_owner: Cell<Option<IncarnationId>>,
    /// Notified when the lease may be claimed earlier than planned.
    pub claim_due: Notify,
    /// State of the owner, while this entry owns the cell.
    pub owner: RefCell<Option<Rc<Owner>>>,
    /// Time by which all requests of callers must be answered, once the process has received the
    /// signal to stop.
    pub answer_by: Cell<Option<Instant>>,
    /// Notified when the process receives the signal to stop.
    pub stop: Notify,
    /// Which other parties this entry reaches.
    pub reach: Cell<Reach>,
    /// Notified when a check of what this entry reaches is due at once.
    pub reach_due: Notify,
    /// Whether this entry is cut off and therefore cannot serve callers.
    pub cut_off: Cell<bool>,
    /// Notified when [`Node::cut_off`] has changed.
    pub reach_changed: Notify,
    /// Known entries of other data centres.
    pub directory: RefCell<Directory>,
    /// Number of callers' requests in progress.
    pub in_flight: Cell<usize>,
}

impl Node {
    /// Creates the state of an entry that has just started.
    pub fn new(settings: Settings, logs: &LogQueue) -> Rc<Self> {
        let client = Client::default();
        let gates = Gates::new(&settings);
        let max_config_age = settings.max_config_age;
        let in_force = RefCell::new(InForce::new(settings.halls.clone()));
        Rc::new(Node {
            incarnation: rand::random(),
            began: Instant::now(),
            metrics: Metrics::new(client.traffic(), logs, &gates),
            gates,
            store: Store::new(client.clone(), &settings.store_address),
            store_times: Cell::default(),
            workers: WorkerClient::new(client.clone()),
            worker_times: Cell::default(),
            link: Link::new(settings.bandwidth),
            advice: settings
                .advice_address
                .as_ref()
                .map(|at| AdviceClient::new(client.clone(), at)),
            list_times: Cell::default(),
            cloud: Cloud::new(client.clone(), &settings.cloud_address, &settings.node),
            client,
            settings,
            in_force,
            freshness: Cell::new(Freshness::new(max_config_age)),
            replication: Replication::default(),
            refreshed: Notify::new(),
            lease_end: Cell::new(0),
            lease: RefCell::default(),
            lease_changed: Notify::new(),
            suspected_owner: Cell::new(None),
            ended_owner: Cell::new(None),
            claim_due: Notify::new(),
            owner: RefCell::default(),
            answer_by: Cell::new(None),
            stop: Notify::new(),
            reach: Cell::new(Reach::new(Instant::now())),
            reach_due: Notify::new(),
            cut_off: Cell::new(false),
            reach_changed: Notify::new(),
            directory: RefCell::default(),
            in_flight: Cell::new(0),
        })
    }

    /// Returns the address on which this entry serves other entries.
    pub fn peer_address(&self) -> String {
        format!("{}:{}", self.settings.ip, self.settings.peer_port)
    }

    /// Returns the addresses of other entries that can be asked: the owner's first, then those of
    /// the seeds.
    pub fn peers(&self) -> Vec<String> {
        let port = self.settings.peer_port;
        let lease = self.lease.borrow();
        let owner = lease.iter().map(|lease| lease.address.clone());
        let seeds = self.settings.seeds.iter().map(|ip| format!("{ip}:{port}"));
        let own_address = self.peer_address();
        owner
            .chain(seeds)
            .filter(|address| *address != own_address)
            .collect()
    }

    /// Returns the addresses of all known entries: [`Node::peers`] and then those of other data
    /// centres, without duplicates.
    pub fn known_entries(&self) -> Vec<String> {
        let mut addresses = Vec::new();
        for address in self.peers().iter().chain(self.directory.borrow().keys()) {
            if !addresses.contains(address) {
                addresses.push(address.clone());
            }
        }
        addresses
    }

    /// Returns the owner's state, if this entry owns the cell and may still decide.
    pub fn as_owner(&self) -> Option<Rc<Owner>> {
        self.owner
            .borrow()
            .as_ref()
            .filter(|owner| owner.is_alive())
            .cloned()
    }

    /// Returns whether the process has received the signal to stop.
    pub fn is_stopping(&self) -> bool {
        self.answer_by.get().is_some()
    }

    /// Updates the record of what this entry reaches.
    pub fn update_reach(&self, update: impl FnOnce(&mut Reach)) {
        let mut reach = self.reach.get();
        update(&mut reach);
        self.reach.set(reach);
    }

    /// Returns how fast this entry can send starts.
    pub fn dispatch(&self) -> Dispatch {
        self.link.dispatch(self.client.traffic().sent())
    }

    /// Returns the newest configuration.
    pub fn config(&self) -> Option<Rc<Config>> {
        self.in_force.borrow().config()
    }

    /// Updates the record of how fresh this entry's configuration is.
    pub fn update_freshness(&self, update: impl FnOnce(&mut Freshness)) {
        let mut freshness = self.freshness.get();
        update(&mut freshness);
        self.freshness.set(freshness);
    }
}

/// Returns the time of day in ms since 1970.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |t| t.as_millis() as u64)
}
