//! Promises about budgets, reboots, leaving VMs and pools, with real processes under failure.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

mod site;

use havenladder_standin::ledger::{Ledger, RunEnd, What, now_ms};
use rustix::process::Signal;
use site::{Site, plan};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::atomic::{AtomicBool, AtomicU32, Ordering},
    thread,
    time::Duration,
};
use yare::parameterized;

const SERVICE: &str = "aotearoa/previews/preview";
const POOL: &str = "aotearoa/previews";

/// Ten VMs of 8 slots of which two may be out at once, and two spares.
const SETTINGS: &str = r#"{
  "aotearoa": {
    "unavailable": "20%",
    "pools": {
      "previews": { "vms": 10, "services": { "preview": { "timeout_ms": 20000 } } },
      "proofs": { "vms": 0, "services": { "proof": {} } }
    }
  }
}"#;

/// Slots that the budget allows to be out of service at once.
const BUDGET: u32 = 16;

/// Time after which the system must know of a failure.
const KNOWN_AFTER_MS: u64 = 3_000;

fn two_halls() -> Site {
    Site::start(plan(2, 6), &["hall-1", "hall-2"], SETTINGS)
}

fn members(site: &Site, pool: &str) -> BTreeSet<String> {
    let state = site.state(0);
    let vms = state["vms"].as_object().unwrap();
    let in_pool = vms.iter().filter(|(_, vm)| vm["pool"] == pool);
    in_pool.map(|(id, _)| id.clone()).collect()
}

/// The independent count: the most slots of these VMs that the system had out of service at once,
/// and the most that were out when it took another one, with failures it had to know of.
fn most_out(ledger: &Ledger, vms: &BTreeSet<String>) -> (u32, u32) {
    let mut by_system = BTreeSet::new();
    let mut failed: BTreeMap<String, u64> = BTreeMap::new();
    let (mut most, mut most_known) = (0, 0);
    for event in ledger.events.iter().filter(|event| vms.contains(&event.vm)) {
        let vm = event.vm.clone();
        match event.what {
            What::Drain | What::Reboot | What::Release => {
                by_system.insert(vm);
                let known = |(other, at): (&String, &u64)| {
                    at + KNOWN_AFTER_MS < event.at && !by_system.contains(other)
                };
                let failures = failed.iter().filter(|fail| known(*fail)).count();
                most_known = most_known.max(by_system.len() + failures);
            }
            What::Undrain | What::Back | What::Assign => {
                by_system.remove(&vm);
            }
            What::Fail => {
                by_system.remove(&vm);
                failed.insert(vm, event.at);
            }
            What::Restore => {
                failed.remove(&vm);
            }
            What::Stale => {}
        }
        most = most.max(by_system.len());
    }
    let slots = |vms: usize| u32::try_from(vms * 8).unwrap();
    (slots(most), slots(most_known))
}

fn reboots(ledger: &Ledger) -> BTreeMap<String, u32> {
    let mut reboots = BTreeMap::new();
    for event in ledger
        .events
        .iter()
        .filter(|event| event.what == What::Reboot)
    {
        *reboots.entry(event.vm.clone()).or_default() += 1;
    }
    reboots
}

fn start_wave(site: &Site) -> u64 {
    let started = site.run_command(0, &["wave", "start", POOL, "--json"]);
    assert!(started.status.success(), "{started:?}");
    let receipt: serde_json::Value = serde_json::from_slice(&started.stdout).unwrap();
    receipt["offset"].as_u64().unwrap()
}

fn wait_wave(site: &Site, index: usize, wave: u64) {
    site.wait_until("the wave to end", || {
        site.state(index)["waves"][wave.to_string()]["wave"]["state"] == "done"
    });
}

