//! Settings of the listener for callers.

use super::{address, count, millis};
use serde::Serialize;
use settings::Fields;
use std::{net::SocketAddr, time::Duration};

/// Settings of the listener for callers.
#[derive(Clone, Debug, Serialize)]
pub struct EditorsConfig {
    /// Address of the listener.
    pub listen: SocketAddr,
    /// Maximum number of open connections. Beyond it, the one that has waited longest for its caller is closed.
    pub connections: usize,
    /// Time limit for receiving the headers of a request, on every listener.
    pub header_time: Duration,
    /// Time limit for receiving the body of a request, on every listener.
    pub body_time: Duration,
    /// Time limit for a connection without a request, on every listener.
    pub idle_time: Duration,
}

impl Default for EditorsConfig {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 7100)),
            connections: 4_096,
            header_time: Duration::from_secs(10),
            body_time: Duration::from_secs(30),
            idle_time: Duration::from_secs(60),
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
            idle_time: millis(fields, "idle_ms", default.idle_time),
        }
    }
}
