//! What a process uses of its machine: memory, descriptors and sockets.

use std::{
    fs, io,
    net::{SocketAddr, SocketAddrV4},
};

/// What a process uses of its machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Largest resident memory since the process started, in bytes.
    pub peak: u64,
    /// Present resident memory, in bytes.
    pub resident: u64,
    /// Open descriptors, sockets among them.
    pub descriptors: usize,
    /// Open sockets.
    pub sockets: usize,
}

impl Usage {
    /// Reads what a process uses.
    ///
    /// # Errors
    ///
    /// Fails if there is no such process.
    pub fn read(process: u32) -> io::Result<Self> {
        let folder = format!("/proc/{process}");
        let status = fs::read_to_string(format!("{folder}/status"))?;
        let files = fs::read_dir(format!("{folder}/fd"))?;
        // A descriptor may be closed while it is being looked at.
        let targets: Vec<_> = files
            .flatten()
            .filter_map(|file| fs::read_link(file.path()).ok())
            .collect();
        let is_socket = |target: &&std::path::PathBuf| {
            let name = target.as_path().to_str();
            name.is_some_and(|name| name.starts_with("socket:"))
        };
        Ok(Usage {
            peak: field(&status, "VmHWM:"),
            resident: field(&status, "VmRSS:"),
            descriptors: targets.len(),
            sockets: targets.iter().filter(is_socket).count(),
        })
    }
}

/// Returns a field of a process's status, in bytes; 0 if it is missing.
fn field(status: &str, name: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let kilobytes = line.and_then(|line| line.split_whitespace().next());
    kilobytes
        .and_then(|text| text.parse::<u64>().ok())
        .unwrap_or(0)
        << 10
}

/// Bytes on the connections of a listener that its process has not read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Unread {
    /// Bytes that have arrived. They count toward the memory of the listener's machine.
    pub arrived: u64,
    /// Bytes that the other ends have written and still keep.
    pub underway: u64,
}

impl Unread {
    /// Reads how much the process of a listener has not read.
    ///
    /// # Errors
    ///
    /// Fails if the system does not list its connections.
    pub fn read(listener: SocketAddr) -> io::Result<Self> {
        let SocketAddr::V4(listener) = listener else {
            return Ok(Unread::default());
        };
        let listener = local_address(listener);
        let table = fs::read_to_string("/proc/net/tcp")?;
        let mut unread = Unread::default();
        for row in table.lines().skip(1) {
            unread.add(&listener, row);
        }
        Ok(unread)
    }

    /// Adds what a row of the system's list says, if it belongs to a connection of the listener.
    fn add(&mut self, listener: &str, row: &str) {
        let columns: Vec<&str> = row.split_whitespace().collect();
        let [_, local, remote, state, queues, ..] = columns[..] else {
            return;
        };
        let Some((sent, received)) = queues.split_once(':') else {
            return;
        };
        let bytes = |text| u64::from_str_radix(text, 16).unwrap_or(0);
        if local == listener && state != LISTENING {
            self.arrived += bytes(received);
        }
        if remote == listener {
            self.underway += bytes(sent);
        }
    }
}

/// State of a socket that listens. Its queue counts connections, not bytes.
const LISTENING: &str = "0A";

/// Returns an address in the form of the system's list, which has the bytes of the IP address in the machine's order.
fn local_address(address: SocketAddrV4) -> String {
    let ip = u32::from_ne_bytes(address.ip().octets());
    format!("{ip:08X}:{:04X}", address.port())
}
