//! What runs in a soak: stand-ins, proxies in front of the log, and entries.

use crate::{
    Plan,
    entries::{Entry, Ports},
    faults::RESTARTS_FROM,
};
use standin::{
    proxy::{Faults, Proxy},
    users::{
        cloud::Cloud,
        events::Events,
        listen,
        log::Log,
        operator::{self, Config},
    },
};
use std::{io, sync::Arc, time::Duration};

/// The pool whose workers run the jobs.
const POOL: &str = "renders";

/// The pool of VMs that are off.
const RESERVE: &str = "spare";

/// The host and the path under which jobs are handed in.
pub const HOST: &str = "soak.example";
/// See [`HOST`].
pub const PREFIX: &str = "/render/";

/// The configuration, in all its versions.
const CONFIG: Config<'_> = Config {
    host: HOST,
    prefix: PREFIX,
    pool: POOL,
    reserve: RESERVE,
};

/// How much higher each version of the configuration is than the one before: versions need not follow on
/// each other.
const VERSION_STEP: u64 = 3;

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
            version: 0,
            waves: 0,
        };
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
        operator::write_config(&self.log, self.version, &CONFIG);
    }

    /// Asks for the upkeep of all VMs, one at a time.
    pub fn ask_wave(&mut self) {
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
            link.mute(false, false);
            link.delay(Duration::ZERO);
            link.lose_answers(0);
        }
        self.log.lose_answers(0.0, 0);
        for name in self.cloud.names() {
            if let Some(link) = self.cloud.link(&name) {
                link.cut(false);
                link.mute(false, false);
            }
        }
        self.entries.iter_mut().try_for_each(Entry::revive)
    }
}
