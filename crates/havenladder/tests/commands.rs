//! The command line: exit codes, findings with places, nothing half applied.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

mod site;

use site::{Site, plan};
use std::{fs, process::Command};

const SETTINGS: &str = r#"{ "place": { "unavailable": "50%", "pools": { "pool": { "vms": 2,
  "services": { "service": {} } } } } }"#;

fn site() -> Site {
    Site::start(plan(1, 2), &["hall-1"], SETTINGS)
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn a_file_with_findings_is_refused_whole() {
    let site = site();
    let before = site.state(0);
    let file = site.write(
        "bad.jsonc",
        "{ \"place\": { \"objektive\": 0.9, \"class\": \"x\" } }",
    );
    for args in [["settings", "check", &file], ["settings", "apply", &file]] {
        let output = site.run_command(0, &args);
        assert_eq!(output.status.code(), Some(3), "{output:?}");
        let told = text(&output.stderr);
        assert!(told.contains("bad.jsonc:1:14: place.objektive"), "{told}");
        assert!(told.contains("did you mean `objective`?"), "{told}");
        assert!(told.contains("place.class: must be \"preview\""), "{told}");
    }
    assert_eq!(site.state(0)["tree"], before["tree"]);
}

#[test]
fn what_does_not_exist_is_refused_with_the_nearest_name() {
    let site = site();
    for (args, told) in [
        (vec!["vm", "drain", "vm-11"], "did you mean `vm-1`?"),
        (
            vec!["vm", "move", "vm-1", "place/none"],
            "no pool `place/none`",
        ),
        (vec!["vm", "undrain", "vm-1"], "is not out of service"),
        (vec!["vm", "forget", "vm-1"], "is out of service already"),
        (
            vec!["wave", "start", "nowhere"],
            "no place or pool `nowhere`",
        ),
        (vec!["wave", "pause", "7"], "no wave 7"),
        (
            vec!["explain", "place/pool/servce"],
            "did you mean `place/pool/service`?",
        ),
    ] {
        let output = site.run_command(0, &args);
        assert_eq!(output.status.code(), Some(1), "{args:?} {output:?}");
        assert!(text(&output.stderr).contains(told), "{args:?} {output:?}");
    }
}

#[test]
fn each_question_has_an_answer_for_programs() {
    let site = site();
    assert_eq!(site.post(0, "place/pool/service", "run=1", &[]).status, 200);
    for args in [
        ["vm", "list", "--json"],
        ["pool", "list", "--json"],
        ["wave", "status", "--json"],
        ["settings", "history", "--json"],
        ["explain", "place/pool/service", "--json"],
        ["burn", "--json", "--json"],
    ] {
        let args = &args[..if args[0] == "burn" { 2 } else { 3 }];
        let output = site.run_command(0, args);
        assert!(output.status.success(), "{args:?} {output:?}");
        let value: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
        assert!(!value.is_null());
    }
    let burn = site.query(0, "/burn").unwrap();
    assert_eq!(
        burn["services"]["place/pool/service"]["cells"][0]["good"],
        1
    );
}

#[test]
fn keys_are_never_shown() {
    let site = site();
    for args in [&["print-config"][..], &["bug-report"][..]] {
        let output = site.run_command(0, args);
        assert!(output.status.success(), "{output:?}");
        let shown = text(&output.stdout);
        assert!(!shown.contains(site::OPERATOR_KEY) && !shown.contains("test-peer-key"));
        assert!(shown.contains("\"key\": \"set\""), "{shown}");
    }
}

#[test]
fn an_entry_that_is_not_there_and_a_bad_file_of_its_own_have_codes_of_their_own() {
    let mut site = site();
    site.kill(0);
    assert_eq!(site.run_command(0, &["vm", "list"]).status.code(), Some(4));
    let bad = "{ \"entry\": \"a\", \"hall\": \"h\", \"peers\": { \"key\": \"short\" }, \
               \"operatrs\": {}, \"editors\": { \"listen\": \"localhost:1\" } }";
    let file = site.write("process.jsonc", bad);
    let output = Command::new(env!("CARGO_BIN_EXE_havenladder"))
        .args(["serve", "--config", &file])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(3), "{output:?}");
    let told = text(&output.stderr);
    for finding in [
        "peers.key: must have at least 16 characters",
        "operatrs: unknown key; did you mean `operators`?",
        "editors.listen: must be an IP address with a port",
    ] {
        assert!(told.contains(finding), "{told}");
    }
    assert!(!told.contains("short"), "a key was shown");
    fs::remove_file(file).unwrap();
}

#[test]
fn completions_and_help_need_no_entry() {
    for args in [["completions", "bash"], ["wave", "--help"]] {
        let output = Command::new(env!("CARGO_BIN_EXE_havenladder"))
            .args(args)
            .output()
            .unwrap();
        assert!(output.status.success() && !output.stdout.is_empty());
    }
    let output = Command::new(env!("CARGO_BIN_EXE_havenladder"))
        .arg("wavee")
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
}
