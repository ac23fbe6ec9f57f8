//! Which VMs there are, the pool of each, and moves between pools.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

mod bench;

use bench::{Bench, SETTINGS, rejected};
use havenladder_fleet::{
    BudgetHeadroom, Change, GrantPurpose, Health, ObservedState, Outcome, Reason, min_moves,
    next_moves,
};

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
    let gone = bench.saw(&vm, ObservedState::Gone);
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
    let stale = bench.saw("vm-0", ObservedState::Down);
    let restarted = bench.up("vm-0", 2);
    bench.tell(Change::Observe(vec![restarted]));
    assert_eq!(bench.tell(Change::Observe(vec![stale])), Outcome::Unchanged);
    assert_eq!(bench.fleet.vms["vm-0"].health, Health::Up);
}

#[test]
fn moves_are_the_fewest_that_reach_the_sizes() {
    let mut bench = Bench::new(9);
    let sizes =
        SETTINGS
            .replacen("\"vms\": 4", "\"vms\": 6", 1)
            .replacen("\"vms\": 4", "\"vms\": 3", 1);
    bench.publish(&sizes);
    assert_eq!(min_moves(&bench.fleet), 2);
    let moves = next_moves(&bench.fleet, &mut BudgetHeadroom::new(&bench.fleet));
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
    let to = GrantPurpose::Move {
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
    let to = GrantPurpose::Move {
        to: "place/one".into(),
    };
    assert_eq!(bench.grant(&spare, to), Outcome::Applied);
    let joins = bench.up("vm-late", 1);
    bench.tell(Change::Observe(vec![joins]));
    assert_eq!(bench.fleet.vms["vm-late"].pool, "spare");
}
