//! The settings file of an entry, as the users' machines give it to the process.

use super::{
    log::{CALL_BYTES, RECORD_BYTES},
    worker::MAX_HOLD_MS,
};
use std::net::SocketAddr;

/// The memory and the file descriptors of an entry's machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resources {
    /// Memory in MB.
    pub memory_mb: u64,
    /// Number of descriptors, 200 of which are reserved for files.
    pub descriptors: u64,
}

/// The settings that differ between the entries of a site.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the entry.
    pub node: String,
    /// IP address of the entry.
    pub ip: String,
    /// Data centre of the entry.
    pub hall: String,
    /// First of the entry's ports; the following nine are reserved for it as well.
    pub port: u16,
    /// IP addresses of the seed entries, which all others know from the start.
    pub seeds: Vec<String>,
    /// Address of the log.
    pub log: SocketAddr,
    /// Address of the service that lists VMs.
    pub cloud: SocketAddr,
    /// Bandwidth of the entry's link in Mbit/s; `None` leaves it out.
    pub link_mbps: Option<f64>,
    /// Memory and descriptors of the entry's machine; `None` leaves them out.
    pub resources: Option<Resources>,
}

impl Settings {
    /// Returns the text of the settings file.
    pub fn write(&self) -> String {
        let Settings {
            node,
            ip,
            hall,
            port,
            seeds,
            log,
            cloud,
            link_mbps,
            resources,
        } = self;
        let link = link_mbps.map_or_else(String::new, |mbps| format!("link-mbps = {mbps:?}\n"));
        let resources = resources.map_or_else(String::new, |resources| {
            let Resources {
                memory_mb,
                descriptors,
            } = resources;
            format!("memory-mb = {memory_mb}\nmax-fds = {descriptors}\n")
        });
        let seeds: Vec<String> = seeds
            .iter()
            .map(|seed| format!("\"{seed}:{}\"", port + 2))
            .collect();
        format!(
            "node = \"{node}\"\nip = \"{ip}\"\nzone = \"{hall}\"\ninternal-ports = [{}, {}]\n\
             seeds = [{}]\n[listen]\nfront = \"{ip}:{port}\"\nready = \"{ip}:{}\"\n\
             [limits]\ncpu-share = 0.25\n{link}{resources}\
             [bounds]\nstop_ms = 400\nmax-hold-ms = {MAX_HOLD_MS}\nlease-ms = 3000\ngrace-s = 6\nfar_x = 2\n\
             [platform]\naddress = \"{log}\"\nrecord_bytes = {RECORD_BYTES}\ncall_bytes = {CALL_BYTES}\n[cloud]\naddress = \"{cloud}\"\nduty-per-s = 64.0\n",
            port + 4,
            port + 9,
            seeds.join(", "),
            port + 1,
        )
    }
}
