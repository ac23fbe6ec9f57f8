//! Tests with real processes, under failures, that waves keep to the budget and that reboots, moves and releases of
//! VMs cut off no run.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

mod site;

use havenladder_standin::ledger::{Ledger, RunEnd, VmEventKind, now_ms};
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

/// Settings for a pool of ten VMs with 8 slots each, of which two VMs may be out of service at once. Two of the
/// site's VMs remain spare.
const SETTINGS: &str = r#"{
  "aotearoa": {
    "unavailable": "20%",
    "pools": {
      "previews": { "vms": 10, "services": { "preview": { "timeout_ms": 20000 } } },
      "proofs": { "vms": 0, "services": { "proof": {} } }
    }
  }
}"#;

/// Number of slots that the budget allows to be out of service at once.
const BUDGET: u32 = 16;

/// Time in ms after which the entries must know of a failure.
const DETECTION_TIMEOUT_MS: u64 = 3_000;

/// Starts a site with two data centres of six VMs, and one entry in each.
fn two_halls() -> Site {
    Site::start(plan(2, 6), &["hall-1", "hall-2"], SETTINGS)
}

/// Returns the ids of the VMs of a pool.
fn members(site: &Site, pool: &str) -> BTreeSet<String> {
    let state = site.state(0);
    let vms = state["vms"].as_object().unwrap();
    let in_pool = vms.iter().filter(|(_, vm)| vm["pool"] == pool);
    in_pool.map(|(id, _)| id.clone()).collect()
}

/// Counts, from the platform's record alone, how many slots of these VMs were out of service at once. Returns the
/// largest number that the entries had taken out of service, and the largest number that was out when they took out
/// another VM, including VMs that had failed more than `DETECTION_TIMEOUT_MS` before.
fn max_slots_out(ledger: &Ledger, vms: &BTreeSet<String>) -> (u32, u32) {
    let mut by_system = BTreeSet::new();
    let mut failed: BTreeMap<String, u64> = BTreeMap::new();
    let (mut max_out, mut max_known_out) = (0, 0);
    for event in ledger.events.iter().filter(|event| vms.contains(&event.vm)) {
        let vm = event.vm.clone();
        match event.kind {
            VmEventKind::Drain | VmEventKind::Reboot | VmEventKind::Release => {
                by_system.insert(vm);
                let known = |(other, at): (&String, &u64)| {
                    at + DETECTION_TIMEOUT_MS < event.at && !by_system.contains(other)
                };
                let failures = failed.iter().filter(|fail| known(*fail)).count();
                max_known_out = max_known_out.max(by_system.len() + failures);
            }
            VmEventKind::Undrain | VmEventKind::Back | VmEventKind::Assign => {
                by_system.remove(&vm);
            }
            VmEventKind::Fail => {
                by_system.remove(&vm);
                failed.insert(vm, event.at);
            }
            VmEventKind::Restore => {
                failed.remove(&vm);
            }
            VmEventKind::Stale => {}
        }
        max_out = max_out.max(by_system.len());
    }
    let slots = |vms: usize| u32::try_from(vms * 8).unwrap();
    (slots(max_out), slots(max_known_out))
}

/// Counts the reboots of each VM.
fn reboots(ledger: &Ledger) -> BTreeMap<String, u32> {
    let mut reboots = BTreeMap::new();
    for event in ledger
        .events
        .iter()
        .filter(|event| event.kind == VmEventKind::Reboot)
    {
        *reboots.entry(event.vm.clone()).or_default() += 1;
    }
    reboots
}

/// Starts a wave over the pool and returns its id.
fn start_wave(site: &Site) -> u64 {
    let started = site.run_command(0, &["wave", "start", POOL, "--json"]);
    assert!(started.status.success(), "{started:?}");
    let receipt: serde_json::Value = serde_json::from_slice(&started.stdout).unwrap();
    receipt["offset"].as_u64().unwrap()
}

/// Waits until an entry reports that a wave is done.
fn wait_wave(site: &Site, index: usize, wave: u64) {
    site.wait_until("the wave to end", || {
        site.state(index)["waves"][wave.to_string()]["wave"]["state"] == "done"
    });
}

