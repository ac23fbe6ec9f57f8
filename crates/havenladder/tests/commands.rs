//! Tests of the command line: its exit codes, the positions of findings, and that a file with findings changes
//! nothing.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

mod site;

use site::{Site, plan};
use std::{fs, process::Command};

const SETTINGS: &str = r#"{ "place": { "unavailable": "50%", "pools": { "pool": { "vms": 2,
  "services": { "service": {} } } } } }"#;

/// Starts a site with one entry and two VMs.
fn site() -> Site {
    Site::start(plan(1, 2), &["hall-1"], SETTINGS)
}

/// Decodes the output of a command.
fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn a_file_with_findings_is_refused_as_a_whole() {
    let site = site();
    let before = site.state(0);
    let file = site.write(
        "bad.jsonc",
        "{ \"place\": { \"objektive\": 0.9, \"class\": \"x\" } }",
    );
    for args in [["settings", "check", &file], ["settings", "apply", &file]] {
        let output = site.run_command(0, &args);
        assert_eq!(output.status.code(), Some(3), "{output:?}");
        let errors = text(&output.stderr);
        assert!(
            errors.contains("bad.jsonc:1:14: place.objektive"),
            "{errors}"
        );
        assert!(errors.contains("did you mean `objective`?"), "{errors}");
        assert!(
            errors.contains("place.class: must be \"preview\""),
            "{errors}"
        );
    }
    assert_eq!(site.state(0)["tree"], before["tree"]);
}

#[test]
fn invalid_commands_are_refused_with_the_reason() {
    let site = site();
    for (args, error) in [
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
        assert!(text(&output.stderr).contains(error), "{args:?} {output:?}");
    }
}

#[test]
fn queries_have_output_in_json() {
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
fn commands_never_print_keys() {
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
fn a_missing_entry_and_a_bad_process_file_have_distinct_exit_codes() {
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
    let errors = text(&output.stderr);
    for finding in [
        "peers.key: must have at least 16 characters",
        "operatrs: unknown key; did you mean `operators`?",
        "editors.listen: must be an IP address with a port",
    ] {
        assert!(errors.contains(finding), "{errors}");
    }
    assert!(!errors.contains("short"), "a key was shown");
    fs::remove_file(file).unwrap();
}

#[test]
fn completions_and_help_work_without_an_entry() {
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
