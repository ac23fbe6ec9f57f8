//! Settings of the listener for editors.

use super::{address, count, millis};
use serde::Serialize;
use settings::Fields;
use std::{net::SocketAddr, time::Duration};

/// The listener for editors, clerks and other callers.
#[derive(Clone, Debug, Serialize)]
pub struct EditorsConfig {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Connections that are open at once; further ones wait.
    pub connections: usize,
    /// Time in which the headers of a request must be here.
    pub header_time: Duration,
    /// Time in which the body of a request must be here.
    pub body_time: Duration,
}

impl Default for EditorsConfig {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 7100)),
            connections: 4_096,
            header_time: Duration::from_secs(10),
            body_time: Duration::from_secs(30),
        }
    }
}

impl EditorsConfig {
    /// Reads the section `editors`.
    pub fn read(fields: &Fields<'_>) -> Self {
        let default = Self::default();
        Self {
            listen: address(fields, "listen", default.listen),
            connections: count(fields, "connections", 60_000, default.connections),
            header_time: millis(fields, "header_ms", default.header_time),
            body_time: millis(fields, "body_ms", default.body_time),
        }
    }
}
