//! Settings of the access to the platform.

use super::{address, millis};
use serde::Serialize;
use settings::Fields;
use std::{net::SocketAddr, time::Duration};

/// Settings of the access to the platform.
#[derive(Clone, Debug, Serialize)]
pub struct PlatformConfig {
    /// Address of the platform.
    pub address: SocketAddr,
    /// Time for which a read of the log may wait for a record.
    pub wait: Duration,
    /// Time limit for appending a proposal to the log and learning its outcome.
    pub propose: Duration,
}

impl Default for PlatformConfig {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 7000)),
            wait: Duration::from_secs(1),
            propose: Duration::from_secs(15),
        }
    }
}

impl PlatformConfig {
    /// Reads the section `platform`.
    pub fn read(fields: &Fields<'_>) -> Self {
        let default = Self::default();
        Self {
            address: address(fields, "address", default.address),
            wait: millis(fields, "wait_ms", default.wait),
            propose: millis(fields, "propose_ms", default.propose),
        }
    }
}
