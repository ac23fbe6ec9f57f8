//! Settings of the listener for peers, and the addresses of the peers.

use super::{address, count, entry::required, millis};
use protocol::{EntryId, HallId};
use serde::{Serialize, Serializer};
use settings::Fields;
use std::{net::SocketAddr, time::Duration};

/// Minimum length of a key, in bytes.
const MIN_KEY_LENGTH: usize = 16;

/// Settings of the listener for peers.
#[derive(Clone, Debug, Serialize)]
pub struct PeersConfig {
    /// Address of the listener.
    pub listen: SocketAddr,
    /// Maximum number of open connections. Beyond it, the one that has waited longest for its client is closed.
    pub connections: usize,
    /// Key that all entries share; it has no default.
    #[serde(serialize_with = "hidden")]
    pub key: String,
    /// Interval between two polls of a peer's status.
    pub interval: Duration,
    /// Time without a response after which a peer no longer counts as live.
    pub patience: Duration,
    /// Other entries.
    pub neighbours: Vec<Neighbour>,
}

/// Names and addresses of another entry.
#[derive(Clone, Debug, Serialize)]
pub struct Neighbour {
    /// Name of the entry.
    pub entry: EntryId,
    /// Data centre of the entry.
    pub hall: HallId,
    /// Address of its listener for callers.
    pub editors: SocketAddr,
    /// Address of its listener for peers.
    pub peers: SocketAddr,
}

impl Default for PeersConfig {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 7200)),
            connections: 256,
            key: String::new(),
            interval: Duration::from_secs(1),
            patience: Duration::from_secs(3),
            neighbours: Vec::new(),
        }
    }
}

impl PeersConfig {
    /// Reads the section `peers`.
    pub fn read(fields: &Fields<'_>) -> Self {
        let default = Self::default();
        Self {
            listen: address(fields, "listen", default.listen),
            connections: count(fields, "connections", 10_000, default.connections),
            key: read_key(fields),
            interval: millis(fields, "interval_ms", default.interval),
            patience: millis(fields, "patience_ms", default.patience),
            neighbours: fields.list("neighbours", Neighbour::read),
        }
    }
}

impl Neighbour {
    fn read(fields: &Fields<'_>) -> Self {
        let unset = SocketAddr::from(([0, 0, 0, 0], 0));
        let neighbour = Self {
            entry: required(fields, "entry", "the neighbour's name"),
            hall: required(fields, "hall", "the neighbour's data centre"),
            editors: address(fields, "editors", unset),
            peers: address(fields, "peers", unset),
        };
        for (key, addr) in [("editors", neighbour.editors), ("peers", neighbour.peers)] {
            if addr == unset {
                fields.report(key, "is missing: the address of the neighbour's listener");
            }
        }
        neighbour
    }
}

/// Reads a key. A key that is too short is reported as a finding that does not contain the key.
pub fn read_key(fields: &Fields<'_>) -> String {
    let key = required(
        fields,
        "key",
        "the key that callers of this listener must send",
    );
    if !key.is_empty() && key.len() < MIN_KEY_LENGTH {
        fields.report(
            "key",
            format!("must have at least {MIN_KEY_LENGTH} characters"),
        );
    }
    key
}

/// Serializes whether a key is set, but never the key itself.
pub fn hidden<S: Serializer>(key: &str, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(if key.is_empty() { "missing" } else { "set" })
}
