//! `havenladder day`: the summary that it computes from the logs of entries.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

use std::{fs, process::Command};

const LOGS: &str = r#"
   0.5 entry-1 {"timestamp":"2026-12-02T18:00:00.100Z","message":"pool","pool":"p","vms":3,"idle":1,"busy":1500}
   0.9 entry-1 {"timestamp":"2026-12-02T18:00:00.900Z","message":"pool","pool":"p","vms":4,"idle":0,"busy":2500,"waiting":500,"late":250}
not a line of a log {
   1.2 entry-2 {"timestamp":"2026-12-02T18:00:01.200Z","message":"owns the cell no longer","why":"the process stops"}
   1.3 entry-2 {"timestamp":"2026-12-02T18:00:01.300Z","message":"given up","ask":"submit 1"}
   1.4 entry-3 {"timestamp":"2026-12-02T18:00:01.400Z","message":"refused: the store is away"}
   1.5 entry-3 {"timestamp":"2026-12-02T18:00:01.500Z","message":"what the entry reaches has changed","cut_off":true}
   1.5 entry-4 {"timestamp":"2026-12-02T18:00:01.500Z","message":"what the entry reaches has changed","cut_off":true}
   1.6 entry-5 {"timestamp":"2026-12-02T18:00:01.600Z","message":"what the entry reaches has changed","cut_off":false}
   1.6 entry-1 {"timestamp":"2026-12-02T18:00:01.600Z","message":"owner's rounds","rounds":12,"longest":60,"latest":210}
   2.6 entry-1 {"timestamp":"2026-12-02T18:00:02.600Z","message":"owner's rounds","rounds":50,"longest":2,"latest":1}
"#;

#[test]
fn pools_owners_and_refusals_are_reported_by_second() {
    let file = std::env::temp_dir().join(format!("day-{}.log", ulid::Ulid::new()));
    fs::write(&file, LOGS).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_havenladder"))
        .args(["day", "--json"])
        .arg(&file)
        .output()
        .unwrap();
    fs::remove_file(&file).unwrap();
    let day: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    let row = &day["pools"][0];
    assert_eq!(
        day["pools"].as_array().unwrap().len(),
        1,
        "only the last line of a second counts"
    );
    assert_eq!(
        (row["vms"].as_u64(), row["busy"].as_f64()),
        (Some(4), Some(2.5))
    );
    assert_eq!(
        (row["waiting"].as_f64(), row["late"].as_f64()),
        (Some(0.5), Some(0.25))
    );
    let full = &day["owner"]["2026-12-02T18:00:01"];
    assert_eq!(
        (full["rounds"].as_u64(), full["latest"].as_u64()),
        (Some(12), Some(210))
    );
    assert_eq!(day["refusals"]["2026-12-02T18:00:01"], 2);
    let events = day["events"].to_string();
    assert!(events.contains("the process stops"), "{events}");
    let cuts = &day["cuts"]["2026-12-02T18:00:01"];
    assert_eq!(
        (cuts["begun"].as_u64(), cuts["ended"].as_u64()),
        (Some(2), Some(1)),
        "entries are counted, not listed one by one"
    );
}

#[test]
fn only_seconds_in_which_the_owner_was_overloaded_are_shown() {
    let file = std::env::temp_dir().join(format!("day-{}.log", ulid::Ulid::new()));
    fs::write(&file, LOGS).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_havenladder"))
        .arg("day")
        .arg(&file)
        .output()
        .unwrap();
    fs::remove_file(&file).unwrap();
    let text = String::from_utf8_lossy(&output.stdout);
    let full = "2026-12-02T18:00:01 owner full: 12 rounds, the longest of 60 ms, up to 210 ms late";
    assert!(text.contains(full), "{text}");
    assert!(!text.contains("18:00:02 owner full"), "{text}");
}

#[test]
fn a_missing_file_is_named_in_the_error() {
    let output = Command::new(env!("CARGO_BIN_EXE_havenladder"))
        .args(["day", "no-such.log"])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("no-such.log"));
}

/// Guards against counts that look complete although entries have left out lines of that second.
#[test]
fn lines_that_entries_left_out_are_counted_by_second_and_kind() {
    let logs = r#"
   0.5 entry-1 {"timestamp":"2026-12-02T18:00:00.100000Z","level":"WARN","message":"log lines dropped","count":15,"kinds":{"job":2,"run":13}}
   0.9 entry-2 {"timestamp":"2026-12-02T18:00:00.900000Z","level":"WARN","message":"log lines dropped","count":7,"kinds":{"run":7}}
   0.9 entry-2 {"timestamp":"2026-12-02T18:00:00.950000Z","level":"INFO","message":"pool","pool":"p","vms":3,"idle":1,"busy":1500}
   1.9 entry-2 {"timestamp":"2026-12-02T18:00:01.900000Z","level":"INFO","message":"given up","ask":"submit 1"}
"#;
    let file = std::env::temp_dir().join(format!("day-{}.log", ulid::Ulid::new()));
    fs::write(&file, logs).unwrap();
    let run = |options: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_havenladder"));
        command
            .arg("day")
            .args(options)
            .arg(&file)
            .output()
            .unwrap()
    };
    let (json, text) = (run(&["--json"]), run(&[]));
    fs::remove_file(&file).unwrap();
    let day: serde_json::Value = serde_json::from_slice(&json.stdout).unwrap();
    let dropped = day["dropped"].as_object().unwrap();
    assert_eq!(dropped.len(), 1, "{day}");
    assert_eq!(dropped["2026-12-02T18:00:00"]["run"], 20);
    assert_eq!(dropped["2026-12-02T18:00:00"]["job"], 2);
    assert_eq!(day["pools"].as_array().unwrap().len(), 1, "{day}");
    let text = String::from_utf8_lossy(&text.stdout);
    let line = "2026-12-02T18:00:00 log lines left out: job 2, run 20";
    assert!(text.contains(line), "{text}");
}
