//! For how long leases count after a release of the cell, for the next owner and those after it.

use clock::Instant;
use havenladder_jobs::{InheritedLeases, RemainingLeases, WorkerName};
use std::time::Duration;

/// Time for which a next owner waits for every worker.
const USUAL: Duration = Duration::from_millis(3_800);

/// Returns a time after `from`, in ms.
fn after(from: Instant, ms: u64) -> Instant {
    from + Duration::from_millis(ms)
}

/// Returns workers by their names, each with the time in ms until which its lease may hold.
fn held(now: Instant, leases: &[(&str, u64)]) -> Vec<(WorkerName, Instant)> {
    let lease = |(name, ms): &(&str, u64)| ((*name).to_owned(), after(now, *ms));
    leases.iter().map(lease).collect()
}

#[test]
fn a_release_names_the_workers_whose_leases_hold_longer_than_usual() {
    let now = Instant::now();
    let owner = InheritedLeases::until(now);
    let leases = owner.at_release(held(now, &[("a", 3_000), ("b", 9_000)]), USUAL, now);
    assert_eq!(leases.named, [("b".to_owned(), Duration::from_secs(9))]);
    let next = InheritedLeases::remaining(&leases, USUAL, now);
    assert_eq!(next.of("a"), now + USUAL);
    assert_eq!(next.of("b"), after(now, 9_000));
    assert_eq!(next.latest(), after(now, 9_000));
}

#[test]
fn several_incarnations_of_a_worker_count_by_the_longest_lease() {
    let now = Instant::now();
    let owner = InheritedLeases::until(now);
    let leases = owner.at_release(held(now, &[("a", 9_000), ("a", 5_000)]), USUAL, now);
    assert_eq!(leases.named, [("a".to_owned(), Duration::from_secs(9))]);
}

#[test]
fn leases_of_a_worker_that_is_gone_do_not_add_up_over_several_releases() {
    let now = Instant::now();
    let first = RemainingLeases {
        others: Duration::ZERO,
        named: vec![("gone".to_owned(), Duration::from_secs(16))],
    };
    let mut owner = InheritedLeases::remaining(&first, USUAL, now);
    for second in 1..=3 {
        let at = after(now, second * 1_000);
        // The owner has watched the worker, whose inherited lease it knows, without an answer.
        let watched = vec![("gone".to_owned(), owner.of("gone"))];
        owner = InheritedLeases::remaining(&owner.at_release(watched, USUAL, at), USUAL, at);
        assert_eq!(owner.of("gone"), after(now, 16_000));
    }
}

#[test]
fn leases_of_an_owner_that_was_replaced_hold_through_a_later_release() {
    let now = Instant::now();
    let owner = InheritedLeases::until(after(now, 16_000));
    let leases = owner.at_release(held(now, &[("a", 17_000)]), USUAL, after(now, 2_000));
    let next = InheritedLeases::remaining(&leases, USUAL, after(now, 2_000));
    assert_eq!(next.of("unknown"), after(now, 16_000));
    assert_eq!(next.of("a"), after(now, 17_000));
}

#[test]
fn more_workers_than_a_release_can_name_are_covered_by_the_longest_lease() {
    let now = Instant::now();
    let owner = InheritedLeases::until(now);
    let many =
        (0..20_000).map(|number| (format!("w-{number}"), after(now, 8_000 + number % 2_000)));
    let leases = owner.at_release(many, USUAL, now);
    assert!(leases.named.is_empty());
    let next = InheritedLeases::remaining(&leases, USUAL, now);
    assert_eq!(next.of("w-1999"), after(now, 9_999));
    assert_eq!(next.latest(), after(now, 9_999));
}
