//! Whether an entry is cut off, by what it reaches.

use clock::Instant;
use havenladder_fleet::{
    CUT_OFF_TIMEOUT, LEASE_TIMEOUT, MIN_RENEWAL_DELAY, OWNER_SILENCE_TIMEOUT, PROBE_DELAY, Reach,
};
use std::time::Duration;

const MOMENT: Duration = Duration::from_millis(1);

/// An entry that has heard of an entry in another data centre.
fn known(now: Instant) -> Reach {
    let mut reach = Reach::new(now);
    reach.on_peer_response(now);
    reach
}

#[test]
fn an_entry_that_hears_nothing_from_outside_is_cut_off() {
    let now = Instant::now();
    let reach = known(now);
    assert_eq!(reach.probe_at(), now + PROBE_DELAY);
    assert!(!reach.is_cut_off(now + CUT_OFF_TIMEOUT - MOMENT));
    assert!(reach.is_cut_off(now + CUT_OFF_TIMEOUT));
}

#[test]
fn an_entry_that_hears_the_store_or_another_data_centre_is_not_cut_off() {
    let now = Instant::now();
    let late = now + CUT_OFF_TIMEOUT * 2;
    let mut stored = known(now);
    stored.on_store_response(late);
    assert!(!stored.is_cut_off(late + MOMENT));
    // The store is away for everybody, but entries reach each other.
    let mut peered = known(now);
    peered.on_peer_response(late);
    assert!(!peered.is_cut_off(late + MOMENT));
}

#[test]
fn an_entry_that_knows_nobody_elsewhere_is_never_isolated() {
    let now = Instant::now();
    assert!(!Reach::new(now).is_cut_off(now + CUT_OFF_TIMEOUT * 10));
}

#[test]
fn an_entry_that_does_not_reach_an_owner_that_renews_its_lease_is_cut_off() {
    let now = Instant::now();
    let mut reach = known(now);
    reach.on_owner_timeout(now);
    let renewed = now + MIN_RENEWAL_DELAY;
    reach.on_renewal(renewed);
    let late = now + CUT_OFF_TIMEOUT;
    reach.on_store_response(late);
    assert!(!reach.is_cut_off(late - MOMENT));
    assert!(reach.is_cut_off(late));
    reach.on_owner_change();
    assert!(!reach.is_cut_off(late));
}

#[test]
fn an_owner_that_fell_silent_for_all_cuts_nobody_off() {
    let now = Instant::now();
    let mut reach = known(now);
    reach.on_owner_timeout(now);
    // Its last renewal was under way when it fell silent.
    reach.on_renewal(now + MIN_RENEWAL_DELAY - MOMENT);
    reach.on_store_response(now + CUT_OFF_TIMEOUT * 2);
    assert!(!reach.is_cut_off(now + CUT_OFF_TIMEOUT));
    // A renewal that is too old says nothing either.
    let mut old = known(now);
    old.on_owner_timeout(now);
    old.on_renewal(now + MIN_RENEWAL_DELAY);
    old.on_store_response(now + MIN_RENEWAL_DELAY + LEASE_TIMEOUT);
    assert!(!old.is_cut_off(now + MIN_RENEWAL_DELAY + LEASE_TIMEOUT));
}

#[test]
fn an_owner_counts_as_silent_once_it_was_asked_twice_and_others_answered() {
    let now = Instant::now();
    let mut reach = known(now);
    reach.on_owner_timeout(now);
    assert!(!reach.is_owner_silent(now + OWNER_SILENCE_TIMEOUT - MOMENT));
    assert!(reach.is_owner_silent(now + OWNER_SILENCE_TIMEOUT));
    // Later misses do not start the time anew.
    reach.on_owner_timeout(now + OWNER_SILENCE_TIMEOUT);
    assert!(reach.is_owner_silent(now + OWNER_SILENCE_TIMEOUT));
    // An entry that hears nobody may be the one that is cut off.
    assert!(!reach.is_owner_silent(now + CUT_OFF_TIMEOUT));
    reach.on_peer_response(now + CUT_OFF_TIMEOUT);
    assert!(reach.is_owner_silent(now + CUT_OFF_TIMEOUT));
    reach.on_owner_change();
    assert!(!reach.is_owner_silent(now + CUT_OFF_TIMEOUT));
}

#[test]
fn answers_from_elsewhere_are_told_from_those_of_the_store() {
    let now = Instant::now();
    let mut reach = known(now);
    reach.on_store_response(now + MOMENT);
    assert!(reach.has_peer_answered(now));
    assert!(!reach.has_peer_answered(now + MOMENT));
}
