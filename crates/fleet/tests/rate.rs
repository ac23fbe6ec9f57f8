//! The rate limit for calls to a service.

use clock::Instant;
use havenladder_fleet::RateLimit;
use std::time::Duration;
use yare::parameterized;

/// Makes all available calls every 10 ms and returns their number.
fn count(limit: &mut RateLimit, from: Instant, span: Duration) -> usize {
    let mut made = 0;
    let mut now = from;
    while now < from + span {
        let calls = limit.available(now);
        (0..calls).for_each(|_| limit.take());
        made += calls;
        now += Duration::from_millis(10);
    }
    made
}

#[parameterized(small = { 64.0 }, large = { 215.0 })]
fn no_second_exceeds_the_allowed_rate(allowed: f64) {
    let start = Instant::now();
    let mut limit = RateLimit::new(allowed, start);
    let second = Duration::from_secs(1);
    let first = count(&mut limit, start, second);
    assert!(first as f64 <= allowed, "{first}");
    assert!(first as f64 >= allowed * 0.9, "{first}");
    let later = count(&mut limit, start + second * 60, second);
    assert!(later as f64 <= allowed, "{later}");
}

#[test]
fn a_rate_of_one_call_per_second_allows_calls() {
    let start = Instant::now();
    let mut limit = RateLimit::new(1.0, start);
    assert_eq!(limit.available(start), 1);
    limit.take();
    assert_eq!(limit.available(start), 0);
    assert_eq!(limit.available(start + Duration::from_secs(2)), 1);
}
