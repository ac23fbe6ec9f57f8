//! Tables for people.

use comfy_table::{ContentArrangement, Table, presets::NOTHING};
use std::time::SystemTime;

/// Makes a table with these headings.
pub fn table(headings: &[&str]) -> Table {
    let mut table = Table::new();
    table
        .load_preset(NOTHING)
        .set_content_arrangement(ContentArrangement::Disabled)
        .set_header(headings);
    table
}

/// Prints a table, or a line that says there is nothing.
pub fn print(table: &Table, nothing: &str) {
    if table.row_count() == 0 {
        println!("{nothing}");
    } else {
        println!("{table}");
    }
}

/// Writes how long ago a time was, or how far ahead it is.
pub fn distance(time: SystemTime) -> String {
    match time.elapsed() {
        Ok(past) => format!("{} s ago", past.as_secs()),
        Err(ahead) => format!("in {} s", ahead.duration().as_secs()),
    }
}
