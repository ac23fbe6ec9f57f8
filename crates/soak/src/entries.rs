//! Entries as processes of their own, each on its own loopback address.

use crate::Plan;
use rustix::process::{Pid, Signal, kill_process};
use standin::users::settings::Settings;
use std::{
    fs::{self, File, OpenOptions},
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

/// The first of the ports of a run; each seed has its own ten above it.
const FIRST_PORT: u16 = 21_000;

/// How many sets of ports there are.
const SETS: u64 = 1_000;

/// By how many sets seeds that are [`SETS`] apart lie from each other: runs side by side must not share ports.
const STRIDE: u64 = 7;

/// The data centres in which the entries are in turn: two, so that one can tell the other of an outage.
const HALLS: [&str; 2] = ["a", "b"];

/// How many entries all others know from the start: two are left when one of them is killed.
const SEEDS: usize = 3;

/// The ports of a run, the same on all entries.
#[derive(Clone, Copy, Debug)]
pub struct Ports(u16);

impl Ports {
    /// The ports for a seed.
    pub fn pick(seed: u64) -> Self {
        let set = (seed + seed / SETS * STRIDE) % SETS;
        Ports(FIRST_PORT + set as u16 * 10)
    }
}

/// An entry.
pub struct Entry {
    /// Where callers reach it.
    pub address: SocketAddr,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
    /// For how long its machine has been suspended so far.
    suspended: Duration,
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
        let child = spawn(&plan.program, &path, &log)?;
        Ok(Entry {
            address: address.parse().expect("an address of our own making"),
            program: plan.program.clone(),
            settings: path,
            log,
            child,
            suspended: Duration::ZERO,
        })
    }

    /// The process's id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process, if it runs.
    pub fn signal(&mut self, signal: Signal) {
        if self.is_running()
            && let Some(pid) = Pid::from_raw(self.child.id() as i32)
        {
            // It may have ended since it was looked at.
            let _ = kill_process(pid, signal);
        }
    }

    /// Puts the clock of the process forward, as a suspension of its machine does; its timers, which stand still
    /// meanwhile, do not take note of it. No time passes for others: nothing may run that they have a lease for.
    ///
    /// # Errors
    ///
    /// Fails when the file that tells it cannot be written.
    pub fn suspend(&mut self, span: Duration) -> io::Result<()> {
        self.suspended += span;
        let text = self.suspended.as_millis().to_string();
        fs::write(clock_file(&self.settings), text)
    }

    /// Has the process run, started anew if it has ended.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be started.
    pub fn ensure_running(&mut self) -> io::Result<()> {
        self.signal(Signal::CONT);
        if !self.is_running() {
            self.child = spawn(&self.program, &self.settings, &self.log)?;
        }
        Ok(())
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The loopback address of an entry.
fn ip(number: usize) -> String {
    format!("127.0.0.{}", 11 + number)
}

/// The file that tells an entry by how much its clock has been put forward.
fn clock_file(settings: &Path) -> PathBuf {
    settings.with_extension("clock")
}

fn spawn(program: &PathBuf, settings: &PathBuf, log: &PathBuf) -> io::Result<Child> {
    let out: File = OpenOptions::new().create(true).append(true).open(log)?;
    Command::new(program)
        .arg("entry")
        .env("HAVENLADDER_NODE_FILE", settings)
        .env("HAVENLADDER_CLOCK_FILE", clock_file(settings))
        .stdin(Stdio::null())
        .stdout(out.try_clone()?)
        .stderr(out)
        .spawn()
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
        seeds: (0..plan.entries.min(SEEDS)).map(ip).collect(),
        log,
        cloud,
    }
}