/// Sends previews through every entry that answers while `during` runs; counts the answers.
fn under_load(site: &Site, during: impl FnOnce()) -> (u32, u32) {
    let stop = AtomicBool::new(false);
    let (done, other) = (AtomicU32::new(0), AtomicU32::new(0));
    thread::scope(|scope| {
        for caller in 0..6 {
            let (stop, done, other) = (&stop, &done, &other);
            // Long ones are what a reboot without patience would cut off.
            let run = if caller % 2 == 0 { 30 } else { 400 };
            scope.spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let reply = site.post(
                        caller / 2 % site.entries.len(),
                        SERVICE,
                        &format!("run={run}"),
                        &[],
                    );
                    let count = if reply.status == 200 { done } else { other };
                    count.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
        during();
        stop.store(true, Ordering::Relaxed);
    });
    (done.into_inner(), other.into_inner())
}

/// What must hold after every wave, however it went.
fn check(site: &Site, vms: &BTreeSet<String>) {
    let ledger = site.ledger();
    let (most, most_known) = most_out(&ledger, vms);
    assert!(most <= BUDGET, "{most} slots out at once");
    assert!(
        most_known <= BUDGET,
        "{most_known} slots out with known failures"
    );
    let cut: Vec<_> = ledger
        .runs
        .iter()
        .filter(|run| run.end == Some(RunEnd::CutByCall))
        .collect();
    assert!(cut.is_empty(), "cut off: {cut:?}");
    let twice: Vec<_> = reboots(&ledger)
        .into_iter()
        .filter(|(_, count)| *count > 1)
        .collect();
    assert!(twice.is_empty(), "rebooted twice: {twice:?}");
}

#[test]
fn a_wave_reboots_every_vm_once_within_the_budget_and_cuts_off_nothing() {
    let site = two_halls();
    let vms = members(&site, POOL);
    let (done, other) = under_load(&site, || {
        let wave = start_wave(&site);
        wait_wave(&site, 0, wave);
    });
    check(&site, &vms);
    assert_eq!(reboots(&site.ledger()).len(), vms.len());
    assert_eq!(other, 0, "{done} were answered");
}

#[test]
fn a_wave_survives_its_entries_being_killed_and_frozen() {
    let mut site = two_halls();
    let vms = members(&site, POOL);
    let wave = start_wave(&site);
    let begun = |site: &Site, count: usize| {
        site.wait_until("reboots", || reboots(&site.ledger()).len() >= count);
    };
    begun(&site, 1);
    site.kill(0);
    thread::sleep(Duration::from_millis(300));
    site.spawn(0);
    begun(&site, 3);
    // Frozen for longer than its lease of 3 s, in the middle of whatever it does.
    site.signal(1, Signal::STOP);
    thread::sleep(Duration::from_millis(5_500));
    site.signal(1, Signal::CONT);
    begun(&site, 6);
    site.kill(1);
    site.spawn(1);
    wait_wave(&site, 0, wave);
    check(&site, &vms);
    assert_eq!(reboots(&site.ledger()).len(), vms.len());
}

#[test]
fn a_wave_survives_answers_that_are_lost_after_the_effect() {
    let site = two_halls();
    let vms = members(&site, POOL);
    let wave = start_wave(&site);
    for _ in 0..20 {
        site.inject_fault("lose?n=2");
        site.log_links[0].lose_answers(1);
        site.log_links[1].lose_answers(1);
        thread::sleep(Duration::from_millis(100));
    }
    wait_wave(&site, 0, wave);
    check(&site, &vms);
    assert_eq!(reboots(&site.ledger()).len(), vms.len());
}

#[test]
fn a_wave_survives_a_long_outage_of_the_platform() {
    let site = two_halls();
    let vms = members(&site, POOL);
    let wave = start_wave(&site);
    site.wait_until("a reboot", || !reboots(&site.ledger()).is_empty());
    site.inject_fault("log?down_ms=7000");
    let (done, other) = under_load(&site, || thread::sleep(Duration::from_millis(5_000)));
    assert!(done > 100 && other == 0, "{done} done, {other} not");
    wait_wave(&site, 0, wave);
    check(&site, &vms);
}

#[test]
fn a_rack_lost_in_the_middle_of_a_wave_stops_it_until_there_is_room() {
    let site = two_halls();
    let vms = members(&site, POOL);
    let wave = start_wave(&site);
    site.wait_until("a reboot", || !reboots(&site.ledger()).is_empty());
    site.inject_fault("rack/hall-1-rack-1?down_ms=5000");
    thread::sleep(Duration::from_millis(KNOWN_AFTER_MS));
    let before = site.ledger().events.len();
    thread::sleep(Duration::from_millis(1_000));
    let after = site.ledger();
    let drained = after.events[before..]
        .iter()
        .filter(|event| event.what == What::Drain)
        .count();
    assert_eq!(drained, 0, "drained while a rack was down");
    wait_wave(&site, 0, wave);
    check(&site, &vms);
}

/// What happened to VMs, with the time in ms since the first event.
fn tell(ledger: &Ledger) -> Vec<String> {
    let began = ledger.events.first().map_or(0, |event| event.at);
    let events = ledger.events.iter();
    let line = events.map(|event| format!("{} {} {:?}", event.at - began, event.vm, event.what));
    line.collect()
}

/// A rack fails while two of its VMs reboot, as they come back, and just after: another of its VMs may be told to drain
/// before anybody can know that it is down. A VM that boots again is in service, so that such a drain ends with it, and
/// one whose rack has failed does not come back from its reboot before its rack does.
///
/// Before, the stand-in's record did not say that a boot ends a drain, and brought VMs back in a rack that was down: with
/// the failure 290 ms after the reboot 24 slots counted as out where 16 may be, three times of three; at random moments 4
/// times of 320 with 16 sites at once.
#[parameterized(
    at_once = { 0 },
    soon = { 2 },
    a_little_later = { 4 },
    late = { 20 },
    as_they_come_back = { 290 },
    when_they_are_back = { 320 },
)]
fn a_rack_that_fails_just_after_a_reboot_has_begun_stops_the_wave(after_ms: u64) {
    let site = two_halls();
    let vms = members(&site, POOL);
    site.inject_fault(&format!(
        "rack/hall-1-rack-1?down_ms=5000&after_reboot_ms={after_ms}"
    ));
    let wave = start_wave(&site);
    site.wait_until("the failure", || {
        let ledger = site.ledger();
        ledger.events.iter().any(|event| event.what == What::Fail)
    });
    thread::sleep(Duration::from_millis(KNOWN_AFTER_MS));
    let before = site.ledger().events.len();
    thread::sleep(Duration::from_millis(1_000));
    let after = site.ledger();
    let drained = after.events[before..]
        .iter()
        .any(|event| event.what == What::Drain);
    assert!(
        !drained,
        "drained while a rack was down: {:#?}",
        tell(&after)
    );
    wait_wave(&site, 0, wave);
    let ledger = site.ledger();
    assert!(most_out(&ledger, &vms).0 <= BUDGET, "{:#?}", tell(&ledger));
    check(&site, &vms);
}

