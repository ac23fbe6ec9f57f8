//! What the duties of an entry share.

pub use super::lease_state::{Lease, LifeId};

use super::{feed::Feed, in_force::InForce, metrics::Metrics, owner::Owner, reach::Directory};
use adapter::{
    advice::Advice, cloud::Cloud, http::Client, operator::Config, settings::Settings, store::Store,
    workers::Workers,
};
use clock::Instant;
use fleet::{Reach, ResponseTime};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{SystemTime, UNIX_EPOCH},
};
use tokio::sync::Notify;
use workspaces::Freshness;

/// What the duties of an entry share.
pub struct Node {
    /// What the platform's file says.
    pub settings: Settings,
    /// This life of the process.
    pub life: LifeId,
    /// When the process began.
    pub began: Instant,
    /// What the entry counts.
    pub metrics: Rc<Metrics>,
    /// Calls to anybody.
    pub client: Client,
    /// The platform's store.
    pub store: Store,
    /// How long the store takes to answer.
    pub store_times: Cell<ResponseTime>,
    /// The workers.
    pub workers: Workers,
    /// The platform's VMs.
    pub cloud: Cloud,
    /// How long the list of VMs takes to read.
    pub list_times: Cell<ResponseTime>,
    /// The service that tells which workers may run a step.
    pub advice: Option<Advice>,
    /// What operators have put in force.
    pub in_force: RefCell<InForce>,
    /// How sure this entry may be that nothing newer is.
    pub freshness: Cell<Freshness>,
    /// Where news come from, and who is told.
    pub feed: Feed,
    /// Told when a look for something newer has ended.
    pub looked: Notify,
    /// Who owns the cell.
    pub lease: RefCell<Option<Lease>>,
    /// The end of the lease's log, as far as it is known.
    pub lease_end: Cell<u64>,
    /// Told when the owner changes, or this entry is ready to own.
    pub lease_changed: Notify,
    /// The owner whose port refused the last connection.
    pub suspect: Cell<Option<LifeId>>,
    /// The owner whose port refused a connection, twice in a row.
    pub refused: Cell<Option<LifeId>>,
    /// Told when the lease may be claimed sooner than was planned.
    pub claim_due: Notify,
    /// What this entry owns.
    pub owner: RefCell<Option<Rc<Owner>>>,
    /// Whether the process has been told to stop.
    pub stopping: Cell<bool>,
    /// Told when the process is to stop.
    pub stop: Notify,
    /// What this entry reaches.
    pub reach: Cell<Reach>,
    /// Told when what this entry reaches is to be found out.
    pub reach_due: Notify,
    /// Whether this entry cannot serve callers because it is cut off.
    pub cut_off: Cell<bool>,
    /// Told when that has changed.
    pub reach_changed: Notify,
    /// The entries of other data centres that this one has heard of.
    pub directory: RefCell<Directory>,
    /// How many requests of callers are being answered.
    pub in_flight: Cell<usize>,
}

impl Node {
    /// What an entry knows when it starts.
    pub fn new(settings: Settings) -> Rc<Self> {
        let client = Client::default();
        let patience = settings.patience;
        let in_force = RefCell::new(InForce::new(settings.halls.clone()));
        Rc::new(Node {
            life: rand::random(),
            began: Instant::now(),
            metrics: Rc::new(Metrics::new()),
            store: Store::new(client.clone(), &settings.store),
            store_times: Cell::default(),
            workers: Workers::new(client.clone()),
            advice: settings
                .advice
                .as_ref()
                .map(|at| Advice::new(client.clone(), at)),
            list_times: Cell::default(),
            cloud: Cloud::new(client.clone(), &settings.cloud, &settings.node),
            client,
            settings,
            in_force,
            freshness: Cell::new(Freshness::new(Instant::now(), patience)),
            feed: Feed::default(),
            looked: Notify::new(),
            lease_end: Cell::new(0),
            lease: RefCell::default(),
            lease_changed: Notify::new(),
            suspect: Cell::new(None),
            refused: Cell::new(None),
            claim_due: Notify::new(),
            owner: RefCell::default(),
            stopping: Cell::new(false),
            stop: Notify::new(),
            reach: Cell::new(Reach::new(Instant::now())),
            reach_due: Notify::new(),
            cut_off: Cell::new(false),
            reach_changed: Notify::new(),
            directory: RefCell::default(),
            in_flight: Cell::new(0),
        })
    }

    /// Where this entry takes the calls of others.
    pub fn inner_address(&self) -> String {
        format!("{}:{}", self.settings.ip, self.settings.inner_port)
    }

    /// Where other entries can be asked: the owner's address first, then the seeds'.
    pub fn peers(&self) -> Vec<String> {
        let port = self.settings.inner_port;
        let lease = self.lease.borrow();
        let owner = lease.iter().map(|lease| lease.address.clone());
        let seeds = self.settings.seeds.iter().map(|ip| format!("{ip}:{port}"));
        let own = self.inner_address();
        owner
            .chain(seeds)
            .filter(|address| *address != own)
            .collect()
    }

    /// All other entries that can be asked: [`Node::peers`] and those of other data centres, each once.
    pub fn known_entries(&self) -> Vec<String> {
        let mut addresses = self.peers();
        addresses.extend(self.directory.borrow().keys().cloned());
        addresses.sort();
        addresses.dedup();
        addresses
    }

    /// The owner, if this entry is it.
    pub fn own(&self) -> Option<Rc<Owner>> {
        self.owner
            .borrow()
            .as_ref()
            .filter(|owner| owner.is_alive())
            .cloned()
    }

    /// Changes what is known of what this entry reaches.
    pub fn note_reach(&self, note: impl FnOnce(&mut Reach)) {
        let mut reach = self.reach.get();
        note(&mut reach);
        self.reach.set(reach);
    }

    /// The newest configuration.
    pub fn config(&self) -> Option<Rc<Config>> {
        self.in_force.borrow().config()
    }

    /// Changes what is known of how new this entry's configuration is.
    pub fn note_freshness(&self, note: impl FnOnce(&mut Freshness)) {
        let mut freshness = self.freshness.get();
        note(&mut freshness);
        self.freshness.set(freshness);
    }
}

/// The time of day, in ms since 1970.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |t| t.as_millis() as u64)
}
