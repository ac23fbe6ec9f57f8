//! Settings of the listener for peers, and who the peers are.

use super::{address, entry::required, millis};
use protocol::{EntryId, HallId};
use serde::{Serialize, Serializer};
use settings::Fields;
use std::{net::SocketAddr, time::Duration};

/// The shortest key that is taken.
const MIN_KEY_LENGTH: usize = 16;

/// The listener for peers.
#[derive(Clone, Debug, Serialize)]
pub struct PeersConfig {
    /// Where it listens.
    pub listen: SocketAddr,
    /// The key that all entries share; no default.
    #[serde(serialize_with = "hidden")]
    pub key: String,
    /// Time between two looks at a peer.
    pub interval: Duration,
    /// Time after which a peer that has not answered counts as not live.
    pub patience: Duration,
    /// The other entries.
    pub neighbours: Vec<Neighbour>,
}

/// Another entry.
#[derive(Clone, Debug, Serialize)]
pub struct Neighbour {
    /// Its name.
    pub entry: EntryId,
    /// Its hall.
    pub hall: HallId,
    /// Where it listens for editors.
    pub editors: SocketAddr,
    /// Where it listens for peers.
    pub peers: SocketAddr,
}

impl Default for PeersConfig {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 7200)),
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
            hall: required(fields, "hall", "the neighbour's hall"),
            editors: address(fields, "editors", unset),
            peers: address(fields, "peers", unset),
        };
        for (key, addr) in [("editors", neighbour.editors), ("peers", neighbour.peers)] {
            if addr == unset {
                fields.report(key, "is missing: the neighbour's address for it");
            }
        }
        neighbour
    }
}

/// Reads a key; a short one is a finding, and the finding does not show it.
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

/// Shows that a key is set, never the key.
pub fn hidden<S: Serializer>(key: &str, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(if key.is_empty() { "missing" } else { "set" })
}
