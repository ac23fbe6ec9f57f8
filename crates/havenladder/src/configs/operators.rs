//! Settings of the listener for operators.

use super::{
    address,
    peers::{hidden, read_key},
};
use serde::Serialize;
use settings::Fields;
use std::net::SocketAddr;

/// The listener for operators.
#[derive(Clone, Debug, Serialize)]
pub struct OperatorsConfig {
    /// Where it listens.
    pub listen: SocketAddr,
    /// The key that operators send; no default.
    #[serde(serialize_with = "hidden")]
    pub key: String,
}

impl Default for OperatorsConfig {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 7300)),
            key: String::new(),
        }
    }
}

impl OperatorsConfig {
    /// Reads the section `operators`.
    pub fn read(fields: &Fields<'_>) -> Self {
        Self {
            listen: address(fields, "listen", Self::default().listen),
            key: read_key(fields),
        }
    }
}
