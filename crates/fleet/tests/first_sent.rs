//! The earliest time at which a record may have entered the log.

use clock::Instant;
use havenladder_fleet::FirstSent;
use std::time::Duration;

const LATER: Duration = Duration::from_millis(1_500);

#[test]
fn a_repeated_record_counts_from_its_first_sending() {
    let now = Instant::now();
    let first = FirstSent::record(None, 7, now);
    let second = FirstSent::record(Some(first), 7, now + LATER);
    assert_eq!(second.earliest(7), Some(now));
}

#[test]
fn a_record_for_the_next_position_counts_from_its_own_sending() {
    let now = Instant::now();
    let first = FirstSent::record(None, 7, now);
    let second = FirstSent::record(Some(first), 8, now + LATER);
    assert_eq!(second.earliest(8), Some(now + LATER));
}

#[test]
fn other_positions_have_no_time() {
    let sent = FirstSent::record(None, 7, Instant::now());
    assert_eq!(sent.earliest(6), None);
}
