//! When runs may be started without a record, and what the next owner assumes.

use clock::Instant;
use havenladder_fleet::{Stall, TROUBLE, Told, Trouble, trouble};
use std::time::Duration;
use yare::parameterized;

const MS: Duration = Duration::from_millis(1);

#[parameterized(
    told = { Told::Unrecorded, None, true, Trouble::Seen },
    given_up_with_none = { Told::None, Some(MS), false, Trouble::None },
    seen = { Told::NoneThen, Some(TROUBLE - MS), true, Trouble::Seen },
    seen_long_ago = { Told::NoneThen, Some(TROUBLE), true, Trouble::None },
    just_begun = { Told::NoneThen, None, false, Trouble::Unknown },
    calm = { Told::NoneThen, None, true, Trouble::None },
)]
fn a_new_owner_assumes_trouble_that_it_saw_or_was_told_of(
    told: Told,
    ago: Option<Duration>,
    old: bool,
    expected: Trouble,
) {
    let began = Instant::now();
    let now = began + if old { TROUBLE * 2 } else { TROUBLE - MS };
    let seen = ago.map(|ago| now - ago);
    assert_eq!(trouble(told, seen, began, now), expected);
}

#[parameterized(
    nothing_known = { None, false, true, false },
    told_before_the_stall = { Some(0), false, true, false },
    told_since = { Some(2), false, true, true },
    told_since_and_not_certain = { Some(2), false, false, false },
    away_for_all = { None, true, false, true },
)]
fn an_owner_goes_on_only_where_the_next_one_will_know(
    announced: Option<u64>,
    confirmed: bool,
    certain: bool,
    expected: bool,
) {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let stall = Stall {
        since: Some(at(1)),
        announced: announced.map(at),
        confirmed,
        certain,
    };
    assert_eq!(stall.may_go_on(), expected);
}