#[test]
fn two_operators_at_once_start_two_waves_and_each_vm_reboots_once() {
    let site = two_halls();
    let vms = members(&site, POOL);
    let outputs: Vec<_> = thread::scope(|scope| {
        let starts: Vec<_> = (0..2)
            .map(|entry| {
                let site = &site;
                scope.spawn(move || site.run_command(entry, &["wave", "start", POOL, "--wait"]))
            })
            .collect();
        starts
            .into_iter()
            .map(|start| start.join().unwrap())
            .collect()
    });
    assert!(
        outputs.iter().all(|output| output.status.success()),
        "{outputs:?}"
    );
    let ledger = site.ledger();
    assert!(most_out(&ledger, &vms).0 <= BUDGET);
    assert_eq!(reboots(&ledger).len(), vms.len());
}

#[test]
fn a_vm_that_is_leaving_gets_no_new_work_after_three_seconds() {
    let site = two_halls();
    let vms = members(&site, POOL);
    let vm = vms.first().unwrap().clone();
    let told = AtomicU32::new(0);
    let at = now_ms();
    under_load(&site, || {
        site.inject_fault(&format!("vm/{vm}?leaving=1"));
        told.store(1, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(4_500));
    });
    let late: Vec<_> = site
        .ledger()
        .runs
        .into_iter()
        .filter(|run| run.vm == vm && run.began > at + 3_000)
        .collect();
    assert!(late.is_empty(), "{late:?}");
}

