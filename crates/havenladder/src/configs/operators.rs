//! Settings of the listener for operators.

use super::{
    address,
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
    /// Key that operators must send; it has no default.
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
