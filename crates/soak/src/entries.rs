//! Entries as separate processes, each on its own loopback address.

use crate::Plan;
use rustix::process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit};
use serde_json::Value;
use standin::users::settings::{Resources, Settings};
use std::{
    env,
    fs::{self, File, OpenOptions},
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering::Relaxed},
    },
    time::Duration,
};

/// The first port of the first set; each set has ten ports.
const FIRST_PORT: u16 = 21_000;

/// The number of sets of ports.
const PORT_SETS: u64 = 1_000;

/// The distance, in sets, between the ports of seeds that are [`PORT_SETS`] apart: such seeds may
/// run side by side and must not share ports.
const SET_STRIDE: u64 = 7;

/// The data centres to which entries are assigned in rotation: two, so that one can report an
/// outage of the other.
const HALLS: [&str; 2] = ["a", "b"];

/// The number of entries that all others know from the start: two are left when one of them is
/// killed.
const SEED_ENTRIES: usize = 3;

/// The ports of a run, which are the same on all entries.
#[derive(Clone, Copy, Debug)]
pub struct Ports(u16);

impl Ports {
    /// Returns the ports for a seed.
    pub fn for_seed(seed: u64) -> Self {
        let set = (seed + seed / PORT_SETS * SET_STRIDE) % PORT_SETS;
        Ports(FIRST_PORT + set as u16 * 10)
    }
}

/// Environment variable with the third byte of the entries' loopback addresses, 0 by default.
const NET_VARIABLE: &str = "HAVENLADDER_SOAK_NET";

/// What the log of an entry says when it becomes the owner of the cell.
const CLAIM: &str = "\"owns the cell\"";

/// An entry that runs as a process.
pub struct Entry {
    /// Address on which callers reach the entry.
    pub address: SocketAddr,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
    /// Id of the process, which changes when it is restarted.
    process: Arc<AtomicU32>,
    resources: Option<Resources>,
    /// Total time for which the entry's machine has been suspended.
    total_suspension: Duration,
}

impl Entry {
    /// Starts an entry.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be started.
    pub fn start(
        plan: &Plan,
        number: usize,
        ports: &Ports,
        store: SocketAddr,
        cloud: SocketAddr,
    ) -> io::Result<Self> {
        fs::create_dir_all(&plan.logs)?;
        let path = plan.logs.join(format!("entry-{number}.toml"));
        let text = settings(plan, number, ports, store, cloud).write();
        fs::write(&path, text)?;
        let log = plan.logs.join(format!("entry-{number}.log"));
        let address = format!("{}:{}", ip(number), ports.0);
        fs::write(clock_file(&path), "0")?;
        let child = spawn(&plan.program, &path, &log, plan.resources)?;
        Ok(Entry {
            address: address.parse().expect("a valid loopback address"),
            program: plan.program.clone(),
            settings: path,
            log,
            process: Arc::new(AtomicU32::new(child.id())),
            child,
            resources: plan.resources,
            total_suspension: Duration::ZERO,
        })
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Lets the process open no more descriptors than this.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended.
    pub fn limit_descriptors(&self, descriptors: u64) -> io::Result<()> {
        limit_descriptors(self.child.id(), descriptors)
    }

    /// Returns the id of the process, which is updated whenever the process is restarted.
    pub fn process(&self) -> Arc<AtomicU32> {
        Arc::clone(&self.process)
    }

    /// Returns the epoch in which the entry last became the owner of the cell, according to its log.
    ///
    /// # Errors
    ///
    /// Fails when the log cannot be read.
    pub fn last_epoch(&self) -> io::Result<Option<u64>> {
        let log = fs::read(&self.log)?;
        let text = String::from_utf8_lossy(&log);
        let claim = text.lines().rfind(|line| line.contains(CLAIM));
        let row = claim.and_then(|line| serde_json::from_str::<Value>(line).ok());
        Ok(row.and_then(|row| row["epoch"].as_u64()))
    }

    /// Sends a signal to the process if it is running.
    pub fn signal(&mut self, signal: Signal) {
        if self.is_running()
            && let Some(pid) = Pid::from_raw(self.child.id() as i32)
        {
            // The process may have ended since the check.
            let _ = kill_process(pid, signal);
        }
    }

    /// Advances the clock of the process, as a suspension of its machine does. The timers of the
    /// process are not advanced, since they stop during a suspension. No time passes for other
    /// processes, so nothing may run for which they hold a lease.
    ///
    /// # Errors
    ///
    /// Fails when the clock file cannot be written.
    pub fn suspend(&mut self, span: Duration) -> io::Result<()> {
        self.total_suspension += span;
        let text = self.total_suspension.as_millis().to_string();
        fs::write(clock_file(&self.settings), text)
    }

    /// Resumes the process if it is paused, and restarts it if it has ended.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be started.
    pub fn ensure_running(&mut self) -> io::Result<()> {
        self.signal(Signal::CONT);
        if !self.is_running() {
            self.child = spawn(&self.program, &self.settings, &self.log, self.resources)?;
            self.process.store(self.child.id(), Relaxed);
        }
        Ok(())
    }

    /// Returns whether the process is running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the loopback address of an entry. Checkouts that run the same seeds at the same time need different values
/// of [`NET_VARIABLE`].
fn ip(number: usize) -> String {
    let net = env::var(NET_VARIABLE).ok();
    let net: u8 = net.and_then(|net| net.parse().ok()).unwrap_or(0);
    format!("127.0.{net}.{}", 11 + number)
}

/// Returns the path of the file from which an entry reads by how much its clock is advanced.
fn clock_file(settings: &Path) -> PathBuf {
    settings.with_extension("clock")
}

/// Starts a process. It cannot open more descriptors than its machine has.
fn spawn(
    program: &PathBuf,
    settings: &PathBuf,
    log: &PathBuf,
    resources: Option<Resources>,
) -> io::Result<Child> {
    let out: File = OpenOptions::new().create(true).append(true).open(log)?;
    let child = Command::new(program)
        .arg("entry")
        .env("HAVENLADDER_NODE_FILE", settings)
        .env("HAVENLADDER_CLOCK_FILE", clock_file(settings))
        .stdin(Stdio::null())
        .stdout(out.try_clone()?)
        .stderr(out)
        .spawn()?;
    if let Some(Resources { descriptors, .. }) = resources {
        limit_descriptors(child.id(), descriptors)?;
    }
    Ok(child)
}

/// Lets a process open no more descriptors than this.
fn limit_descriptors(process: u32, descriptors: u64) -> io::Result<()> {
    let limit = Rlimit {
        current: Some(descriptors),
        maximum: Some(descriptors),
    };
    prlimit(Pid::from_raw(process as i32), Resource::Nofile, limit)?;
    Ok(())
}

fn settings(
    plan: &Plan,
    number: usize,
    ports: &Ports,
    log: SocketAddr,
    cloud: SocketAddr,
) -> Settings {
    Settings {
        node: format!("entry-{number}"),
        ip: ip(number),
        hall: HALLS[number % HALLS.len()].to_owned(),
        port: ports.0,
        seeds: (0..plan.entries.min(SEED_ENTRIES)).map(ip).collect(),
        log,
        cloud,
        link_mbps: plan.link_mbps,
        resources: plan.resources,
    }
}
