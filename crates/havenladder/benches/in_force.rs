//! Measures how long accepted settings take to be in force on every live entry while entries are
//! replaced: p50, p99 and maximum of a few hundred changes.

#[path = "../tests/site/mod.rs"]
mod site;

use hdrhistogram::Histogram;
use site::{Site, Timing, plan};
use std::{fs, time::Instant};

/// Number of changes that are published.
const CHANGES: u32 = 300;

/// Number of changes after which one entry is replaced.
const CHANGES_PER_REPLACEMENT: u32 = 25;

fn settings(change: u32) -> String {
    format!(
        r#"{{ "place": {{ "unavailable": "50%", "pools": {{ "pool": {{ "vms": 6, "services": {{
           "service": {{ "timeout_ms": {} }} }} }} }} }} }}"#,
        1_000 + change
    )
}

fn main() {
    let halls = ["hall-1", "hall-1", "hall-1", "hall-2", "hall-2", "hall-2"];
    let mut site = Site::start_with_timing(Timing::Default, plan(2, 3), &halls, &settings(0));
    let file = std::env::temp_dir().join(format!("havenladder-{}", key()));
    let mut took = Histogram::<u64>::new_with_bounds(1, 60_000, 3).expect("bounds in order");
    for change in 1..=CHANGES {
        if change % CHANGES_PER_REPLACEMENT == 0 {
            let index = 1 + (change / CHANGES_PER_REPLACEMENT) as usize % (halls.len() - 1);
            site.kill(index);
            site.spawn(index);
        }
        fs::write(&file, settings(change)).expect("a folder for files");
        let path = file.to_str().expect("a path in Unicode");
        let started = Instant::now();
        let applied = site.run_command(0, &["settings", "apply", "--wait", path]);
        assert!(applied.status.success(), "{applied:?}");
        took.saturating_record(started.elapsed().as_millis() as u64);
    }
    // Failing to remove the temporary file does not affect the result.
    let _ = fs::remove_file(&file);
    println!(
        "{CHANGES} changes, 6 entries, {} replaced: in force after p50 {} ms, p99 {} ms, maximum {} ms",
        CHANGES / CHANGES_PER_REPLACEMENT,
        took.value_at_quantile(0.5),
        took.value_at_quantile(0.99),
        took.max()
    );
}

fn key() -> String {
    site::new_key()
}
