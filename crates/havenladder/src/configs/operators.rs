//! Settings of the listener for operators.

use super::{
    address, count,
    peers::{hidden, read_key},
};
use serde::Serialize;
use settings::Fields;
use std::net::SocketAddr;

/// Settings of the listener for operators.
#[derive(Clone, Debug, Serialize)]
pub struct OperatorsConfig {
    /// Address of the listener.
    pub listen: SocketAddr,
    /// Maximum number of open connections. Beyond it, the one that has waited longest for its client is closed.
    pub connections: usize,
    /// Key that operators must send; it has no default.
    #[serde(serialize_with = "hidden")]
    pub key: String,
}

impl Default for OperatorsConfig {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 7300)),
            connections: 64,
            key: String::new(),
        }
    }
}

impl OperatorsConfig {
    /// Reads the section `operators`.
    pub fn read(fields: &Fields<'_>) -> Self {
        let default = Self::default();
        Self {
            listen: address(fields, "listen", default.listen),
            connections: count(fields, "connections", 10_000, default.connections),
            key: read_key(fields),
        }
    }
}
