//! `bug-report`: prints the settings and state that are needed to diagnose a fault, without keys.

use super::{CommandError, GlobalOptions};
use crate::configs;
use serde_json::{Value, json};

/// Paths of the entry whose responses go into the report.
const PATHS: [&str; 3] = ["/members", "/state", "/burn"];

/// Prints the report. A path that fails is reported with its error in place of the response.
pub fn bug_report(options: &GlobalOptions<'_>) -> Result<(), CommandError> {
    let config = configs::load(options.config)?;
    let client = options.client()?;
    let mut report = json!({
        "version": env!("CARGO_PKG_VERSION"),
        "system": std::env::consts::OS,
        "processor": std::env::consts::ARCH,
        "config": config,
    });
    for path in PATHS {
        let response = client.get::<Value>(path);
        report[path] = response.unwrap_or_else(|error| json!({ "error": error.to_string() }));
    }
    if let Ok(text) = serde_json::to_string_pretty(&report) {
        println!("{text}");
    }
    Ok(())
}
