//! Formatting of tables for the terminal.

use comfy_table::{ContentArrangement, Table, presets::NOTHING};
use std::time::SystemTime;

/// Creates a table with the given headings.
pub fn table(headings: &[&str]) -> Table {
    let mut table = Table::new();
    table
        .load_preset(NOTHING)
        .set_content_arrangement(ContentArrangement::Disabled)
        .set_header(headings);
    table
}

/// Prints a table, or `nothing` if the table has no rows.
pub fn print(table: &Table, nothing: &str) {
    if table.row_count() == 0 {
        println!("{nothing}");
    } else {
        println!("{table}");
    }
}

/// Formats a time as its distance from now, in seconds.
pub fn relative_time(time: SystemTime) -> String {
    match time.elapsed() {
        Ok(past) => format!("{} s ago", past.as_secs()),
        Err(ahead) => format!("in {} s", ahead.duration().as_secs()),
    }
}
