//! When an entry may claim a cell, and when a stronger entry should have it.

use clock::Instant;
use havenladder_fleet::{
    ANSWERING_OWNER_TIMEOUT, Claim, Election, Holder, LEASE_TIMEOUT, MIN_OWNERSHIP_AGE,
    SILENT_OWNER_TIMEOUT, WEAKER_CLAIM_DELAY,
};
use std::time::Duration;
use yare::parameterized;

const MS: Duration = Duration::from_millis(1);

#[parameterized(
    nobody = { Holder::Nobody },
    released = { Holder::Released },
    earlier_incarnation = { Holder::EarlierIncarnation },
    ended = { Holder::Ended },
)]
fn a_cell_without_an_owner_is_claimed_at_once(holder: Holder) {
    let now = Instant::now();
    let mut election = Election::new(250, now);
    assert_eq!(election.next_claim(holder, now), Claim::Now);
}

#[parameterized(unknown = { Holder::Unknown }, other = { Holder::Other })]
fn an_owner_that_may_be_running_is_replaced_only_after_its_lease(holder: Holder) {
    let now = Instant::now();
    let mut election = Election::new(250, now);
    election.on_record(250, now);
    assert_eq!(
        election.next_claim(holder, now + LEASE_TIMEOUT - MS),
        Claim::At(now + LEASE_TIMEOUT)
    );
    assert_eq!(election.next_claim(holder, now + LEASE_TIMEOUT), Claim::Now);
}

#[test]
fn an_answering_owner_gets_time_to_renew_after_a_store_outage() {
    let now = Instant::now();
    let mut election = Election::new(250, now);
    election.on_store_trouble(now);
    let until = now + ANSWERING_OWNER_TIMEOUT;
    assert_eq!(
        election.next_claim(Holder::Answering, until - MS),
        Claim::At(until)
    );
    assert_eq!(election.next_claim(Holder::Answering, until), Claim::Now);
    assert_eq!(
        election.next_claim(Holder::Other, now + LEASE_TIMEOUT),
        Claim::Now
    );
}

#[test]
fn a_renewal_restarts_the_lease_timeout() {
    let now = Instant::now();
    let mut election = Election::new(250, now);
    election.on_record(250, now + LEASE_TIMEOUT);
    let later = now + LEASE_TIMEOUT + LEASE_TIMEOUT;
    assert_eq!(
        election.next_claim(Holder::Other, later - MS),
        Claim::At(later)
    );
}

#[test]
fn a_store_outage_restarts_the_lease_timeout() {
    let now = Instant::now();
    let mut election = Election::new(250, now);
    election.on_store_trouble(now + LEASE_TIMEOUT);
    let later = now + LEASE_TIMEOUT + LEASE_TIMEOUT;
    assert_eq!(
        election.next_claim(Holder::Other, later - MS),
        Claim::At(later)
    );
}

#[test]
fn an_entry_claims_later_if_it_knows_a_much_stronger_one() {
    let now = Instant::now();
    let mut election = Election::new(120, now);
    election.on_record(500, now);
    assert_eq!(
        election.next_claim(Holder::Released, now),
        Claim::At(now + WEAKER_CLAIM_DELAY)
    );
    assert_eq!(
        election.next_claim(Holder::Released, now + WEAKER_CLAIM_DELAY - MS),
        Claim::At(now + WEAKER_CLAIM_DELAY)
    );
    assert_eq!(
        election.next_claim(Holder::Released, now + WEAKER_CLAIM_DELAY),
        Claim::Now
    );
}

#[test]
fn a_filled_vacancy_does_not_shorten_the_next_delay() {
    let now = Instant::now();
    let mut election = Election::new(120, now);
    election.on_record(500, now);
    election.next_claim(Holder::Released, now);
    election.on_record(500, now + WEAKER_CLAIM_DELAY);
    let again = now + WEAKER_CLAIM_DELAY * 2;
    assert_eq!(
        election.next_claim(Holder::Released, again),
        Claim::At(again + WEAKER_CLAIM_DELAY)
    );
}

#[parameterized(
    much_weaker = { 120, true },
    a_little_weaker = { 400, false },
    as_strong = { 500, false },
    unknown = { 0, true },
)]
fn a_much_weaker_owner_is_asked_to_hand_over(owner: u64, asked: bool) {
    let now = Instant::now();
    let mut election = Election::new(500, now);
    election.on_record(owner, now);
    election.on_owner_change(now);
    assert!(!election.should_request_handover(owner, now + MIN_OWNERSHIP_AGE - MS));
    assert_eq!(
        election.should_request_handover(owner, now + MIN_OWNERSHIP_AGE),
        asked
    );
}

#[test]
fn no_handover_is_requested_shortly_after_store_trouble() {
    let now = Instant::now();
    let mut election = Election::new(500, now);
    election.on_record(120, now);
    election.on_store_trouble(now + MIN_OWNERSHIP_AGE);
    assert!(
        !election.should_request_handover(120, now + MIN_OWNERSHIP_AGE + MIN_OWNERSHIP_AGE - MS)
    );
}

#[test]
fn an_entry_of_unknown_cpu_requests_no_handover() {
    let now = Instant::now();
    let mut election = Election::new(0, now);
    election.on_record(0, now);
    election.on_owner_change(now);
    assert!(!election.should_request_handover(0, now + MIN_OWNERSHIP_AGE));
    assert_eq!(election.next_claim(Holder::Released, now), Claim::Now);
}

#[test]
fn a_silent_owner_is_replaced_sooner() {
    let now = Instant::now();
    let mut election = Election::new(250, now);
    election.on_record(250, now);
    let lapsed = now + SILENT_OWNER_TIMEOUT;
    assert_eq!(
        election.next_claim(Holder::Silent, lapsed - MS),
        Claim::At(lapsed),
        "a renewal may be late"
    );
    assert_eq!(election.next_claim(Holder::Silent, lapsed), Claim::Now);
    election.on_record(250, lapsed);
    assert_eq!(
        election.next_claim(Holder::Silent, lapsed),
        Claim::At(lapsed + SILENT_OWNER_TIMEOUT),
        "it has renewed its lease"
    );
}