/// Sends previews through all entries while `during` runs. Returns the number of responses with status 200 and the
/// number of requests that ended in any other way.
fn under_load(site: &Site, during: impl FnOnce()) -> (u32, u32) {
    let stop = AtomicBool::new(false);
    let (succeeded, other) = (AtomicU32::new(0), AtomicU32::new(0));
    thread::scope(|scope| {
        for caller in 0..6 {
            let (stop, succeeded, other) = (&stop, &succeeded, &other);
            // A reboot that does not wait for running requests would cut off the long ones.
            let run = if caller % 2 == 0 { 30 } else { 400 };
            scope.spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let reply = site.post(
                        caller / 2 % site.entries.len(),
                        SERVICE,
                        &format!("run={run}"),
                        &[],
                    );
                    let count = if reply.status == 200 {
                        succeeded
                    } else {
                        other
                    };
                    count.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
        during();
        stop.store(true, Ordering::Relaxed);
    });
    (succeeded.into_inner(), other.into_inner())
}

/// Checks that the budget held, that no reboot cut off a run, and that no VM was rebooted twice.
fn check_wave(site: &Site, vms: &BTreeSet<String>) {
    let ledger = site.ledger();
    let (max_out, max_known_out) = max_slots_out(&ledger, vms);
    assert!(max_out <= BUDGET, "{max_out} slots out at once");
    assert!(
        max_known_out <= BUDGET,
        "{max_known_out} slots out with known failures"
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
    let (succeeded, other) = under_load(&site, || {
        let wave = start_wave(&site);
        wait_wave(&site, 0, wave);
    });
    check_wave(&site, &vms);
    assert_eq!(reboots(&site.ledger()).len(), vms.len());
    assert_eq!(other, 0, "{succeeded} succeeded");
}

#[test]
fn a_wave_completes_while_entries_are_killed_and_suspended() {
    let mut site = two_halls();
    let vms = members(&site, POOL);
    let wave = start_wave(&site);
    let wait_reboots = |site: &Site, count: usize| {
        site.wait_until("reboots", || reboots(&site.ledger()).len() >= count);
    };
    wait_reboots(&site, 1);
    site.kill(0);
    thread::sleep(Duration::from_millis(300));
    site.spawn(0);
    wait_reboots(&site, 3);
    // Suspends the entry, at any point of its work, for longer than its lease of 3 s.
    site.signal(1, Signal::STOP);
    thread::sleep(Duration::from_millis(5_500));
    site.signal(1, Signal::CONT);
    wait_reboots(&site, 6);
    site.kill(1);
    site.spawn(1);
    wait_wave(&site, 0, wave);
    check_wave(&site, &vms);
    assert_eq!(reboots(&site.ledger()).len(), vms.len());
}

#[test]
fn a_wave_completes_when_responses_to_applied_calls_are_lost() {
    let site = two_halls();
    let vms = members(&site, POOL);
    let wave = start_wave(&site);
    for _ in 0..20 {
        site.inject_fault("lose?n=2");
        site.log_links[0].lose_responses(1);
        site.log_links[1].lose_responses(1);
        thread::sleep(Duration::from_millis(100));
    }
    wait_wave(&site, 0, wave);
    check_wave(&site, &vms);
    assert_eq!(reboots(&site.ledger()).len(), vms.len());
}

#[test]
fn a_wave_completes_after_a_long_outage_of_the_platform() {
    let site = two_halls();
    let vms = members(&site, POOL);
    let wave = start_wave(&site);
    site.wait_until("a reboot", || !reboots(&site.ledger()).is_empty());
    site.inject_fault("log?down_ms=7000");
    let (succeeded, other) = under_load(&site, || thread::sleep(Duration::from_millis(5_000)));
    assert!(
        succeeded > 100 && other == 0,
        "{succeeded} succeeded, {other} did not"
    );
    wait_wave(&site, 0, wave);
    check_wave(&site, &vms);
}

#[test]
fn a_rack_lost_during_a_wave_stops_it_until_there_is_headroom() {
    let site = two_halls();
    let vms = members(&site, POOL);
    let wave = start_wave(&site);
    site.wait_until("a reboot", || !reboots(&site.ledger()).is_empty());
    site.inject_fault("rack/hall-1-rack-1?down_ms=5000");
    thread::sleep(Duration::from_millis(DETECTION_TIMEOUT_MS));
    let before = site.ledger().events.len();
    thread::sleep(Duration::from_millis(1_000));
    let after = site.ledger();
    let drained = after.events[before..]
        .iter()
        .filter(|event| event.kind == VmEventKind::Drain)
        .count();
    assert_eq!(drained, 0, "drained while a rack was down");
    wait_wave(&site, 0, wave);
    check_wave(&site, &vms);
}

/// Returns one line for each event of a VM, with its time in ms since the first event.
fn event_lines(ledger: &Ledger) -> Vec<String> {
    let began = ledger.events.first().map_or(0, |event| event.at);
    let events = ledger.events.iter();
    let line = events.map(|event| format!("{} {} {:?}", event.at - began, event.vm, event.kind));
    line.collect()
}

/// A rack fails while two of its VMs reboot, as they come back, or just after. Another VM of the rack may be
/// drained before any entry can know that the rack is down. A VM that boots again is in service, which ends such a
/// drain, and a VM whose rack has failed does not return from its reboot before the rack does.
///
/// The stand-in's record once did not say that booting ends a drain, and brought VMs back in a rack that was down.
/// With the failure 290 ms after the reboot, 24 slots counted as out of service where 16 are allowed in three of
/// three runs; with the failure at random times, in 4 of 320 runs with 16 sites at once.
#[parameterized(
    immediately = { 0 },
    after_2_ms = { 2 },
    after_4_ms = { 4 },
    after_20_ms = { 20 },
    as_vms_come_back = { 290 },
    once_vms_are_back = { 320 }
)]
fn a_rack_that_fails_around_a_reboot_stops_the_wave(after_ms: u64) {
    let site = two_halls();
    let vms = members(&site, POOL);
    site.inject_fault(&format!(
        "rack/hall-1-rack-1?down_ms=5000&after_reboot_ms={after_ms}"
    ));
    let wave = start_wave(&site);
    site.wait_until("the failure", || {
        let ledger = site.ledger();
        ledger
            .events
            .iter()
            .any(|event| event.kind == VmEventKind::Fail)
    });
    thread::sleep(Duration::from_millis(DETECTION_TIMEOUT_MS));
    let before = site.ledger().events.len();
    thread::sleep(Duration::from_millis(1_000));
    let after = site.ledger();
    let drained = after.events[before..]
        .iter()
        .any(|event| event.kind == VmEventKind::Drain);
    assert!(
        !drained,
        "drained while a rack was down: {:#?}",
        event_lines(&after)
    );
    wait_wave(&site, 0, wave);
    let ledger = site.ledger();
    assert!(
        max_slots_out(&ledger, &vms).0 <= BUDGET,
        "{:#?}",
        event_lines(&ledger)
    );
    check_wave(&site, &vms);
}

