//! The settings file of an entry, as the users' machines give it to the process.

use std::net::SocketAddr;

/// What differs between the entries of a site.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The entry's name.
    pub node: String,
    /// Its address.
    pub ip: String,
    /// Its data centre.
    pub hall: String,
    /// The first of its ports; the next nine are its own as well.
    pub port: u16,
    /// The addresses of the entries that all others know from the start.
    pub seeds: Vec<String>,
    /// Where the log is.
    pub log: SocketAddr,
    /// Where the list of VMs is.
    pub cloud: SocketAddr,
}

impl Settings {
    /// The text of the file.
    pub fn write(&self) -> String {
        let Settings {
            node,
            ip,
            hall,
            port,
            seeds,
            log,
            cloud,
        } = self;
        let seeds: Vec<String> = seeds
            .iter()
            .map(|seed| format!("\"{seed}:{}\"", port + 2))
            .collect();
        format!(
            "node = \"{node}\"\nip = \"{ip}\"\nzone = \"{hall}\"\ninternal-ports = [{}, {}]\n\
             seeds = [{}]\n[listen]\nfront = \"{ip}:{port}\"\nready = \"{ip}:{}\"\n\
             [limits]\ncpu-share = 0.25\n\
             [bounds]\nstop_ms = 400\nmax-hold-ms = 10000\nlease-ms = 3000\ngrace-s = 6\nfar_x = 2\n\
             [platform]\naddress = \"{log}\"\n[cloud]\naddress = \"{cloud}\"\nduty-per-s = 64.0\n",
            port + 4,
            port + 9,
            seeds.join(", "),
            port + 1,
        )
    }
}
