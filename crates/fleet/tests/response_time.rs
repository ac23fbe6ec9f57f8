//! How long calls wait for a response until they are sent again.

use havenladder_fleet::{ResponseTime, next_timeout};
use std::time::Duration;

const USUAL: Duration = Duration::from_millis(8);
const SLOW: Duration = Duration::from_millis(240);

fn learned(answers: usize, elapsed: Duration) -> ResponseTime {
    let mut times = ResponseTime::new();
    (0..answers).for_each(|_| times.record(elapsed));
    times
}

/// Returns how many calls have been sent within a time if none is answered.
fn count_calls(times: ResponseTime, within: Duration) -> usize {
    let mut timeout = times.initial_timeout();
    let mut at = timeout;
    let mut calls = 1;
    while at < within {
        calls += 1;
        timeout = next_timeout(timeout);
        at += timeout;
    }
    calls
}

#[test]
fn a_lost_response_of_a_fast_service_costs_little_time() {
    assert!(learned(20, USUAL).initial_timeout() <= USUAL * 6);
}

#[test]
fn half_a_second_is_enough_if_a_third_of_the_responses_is_lost() {
    let calls = count_calls(learned(20, USUAL), Duration::from_millis(500));
    assert!(0.35_f64.powi(calls as i32) < 0.01, "{calls}");
}

#[test]
fn an_unavailable_store_is_not_flooded() {
    let calls = count_calls(learned(20, USUAL), Duration::from_millis(1_500));
    assert!(calls <= 8, "{calls}");
}

#[test]
fn a_slow_store_does_not_receive_every_call_twice() {
    let mut times = learned(20, USUAL);
    times.record(SLOW);
    assert!(times.initial_timeout() > SLOW, "one slow answer is enough");
    assert!(learned(50, SLOW).initial_timeout() >= SLOW);
}

#[test]
fn the_timeout_adapts_to_a_recovered_store_within_twenty_responses() {
    let mut times = learned(50, SLOW);
    (0..20).for_each(|_| times.record(USUAL));
    assert!(times.initial_timeout() <= USUAL * 6, "{times:?}");
}