#[test]
fn two_operators_who_start_waves_at_once_reboot_each_vm_once() {
    let site = two_halls();
    let vms = members(&site, POOL);
    let outputs: Vec<_> = thread::scope(|scope| {
        let commands: Vec<_> = (0..2)
            .map(|entry| {
                let site = &site;
                scope.spawn(move || site.run_command(entry, &["wave", "start", POOL, "--wait"]))
            })
            .collect();
        commands
            .into_iter()
            .map(|command| command.join().unwrap())
            .collect()
    });
    assert!(
        outputs.iter().all(|output| output.status.success()),
        "{outputs:?}"
    );
    let ledger = site.ledger();
    assert!(max_slots_out(&ledger, &vms).0 <= BUDGET);
    assert_eq!(reboots(&ledger).len(), vms.len());
}

#[test]
fn a_vm_that_is_leaving_gets_no_new_work_after_three_seconds() {
    let site = two_halls();
    let vms = members(&site, POOL);
    let vm = vms.first().unwrap().clone();
    let announced = AtomicU32::new(0);
    let at = now_ms();
    under_load(&site, || {
        site.inject_fault(&format!("vm/{vm}?leaving=1"));
        announced.store(1, Ordering::Relaxed);
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
fn a_drained_vm_gets_no_new_work_from_an_isolated_entry() {
    let site = two_halls();
    let vm = site.find_vm(POOL, |vm| vm["hall"] == "hall-2");
    // The entry in the data centre of the VM cannot learn of the drain from the log or from its peer.
    site.log_links[1].cut(true);
    site.cut_peers(0, 1, true);
    let url = format!("vms/{vm}");
    site.call_platform(&url, r#"{"call":"drain","token":1000000}"#);
    let at = now_ms();
    let (succeeded, other) = under_load(&site, || thread::sleep(Duration::from_millis(1_000)));
    assert!(
        succeeded > 50 && other == 0,
        "{succeeded} succeeded, {other} did not"
    );
    let late = site
        .ledger()
        .runs
        .into_iter()
        .filter(|run| run.vm == vm && run.began > at);
    assert_eq!(late.count(), 0);
}

#[test]
fn a_reboot_waits_for_requests_of_an_isolated_entry() {
    let site = Site::start(plan(1, 12), &["hall-1", "hall-1"], SETTINGS);
    let vms = members(&site, POOL);
    // This entry does not know of the wave; it stops using drained VMs only because their workers refuse its
    // requests.
    site.log_links[1].cut(true);
    site.cut_peers(0, 1, true);
    under_load(&site, || {
        let wave = start_wave(&site);
        wait_wave(&site, 0, wave);
    });
    check_wave(&site, &vms);
}

#[test]
fn a_vm_moves_without_ever_being_in_two_pools() {
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
        "the two spare VMs move first, then two VMs of the other pool"
    );
    let ledger = site.ledger();
    assert!(max_slots_out(&ledger, &before).0 <= BUDGET);
    for vm in &moved {
        let assigned = ledger
            .events
            .iter()
            .rfind(|event| event.vm == *vm && event.kind == VmEventKind::Assign)
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
fn a_vm_is_released_only_after_its_last_request() {
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
        .filter(|event| event.kind == VmEventKind::Release)
        .count();
    assert_eq!(released, 1);
    // The pool asks for ten VMs, so a spare VM replaces the released one.
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
    let error = String::from_utf8(refused.stderr).unwrap();
    assert!(
        error.contains("allows 16 slots and 24 would be unavailable"),
        "{error}"
    );
    assert!(
        site.run_command(1, &["vm", "undrain", &vms[0]])
            .status
            .success()
    );
    site.wait_until("headroom for another drain", || {
        site.run_command(0, &["vm", "drain", &vms[2]])
            .status
            .success()
    });
    assert!(max_slots_out(&site.ledger(), &vms.into_iter().collect()).0 <= BUDGET);
}
