//! `timings`: measures how long the entry takes to respond on each path.

use super::{CommandError, GlobalOptions, table};
use serde::Serialize;
use std::time::Instant;

/// Paths that are timed.
const PATHS: [&str; 4] = ["/members", "/state", "/burn", "/config"];

/// Number of requests per path. Only the fastest counts, since the others include unrelated delays.
const SAMPLES: usize = 5;

/// One row of the table.
#[derive(Serialize)]
struct Row {
    #[serde(rename = "question")]
    path: &'static str,
    fastest_ms: f64,
}

/// Times the requests and prints the fastest of each path.
pub fn timings(options: &GlobalOptions<'_>) -> Result<(), CommandError> {
    let client = options.client()?;
    let mut rows = Vec::new();
    for path in PATHS {
        let mut fastest = f64::INFINITY;
        for _ in 0..SAMPLES {
            let started = Instant::now();
            client.get::<serde_json::Value>(path)?;
            fastest = fastest.min(started.elapsed().as_secs_f64() * 1e3);
        }
        rows.push(Row {
            path,
            fastest_ms: fastest,
        });
    }
    options.print(&rows, |rows| {
        let mut table = table::table(&["QUESTION", "FASTEST OF 5"]);
        for row in rows {
            table.add_row([row.path.to_owned(), format!("{:.2} ms", row.fastest_ms)]);
        }
        table::print(&table, "nothing was timed");
    });
    Ok(())
}
