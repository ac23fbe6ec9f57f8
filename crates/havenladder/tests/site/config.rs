//! Writes the configuration files of the entries and picks their addresses.

#![expect(
    clippy::unwrap_used,
    reason = "a test fails when its site cannot be used"
)]

use super::{OPERATOR_KEY, Site};
use serde_json::Value;
use std::{
    fs,
    net::SocketAddr,
    sync::atomic::{AtomicU32, Ordering},
};

const PEER_KEY: &str = "test-peer-key-0123456789";

/// The intervals and timeouts of an entry.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Timing {
    /// The documented defaults.
    Default,
    /// Shorter ones, so that tests need not wait for long.
    Fast,
}

/// Sets shorter intervals and timeouts in the configuration of an entry.
fn shorten_intervals(config: &mut Value) {
    config["editors"]["header_ms"] = 2000.into();
    config["editors"]["body_ms"] = 2000.into();
    config["peers"]["interval_ms"] = 100.into();
    config["peers"]["patience_ms"] = 1000.into();
    config["platform"]["wait_ms"] = 300.into();
    config["platform"]["propose_ms"] = 8000.into();
    config["steward"] = serde_json::json!({ "lease_ms": 3000 });
    config["watch"] = serde_json::json!({ "interval_ms": 100 });
    config["claims"] = serde_json::json!({ "patience_ms": 2000 });
    config["snapshots"] = serde_json::json!({ "records": 20, "interval_ms": 2000 });
}

impl Site {
    /// Starts the proxies between one entry and its peers and the platform, and writes the configuration file of the
    /// entry with the addresses of these proxies.
    pub(super) fn configure(
        &mut self,
        timing: Timing,
        limits: &Value,
        index: usize,
        hall: &str,
        halls: &[&str],
    ) {
        let log = self.start_proxy(self.platform);
        self.log_links.push(log.faults);
        let mut neighbours = Vec::new();
        for (other, other_hall) in halls
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != index)
        {
            let editors = self.start_proxy(self.entries[other].editors);
            let peers = self.start_proxy(self.entries[other].peers);
            neighbours.push(serde_json::json!({
                "entry": self.entries[other].name,
                "hall": other_hall,
                "editors": editors.addr.to_string(),
                "peers": peers.addr.to_string(),
            }));
            self.peer_links
                .insert((index, other), [editors.faults, peers.faults]);
        }
        let entry = &self.entries[index];
        let mut config = serde_json::json!({
            "entry": entry.name,
            "hall": hall,
            "editors": { "listen": entry.editors.to_string() },
            "peers": {
                "listen": entry.peers.to_string(),
                "key": PEER_KEY,
                "neighbours": neighbours,
            },
            "operators": { "listen": entry.operators.to_string(), "key": OPERATOR_KEY },
            "platform": { "address": log.addr.to_string() },
            "logs": { "filter": std::env::var("HAVENLADDER_TEST_LOG").unwrap_or("error".into()) },
        });
        if timing == Timing::Fast {
            shorten_intervals(&mut config);
        }
        for (section, values) in limits.as_object().unwrap() {
            for (key, value) in values.as_object().unwrap() {
                config[section][key] = value.clone();
            }
        }
        fs::write(&entry.config, config.to_string()).unwrap();
    }
}

/// Returns addresses that nothing else on the machine uses. Each site gets a loopback address of its own, so that its
/// ports cannot collide with the listeners of another site or with outgoing connections.
pub fn reserve_addresses(count: u16) -> Vec<SocketAddr> {
    static SITES: AtomicU32 = AtomicU32::new(1);
    let site = (std::process::id() % (1 << 18)) * 64 + SITES.fetch_add(1, Ordering::Relaxed) % 64;
    let [_, a, b, c] = site.to_be_bytes();
    (0..count)
        .map(|index| SocketAddr::from(([127, a, b, c], 7_100 + index)))
        .collect()
}
