//! How long calls are waited for until they are sent again.

use havenladder_fleet::{ResponseTime, next_timeout};
use std::time::Duration;

const USUAL: Duration = Duration::from_millis(8);
const SLOW: Duration = Duration::from_millis(240);

fn learn(answers: usize, elapsed: Duration) -> ResponseTime {
    let mut times = ResponseTime::new();
    (0..answers).for_each(|_| times.record(elapsed));
    times
}

/// How many calls are under way after a time, if none is answered.
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
fn a_lost_answer_costs_some_ten_ms_where_answers_are_quick() {
    assert!(learn(20, USUAL).initial_timeout() <= USUAL * 6);
}

#[test]
fn a_third_of_the_answers_lost_leaves_one_in_a_hundred_without_one_in_half_a_second() {
    let calls = count_calls(learn(20, USUAL), Duration::from_millis(500));
    assert!(0.35_f64.powi(calls as i32) < 0.01, "{calls}");
}

#[test]
fn a_store_that_is_down_is_not_flooded() {
    let calls = count_calls(learn(20, USUAL), Duration::from_millis(1_500));
    assert!(calls <= 8, "{calls}");
}

#[test]
fn a_slow_store_is_not_sent_everything_twice() {
    let mut times = learn(20, USUAL);
    times.record(SLOW);
    assert!(times.initial_timeout() > SLOW, "one slow answer is enough");
    assert!(learn(50, SLOW).initial_timeout() >= SLOW);
}

#[test]
fn a_store_that_is_quick_again_is_learned_within_twenty_answers() {
    let mut times = learn(50, SLOW);
    (0..20).for_each(|_| times.record(USUAL));
    assert!(times.initial_timeout() <= USUAL * 6, "{times:?}");
}
