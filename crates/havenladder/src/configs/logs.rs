//! Settings of the logs.

use serde::Serialize;
use settings::Fields;
use std::str::FromStr;

/// Format of the logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// One line of text per event.
    #[default]
    Plain,
    /// One JSON object per event.
    Json,
}

impl FromStr for LogFormat {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "plain" => Ok(Self::Plain),
            "json" => Ok(Self::Json),
            _ => Err(()),
        }
    }
}

/// Settings of the logs, which are written to standard error.
#[derive(Clone, Debug, Serialize)]
pub struct LogsConfig {
    /// Format of the logs.
    pub format: LogFormat,
    /// Filter of logged events, such as `info` or `havenladder=debug`.
    pub filter: String,
}

impl Default for LogsConfig {
    fn default() -> Self {
        Self {
            format: LogFormat::Plain,
            filter: "info".into(),
        }
    }
}

impl LogsConfig {
    /// Reads the section `logs`.
    pub fn read(fields: &Fields<'_>) -> Self {
        let default = Self::default();
        Self {
            format: fields
                .parsed("format", "\"plain\" or \"json\"")
                .unwrap_or(default.format),
            filter: fields.text("filter").unwrap_or(default.filter),
        }
    }
}
