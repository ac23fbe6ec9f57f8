//! Orders to empty data centres, as they come from several sources in any order.

use havenladder_jobs::{HallDrains, HallOrder};
use std::collections::BTreeSet;

fn empty(hall: &str) -> Option<HallOrder> {
    Some(HallOrder::Drain(hall.to_owned()))
}

fn back(hall: &str) -> Option<HallOrder> {
    Some(HallOrder::Undrain(hall.to_owned()))
}

fn set(halls: &[&str]) -> BTreeSet<String> {
    halls.iter().map(|hall| (*hall).to_owned()).collect()
}

#[test]
fn orders_overlap_and_are_taken_back_one_by_one() {
    let mut known = HallDrains::default();
    assert!(known.apply(empty("a"), 3));
    assert!(known.apply(empty("b"), 4));
    assert!(!known.apply(empty("a"), 5), "the same again");
    assert!(known.apply(back("a"), 6));
    assert!(!known.apply(back("c"), 7), "it was not to be emptied");
    assert_eq!(*known.halls(), set(&["b"]));
    assert_eq!(known.as_of(), 8);
}

#[test]
fn what_is_read_a_second_time_changes_nothing() {
    let mut known = HallDrains::default();
    known.apply(empty("a"), 3);
    known.apply(back("a"), 4);
    assert!(!known.apply(empty("a"), 3));
    assert!(known.halls().is_empty());
}

#[test]
fn records_of_another_kind_move_the_offset() {
    let mut known = HallDrains::default();
    assert!(!known.apply(None, 9));
    assert_eq!(known.as_of(), 10);
}

#[test]
fn an_order_that_is_missing_from_the_newest_records_has_been_taken_back() {
    let mut known = HallDrains::default();
    known.apply(empty("a"), 3);
    assert!(known.adopt(HallDrains::new(set(&["b"]), 20)));
    assert_eq!(*known.halls(), set(&["b"]));
}

#[test]
fn what_another_entry_knows_counts_unless_it_is_older() {
    let mut known = HallDrains::default();
    known.apply(empty("a"), 8);
    assert!(!known.adopt(HallDrains::new(set(&[]), 8)));
    assert_eq!(*known.halls(), set(&["a"]));
    assert!(known.adopt(HallDrains::new(set(&[]), 9)));
    assert!(known.halls().is_empty());
}
