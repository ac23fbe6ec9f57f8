//! Tests that accepted settings are in force within seconds and never revert.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

mod site;

use site::{Site, plan};
use std::{
    fs, thread,
    time::{Duration, Instant},
};

const SERVICE: &str = "place/pool/service";

/// Returns settings in which the service has this timeout in ms.
fn settings(timeout: u32) -> String {
    format!(
        r#"{{ "place": {{ "unavailable": "50%", "pools": {{ "pool": {{ "vms": 4, "services": {{
           "service": {{ "timeout_ms": {timeout} }} }} }} }} }} }}"#
    )
}

/// Returns the timeout of the service that is in force at an entry, or 0 if there is none.
fn timeout(site: &Site, index: usize) -> u64 {
    let state = site.state(index);
    state["tree"]["nodes"][SERVICE]["timeout_ms"]
        .as_u64()
        .unwrap_or(0)
}

#[test]
fn settings_are_in_force_within_four_seconds_while_entries_restart() {
    let mut site = Site::start(
        plan(2, 2),
        &["hall-1", "hall-1", "hall-2"],
        &settings(1_000),
    );
    let mut slowest = Duration::ZERO;
    for round in 1..=12 {
        if round % 4 == 0 {
            site.kill(2);
            site.spawn(2);
        }
        let began = Instant::now();
        site.publish(&settings(1_000 + round));
        if round % 4 != 0 {
            slowest = slowest.max(began.elapsed());
        }
        site.wait_ready();
        for index in 0..3 {
            site.wait_until("the settings on every entry", || {
                timeout(&site, index) == u64::from(1_000 + round)
            });
        }
    }
    assert!(slowest < Duration::from_secs(4), "{slowest:?}");
}

#[test]
fn of_two_concurrent_changes_one_is_refused() {
    let site = Site::start(plan(1, 4), &["hall-1", "hall-1"], &settings(1_000));
    // Delays every response of the log, so that both operators base their change on the same version.
    for link in &site.log_links {
        link.delay(Duration::from_millis(150));
    }
    let folder = std::env::temp_dir().join(format!("havenladder-race-{}", ulid::Ulid::new()));
    fs::create_dir_all(&folder).unwrap();
    let outputs: Vec<_> = thread::scope(|scope| {
        let calls: Vec<_> = (0..2)
            .map(|entry| {
                let file = folder.join(format!("{entry}.jsonc"));
                fs::write(&file, settings(2_000 + entry)).unwrap();
                let site = &site;
                scope.spawn(move || {
                    let file = file.to_str().unwrap().to_owned();
                    site.run_command(entry as usize, &["settings", "apply", &file])
                })
            })
            .collect();
        calls.into_iter().map(|call| call.join().unwrap()).collect()
    });
    fs::remove_dir_all(&folder).unwrap();
    let codes: Vec<_> = outputs.iter().map(|output| output.status.code()).collect();
    let winner = codes
        .iter()
        .position(|code| *code == Some(0))
        .expect("a winner");
    assert_eq!(codes[1 - winner], Some(1), "{outputs:?}");
    let error = String::from_utf8(outputs[1 - winner].stderr.clone()).unwrap();
    assert!(error.contains("was changed meanwhile at offset"), "{error}");
    for index in 0..2 {
        site.wait_until("the winner's value", || {
            timeout(&site, index) == 2_000 + winner as u64
        });
    }
}

#[test]
fn settings_are_applied_once_when_responses_are_lost() {
    let site = Site::start(plan(1, 4), &["hall-1"], &settings(1_000));
    for round in 1..=5 {
        let before = site.state(0)["next"].as_u64().unwrap();
        site.log_links[0].lose_responses(2);
        site.publish(&settings(1_000 + round));
        let state = site.state(0);
        assert_eq!(timeout(&site, 0), u64::from(1_000 + round));
        let offset = state["versions"][SERVICE]["offset"].as_u64().unwrap();
        assert!(offset >= before, "applied at an old offset");
    }
}

#[test]
fn an_entry_restarted_during_an_outage_serves_only_after_loading_from_a_peer() {
    let mut site = Site::start(plan(1, 4), &["hall-1", "hall-1"], &settings(1_234));
    site.inject_fault("log?down_ms=600000");
    site.kill(0);
    site.spawn(0);
    site.wait_ready();
    assert_eq!(timeout(&site, 0), 1_234);
    site.wait_until("a preview", || {
        site.post(0, SERVICE, "run=1", &[]).status == 200
    });

    // Without a peer to load from, the entry must not become ready.
    site.kill(1);
    site.kill(0);
    site.spawn(0);
    thread::sleep(Duration::from_millis(1_500));
    let reply = site.post(0, SERVICE, "run=1 tag=nothing", &[]);
    assert_eq!(
        (reply.status, reply.outcome.as_str()),
        (503, "not-run"),
        "{reply:?}"
    );
    assert!(site.runs("nothing").is_empty());
}

#[test]
fn settings_outlive_the_retention_of_the_log() {
    let mut short_retention = plan(1, 4);
    short_retention.keep = Duration::from_secs(4);
    let mut site = Site::start(short_retention, &["hall-1", "hall-1"], &settings(1_111));
    for round in 1..=12 {
        site.publish(&settings(1_111 + round));
        thread::sleep(Duration::from_millis(500));
    }
    // All entries restart after the records with the settings have expired from the log.
    site.kill(0);
    site.kill(1);
    site.spawn(0);
    site.spawn(1);
    site.wait_ready();
    for index in 0..2 {
        site.wait_until("the settings", || timeout(&site, index) == 1_123);
    }
}

#[test]
fn an_entry_suspended_past_the_retention_detects_the_gap_and_catches_up() {
    let mut short_retention = plan(1, 4);
    short_retention.keep = Duration::from_secs(3);
    let site = Site::start(short_retention, &["hall-1", "hall-1"], &settings(1_000));
    site.signal(1, rustix::process::Signal::STOP);
    for round in 1..=10 {
        let file = std::env::temp_dir().join(format!("havenladder-gap-{}", ulid::Ulid::new()));
        fs::write(&file, settings(1_000 + round)).unwrap();
        let applied = site.run_command(0, &["settings", "apply", file.to_str().unwrap()]);
        fs::remove_file(&file).unwrap();
        assert!(applied.status.success(), "{applied:?}");
        thread::sleep(Duration::from_millis(600));
    }
    site.signal(1, rustix::process::Signal::CONT);
    site.wait_until("the suspended entry", || timeout(&site, 1) == 1_010);
}
