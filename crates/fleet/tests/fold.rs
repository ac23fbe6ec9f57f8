//! Applying records: outcomes, compare-and-set, grants, waves and snapshots.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

mod fixture;

use fixture::{Fixture, SETTINGS, rejected};
use havenladder_fleet::{
    BudgetHeadroom, Change, Fleet, GrantPurpose, LeaseRequest, ObservedState, Outcome, PathChange,
    Reason, WaveChange, assemble, chunks, decode_snapshot, encode_snapshot, next_reboots,
};
use protocol::{LogRecord, RecordId, decode, encode};
use std::time::{Duration, UNIX_EPOCH};

#[test]
fn of_two_conflicting_changes_the_second_is_rejected_naming_the_first() {
    let mut fixture = Fixture::new(0);
    let first = fixture.changes_to(&SETTINGS.replace("25%", "30%"));
    let second = fixture.changes_to(&SETTINGS.replace("25%", "35%"));
    assert_eq!(fixture.propose(Change::Settings(first)), Outcome::Applied);
    let lost = fixture.propose(Change::Settings(second));
    let reason = rejected(&lost);
    assert!(
        matches!(reason, Reason::PathMoved { path, version: 2, .. } if path == "place"),
        "{reason}"
    );
}

#[test]
fn duplicate_and_late_records_have_no_effect() {
    let mut fixture = Fixture::new(0);
    let record = fixture.record(Change::Wave(WaveChange::Start {
        scope: "place".into(),
    }));
    assert_eq!(fixture.apply(&record), Outcome::Applied);
    assert_eq!(rejected(&fixture.apply(&record)), &Reason::Duplicate);
    fixture.at += Duration::from_secs(31);
    assert_eq!(rejected(&fixture.apply(&record)), &Reason::Late);
    assert_eq!(fixture.fleet.waves.len(), 1);
    assert_eq!(fixture.fleet.recent.len(), 0, "expired ids are removed");
}

#[test]
fn an_invalid_record_is_rejected_and_the_log_continues() {
    let mut fixture = Fixture::new(4);
    let before = fixture.fleet.clone();
    let record = LogRecord {
        offset: before.next,
        at: fixture.at,
        data: vec![0xc1, 7, 7],
    };
    assert_eq!(
        fixture.fleet.apply(&record),
        [Outcome::Rejected(Reason::Malformed)]
    );
    assert_eq!(fixture.fleet.vms, before.vms);
    assert_eq!(fixture.fleet.next, before.next + 1);
}

#[test]
#[should_panic(expected = "skipped")]
fn a_skipped_offset_panics() {
    let mut fleet = Fleet::default();
    let at = UNIX_EPOCH;
    fleet.apply(&LogRecord {
        offset: 1,
        at,
        data: Vec::new(),
    });
}

