//! The fold: outcomes, compare-and-set, snapshots.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

use havenladder_fleet::{
    Change, Errand, Fleet, GrantRequest, Health, LeaseRequest, Observation, Outcome, PathChange,
    Reason, Record, Room, Seen, WaveChange, assemble, chunks, decode_snapshot, encode_snapshot,
    least_moves, next_moves, next_reboots,
};
use protocol::{LogRecord, RecordId, decode, encode};
use settings::read_tree;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const SETTINGS: &str = r#"{ "place": { "unavailable": "25%", "pools": {
  "one": { "vms": 4, "services": { "a": {} } },
  "two": { "vms": 4, "services": { "b": {} } }
} } }"#;

/// A fold that is fed one change at a time.
struct Bench {
    fleet: Fleet,
    at: SystemTime,
}

impl Bench {
    fn new(vms: u32) -> Self {
        let mut bench = Self {
            fleet: Fleet::default(),
            at: UNIX_EPOCH + Duration::from_secs(1_000),
        };
        bench.publish(SETTINGS);
        let seen = (0..vms)
            .map(|vm| bench.up(&format!("vm-{vm}"), 1))
            .collect();
        bench.tell(Change::Observe(seen));
        bench
    }

    fn up(&self, vm: &str, boot: u64) -> Observation {
        self.saw(
            vm,
            Seen::Up {
                hall: "hall".into(),
                rack: "rack".into(),
                addr: "addr".into(),
                slots: 4,
                boot,
            },
        )
    }

    fn saw(&self, vm: &str, seen: Seen) -> Observation {
        let base = self.fleet.vms.get(vm).map_or(0, |vm| vm.version);
        Observation {
            vm: vm.into(),
            base,
            seen,
        }
    }

    fn publish(&mut self, text: &str) -> Outcome {
        let changes = self.based(text);
        self.tell(Change::Settings(changes))
    }

    fn based(&self, text: &str) -> Vec<PathChange> {
        let wanted = read_tree("f", text).unwrap();
        settings::diff(&self.fleet.tree, &wanted)
            .into_iter()
            .map(|change| PathChange {
                base: self.fleet.version(&change.path),
                path: change.path,
                node: change.node,
            })
            .collect()
    }

    fn record(&self, change: Change) -> Record {
        Record {
            id: RecordId::new(),
            by: "holder".into(),
            expires: self.at + Duration::from_secs(30),
            changes: vec![change],
        }
    }

    fn apply(&mut self, record: &Record) -> Outcome {
        let record = LogRecord {
            offset: self.fleet.next,
            at: self.at,
            data: encode(record).unwrap(),
        };
        self.fleet.apply(&record).remove(0)
    }

    fn tell(&mut self, change: Change) -> Outcome {
        let record = self.record(change);
        self.apply(&record)
    }

    fn grant(&mut self, vm: &str, errand: Errand) -> Outcome {
        let request = GrantRequest {
            vm: vm.into(),
            base: self.fleet.vms[vm].version,
            errand,
            holder: "holder".into(),
            deadline: self.at + Duration::from_secs(20),
        };
        self.tell(Change::Grant(request))
    }

    fn id(&self, vm: &str) -> u64 {
        self.fleet.vms[vm].grant.as_ref().unwrap().id
    }
}

fn rejected(outcome: &Outcome) -> &Reason {
    match outcome {
        Outcome::Rejected(reason) => reason,
        other => panic!("not rejected: {other:?}"),
    }
}

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
fn vms_join_the_pool_that_lacks_most_and_then_the_spares() {
    let bench = Bench::new(10);
    let size = |pool: &str| bench.fleet.count(pool).vms;
    assert_eq!(
        (size("place/one"), size("place/two"), size("spare")),
        (4, 4, 2)
    );
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
    assert_eq!(bench.grant(&one[0], Errand::Reboot), Outcome::Applied);
    let outcome = bench.grant(&one[1], Errand::Reboot);
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
    let outcome = bench.grant(&one[1], Errand::Reboot);
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
    let down = bench.saw(&one[2], Seen::Down);
    assert_eq!(bench.tell(Change::Observe(vec![down])), Outcome::Applied);
    let outcome = bench.grant(&one[1], Errand::Reboot);
    assert!(
        matches!(rejected(&outcome), Reason::OverBudget { .. }),
        "one is down"
    );
}