#[test]
fn a_drained_vm_gets_no_new_work_even_from_an_entry_that_is_cut_off() {
    let site = two_halls();
    let vm = site.find_vm(POOL, |vm| vm["hall"] == "hall-2");
    // The hall's own entry hears of the drain from nobody.
    site.log_links[1].cut(true);
    site.cut_peers(0, 1, true);
    let url = format!("vms/{vm}");
    site.call_platform(&url, r#"{"call":"drain","token":1000000}"#);
    let at = now_ms();
    let (done, other) = under_load(&site, || thread::sleep(Duration::from_millis(1_000)));
    assert!(done > 50 && other == 0, "{done} done, {other} not");
    let late = site
        .ledger()
        .runs
        .into_iter()
        .filter(|run| run.vm == vm && run.began > at);
    assert_eq!(late.count(), 0);
}

#[test]
fn a_reboot_waits_for_what_an_entry_that_is_cut_off_still_sends() {
    let site = Site::start(plan(1, 12), &["hall-1", "hall-1"], SETTINGS);
    let vms = members(&site, POOL);
    // This entry knows nothing of the wave; only the workers' refusals keep it off drained VMs.
    site.log_links[1].cut(true);
    site.cut_peers(0, 1, true);
    under_load(&site, || {
        let wave = start_wave(&site);
        wait_wave(&site, 0, wave);
    });
    check(&site, &vms);
}

#[test]
fn a_vm_moves_with_no_moment_in_two_pools() {
    let site = two_halls();
    let before = members(&site, POOL);
    let smaller = SETTINGS
        .replace("\"vms\": 10", "\"vms\": 8")
        .replace("\"vms\": 0", "\"vms\": 4");
    under_load(&site, || site.publish(&smaller));
    let after = members(&site, "aotearoa/proofs");
    assert_eq!(after.len(), 4);
    let moved: BTreeSet<_> = after.intersection(&before).cloned().collect();
    assert_eq!(
        moved.len(),
        2,
        "spares go first, then as many as are lacking"
    );
    let ledger = site.ledger();
    assert!(most_out(&ledger, &before).0 <= BUDGET);
    for vm in &moved {
        let assigned = ledger
            .events
            .iter()
            .rfind(|event| event.vm == *vm && event.what == What::Assign)
            .unwrap();
        let late = ledger
            .runs
            .iter()
            .filter(|run| run.vm == *vm && run.pool == POOL);
        assert!(late.clone().all(|run| run.began <= assigned.at), "{vm}");
        assert!(
            late.clone().all(|run| run.end == Some(RunEnd::Done)),
            "{vm}"
        );
    }
}

#[test]
fn a_released_vm_is_handed_back_after_its_last_request() {
    let site = two_halls();
    let vms = members(&site, POOL);
    let vm = vms.first().unwrap().clone();
    under_load(&site, || {
        let released = site.run_command(0, &["vm", "release", &vm]);
        assert!(released.status.success(), "{released:?}");
        site.wait_until("the release", || site.state(0)["vms"].get(&vm).is_none());
    });
    let ledger = site.ledger();
    let cut = ledger
        .runs
        .iter()
        .filter(|run| run.end == Some(RunEnd::CutByCall));
    assert_eq!(cut.count(), 0);
    let released = ledger
        .events
        .iter()
        .filter(|event| event.what == What::Release)
        .count();
    assert_eq!(released, 1);
    // The pool asks for ten, so a spare takes its place.
    site.wait_until("a replacement", || members(&site, POOL).len() == 10);
}

#[test]
fn a_drain_over_the_budget_is_refused_with_its_reason() {
    let site = two_halls();
    let vms: Vec<String> = members(&site, POOL).into_iter().collect();
    for vm in &vms[..2] {
        assert!(site.run_command(0, &["vm", "drain", vm]).status.success());
    }
    let refused = site.run_command(0, &["vm", "drain", &vms[2]]);
    assert_eq!(refused.status.code(), Some(1));
    let told = String::from_utf8(refused.stderr).unwrap();
    assert!(
        told.contains("allows 16 slots and 24 would be unavailable"),
        "{told}"
    );
    assert!(
        site.run_command(1, &["vm", "undrain", &vms[0]])
            .status
            .success()
    );
    site.wait_until("room for another drain", || {
        site.run_command(0, &["vm", "drain", &vms[2]])
            .status
            .success()
    });
    assert!(most_out(&site.ledger(), &vms.into_iter().collect()).0 <= BUDGET);
}
