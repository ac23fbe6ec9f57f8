//! How long calls are waited for until they are sent again.

use havenladder_fleet::{AnswerTime, next_wait};
use std::time::Duration;

const USUAL: Duration = Duration::from_millis(8);
const SLOW: Duration = Duration::from_millis(240);

fn learn(answers: usize, took: Duration) -> AnswerTime {
    let mut times = AnswerTime::new();
    (0..answers).for_each(|_| times.note(took));
    times
}

/// How many calls are under way after a time, if none is answered.
fn count_calls(times: AnswerTime, within: Duration) -> usize {
    let mut wait = times.first_wait();
    let mut at = wait;
    let mut calls = 1;
    while at < within {
        calls += 1;
        wait = next_wait(wait);
        at += wait;
    }
    calls
}

#[test]
fn a_lost_answer_costs_some_ten_ms_where_answers_are_quick() {
    assert!(learn(20, USUAL).first_wait() <= USUAL * 6);
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
    times.note(SLOW);
    assert!(times.first_wait() > SLOW, "one slow answer is enough");
    assert!(learn(50, SLOW).first_wait() >= SLOW);
}

#[test]
fn a_store_that_is_quick_again_is_learned_within_twenty_answers() {
    let mut times = learn(50, SLOW);
    (0..20).for_each(|_| times.note(USUAL));
    assert!(times.first_wait() <= USUAL * 6, "{times:?}");
}
