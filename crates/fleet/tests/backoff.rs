//! Delays between attempts.

use havenladder_fleet::Backoff;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

#[test]
fn delays_double_up_to_the_maximum_until_a_reset() {
    let mut backoff = Backoff::new(100 * MS, 700 * MS);
    let delays: Vec<Duration> = (0..5).map(|_| backoff.next_delay(1.0)).collect();
    assert_eq!(delays, [100 * MS, 200 * MS, 400 * MS, 700 * MS, 700 * MS]);
    backoff.reset();
    assert_eq!(backoff.next_delay(0.0), 50 * MS);
}

#[test]
fn callers_refused_together_retry_at_different_times() {
    let draws = [0.0, 0.3, 0.6, 0.9];
    let delays = draws.map(|draw| Backoff::new(100 * MS, 700 * MS).next_delay(draw));
    assert!(
        delays.windows(2).all(|pair| pair[0] < pair[1]),
        "{delays:?}"
    );
}
