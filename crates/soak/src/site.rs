//! What runs in a soak: stand-ins, proxies in front of the log, and entries.

use crate::{
    Plan,
    entries::{Entry, Ports},
    faults::{RESTARTS_FROM, WORKSPACES_FROM},
};
use standin::{
    proxy::{Faults, Proxy},
    users::{
        cloud::Cloud,
        events::Events,
        listen,
        log::Log,
        operator::{self, Config, Workspace},
    },
};
use std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
};

/// The pool whose workers run the jobs.
const POOL: &str = "renders";

/// The pool of VMs that are off.
const RESERVE: &str = "spare";

/// The host and the path under which jobs are handed in.
pub const HOST: &str = "soak.example";
/// See [`HOST`].
pub const PREFIX: &str = "/render/";

/// The workspaces of soaks that have such.
pub const WORKSPACES: [&str; 2] = ["year-9", "year-13"];

/// How many cores each may have running as a rule: together a little less than 8 VMs have.
pub const CORES: u64 = 14;

/// The key of a workspace by its number: 0 is the one that its callers use.
pub fn key(workspace: &str, number: u64) -> String {
    format!("secret-{workspace}-{number}")
}

/// How much higher each version of the configuration is than the one before: versions need not follow on
/// each other.
const VERSION_STEP: u64 = 3;

/// A workspace at the start of a soak: two keys, of which callers use the first.
fn first_workspace(name: &str) -> Workspace {
    Workspace {
        name: name.to_owned(),
        keys: vec![key(name, 0), key(name, 1)],
        cores: CORES,
    }
}

/// All that runs.
pub struct Site {
    /// The entries.
    pub entries: Vec<Entry>,
    /// The faults of each entry's way to the log.
    pub links: Vec<Arc<Faults>>,
    /// The VMs.
    pub cloud: Cloud,
    /// The log.
    pub log: Log,
    /// What the workers ran.
    pub events: Events,
    /// The workspaces of the newest configuration; none where calls need no keys.
    pub workspaces: Option<Vec<Workspace>>,
    /// The bounds that were in force: from when on, of which workspace, in cores.
    pub bounds: Vec<(Instant, String, u64)>,
    /// The version of the newest configuration.
    version: u64,
    /// How many waves were asked for.
    waves: u64,
}

impl Site {
    /// Starts everything.
    ///
    /// # Errors
    ///
    /// Fails when processes or ports are not to be had.
    pub async fn start(plan: &Plan) -> io::Result<Self> {
        let (log, events) = (Log::default(), Events::default());
        let cloud = Cloud::new(log.clone(), events.clone());
        if plan.seed >= RESTARTS_FROM {
            cloud.keep_ids();
        }
        for number in 0..plan.vms {
            cloud.add(&format!("vm-{number}"), POOL).await?;
        }
        let log_at = listen(&log, |log, call| async move { log.handle(call).await }).await?;
        let cloud_at = listen(
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
            version: 0,
            waves: 0,
        };
        if plan.seed >= WORKSPACES_FROM {
            site.workspaces = Some(WORKSPACES.map(first_workspace).into());
        }
        site.configure();
        let ports = Ports::pick(plan.seed);
        for number in 0..plan.entries {
            let proxy = Proxy::start(log_at).await?;
            site.links.push(Arc::clone(&proxy.faults));
            let entry = Entry::start(plan, number, &ports, proxy.addr, cloud_at)?;
            site.entries.push(entry);
        }
        Ok(site)
    }

    /// Writes another version of the configuration; only its version and time-out differ.
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
        };
        operator::write_config(&self.log, self.version, &config);
    }

    /// Takes a key away from each workspace and gives it another, where there are such.
    pub fn rotate_keys(&mut self) {
        let next = self.version;
        for workspace in self.workspaces.iter_mut().flatten() {
            workspace.keys.truncate(1);
            workspace.keys.push(key(&workspace.name, next));
        }
        self.configure();
    }

    /// Sets how many cores each workspace may have running.
    pub fn set_bounds(&mut self, cores: u64) {
        let workspaces = self.workspaces.iter_mut().flatten();
        workspaces.for_each(|workspace| workspace.cores = cores);
        self.configure();
    }

    /// Asks for the upkeep of all VMs, one at a time.
    pub fn request_wave(&mut self) {
        self.waves += 1;
        operator::write_wave(&self.log, self.waves, &self.cloud.names());
    }

    /// Ends all faults: every process runs, every link is whole.
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
            }
        }
        self.entries.iter_mut().try_for_each(Entry::ensure_running)
    }
}
