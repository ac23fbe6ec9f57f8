//! The site of a soak: stand-ins, proxies in front of the log, and entries.

use crate::{
    Plan,
    crowd_faults::{CROWDS_FROM_SEED, resources},
    entries::{Entry, Ports},
    faults::{RESTARTS_FROM_SEED, has_workspaces},
};
use standin::{
    proxy::{Faults, Proxy},
    users::{
        cloud::Cloud,
        events::Events,
        listen,
        log::Log,
        operator::{self, Config, Workspace},
        worker::{HoldMode, StartMode},
    },
};
use std::{
    io,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// The pool whose workers run the jobs.
const POOL: &str = "renders";

/// The pool of VMs that are switched off.
const RESERVE: &str = "spare";

/// The host to which jobs are submitted.
pub const HOST: &str = "soak.example";
/// The path prefix under which jobs are submitted.
pub const PREFIX: &str = "/render/";

/// The workspaces of soaks with workspaces.
pub const WORKSPACES: [&str; 2] = ["year-9", "year-13"];

/// The number of cores that each workspace may use unless its bound is lowered: together slightly
/// less than 8 VMs have.
pub const CORES: u64 = 14;

/// Returns a key of a workspace by its number. Callers use the key with the number 0.
pub fn key(workspace: &str, number: u64) -> String {
    format!("secret-{workspace}-{number}")
}

/// The difference between the versions of successive configurations; versions need not be
/// consecutive.
const VERSION_STEP: u64 = 3;

/// Returns a workspace as it is at the start of a soak: with two keys, of which callers use the
/// first.
fn initial_workspace(name: &str) -> Workspace {
    Workspace {
        name: name.to_owned(),
        keys: vec![key(name, 0), key(name, 1)],
        cores: CORES,
    }
}

/// The numbers of idle routes that the configurations had, each with the time of its change; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Routes(Arc<Mutex<Vec<(Instant, usize)>>>);

impl Routes {
    /// Records that there are `count` routes from now on.
    fn record(&self, count: usize) {
        let mut changes = self.0.lock().expect("no thread panics here");
        changes.push((Instant::now(), count));
    }

    /// Returns the newest route that was added at least `age` before `now`, and the time since then.
    pub fn newest(&self, now: Instant, age: Duration) -> Option<(usize, Duration)> {
        let changes = self.0.lock().expect("no thread panics here");
        let old = |(at, _): &&(Instant, usize)| *at + age <= now;
        let (at, count) = changes.iter().rev().find(old)?;
        Some((count - 1, now - *at))
    }
}

/// The stand-ins and entries of a soak.
pub struct Site {
    /// Entries by their numbers.
    pub entries: Vec<Entry>,
    /// Faults of each entry's link to the log.
    pub links: Vec<Arc<Faults>>,
    /// VMs of the site.
    pub cloud: Cloud,
    /// Log of the site.
    pub log: Log,
    /// Events of all runs on the workers.
    pub events: Events,
    /// Workspaces of the newest configuration; `None` if calls need no keys.
    pub workspaces: Option<Vec<Workspace>>,
    /// All bounds that were configured: since when, for which workspace, and the number of cores.
    pub bounds: Vec<(Instant, String, u64)>,
    /// Number of routes of the newest configuration that nobody calls.
    pub idle_routes: usize,
    /// All numbers of such routes so far.
    pub routes: Routes,
    /// Version of the newest configuration.
    version: u64,
    /// Number of waves requested so far.
    waves: u64,
}

impl Site {
    /// Starts the stand-ins and the entries.
    ///
    /// # Errors
    ///
    /// Fails when processes can't be started or ports aren't free.
    pub async fn start(plan: &Plan) -> io::Result<Self> {
        let (log, events) = (Log::default(), Events::default());
        let cloud = Cloud::new(log.clone(), events.clone());
        if plan.seed >= RESTARTS_FROM_SEED {
            cloud.keep_ids();
        }
        for number in 0..plan.vms {
            cloud.add(&format!("vm-{number}"), POOL).await?;
        }
        let log_address = listen(&log, |log, call| async move { log.handle(call).await }).await?;
        let cloud_address = listen(
            &cloud,
            |cloud, call| async move { cloud.handle(call).await },
        )
        .await?;
        let mut site = Site {
            entries: Vec::new(),
            links: Vec::new(),
            cloud,
            log,
            events,
            workspaces: None,
            bounds: Vec::new(),
            idle_routes: 0,
            routes: Routes::default(),
            version: 0,
            waves: 0,
        };
        if has_workspaces(plan.seed) {
            site.workspaces = Some(WORKSPACES.map(initial_workspace).into());
        }
        site.configure();
        let stated = (plan.seed >= CROWDS_FROM_SEED).then(|| resources(plan.entries, plan.vms));
        let plan = &Plan {
            resources: plan.resources.or(stated),
            ..plan.clone()
        };
        let ports = Ports::for_seed(plan.seed);
        for number in 0..plan.entries {
            let proxy = Proxy::start(log_address).await?;
            site.links.push(Arc::clone(&proxy.faults));
            let entry = Entry::start(plan, number, &ports, proxy.addr, cloud_address)?;
            site.entries.push(entry);
        }
        Ok(site)
    }

    /// Writes a new version of the configuration with the current workspaces. If these are
    /// unchanged, only the version and the timeout differ.
    pub fn configure(&mut self) {
        self.version += VERSION_STEP;
        let now = Instant::now();
        let workspaces = self.workspaces.iter().flatten();
        let bounds = workspaces.map(|workspace| (now, workspace.name.clone(), workspace.cores));
        self.bounds.extend(bounds);
        let config = Config {
            host: HOST,
            prefix: PREFIX,
            pool: POOL,
            reserve: RESERVE,
            workspaces: self.workspaces.as_deref(),
            idle_routes: self.idle_routes,
        };
        operator::write_config(&self.log, self.version, &config);
    }

    /// Replaces the second key of each workspace, if there are workspaces.
    pub fn rotate_keys(&mut self) {
        let next = self.version;
        for workspace in self.workspaces.iter_mut().flatten() {
            workspace.keys.truncate(1);
            workspace.keys.push(key(&workspace.name, next));
        }
        self.configure();
    }

    /// Adds routes that nobody calls, so that this change and all later ones are large.
    pub fn add_idle_routes(&mut self, count: usize) {
        self.idle_routes += count;
        self.configure();
        self.routes.record(self.idle_routes);
    }

    /// Sets the number of cores that each workspace may use.
    pub fn set_bounds(&mut self, cores: u64) {
        let workspaces = self.workspaces.iter_mut().flatten();
        workspaces.for_each(|workspace| workspace.cores = cores);
        self.configure();
    }

    /// Requests the maintenance of all VMs, one at a time.
    pub fn request_wave(&mut self) {
        self.waves += 1;
        operator::write_wave(&self.log, self.waves, &self.cloud.names());
    }

    /// Ends all faults: resumes or restarts every process and restores every link.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot be started.
    pub fn heal(&mut self) -> io::Result<()> {
        for link in &self.links {
            link.cut(false);
            link.stall(false, false);
            link.delay(Duration::ZERO);
            link.lose_responses(0);
            link.share_response_link(None);
        }
        self.log.lose_responses(0.0, 0);
        let mut workspaces = self.workspaces.iter().flatten();
        if workspaces.any(|workspace| workspace.cores != CORES) {
            self.set_bounds(CORES);
        }
        for name in self.cloud.names() {
            if let Some(link) = self.cloud.link(&name) {
                link.cut(false);
                link.stall(false, false);
                link.lose_bytes(false, false);
            }
            if let Some(worker) = self.cloud.worker(&name) {
                worker.set_start_mode(StartMode::Answered);
                worker.set_hold_mode(HoldMode::Answered);
            }
        }
        self.entries.iter_mut().try_for_each(Entry::ensure_running)
    }
}
