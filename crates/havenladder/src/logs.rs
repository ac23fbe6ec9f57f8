//! Logging to standard error with `tracing`.

use crate::configs::{LogFormat, LogsConfig};
use std::io::stderr;
use tracing_subscriber::EnvFilter;

/// Starts logging in the configured format and with the configured filter.
pub fn start(config: &LogsConfig) {
    let filter = EnvFilter::try_new(&config.filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(stderr)
        .with_target(false);
    match config.format {
        LogFormat::Plain => builder.with_ansi(false).init(),
        LogFormat::Json => builder.json().flatten_event(true).init(),
    }
}
