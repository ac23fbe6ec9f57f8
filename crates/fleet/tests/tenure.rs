//! When an entry may claim a cell, and when a stronger one should have it.

use clock::Instant;
use havenladder_fleet::{
    ANSWERING_EXPIRY, Claim, DEFERENCE, EXPIRY, Holder, SETTLED, SILENT_EXPIRY, Tenure,
};
use std::time::Duration;
use yare::parameterized;

const MS: Duration = Duration::from_millis(1);

#[parameterized(
    nobody = { Holder::Nobody },
    released = { Holder::Released },
    earlier_life = { Holder::EarlierLife },
    ended = { Holder::Ended },
)]
fn a_cell_without_an_owner_is_claimed_at_once(holder: Holder) {
    let now = Instant::now();
    let mut tenure = Tenure::new(250, now);
    assert_eq!(tenure.next(holder, now), Claim::Now);
}

#[parameterized(unknown = { Holder::Unknown }, other = { Holder::Other })]
fn an_owner_that_may_live_is_replaced_only_after_its_lease(holder: Holder) {
    let now = Instant::now();
    let mut tenure = Tenure::new(250, now);
    tenure.note_record(250, now);
    assert_eq!(
        tenure.next(holder, now + EXPIRY - MS),
        Claim::At(now + EXPIRY)
    );
    assert_eq!(tenure.next(holder, now + EXPIRY), Claim::Now);
}

#[test]
fn an_owner_that_answers_has_time_to_renew_its_lease_once_the_store_is_back() {
    let now = Instant::now();
    let mut tenure = Tenure::new(250, now);
    tenure.note_trouble(now);
    let until = now + ANSWERING_EXPIRY;
    assert_eq!(tenure.next(Holder::Answering, until - MS), Claim::At(until));
    assert_eq!(tenure.next(Holder::Answering, until), Claim::Now);
    assert_eq!(tenure.next(Holder::Other, now + EXPIRY), Claim::Now);
}

#[test]
fn a_renewal_starts_the_time_anew() {
    let now = Instant::now();
    let mut tenure = Tenure::new(250, now);
    tenure.note_record(250, now + EXPIRY);
    let later = now + EXPIRY + EXPIRY;
    assert_eq!(tenure.next(Holder::Other, later - MS), Claim::At(later));
}

#[test]
fn an_owner_that_the_store_kept_from_renewing_gets_its_time_anew() {
    let now = Instant::now();
    let mut tenure = Tenure::new(250, now);
    tenure.note_trouble(now + EXPIRY);
    let later = now + EXPIRY + EXPIRY;
    assert_eq!(tenure.next(Holder::Other, later - MS), Claim::At(later));
}

#[test]
fn an_entry_defers_to_much_stronger_ones_that_it_knows() {
    let now = Instant::now();
    let mut tenure = Tenure::new(120, now);
    tenure.note_record(500, now);
    assert_eq!(
        tenure.next(Holder::Released, now),
        Claim::At(now + DEFERENCE)
    );
    assert_eq!(
        tenure.next(Holder::Released, now + DEFERENCE - MS),
        Claim::At(now + DEFERENCE)
    );
    assert_eq!(tenure.next(Holder::Released, now + DEFERENCE), Claim::Now);
}

#[test]
fn a_vacancy_that_was_filled_is_not_counted_on() {
    let now = Instant::now();
    let mut tenure = Tenure::new(120, now);
    tenure.note_record(500, now);
    tenure.next(Holder::Released, now);
    tenure.note_record(500, now + DEFERENCE);
    let again = now + DEFERENCE * 2;
    assert_eq!(
        tenure.next(Holder::Released, again),
        Claim::At(again + DEFERENCE)
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
    let mut tenure = Tenure::new(500, now);
    tenure.note_record(owner, now);
    tenure.note_change(now);
    assert!(!tenure.should_ask(owner, now + SETTLED - MS));
    assert_eq!(tenure.should_ask(owner, now + SETTLED), asked);
}

#[test]
fn nobody_is_asked_to_hand_over_shortly_after_trouble_of_the_store() {
    let now = Instant::now();
    let mut tenure = Tenure::new(500, now);
    tenure.note_record(120, now);
    tenure.note_trouble(now + SETTLED);
    assert!(!tenure.should_ask(120, now + SETTLED + SETTLED - MS));
}

#[test]
fn entries_that_do_not_know_their_part_of_a_core_leave_the_owner_in_peace() {
    let now = Instant::now();
    let mut tenure = Tenure::new(0, now);
    tenure.note_record(0, now);
    tenure.note_change(now);
    assert!(!tenure.should_ask(0, now + SETTLED));
    assert_eq!(tenure.next(Holder::Released, now), Claim::Now);
}

#[test]
fn an_owner_that_does_not_answer_either_is_replaced_sooner() {
    let now = Instant::now();
    let mut tenure = Tenure::new(250, now);
    tenure.note_record(250, now);
    let lapsed = now + SILENT_EXPIRY;
    assert_eq!(
        tenure.next(Holder::Silent, lapsed - MS),
        Claim::At(lapsed),
        "a renewal may be late"
    );
    assert_eq!(tenure.next(Holder::Silent, lapsed), Claim::Now);
    tenure.note_record(250, lapsed);
    assert_eq!(
        tenure.next(Holder::Silent, lapsed),
        Claim::At(lapsed + SILENT_EXPIRY),
        "it renews, and lives"
    );
}
