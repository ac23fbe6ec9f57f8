//! Whether an entry is cut off, which depends on what it reaches.

use clock::Instant;
use havenladder_fleet::{
    CUT_OFF_TIMEOUT, LEASE_TIMEOUT, MIN_RENEWAL_DELAY, OWNER_SILENCE_TIMEOUT, PROBE_DELAY, Reach,
};
use std::time::Duration;

const MOMENT: Duration = Duration::from_millis(1);

/// Returns the state of an entry that knows an entry in another data centre.
fn known(now: Instant) -> Reach {
    let mut reach = Reach::new(now);
    reach.on_peer_response(now);
    reach
}

#[test]
fn an_entry_without_outside_responses_is_cut_off() {
    let now = Instant::now();
    let reach = known(now);
    assert_eq!(reach.probe_at(), now + PROBE_DELAY);
    assert!(!reach.is_cut_off(now + CUT_OFF_TIMEOUT - MOMENT));
    assert!(reach.is_cut_off(now + CUT_OFF_TIMEOUT));
}

#[test]
fn an_entry_that_reaches_the_store_or_another_data_centre_is_not_cut_off() {
    let now = Instant::now();
    let late = now + CUT_OFF_TIMEOUT * 2;
    let mut stored = known(now);
    stored.on_store_response(late);
    assert!(!stored.is_cut_off(late + MOMENT));
    // The store is unavailable for all, but entries reach each other.
    let mut peered = known(now);
    peered.on_peer_response(late);
    assert!(!peered.is_cut_off(late + MOMENT));
}

#[test]
fn an_entry_without_known_peers_is_never_cut_off() {
    let now = Instant::now();
    assert!(!Reach::new(now).is_cut_off(now + CUT_OFF_TIMEOUT * 10));
}

#[test]
fn an_entry_that_cannot_reach_a_renewing_owner_is_cut_off() {
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
fn an_owner_that_is_silent_for_all_cuts_off_no_entry() {
    let now = Instant::now();
    let mut reach = known(now);
    reach.on_owner_timeout(now);
    // The owner's last renewal was in flight when the owner stopped responding.
    reach.on_renewal(now + MIN_RENEWAL_DELAY - MOMENT);
    reach.on_store_response(now + CUT_OFF_TIMEOUT * 2);
    assert!(!reach.is_cut_off(now + CUT_OFF_TIMEOUT));
    // A renewal that is too old does not prove the owner alive either.
    let mut old = known(now);
    old.on_owner_timeout(now);
    old.on_renewal(now + MIN_RENEWAL_DELAY);
    old.on_store_response(now + MIN_RENEWAL_DELAY + LEASE_TIMEOUT);
    assert!(!old.is_cut_off(now + MIN_RENEWAL_DELAY + LEASE_TIMEOUT));
}

#[test]
fn an_owner_is_silent_after_two_missed_requests_while_others_answer() {
    let now = Instant::now();
    let mut reach = known(now);
    reach.on_owner_timeout(now);
    assert!(!reach.is_owner_silent(now + OWNER_SILENCE_TIMEOUT - MOMENT));
    assert!(reach.is_owner_silent(now + OWNER_SILENCE_TIMEOUT));
    // Further missing responses do not restart the timeout.
    reach.on_owner_timeout(now + OWNER_SILENCE_TIMEOUT);
    assert!(reach.is_owner_silent(now + OWNER_SILENCE_TIMEOUT));
    // An entry that gets no response from anywhere may itself be the one that is cut off.
    assert!(!reach.is_owner_silent(now + CUT_OFF_TIMEOUT));
    reach.on_peer_response(now + CUT_OFF_TIMEOUT);
    assert!(reach.is_owner_silent(now + CUT_OFF_TIMEOUT));
    reach.on_owner_change();
    assert!(!reach.is_owner_silent(now + CUT_OFF_TIMEOUT));
}

#[test]
fn responses_of_peers_and_of_the_store_are_distinguished() {
    let now = Instant::now();
    let mut reach = known(now);
    reach.on_store_response(now + MOMENT);
    assert!(reach.has_peer_answered(now));
    assert!(!reach.has_peer_answered(now + MOMENT));
}