#[test]
fn a_vm_that_is_gone_is_charged_until_it_is_replaced() {
    let mut bench = Bench::new(8);
    let vm = bench
        .fleet
        .vms
        .iter()
        .find(|(_, vm)| vm.pool == "place/one")
        .unwrap()
        .0
        .clone();
    let gone = bench.saw(&vm, Seen::Gone);
    bench.tell(Change::Observe(vec![gone]));
    assert_eq!(bench.fleet.count("place/one").unavailable, 4);
    let new = bench.up("vm-new", 1);
    bench.tell(Change::Observe(vec![new]));
    assert_eq!(bench.fleet.vms["vm-new"].pool, "place/one");
    assert_eq!(bench.fleet.count("place/one").unavailable, 0);
    assert!(!bench.fleet.vms.contains_key(&vm));
}

#[test]
fn an_observation_of_an_older_state_is_passed_over() {
    let mut bench = Bench::new(4);
    let stale = bench.saw("vm-0", Seen::Down);
    let restarted = bench.up("vm-0", 2);
    bench.tell(Change::Observe(vec![restarted]));
    assert_eq!(bench.tell(Change::Observe(vec![stale])), Outcome::Unchanged);
    assert_eq!(bench.fleet.vms["vm-0"].health, Health::Up);
}

#[test]
fn a_lease_is_taken_over_only_after_its_deadline_and_the_skew() {
    let mut bench = Bench::new(8);
    bench.grant("vm-0", Errand::Reboot);
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
    bench.grant("vm-0", Errand::Reboot);
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
    let wanted = next_reboots(&bench.fleet, &mut Room::new(&bench.fleet));
    assert_eq!(wanted.len(), 2, "one VM of each pool");
    bench.at += Duration::from_secs(1);
    let restarted = wanted[0].vm.clone();
    let seen = bench.up(&restarted, 2);
    bench.tell(Change::Observe(vec![seen]));
    let wanted = next_reboots(&bench.fleet, &mut Room::new(&bench.fleet));
    assert!(wanted.iter().all(|wanted| wanted.vm != restarted));
}

#[test]
fn moves_are_the_fewest_that_reach_the_sizes() {
    let mut bench = Bench::new(9);
    let sizes =
        SETTINGS
            .replacen("\"vms\": 4", "\"vms\": 6", 1)
            .replacen("\"vms\": 4", "\"vms\": 3", 1);
    bench.publish(&sizes);
    assert_eq!(least_moves(&bench.fleet), 2);
    let moves = next_moves(&bench.fleet, &mut Room::new(&bench.fleet));
    assert_eq!(moves.len(), 2);
    assert_eq!(
        bench.fleet.vms[&moves[0].vm].pool, "spare",
        "spares go first"
    );
}

#[test]
fn planners_that_do_not_know_of_each_other_move_no_more_than_is_lacking() {
    let mut bench = Bench::new(10);
    bench.publish(&SETTINGS.replacen("\"vms\": 4", "\"vms\": 5", 1));
    let to = Errand::Move {
        to: "place/one".into(),
    };
    let spares: Vec<String> = bench
        .fleet
        .vms
        .iter()
        .filter(|(_, vm)| vm.pool == "spare")
        .map(|(id, _)| id.clone())
        .collect();
    assert_eq!(bench.grant(&spares[0], to.clone()), Outcome::Applied);
    let outcome = bench.grant(&spares[1], to);
    assert!(
        matches!(rejected(&outcome), Reason::PoolFull { .. }),
        "{outcome:?}"
    );
}

#[test]
fn a_vm_that_joins_does_not_take_a_place_that_another_is_on_its_way_to() {
    let mut bench = Bench::new(9);
    bench.publish(&SETTINGS.replacen("\"vms\": 4", "\"vms\": 5", 1));
    let spare = bench
        .fleet
        .vms
        .iter()
        .find(|(_, vm)| vm.pool == "spare")
        .unwrap()
        .0
        .clone();
    let to = Errand::Move {
        to: "place/one".into(),
    };
    assert_eq!(bench.grant(&spare, to), Outcome::Applied);
    let joins = bench.up("vm-late", 1);
    bench.tell(Change::Observe(vec![joins]));
    assert_eq!(bench.fleet.vms["vm-late"].pool, "spare");
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
