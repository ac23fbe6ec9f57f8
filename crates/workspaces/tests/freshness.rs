//! When an entry polls for a newer configuration before it handles a call.

use clock::Instant;
use havenladder_workspaces::{Freshness, FreshnessAction};
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the state of an entry whose configuration was confirmed at `start`, and that has polled nothing yet.
fn confirmed_at(start: Instant, max_age: Option<Duration>) -> Freshness {
    let mut freshness = Freshness::new(max_age);
    freshness.confirm(start, start);
    freshness
}

#[test]
fn a_connected_entry_handles_calls_without_a_poll() {
    let start = Instant::now();
    let mut freshness = confirmed_at(start, None);
    for number in 1..10u64 {
        let now = start + ms(number * 800);
        assert_eq!(freshness.next_action(now), FreshnessAction::Proceed);
        freshness.confirm(now, now);
    }
}

#[test]
fn an_entry_that_resumes_from_a_freeze_polls_first() {
    let start = Instant::now();
    let mut freshness = confirmed_at(start, None);
    let resumed = start + ms(4_000);
    assert_eq!(freshness.next_action(resumed), FreshnessAction::Poll);
    freshness.begin_poll(resumed);
    let other = freshness.next_action(resumed + ms(1));
    assert_eq!(
        other,
        FreshnessAction::JoinPoll,
        "other calls wait for the same poll"
    );
    freshness.end_poll(true);
    freshness.confirm(resumed, resumed);
    assert_eq!(
        freshness.next_action(resumed + ms(6)),
        FreshnessAction::Proceed
    );
}

#[test]
fn an_entry_whose_polls_fail_proceeds_and_retries() {
    let start = Instant::now();
    let mut freshness = confirmed_at(start, None);
    let mut polls = 0;
    for now in (2_000..12_000).map(|at| start + ms(at)) {
        match freshness.next_action(now) {
            FreshnessAction::Poll => {
                polls += 1;
                freshness.begin_poll(now);
                freshness.end_poll(false);
            }
            next => assert_eq!(next, FreshnessAction::Proceed),
        }
    }
    assert_eq!(polls, 20, "two polls per second");
}

#[test]
fn with_strict_revocation_an_entry_whose_polls_fail_refuses_in_time() {
    let start = Instant::now();
    let mut freshness = confirmed_at(start, Some(ms(5_000)));
    freshness.begin_poll(start + ms(2_000));
    freshness.end_poll(false);
    assert_eq!(
        freshness.next_action(start + ms(2_100)),
        FreshnessAction::Proceed
    );
    freshness.begin_poll(start + ms(4_900));
    freshness.end_poll(false);
    assert_eq!(
        freshness.next_action(start + ms(5_100)),
        FreshnessAction::Refuse
    );
    assert_eq!(
        freshness.action_without_poll(start + ms(5_100)),
        FreshnessAction::Refuse
    );
    let restored = start + ms(6_000);
    freshness.confirm(restored, restored);
    assert_eq!(
        freshness.next_action(restored + ms(1)),
        FreshnessAction::Proceed
    );
}

#[test]
fn an_unknown_key_causes_one_poll() {
    let start = Instant::now();
    let mut freshness = confirmed_at(start, None);
    let received = start + ms(5);
    assert_eq!(
        freshness.next_action_for_unknown(received, received),
        FreshnessAction::Poll
    );
    freshness.begin_poll(received);
    freshness.end_poll(true);
    freshness.confirm(received, received);
    assert_eq!(
        freshness.next_action_for_unknown(received, received + ms(4)),
        FreshnessAction::Proceed
    );
}

#[test]
fn a_thousand_guessed_keys_per_second_cause_ten_polls() {
    let start = Instant::now();
    let mut freshness = confirmed_at(start, None);
    let mut polls = 0;
    for now in (0..1_000).map(|at| start + ms(at)) {
        if freshness.next_action_for_unknown(now, now) == FreshnessAction::Poll {
            polls += 1;
            freshness.begin_poll(now);
            freshness.end_poll(true);
            freshness.confirm(now, now);
        }
    }
    assert_eq!(polls, 10);
}

#[test]
fn while_polls_fail_an_old_configuration_rejects_no_key() {
    let start = Instant::now();
    let mut freshness = confirmed_at(start, None);
    for at in [50, 1_400, 1_600, 3_000] {
        let now = start + ms(at);
        freshness.begin_poll(now);
        freshness.end_poll(false);
        let expected = match at < 1_500 {
            true => FreshnessAction::Proceed,
            false => FreshnessAction::Refuse,
        };
        assert_eq!(freshness.next_action_for_unknown(now, now), expected);
    }
}

#[test]
fn the_answer_of_an_entry_that_is_behind_itself_confirms_nothing() {
    let start = Instant::now();
    let mut freshness = confirmed_at(start, None);
    let received = start + ms(4_000);
    freshness.begin_poll(received);
    freshness.end_poll(true);
    freshness.confirm(received, start + ms(1_000));
    assert!(!freshness.may_reject(received));
    let later = received + ms(200);
    assert_eq!(
        freshness.next_action_for_unknown(received, later),
        FreshnessAction::Poll
    );
}

#[test]
fn an_entry_that_has_just_started_rejects_nothing() {
    let now = Instant::now();
    let mut freshness = Freshness::new(None);
    assert!(!freshness.may_reject(now));
    freshness.begin_poll(now);
    freshness.end_poll(false);
    assert_eq!(
        freshness.next_action_for_unknown(now, now),
        FreshnessAction::Refuse
    );
    assert_eq!(
        freshness.next_action(now),
        FreshnessAction::Proceed,
        "what it knows is served"
    );
}
