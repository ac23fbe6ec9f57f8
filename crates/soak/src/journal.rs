//! A file with what the workers of a soak recorded, beside the entries' logs and with times like theirs.

use standin::users::events::{Call, Event, Events};
use std::{
    fs::File,
    io::{self, BufWriter, Write},
    path::Path,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Writes all events and calls so far in the order of their times.
///
/// # Errors
///
/// Fails when the file cannot be written.
pub fn write(path: &Path, events: &Events) -> io::Result<()> {
    let (now, clock) = (Instant::now(), SystemTime::now());
    let mut rows: Vec<(Instant, String)> = Vec::new();
    rows.extend(events.all().iter().map(|event| (event.at, row(event))));
    rows.extend(events.calls().iter().map(|call| (call.at, call_row(call))));
    rows.sort_by_key(|(at, _)| *at);
    let mut file = BufWriter::new(File::create(path)?);
    for (at, text) in rows {
        let time = time_of_day(clock - now.saturating_duration_since(at));
        writeln!(file, "{time} {text}")?;
    }
    file.flush()
}

/// Returns a time of day in UTC.
fn time_of_day(at: SystemTime) -> String {
    let since: Duration = at.duration_since(UNIX_EPOCH).unwrap_or_default();
    let (seconds, millis) = (since.as_secs() % 86_400, since.subsec_millis());
    let (hours, minutes) = (seconds / 3_600, seconds / 60 % 60);
    format!("{hours:02}:{minutes:02}:{:02}.{millis:03}", seconds % 60)
}

fn row(event: &Event) -> String {
    let Event {
        worker,
        task,
        run,
        kind,
        ..
    } = event;
    format!("{worker} {kind:?} {task} run {run}")
}

fn call_row(call: &Call) -> String {
    let Call {
        worker,
        incarnation,
        path,
        task,
        run,
        fence,
        lease_ms,
        status,
        delay,
        ..
    } = call;
    let late = delay.map_or_else(String::new, |delay| format!(" late by {delay:?}"));
    let subject = if task.is_empty() {
        String::new()
    } else {
        format!(" {task} run {run}")
    };
    format!(
        "{worker}@{incarnation} {path}{subject} token {fence} status {status} lease {lease_ms} ms{late}"
    )
}
