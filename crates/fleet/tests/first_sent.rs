//! From when on a record may have been in the log.

use clock::Instant;
use havenladder_fleet::FirstSent;
use std::time::Duration;

const LATER: Duration = Duration::from_millis(1_500);

#[test]
fn a_record_that_was_sent_twice_for_a_place_counts_from_the_first_time() {
    let now = Instant::now();
    let first = FirstSent::record(None, 7, now);
    let second = FirstSent::record(Some(first), 7, now + LATER);
    assert_eq!(second.earliest(7), Some(now));
}

#[test]
fn a_record_for_the_next_place_counts_from_when_it_was_sent() {
    let now = Instant::now();
    let first = FirstSent::record(None, 7, now);
    let second = FirstSent::record(Some(first), 8, now + LATER);
    assert_eq!(second.earliest(8), Some(now + LATER));
}

#[test]
fn nothing_is_known_of_another_place() {
    let sent = FirstSent::record(None, 7, Instant::now());
    assert_eq!(sent.earliest(6), None);
}
