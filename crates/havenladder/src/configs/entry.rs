//! Who the process is.

use protocol::{EntryId, HallId};
use serde::Serialize;
use settings::Fields;

/// Names of the process and of its hall; neither has a default.
#[derive(Clone, Debug, Default, Serialize)]
pub struct EntryConfig {
    /// The entry's name, which no other entry has.
    pub name: EntryId,
    /// The hall that it stands in.
    pub hall: HallId,
}

impl EntryConfig {
    /// Reads the top of the file.
    pub fn read(fields: &Fields<'_>) -> Self {
        Self {
            name: required(fields, "entry", "the name of this entry"),
            hall: required(fields, "hall", "the hall that this entry stands in"),
        }
    }
}

/// Reads a text that must be there.
pub fn required(fields: &Fields<'_>, key: &'static str, what: &str) -> String {
    let text = fields.text(key);
    if text.as_ref().is_none_or(String::is_empty) {
        fields.report(key, format!("is missing: {what}"));
    }
    text.unwrap_or_default()
}
