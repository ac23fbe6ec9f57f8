//! Settings of one process: a file of JSON with comments, checked whole before anything starts.
//!
//! One struct a feature, in a file of the feature's name; each `Default` is the documented
//! default.

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

/// Everything that a process learns from its file.
#[derive(Clone, Debug, Serialize)]
pub struct Config {
    /// Who the process is.
    pub entry: EntryConfig,
    /// The listener for editors, clerks and other callers.
    pub editors: EditorsConfig,
    /// The listener for peers, and who they are.
    pub peers: PeersConfig,
    /// The listener for operators.
    pub operators: OperatorsConfig,
    /// Where the platform is.
    pub platform: PlatformConfig,
    /// Limits of what is in progress.
    pub placement: PlacementConfig,
    /// Claims on keys.
    pub claims: ClaimsConfig,
    /// Drains, reboots and moves.
    pub steward: StewardConfig,
    /// Probes of the hall's workers.
    pub watch: WatchConfig,
    /// Snapshots in the log.
    pub snapshots: SnapshotsConfig,
    /// Logs.
    pub logs: LogsConfig,
}

/// Why a file of settings cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{0}: {1}; give the file of this process with --config")]
    Io(String, io::Error),
    /// The file has findings.
    #[error("{0}")]
    Findings(#[from] Findings),
}

/// Reads and checks a file.
///
/// # Errors
///
/// Returns every finding together, each with its place.
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

/// Reads a time in milliseconds, or keeps the default.
fn millis(fields: &Fields<'_>, key: &'static str, default: Duration) -> Duration {
    const MAX_MS: u64 = 24 * 60 * 60 * 1_000;
    fields
        .number(key, 1..=MAX_MS)
        .map_or(default, Duration::from_millis)
}

/// Reads a count, or keeps the default.
fn count(fields: &Fields<'_>, key: &'static str, max: u64, default: usize) -> usize {
    fields
        .number(key, 1..=max)
        .and_then(|count| usize::try_from(count).ok())
        .unwrap_or(default)
}

/// Reads an address, which must be an IP address with a port, or keeps the default.
fn address(
    fields: &Fields<'_>,
    key: &'static str,
    default: std::net::SocketAddr,
) -> std::net::SocketAddr {
    fields
        .parsed(key, "an IP address with a port, as \"127.0.0.1:7100\"")
        .unwrap_or(default)
}
