//! The fold: outcomes, compare-and-set, snapshots.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

mod bench;

use bench::{Bench, SETTINGS, rejected};
use havenladder_fleet::{
    BudgetHeadroom, Change, Fleet, GrantPurpose, LeaseRequest, ObservedState, Outcome, PathChange,
    Reason, WaveChange, assemble, chunks, decode_snapshot, encode_snapshot, next_reboots,
};
use protocol::{LogRecord, RecordId, decode, encode};
use std::time::{Duration, UNIX_EPOCH};

#[test]
fn of_two_operators_one_wins_and_the_other_is_told_by_which_change() {
    let mut bench = Bench::new(0);
    let first = bench.based(&SETTINGS.replace("25%", "30%"));
    let second = bench.based(&SETTINGS.replace("25%", "35%"));
    assert_eq!(bench.tell(Change::Settings(first)), Outcome::Applied);
    let lost = bench.tell(Change::Settings(second));
    let reason = rejected(&lost);
    assert!(
        matches!(reason, Reason::PathMoved { path, version: 2, .. } if path == "place"),
        "{reason}"
    );
}

#[test]
fn a_copy_of_a_record_and_a_late_one_have_no_effect() {
    let mut bench = Bench::new(0);
    let record = bench.record(Change::Wave(WaveChange::Start {
        scope: "place".into(),
    }));
    assert_eq!(bench.apply(&record), Outcome::Applied);
    assert_eq!(rejected(&bench.apply(&record)), &Reason::Duplicate);
    bench.at += Duration::from_secs(31);
    assert_eq!(rejected(&bench.apply(&record)), &Reason::Late);
    assert_eq!(bench.fleet.waves.len(), 1);
    assert_eq!(bench.fleet.recent.len(), 0, "expired ids are forgotten");
}

#[test]
fn bytes_that_are_no_record_change_nothing_and_stop_nobody() {
    let mut bench = Bench::new(4);
    let before = bench.fleet.clone();
    let record = LogRecord {
        offset: before.next,
        at: bench.at,
        data: vec![0xc1, 7, 7],
    };
    assert_eq!(
        bench.fleet.apply(&record),
        [Outcome::Rejected(Reason::Malformed)]
    );
    assert_eq!(bench.fleet.vms, before.vms);
    assert_eq!(bench.fleet.next, before.next + 1);
}

#[test]
#[should_panic(expected = "skipped")]
fn a_skipped_record_is_never_read_over() {
    let mut fleet = Fleet::default();
    let at = UNIX_EPOCH;
    fleet.apply(&LogRecord {
        offset: 1,
        at,
        data: Vec::new(),
    });
}

#[test]
fn a_pool_with_vms_is_not_removed_and_no_level_is_an_orphan() {
    let mut bench = Bench::new(8);
    let outcome = bench.publish(r#"{ "place": {} }"#);
    assert!(matches!(rejected(&outcome), Reason::PoolInUse { .. }));
    let orphan = PathChange {
        path: "x/y".into(),
        base: 0,
        node: Some(Default::default()),
    };
    let outcome = bench.tell(Change::Settings(vec![orphan]));
    assert!(matches!(rejected(&outcome), Reason::Orphan { .. }));
}

#[test]
fn budgets_count_what_is_down_granted_and_returning() {
    let mut bench = Bench::new(8);
    let one: Vec<String> = bench
        .fleet
        .vms
        .iter()
        .filter(|(_, vm)| vm.pool == "place/one")
        .map(|(id, _)| id.clone())
        .collect();
    assert_eq!(bench.grant(&one[0], GrantPurpose::Reboot), Outcome::Applied);
    let outcome = bench.grant(&one[1], GrantPurpose::Reboot);
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
        grant: bench.id(&one[0]),
    };
    assert_eq!(bench.tell(undo), Outcome::Applied);
    let outcome = bench.grant(&one[1], GrantPurpose::Reboot);
    assert!(
        matches!(rejected(&outcome), Reason::OverBudget { .. }),
        "still returning"
    );
    let finish = Change::Finish {
        vm: one[0].clone(),
        grant: bench.id(&one[0]),
        boot: 1,
    };
    assert_eq!(bench.tell(finish), Outcome::Applied);
    let down = bench.saw(&one[2], ObservedState::Down);
    assert_eq!(bench.tell(Change::Observe(vec![down])), Outcome::Applied);
    let outcome = bench.grant(&one[1], GrantPurpose::Reboot);
    assert!(
        matches!(rejected(&outcome), Reason::OverBudget { .. }),
        "one is down"
    );
}

#[test]
fn a_lease_is_taken_over_only_after_its_deadline_and_the_skew() {
    let mut bench = Bench::new(8);
    bench.grant("vm-0", GrantPurpose::Reboot);
    let lease = |bench: &Bench| {
        Change::Lease(LeaseRequest {
            vm: "vm-0".into(),
            grant: bench.id("vm-0"),
            holder: "heir".into(),
            deadline: bench.at + Duration::from_secs(20),
        })
    };
    bench.at += Duration::from_secs(21);
    let early = lease(&bench);
    assert!(matches!(rejected(&bench.tell(early)), Reason::Held { .. }));
    bench.at += Duration::from_secs(2);
    let late = lease(&bench);
    assert_eq!(bench.tell(late), Outcome::Applied);
    let begin = Change::Begin {
        vm: "vm-0".into(),
        grant: bench.id("vm-0"),
    };
    assert!(
        matches!(rejected(&bench.tell(begin)), Reason::Held { .. }),
        "the old holder"
    );
}

