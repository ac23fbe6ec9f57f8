//! When runs may be started without a record, and what the next owner assumes.

use clock::Instant;
use havenladder_fleet::{STORE_TROUBLE_AGE, Stall, StoreTrouble, UnrecordedRuns, store_trouble};
use std::time::Duration;
use yare::parameterized;

const MS: Duration = Duration::from_millis(1);

#[parameterized(
    reported = { UnrecordedRuns::Possible, None, true, StoreTrouble::Observed },
    released_with_none = { UnrecordedRuns::None, Some(MS), false, StoreTrouble::None },
    observed = { UnrecordedRuns::NoneAtRenewal, Some(STORE_TROUBLE_AGE - MS), true, StoreTrouble::Observed },
    observed_long_ago = { UnrecordedRuns::NoneAtRenewal, Some(STORE_TROUBLE_AGE), true, StoreTrouble::None },
    just_begun = { UnrecordedRuns::NoneAtRenewal, None, false, StoreTrouble::Unknown },
    calm = { UnrecordedRuns::NoneAtRenewal, None, true, StoreTrouble::None },
)]
fn a_new_owner_assumes_store_trouble_that_it_saw_or_that_was_reported(
    reported: UnrecordedRuns,
    ago: Option<Duration>,
    old: bool,
    expected: StoreTrouble,
) {
    let started_at = Instant::now();
    let now = started_at
        + if old {
            STORE_TROUBLE_AGE * 2
        } else {
            STORE_TROUBLE_AGE - MS
        };
    let last_trouble = ago.map(|ago| now - ago);
    assert_eq!(
        store_trouble(reported, last_trouble, started_at, now),
        expected
    );
}

#[parameterized(
    nothing_known = { None, false, true, false },
    announced_before_the_stall = { Some(0), false, true, false },
    announced_since = { Some(2), false, true, true },
    announced_since_and_not_sole_owner = { Some(2), false, false, false },
    unavailable_for_all = { None, true, false, true },
)]
fn an_owner_starts_unrecorded_runs_only_if_the_next_one_will_know(
    announced: Option<u64>,
    outage_confirmed: bool,
    sole_owner: bool,
    expected: bool,
) {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let stall = Stall {
        since: Some(at(1)),
        announced: announced.map(at),
        outage_confirmed,
        sole_owner,
    };
    assert_eq!(stall.may_start_unrecorded(), expected);
}
