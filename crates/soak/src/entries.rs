//! Entries as processes of their own, each on its own loopback address.

use crate::Plan;
use rustix::process::{Pid, Signal, kill_process};
use std::{
    fs::{self, File, OpenOptions},
    io,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
};

/// The first of the ports of a run; each seed has its own ten above it.
const FIRST_PORT: u16 = 21_000;

/// How many sets of ports there are.
const SETS: u64 = 1_000;

/// The ports of a run, the same on all entries.
#[derive(Clone, Copy, Debug)]
pub struct Ports(u16);

impl Ports {
    /// The ports for a seed.
    pub fn pick(seed: u64) -> Self {
        Ports(FIRST_PORT + (seed % SETS) as u16 * 10)
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
        let settings = plan.logs.join(format!("entry-{number}.toml"));
        fs::write(&settings, write_settings(plan, number, ports, store, cloud))?;
        let log = plan.logs.join(format!("entry-{number}.log"));
        let address = format!("{}:{}", ip(number), ports.0);
        let child = spawn(&plan.program, &settings, &log)?;
        Ok(Entry {
            address: address.parse().expect("an address of our own making"),
            program: plan.program.clone(),
            settings,
            log,
            child,
        })
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

    /// Has the process run, started anew if it has ended.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be started.
    pub fn revive(&mut self) -> io::Result<()> {
        self.signal(Signal::CONT);
        if !self.is_running() {
            self.child = spawn(&self.program, &self.settings, &self.log)?;
        }
        Ok(())
    }

    fn is_running(&mut self) -> bool {
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

fn spawn(program: &PathBuf, settings: &PathBuf, log: &PathBuf) -> io::Result<Child> {
    let out: File = OpenOptions::new().create(true).append(true).open(log)?;
    Command::new(program)
        .arg("entry")
        .env("HAVENLADDER_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stdout(out.try_clone()?)
        .stderr(out)
        .spawn()
}

fn write_settings(
    plan: &Plan,
    number: usize,
    ports: &Ports,
    store: SocketAddr,
    cloud: SocketAddr,
) -> String {
    let (own, port) = (ip(number), ports.0);
    let seeds: Vec<String> = (0..plan.entries.min(3))
        .map(|seed| format!("\"{}:{}\"", ip(seed), port + 2))
        .collect();
    // Two data centres, so that one can tell the other of an outage.
    let hall = if number.is_multiple_of(2) { "a" } else { "b" };
    format!(
        "node = \"entry-{number}\"\nip = \"{own}\"\nzone = \"{hall}\"\ninternal-ports = [{}, {}]\n\
         seeds = [{}]\n[listen]\nfront = \"{own}:{port}\"\nready = \"{own}:{}\"\n\
         [limits]\ncpu-share = 0.25\n\
         [bounds]\nstop_ms = 400\nmax-hold-ms = 10000\nlease-ms = 3000\ngrace-s = 6\nfar_x = 2\n\
         [platform]\naddress = \"{store}\"\n[cloud]\naddress = \"{cloud}\"\nduty-per-s = 64.0\n",
        port + 4,
        port + 9,
        seeds.join(", "),
        port + 1,
    )
}