#[test]
fn what_has_begun_cannot_be_undone_and_ends_on_evidence_only() {
    let mut bench = Bench::new(8);
    bench.grant("vm-0", GrantPurpose::Reboot);
    let grant = bench.id("vm-0");
    let finish = |boot| Change::Finish {
        vm: "vm-0".into(),
        grant,
        boot,
    };
    assert!(matches!(
        rejected(&bench.tell(finish(2))),
        Reason::WrongStep { .. }
    ));
    assert_eq!(
        bench.tell(Change::Begin {
            vm: "vm-0".into(),
            grant
        }),
        Outcome::Applied
    );
    let token = bench.fleet.vms["vm-0"].grant.as_ref().unwrap().token;
    assert!(
        token > grant,
        "a late copy of the drain call must be refused"
    );
    let undo = Change::Undo {
        vm: "vm-0".into(),
        grant,
    };
    assert!(matches!(
        rejected(&bench.tell(undo)),
        Reason::WrongStep { .. }
    ));
    assert!(
        matches!(rejected(&bench.tell(finish(1))), Reason::WrongStep { .. }),
        "same boot"
    );
    assert_eq!(bench.tell(finish(2)), Outcome::Applied);
    assert!(matches!(
        rejected(&bench.tell(finish(2))),
        Reason::NoGrant { .. }
    ));
}

#[test]
fn a_wave_takes_what_the_budget_allows_and_counts_restarts_as_done() {
    let mut bench = Bench::new(8);
    bench.at += Duration::from_secs(1);
    bench.tell(Change::Wave(WaveChange::Start {
        scope: "place".into(),
    }));
    let wanted = next_reboots(&bench.fleet, &mut BudgetHeadroom::new(&bench.fleet));
    assert_eq!(wanted.len(), 2, "one VM of each pool");
    bench.at += Duration::from_secs(1);
    let restarted = wanted[0].vm.clone();
    let seen = bench.up(&restarted, 2);
    bench.tell(Change::Observe(vec![seen]));
    let wanted = next_reboots(&bench.fleet, &mut BudgetHeadroom::new(&bench.fleet));
    assert!(wanted.iter().all(|wanted| wanted.vm != restarted));
}

#[test]
fn a_failure_in_the_middle_of_a_wave_takes_back_what_has_not_begun_and_the_wave_resumes() {
    let mut bench = Bench::new(8);
    bench.at += Duration::from_secs(1);
    let scope = "place/one".to_owned();
    bench.tell(Change::Wave(WaveChange::Start { scope }));
    let granted = bench.plan();
    assert!(matches!(granted[..], [Change::Grant(_)]), "{granted:?}");
    bench.tell(granted[0].clone());
    let out = bench.fleet.granted.first().unwrap().clone();
    let other = bench
        .fleet
        .vms
        .iter()
        .find(|(id, vm)| vm.pool == "place/one" && **id != out);
    let other = other.unwrap().0.clone();
    let down = bench.saw(&other, ObservedState::Down);
    bench.tell(Change::Observe(vec![down]));

    let undone = bench.plan();
    assert!(
        matches!(&undone[..], [Change::Undo { vm, .. }] if *vm == out),
        "{undone:?}"
    );
    bench.tell(undone[0].clone());
    let (vm, grant) = (out.clone(), bench.id(&out));
    bench.tell(Change::Finish { vm, grant, boot: 1 });
    assert!(bench.plan().is_empty(), "granted while over the budget");

    let back = bench.up(&other, 2);
    bench.tell(Change::Observe(vec![back]));
    assert!(
        matches!(bench.plan()[..], [Change::Grant(_)]),
        "the wave resumes"
    );
}

#[test]
fn a_snapshot_is_the_state_and_a_broken_one_is_not_taken() {
    let bench = Bench::new(8);
    let bytes = encode_snapshot(&bench.fleet).unwrap();
    assert_eq!(decode_snapshot(&bytes).unwrap(), bench.fleet);
    let mut broken = bytes.clone();
    let last = broken.len() - 1;
    broken[last] ^= 1;
    assert!(decode_snapshot(&broken).is_err());
    assert!(decode_snapshot(&bytes[..10]).is_err());

    let id = RecordId::new();
    let whole = chunks(id, bench.fleet.next, &bytes);
    let wire: Vec<_> = whole
        .iter()
        .map(|chunk| decode(&encode(chunk).unwrap()).unwrap())
        .collect();
    assert_eq!(assemble(&wire), Some(bench.fleet.clone()));
    let mut newer = chunks(RecordId::new(), bench.fleet.next + 1, &broken);
    newer.extend(wire);
    assert_eq!(
        assemble(&newer),
        Some(bench.fleet),
        "the newest that is whole"
    );
}
