//! When an entry makes sure of its configuration before it answers.

use clock::Instant;
use havenladder_workspaces::{Freshness, FreshnessAction};
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn an_entry_in_touch_takes_calls_without_a_look() {
    let start = Instant::now();
    let mut fresh = Freshness::new(start, None);
    for read in 1..10u64 {
        let now = start + ms(read * 800);
        assert_eq!(fresh.next_action(now), FreshnessAction::Proceed);
        fresh.confirm(now, now);
    }
}

#[test]
fn one_that_woke_from_a_freeze_looks_first() {
    let start = Instant::now();
    let mut fresh = Freshness::new(start, None);
    let woken = start + ms(4_000);
    assert_eq!(fresh.next_action(woken), FreshnessAction::Poll);
    fresh.begin_poll(woken);
    let other = fresh.next_action(woken + ms(1));
    assert_eq!(
        other,
        FreshnessAction::JoinPoll,
        "the others wait for the same look"
    );
    fresh.end_poll(true);
    fresh.confirm(woken, woken);
    assert_eq!(fresh.next_action(woken + ms(6)), FreshnessAction::Proceed);
}

#[test]
fn one_that_nobody_answers_goes_on_and_asks_again_now_and_then() {
    let start = Instant::now();
    let mut fresh = Freshness::new(start, None);
    let mut polls = 0;
    for now in (2_000..12_000).map(|at| start + ms(at)) {
        match fresh.next_action(now) {
            FreshnessAction::Poll => {
                polls += 1;
                fresh.begin_poll(now);
                fresh.end_poll(false);
            }
            next => assert_eq!(next, FreshnessAction::Proceed),
        }
    }
    assert_eq!(polls, 20, "two a second");
}

#[test]
fn where_revocation_is_strict_one_that_nobody_answers_refuses_in_time() {
    let start = Instant::now();
    let mut fresh = Freshness::new(start, Some(ms(5_000)));
    fresh.begin_poll(start + ms(2_000));
    fresh.end_poll(false);
    assert_eq!(
        fresh.next_action(start + ms(2_100)),
        FreshnessAction::Proceed
    );
    fresh.begin_poll(start + ms(4_900));
    fresh.end_poll(false);
    assert_eq!(
        fresh.next_action(start + ms(5_100)),
        FreshnessAction::Refuse
    );
    assert_eq!(
        fresh.action_without_poll(start + ms(5_100)),
        FreshnessAction::Refuse
    );
    let back = start + ms(6_000);
    fresh.confirm(back, back);
    assert_eq!(fresh.next_action(back + ms(1)), FreshnessAction::Proceed);
}

#[test]
fn a_key_that_nobody_knows_is_looked_for_once() {
    let start = Instant::now();
    let mut fresh = Freshness::new(start, None);
    fresh.confirm(start, start);
    let received = start + ms(5);
    assert_eq!(
        fresh.next_action_for_unknown(received, received),
        FreshnessAction::Poll
    );
    fresh.begin_poll(received);
    fresh.end_poll(true);
    fresh.confirm(received, received);
    assert_eq!(
        fresh.next_action_for_unknown(received, received + ms(4)),
        FreshnessAction::Proceed
    );
}

#[test]
fn a_thousand_guessed_keys_a_second_cause_ten_looks() {
    let start = Instant::now();
    let mut fresh = Freshness::new(start, None);
    let mut polls = 0;
    for now in (0..1_000).map(|at| start + ms(at)) {
        if fresh.next_action_for_unknown(now, now) == FreshnessAction::Poll {
            polls += 1;
            fresh.begin_poll(now);
            fresh.end_poll(true);
            fresh.confirm(now, now);
        }
    }
    assert_eq!(polls, 10);
}

#[test]
fn a_key_that_nobody_can_be_asked_about_is_refused_by_what_is_known() {
    let start = Instant::now();
    let mut fresh = Freshness::new(start, None);
    fresh.begin_poll(start);
    fresh.end_poll(false);
    assert_eq!(
        fresh.next_action_for_unknown(start + ms(50), start + ms(50)),
        FreshnessAction::Proceed
    );
}
