//! Pauses between tries.

use havenladder_fleet::Backoff;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

#[test]
fn pauses_double_up_to_the_longest_and_begin_anew() {
    let mut backoff = Backoff::new(100 * MS, 700 * MS);
    let delays: Vec<Duration> = (0..5).map(|_| backoff.next_delay(1.0)).collect();
    assert_eq!(delays, [100 * MS, 200 * MS, 400 * MS, 700 * MS, 700 * MS]);
    backoff.reset();
    assert_eq!(backoff.next_delay(0.0), 50 * MS);
}

#[test]
fn those_that_are_refused_together_do_not_come_back_together() {
    let draws = [0.0, 0.3, 0.6, 0.9];
    let delays = draws.map(|draw| Backoff::new(100 * MS, 700 * MS).next_delay(draw));
    assert!(
        delays.windows(2).all(|pair| pair[0] < pair[1]),
        "{delays:?}"
    );
}
