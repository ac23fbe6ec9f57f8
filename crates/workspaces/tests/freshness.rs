//! When an entry makes sure of its configuration before it answers.

use clock::Instant;
use havenladder_workspaces::{Freshness, Next};
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
        assert_eq!(fresh.next(now), Next::Go);
        fresh.confirm(now, now);
    }
}

#[test]
fn one_that_woke_from_a_freeze_looks_first() {
    let start = Instant::now();
    let mut fresh = Freshness::new(start, None);
    let woken = start + ms(4_000);
    assert_eq!(fresh.next(woken), Next::Look);
    fresh.begin_look(woken);
    let other = fresh.next(woken + ms(1));
    assert_eq!(other, Next::Join, "the others wait for the same look");
    fresh.end_look(true);
    fresh.confirm(woken, woken);
    assert_eq!(fresh.next(woken + ms(6)), Next::Go);
}

#[test]
fn one_that_nobody_answers_goes_on_and_asks_again_now_and_then() {
    let start = Instant::now();
    let mut fresh = Freshness::new(start, None);
    let mut looks = 0;
    for now in (2_000..12_000).map(|at| start + ms(at)) {
        match fresh.next(now) {
            Next::Look => {
                looks += 1;
                fresh.begin_look(now);
                fresh.end_look(false);
            }
            next => assert_eq!(next, Next::Go),
        }
    }
    assert_eq!(looks, 20, "two a second");
}

#[test]
fn where_revocation_is_strict_one_that_nobody_answers_refuses_in_time() {
    let start = Instant::now();
    let mut fresh = Freshness::new(start, Some(ms(5_000)));
    fresh.begin_look(start + ms(2_000));
    fresh.end_look(false);
    assert_eq!(fresh.next(start + ms(2_100)), Next::Go);
    fresh.begin_look(start + ms(4_900));
    fresh.end_look(false);
    assert_eq!(fresh.next(start + ms(5_100)), Next::Refuse);
    assert_eq!(fresh.unsure(start + ms(5_100)), Next::Refuse);
    let back = start + ms(6_000);
    fresh.confirm(back, back);
    assert_eq!(fresh.next(back + ms(1)), Next::Go);
}

#[test]
fn a_key_that_nobody_knows_is_looked_for_once() {
    let start = Instant::now();
    let mut fresh = Freshness::new(start, None);
    fresh.confirm(start, start);
    let came = start + ms(5);
    assert_eq!(fresh.next_unknown(came, came), Next::Look);
    fresh.begin_look(came);
    fresh.end_look(true);
    fresh.confirm(came, came);
    assert_eq!(fresh.next_unknown(came, came + ms(4)), Next::Go);
}

#[test]
fn a_thousand_guessed_keys_a_second_cause_ten_looks() {
    let start = Instant::now();
    let mut fresh = Freshness::new(start, None);
    let mut looks = 0;
    for now in (0..1_000).map(|at| start + ms(at)) {
        if fresh.next_unknown(now, now) == Next::Look {
            looks += 1;
            fresh.begin_look(now);
            fresh.end_look(true);
            fresh.confirm(now, now);
        }
    }
    assert_eq!(looks, 10);
}

#[test]
fn a_key_that_nobody_can_be_asked_about_is_refused_by_what_is_known() {
    let start = Instant::now();
    let mut fresh = Freshness::new(start, None);
    fresh.begin_look(start);
    fresh.end_look(false);
    assert_eq!(fresh.next_unknown(start + ms(50), start + ms(50)), Next::Go);
}
