//! Settings that identify the process.

use protocol::{EntryId, HallId};
use serde::Serialize;
use settings::Fields;

/// Names of the entry and of its data centre; neither has a default.
#[derive(Clone, Debug, Default, Serialize)]
pub struct EntryConfig {
    /// Name of the entry, unique among all entries.
    pub name: EntryId,
    /// Name of the data centre in which the entry runs.
    pub hall: HallId,
}

impl EntryConfig {
    /// Reads the top level of the file.
    pub fn read(fields: &Fields<'_>) -> Self {
        Self {
            name: required(fields, "entry", "the name of this entry"),
            hall: required(fields, "hall", "the data centre of this entry"),
        }
    }
}

/// Reads a text, and reports a finding if it is missing or empty.
pub fn required(fields: &Fields<'_>, key: &'static str, what: &str) -> String {
    let text = fields.text(key);
    if text.as_ref().is_none_or(String::is_empty) {
        fields.report(key, format!("is missing: {what}"));
    }
    text.unwrap_or_default()
}
