//! Settings of one process, read from a file of JSON with comments. The whole file is checked
//! before anything starts.
//!
//! Each feature has one struct, in a file of the feature's name; its `Default` holds the documented
//! defaults.

mod claims;
mod editors;
mod entry;
mod logs;
mod operators;
mod peers;
mod placement;
mod platform;
mod snapshots;
mod steward;
mod watch;

pub use claims::ClaimsConfig;
pub use editors::EditorsConfig;
pub use entry::EntryConfig;
pub use logs::{LogFormat, LogsConfig};
pub use operators::OperatorsConfig;
pub use peers::{Neighbour, PeersConfig};
pub use placement::PlacementConfig;
pub use platform::PlatformConfig;
pub use snapshots::SnapshotsConfig;
pub use steward::StewardConfig;
pub use watch::WatchConfig;

use serde::Serialize;
use settings::{Document, Fields, Findings};
use std::{fs, io, path::Path, time::Duration};

/// All settings of a process.
#[derive(Clone, Debug, Serialize)]
pub struct Config {
    /// Names of the entry and of its data centre.
    pub entry: EntryConfig,
    /// Listener for callers.
    pub editors: EditorsConfig,
    /// Listener for peers, and the addresses of the peers.
    pub peers: PeersConfig,
    /// Listener for operators.
    pub operators: OperatorsConfig,
    /// Access to the platform.
    pub platform: PlatformConfig,
    /// Limits on requests in progress.
    pub placement: PlacementConfig,
    /// Claims on idempotency keys.
    pub claims: ClaimsConfig,
    /// Drains, reboots and moves of VMs.
    pub steward: StewardConfig,
    /// Probes of the workers in this data centre.
    pub watch: WatchConfig,
    /// Snapshots in the log.
    pub snapshots: SnapshotsConfig,
    /// Format and filter of the logs.
    pub logs: LogsConfig,
}

/// Reason why a settings file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{0}: {1}; give the file of this process with --config")]
    Io(String, io::Error),
    /// The file has findings.
    #[error("{0}")]
    Findings(#[from] Findings),
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Returns an error when the file cannot be read, or all findings together with their positions.
pub fn load(path: &Path) -> Result<Config, ConfigError> {
    let name = path.display().to_string();
    let text = match fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => return Err(ConfigError::Io(name, error)),
    };
    Ok(Document::new(&name, &text).read(read)?)
}

fn read(fields: &Fields<'_>) -> Config {
    Config {
        entry: EntryConfig::read(fields),
        editors: section(fields, "editors", EditorsConfig::read),
        peers: section(fields, "peers", PeersConfig::read),
        operators: section(fields, "operators", OperatorsConfig::read),
        platform: section(fields, "platform", PlatformConfig::read),
        placement: section(fields, "placement", PlacementConfig::read),
        claims: section(fields, "claims", ClaimsConfig::read),
        steward: section(fields, "steward", StewardConfig::read),
        watch: section(fields, "watch", WatchConfig::read),
        snapshots: section(fields, "snapshots", SnapshotsConfig::read),
        logs: section(fields, "logs", LogsConfig::read),
    }
}

fn section<T: Default>(
    fields: &Fields<'_>,
    key: &'static str,
    read: impl FnOnce(&Fields<'_>) -> T,
) -> T {
    fields.object(key, read).unwrap_or_default()
}

/// Reads a duration in milliseconds, or returns the default if the key is missing or invalid.
fn millis(fields: &Fields<'_>, key: &'static str, default: Duration) -> Duration {
    const MAX_MS: u64 = 24 * 60 * 60 * 1_000;
    fields
        .number(key, 1..=MAX_MS)
        .map_or(default, Duration::from_millis)
}

/// Reads a count of at most `max`, or returns the default if the key is missing or invalid.
fn count(fields: &Fields<'_>, key: &'static str, max: u64, default: usize) -> usize {
    fields
        .number(key, 1..=max)
        .and_then(|count| usize::try_from(count).ok())
        .unwrap_or(default)
}

/// Reads an IP address with a port, or returns the default if the key is missing or invalid.
fn address(
    fields: &Fields<'_>,
    key: &'static str,
    default: std::net::SocketAddr,
) -> std::net::SocketAddr {
    fields
        .parsed(key, "an IP address with a port, as \"127.0.0.1:7100\"")
        .unwrap_or(default)
}