#[test]
fn removed_pools_with_vms_and_orphaned_levels_are_rejected() {
    let mut fixture = Fixture::new(8);
    let outcome = fixture.publish(r#"{ "place": {} }"#);
    assert!(matches!(rejected(&outcome), Reason::PoolInUse { .. }));
    let orphan = PathChange {
        path: "x/y".into(),
        base: 0,
        node: Some(Default::default()),
    };
    let outcome = fixture.propose(Change::Settings(vec![orphan]));
    assert!(matches!(rejected(&outcome), Reason::Orphan { .. }));
}

#[test]
fn budgets_count_down_granted_and_returning_vms() {
    let mut fixture = Fixture::new(8);
    let one: Vec<String> = fixture
        .fleet
        .vms
        .iter()
        .filter(|(_, vm)| vm.pool == "place/one")
        .map(|(id, _)| id.clone())
        .collect();
    assert_eq!(
        fixture.grant(&one[0], GrantPurpose::Reboot),
        Outcome::Applied
    );
    let outcome = fixture.grant(&one[1], GrantPurpose::Reboot);
    assert!(matches!(
        rejected(&outcome),
        Reason::OverBudget {
            budget: 4,
            wanted: 8,
            ..
        }
    ));
    let undo = Change::Undo {
        vm: one[0].clone(),
        grant: fixture.grant_id(&one[0]),
    };
    assert_eq!(fixture.propose(undo), Outcome::Applied);
    let outcome = fixture.grant(&one[1], GrantPurpose::Reboot);
    assert!(
        matches!(rejected(&outcome), Reason::OverBudget { .. }),
        "still returning"
    );
    let finish = Change::Finish {
        vm: one[0].clone(),
        grant: fixture.grant_id(&one[0]),
        boot: 1,
    };
    assert_eq!(fixture.propose(finish), Outcome::Applied);
    let down = fixture.observe(&one[2], ObservedState::Down);
    assert_eq!(
        fixture.propose(Change::Observe(vec![down])),
        Outcome::Applied
    );
    let outcome = fixture.grant(&one[1], GrantPurpose::Reboot);
    assert!(
        matches!(rejected(&outcome), Reason::OverBudget { .. }),
        "one is down"
    );
}

#[test]
fn a_lease_is_taken_over_only_after_its_deadline_and_the_clock_skew() {
    let mut fixture = Fixture::new(8);
    fixture.grant("vm-0", GrantPurpose::Reboot);
    let lease = |fixture: &Fixture| {
        Change::Lease(LeaseRequest {
            vm: "vm-0".into(),
            grant: fixture.grant_id("vm-0"),
            holder: "heir".into(),
            deadline: fixture.at + Duration::from_secs(20),
        })
    };
    fixture.at += Duration::from_secs(21);
    let early = lease(&fixture);
    assert!(matches!(
        rejected(&fixture.propose(early)),
        Reason::Held { .. }
    ));
    fixture.at += Duration::from_secs(2);
    let late = lease(&fixture);
    assert_eq!(fixture.propose(late), Outcome::Applied);
    let begin = Change::Begin {
        vm: "vm-0".into(),
        grant: fixture.grant_id("vm-0"),
    };
    assert!(
        matches!(rejected(&fixture.propose(begin)), Reason::Held { .. }),
        "the old holder"
    );
}

#[test]
fn a_begun_operation_cannot_be_undone_and_finishes_only_on_evidence() {
    let mut fixture = Fixture::new(8);
    fixture.grant("vm-0", GrantPurpose::Reboot);
    let grant = fixture.grant_id("vm-0");
    let finish = |boot| Change::Finish {
        vm: "vm-0".into(),
        grant,
        boot,
    };
    assert!(matches!(
        rejected(&fixture.propose(finish(2))),
        Reason::WrongStep { .. }
    ));
    assert_eq!(
        fixture.propose(Change::Begin {
            vm: "vm-0".into(),
            grant
        }),
        Outcome::Applied
    );
    let token = fixture.fleet.vms["vm-0"].grant.as_ref().unwrap().token;
    assert!(
        token > grant,
        "a late copy of the drain call must be refused"
    );
    let undo = Change::Undo {
        vm: "vm-0".into(),
        grant,
    };
    assert!(matches!(
        rejected(&fixture.propose(undo)),
        Reason::WrongStep { .. }
    ));
    assert!(
        matches!(
            rejected(&fixture.propose(finish(1))),
            Reason::WrongStep { .. }
        ),
        "same boot"
    );
    assert_eq!(fixture.propose(finish(2)), Outcome::Applied);
    assert!(matches!(
        rejected(&fixture.propose(finish(2))),
        Reason::NoGrant { .. }
    ));
}

#[test]
fn a_wave_stays_within_the_budget_and_counts_restarts_as_done() {
    let mut fixture = Fixture::new(8);
    fixture.at += Duration::from_secs(1);
    fixture.propose(Change::Wave(WaveChange::Start {
        scope: "place".into(),
    }));
    let wanted = next_reboots(&fixture.fleet, &mut BudgetHeadroom::new(&fixture.fleet));
    assert_eq!(wanted.len(), 2, "one VM of each pool");
    fixture.at += Duration::from_secs(1);
    let restarted = wanted[0].vm.clone();
    let seen = fixture.up(&restarted, 2);
    fixture.propose(Change::Observe(vec![seen]));
    let wanted = next_reboots(&fixture.fleet, &mut BudgetHeadroom::new(&fixture.fleet));
    assert!(wanted.iter().all(|wanted| wanted.vm != restarted));
}

#[test]
fn a_failure_during_a_wave_undoes_grants_not_begun_and_the_wave_resumes() {
    let mut fixture = Fixture::new(8);
    fixture.at += Duration::from_secs(1);
    let scope = "place/one".to_owned();
    fixture.propose(Change::Wave(WaveChange::Start { scope }));
    let granted = fixture.plan();
    assert!(matches!(granted[..], [Change::Grant(_)]), "{granted:?}");
    fixture.propose(granted[0].clone());
    let out = fixture.fleet.granted.first().unwrap().clone();
    let other = fixture
        .fleet
        .vms
        .iter()
        .find(|(id, vm)| vm.pool == "place/one" && **id != out);
    let other = other.unwrap().0.clone();
    let down = fixture.observe(&other, ObservedState::Down);
    fixture.propose(Change::Observe(vec![down]));

    let undone = fixture.plan();
    assert!(
        matches!(&undone[..], [Change::Undo { vm, .. }] if *vm == out),
        "{undone:?}"
    );
    fixture.propose(undone[0].clone());
    let (vm, grant) = (out.clone(), fixture.grant_id(&out));
    fixture.propose(Change::Finish { vm, grant, boot: 1 });
    assert!(fixture.plan().is_empty(), "granted while over the budget");

    let back = fixture.up(&other, 2);
    fixture.propose(Change::Observe(vec![back]));
    assert!(
        matches!(fixture.plan()[..], [Change::Grant(_)]),
        "the wave resumes"
    );
}

#[test]
fn snapshots_restore_the_state_and_corrupt_ones_are_ignored() {
    let fixture = Fixture::new(8);
    let bytes = encode_snapshot(&fixture.fleet).unwrap();
    assert_eq!(decode_snapshot(&bytes).unwrap(), fixture.fleet);
    let mut broken = bytes.clone();
    let last = broken.len() - 1;
    broken[last] ^= 1;
    assert!(decode_snapshot(&broken).is_err());
    assert!(decode_snapshot(&bytes[..10]).is_err());

    let id = RecordId::new();
    let whole = chunks(id, fixture.fleet.next, &bytes);
    let wire: Vec<_> = whole
        .iter()
        .map(|chunk| decode(&encode(chunk).unwrap()).unwrap())
        .collect();
    assert_eq!(assemble(&wire), Some(fixture.fleet.clone()));
    let mut newer = chunks(RecordId::new(), fixture.fleet.next + 1, &broken);
    newer.extend(wire);
    assert_eq!(
        assemble(&newer),
        Some(fixture.fleet),
        "the newest that is whole"
    );
}
