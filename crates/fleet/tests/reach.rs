//! Whether an entry is cut off, by what it reaches.

use clock::Instant;
use havenladder_fleet::{CONFIRMED, CUT_OFF, LEASE_TIMEOUT, QUIET, RENEWED, Reach};
use std::time::Duration;

const MOMENT: Duration = Duration::from_millis(1);

/// An entry that has heard of an entry in another data centre.
fn known(now: Instant) -> Reach {
    let mut reach = Reach::new(now);
    reach.note_peer(now);
    reach
}

#[test]
fn an_entry_that_hears_nothing_from_outside_is_cut_off() {
    let now = Instant::now();
    let reach = known(now);
    assert_eq!(reach.ask_at(), now + QUIET);
    assert!(!reach.is_cut_off(now + CUT_OFF - MOMENT));
    assert!(reach.is_cut_off(now + CUT_OFF));
}

#[test]
fn an_entry_that_hears_the_store_or_another_data_centre_is_not_cut_off() {
    let now = Instant::now();
    let late = now + CUT_OFF * 2;
    let mut stored = known(now);
    stored.note_store(late);
    assert!(!stored.is_cut_off(late + MOMENT));
    // The store is away for everybody, but entries reach each other.
    let mut peered = known(now);
    peered.note_peer(late);
    assert!(!peered.is_cut_off(late + MOMENT));
}

#[test]
fn an_entry_that_knows_nobody_elsewhere_is_never_isolated() {
    let now = Instant::now();
    assert!(!Reach::new(now).is_cut_off(now + CUT_OFF * 10));
}

#[test]
fn an_entry_that_does_not_reach_an_owner_that_renews_its_lease_is_cut_off() {
    let now = Instant::now();
    let mut reach = known(now);
    reach.note_silence(now);
    let renewed = now + RENEWED;
    reach.note_renewal(renewed);
    let late = now + CUT_OFF;
    reach.note_store(late);
    assert!(!reach.is_cut_off(late - MOMENT));
    assert!(reach.is_cut_off(late));
    reach.note_owner();
    assert!(!reach.is_cut_off(late));
}

#[test]
fn an_owner_that_fell_silent_for_all_cuts_nobody_off() {
    let now = Instant::now();
    let mut reach = known(now);
    reach.note_silence(now);
    // Its last renewal was under way when it fell silent.
    reach.note_renewal(now + RENEWED - MOMENT);
    reach.note_store(now + CUT_OFF * 2);
    assert!(!reach.is_cut_off(now + CUT_OFF));
    // A renewal that is too old says nothing either.
    let mut old = known(now);
    old.note_silence(now);
    old.note_renewal(now + RENEWED);
    old.note_store(now + RENEWED + LEASE_TIMEOUT);
    assert!(!old.is_cut_off(now + RENEWED + LEASE_TIMEOUT));
}

#[test]
fn an_owner_counts_as_silent_once_it_was_asked_twice_and_others_answered() {
    let now = Instant::now();
    let mut reach = known(now);
    reach.note_silence(now);
    assert!(!reach.is_owner_silent(now + CONFIRMED - MOMENT));
    assert!(reach.is_owner_silent(now + CONFIRMED));
    // Later misses do not start the time anew.
    reach.note_silence(now + CONFIRMED);
    assert!(reach.is_owner_silent(now + CONFIRMED));
    // An entry that hears nobody may be the one that is cut off.
    assert!(!reach.is_owner_silent(now + CUT_OFF));
    reach.note_peer(now + CUT_OFF);
    assert!(reach.is_owner_silent(now + CUT_OFF));
    reach.note_owner();
    assert!(!reach.is_owner_silent(now + CUT_OFF));
}

#[test]
fn answers_from_elsewhere_are_told_from_those_of_the_store() {
    let now = Instant::now();
    let mut reach = known(now);
    reach.note_store(now + MOMENT);
    assert!(reach.was_peer_heard(now));
    assert!(!reach.was_peer_heard(now + MOMENT));
}
