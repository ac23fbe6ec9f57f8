//! Membership of VMs, their pools, and moves between pools.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

mod fixture;

use fixture::{Fixture, SETTINGS, rejected};
use havenladder_fleet::{
    BudgetHeadroom, Change, GrantPurpose, Health, ObservedState, Outcome, Reason, min_moves,
    next_moves,
};

#[test]
fn vms_join_the_pool_with_the_largest_shortage_and_then_the_spare_pool() {
    let fixture = Fixture::new(10);
    let size = |pool: &str| fixture.fleet.count(pool).vms;
    assert_eq!(
        (size("place/one"), size("place/two"), size("spare")),
        (4, 4, 2)
    );
}

#[test]
fn a_gone_vm_is_charged_until_it_is_replaced() {
    let mut fixture = Fixture::new(8);
    let vm = fixture
        .fleet
        .vms
        .iter()
        .find(|(_, vm)| vm.pool == "place/one")
        .unwrap()
        .0
        .clone();
    let gone = fixture.observe(&vm, ObservedState::Gone);
    fixture.propose(Change::Observe(vec![gone]));
    assert_eq!(fixture.fleet.count("place/one").unavailable, 4);
    let new = fixture.up("vm-new", 1);
    fixture.propose(Change::Observe(vec![new]));
    assert_eq!(fixture.fleet.vms["vm-new"].pool, "place/one");
    assert_eq!(fixture.fleet.count("place/one").unavailable, 0);
    assert!(!fixture.fleet.vms.contains_key(&vm));
}

#[test]
fn outdated_observations_are_ignored() {
    let mut fixture = Fixture::new(4);
    let stale = fixture.observe("vm-0", ObservedState::Down);
    let restarted = fixture.up("vm-0", 2);
    fixture.propose(Change::Observe(vec![restarted]));
    assert_eq!(
        fixture.propose(Change::Observe(vec![stale])),
        Outcome::Unchanged
    );
    assert_eq!(fixture.fleet.vms["vm-0"].health, Health::Up);
}

#[test]
fn the_minimum_of_moves_reaches_the_desired_sizes() {
    let mut fixture = Fixture::new(9);
    let sizes =
        SETTINGS
            .replacen("\"vms\": 4", "\"vms\": 6", 1)
            .replacen("\"vms\": 4", "\"vms\": 3", 1);
    fixture.publish(&sizes);
    assert_eq!(min_moves(&fixture.fleet), 2);
    let moves = next_moves(&fixture.fleet, &mut BudgetHeadroom::new(&fixture.fleet));
    assert_eq!(moves.len(), 2);
    assert_eq!(
        fixture.fleet.vms[&moves[0].vm].pool, "spare",
        "spare VMs move first"
    );
}

#[test]
fn concurrent_planners_do_not_overfill_a_pool() {
    let mut fixture = Fixture::new(10);
    fixture.publish(&SETTINGS.replacen("\"vms\": 4", "\"vms\": 5", 1));
    let to = GrantPurpose::Move {
        to: "place/one".into(),
    };
    let spares: Vec<String> = fixture
        .fleet
        .vms
        .iter()
        .filter(|(_, vm)| vm.pool == "spare")
        .map(|(id, _)| id.clone())
        .collect();
    assert_eq!(fixture.grant(&spares[0], to.clone()), Outcome::Applied);
    let outcome = fixture.grant(&spares[1], to);
    assert!(
        matches!(rejected(&outcome), Reason::PoolFull { .. }),
        "{outcome:?}"
    );
}

#[test]
fn a_joining_vm_does_not_take_the_place_of_a_moving_one() {
    let mut fixture = Fixture::new(9);
    fixture.publish(&SETTINGS.replacen("\"vms\": 4", "\"vms\": 5", 1));
    let spare = fixture
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
    assert_eq!(fixture.grant(&spare, to), Outcome::Applied);
    let joins = fixture.up("vm-late", 1);
    fixture.propose(Change::Observe(vec![joins]));
    assert_eq!(fixture.fleet.vms["vm-late"].pool, "spare");
}
