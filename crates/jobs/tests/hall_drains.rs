//! Tests of orders to drain data centres, which arrive from several sources in any order.

use havenladder_jobs::{HallDrains, HallOrder};
use std::collections::BTreeSet;

fn drain(hall: &str) -> Option<HallOrder> {
    Some(HallOrder::Drain(hall.to_owned()))
}

fn undrain(hall: &str) -> Option<HallOrder> {
    Some(HallOrder::Undrain(hall.to_owned()))
}

fn hall_set(halls: &[&str]) -> BTreeSet<String> {
    halls.iter().map(|hall| (*hall).to_owned()).collect()
}

#[test]
fn drains_overlap_and_are_undone_one_by_one() {
    let mut drains = HallDrains::default();
    assert!(drains.apply(drain("a"), 3));
    assert!(drains.apply(drain("b"), 4));
    assert!(
        !drains.apply(drain("a"), 5),
        "the data centre is already drained"
    );
    assert!(drains.apply(undrain("a"), 6));
    assert!(
        !drains.apply(undrain("c"), 7),
        "the data centre was not drained"
    );
    assert_eq!(*drains.halls(), hall_set(&["b"]));
    assert_eq!(drains.as_of(), 8);
}

#[test]
fn an_order_that_is_read_twice_changes_nothing() {
    let mut drains = HallDrains::default();
    drains.apply(drain("a"), 3);
    drains.apply(undrain("a"), 4);
    assert!(!drains.apply(drain("a"), 3));
    assert!(drains.halls().is_empty());
}

#[test]
fn records_of_another_kind_advance_the_offset() {
    let mut drains = HallDrains::default();
    assert!(!drains.apply(None, 9));
    assert_eq!(drains.as_of(), 10);
}

#[test]
fn a_drain_missing_from_the_newest_records_is_undone() {
    let mut drains = HallDrains::default();
    drains.apply(drain("a"), 3);
    assert!(drains.adopt(HallDrains::new(hall_set(&["b"]), 20)));
    assert_eq!(*drains.halls(), hall_set(&["b"]));
}

#[test]
fn the_state_of_another_entry_is_adopted_unless_it_is_older() {
    let mut drains = HallDrains::default();
    drains.apply(drain("a"), 8);
    assert!(!drains.adopt(HallDrains::new(hall_set(&[]), 8)));
    assert_eq!(*drains.halls(), hall_set(&["a"]));
    assert!(drains.adopt(HallDrains::new(hall_set(&[]), 9)));
    assert!(drains.halls().is_empty());
}
