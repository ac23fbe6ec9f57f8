//! Settings of logs.

use serde::Serialize;
use settings::Fields;
use std::str::FromStr;

/// Form of the logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// One line of text an event.
    #[default]
    Plain,
    /// One JSON object an event.
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

/// Logs, which go to standard error.
#[derive(Clone, Debug, Serialize)]
pub struct LogsConfig {
    /// Their form.
    pub format: LogFormat,
    /// What is logged, as `info` or `havenladder=debug`.
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
