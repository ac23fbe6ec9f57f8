//! For how long leases count after a release of the cell, for the next owner and those after it.

use clock::Instant;
use havenladder_jobs::{HeldLeases, InheritedLeases, WorkerId};
use std::time::Duration;

/// Time for which a next owner waits for every worker.
const USUAL: Duration = Duration::from_millis(3_800);

/// Returns a time after `from`, in ms.
fn after(from: Instant, ms: u64) -> Instant {
    from + Duration::from_millis(ms)
}

/// Returns the leases of incarnations, each with the time in ms until which it may hold.
fn leases(now: Instant, rows: &[(&str, u64)]) -> Vec<(WorkerId, Instant)> {
    let lease = |(id, ms): &(&str, u64)| (WorkerId::from(*id), after(now, *ms));
    rows.iter().map(lease).collect()
}

/// Returns the leases that an owner knows, and those of starts that have not been reported.
fn held(now: Instant, known: &[(&str, u64)], unasked: &[(&str, u64)]) -> HeldLeases {
    HeldLeases {
        known: leases(now, known),
        unasked: leases(now, unasked),
    }
}

/// Returns the leases of the owner after one that releases the cell at `at`.
fn next_owner(owner: &InheritedLeases, held: HeldLeases, at: Instant) -> InheritedLeases {
    InheritedLeases::remaining(&owner.at_release(held, USUAL, at), USUAL, at)
}

#[test]
fn a_release_names_workers_whose_leases_hold_longer() {
    let now = Instant::now();
    let owner = InheritedLeases::until(now);
    let held = held(now, &[("a@1", 3_000), ("b@1", 9_000)], &[]);
    let leases = owner.at_release(held.clone(), USUAL, now);
    assert_eq!(leases.known, [("b".to_owned(), Duration::from_secs(9))]);
    let next = next_owner(&owner, held, now);
    assert_eq!(next.of("a"), now + USUAL);
    assert_eq!(next.of("b"), after(now, 9_000));
    assert_eq!(next.latest(), after(now, 9_000));
}

#[test]
fn several_incarnations_of_a_worker_count_by_the_longest_lease() {
    let now = Instant::now();
    let owner = InheritedLeases::until(now);
    let next = next_owner(
        &owner,
        held(now, &[("a@1", 9_000), ("a@2", 5_000)], &[]),
        now,
    );
    assert_eq!(next.of("a"), after(now, 9_000));
}

#[test]
fn unreported_starts_count_until_their_incarnation_answers() {
    let now = Instant::now();
    let owner = InheritedLeases::until(now);
    let next = next_owner(
        &owner,
        held(now, &[("a@1", 3_000)], &[("a@1", 16_000)]),
        now,
    );
    assert_eq!(next.of("a"), after(now, 16_000));
    assert_eq!(next.latest(), after(now, 16_000));
    assert_eq!(
        next.of_known_answer(&WorkerId::from("a@1")),
        Some(now + USUAL)
    );
    assert_eq!(next.of_known_answer(&WorkerId::from("a@2")), None);
}

#[test]
fn starts_to_two_incarnations_count_whichever_of_them_answers() {
    let now = Instant::now();
    let owner = InheritedLeases::until(now);
    let unasked = [("a@1", 9_000), ("a@2", 16_000)];
    let next = next_owner(&owner, held(now, &[], &unasked), now);
    assert_eq!(next.of("a"), after(now, 16_000));
    for incarnation in ["a@1", "a@2"] {
        assert_eq!(next.of_known_answer(&WorkerId::from(incarnation)), None);
    }
}

#[test]
fn leases_of_a_worker_that_is_gone_do_not_add_up_over_several_releases() {
    let now = Instant::now();
    let first = InheritedLeases::until(now);
    let mut owner = next_owner(&first, held(now, &[], &[("gone@1", 16_000)]), now);
    for second in 1..=3 {
        let at = after(now, second * 1_000);
        // The owner has watched the worker, whose inherited lease it knows, without an answer.
        let watched = HeldLeases {
            known: vec![(WorkerId::from("gone@1"), owner.of("gone"))],
            unasked: Vec::new(),
        };
        owner = next_owner(&owner, watched, at);
        assert_eq!(owner.of("gone"), after(now, 16_000));
    }
}

#[test]
fn unreported_starts_to_a_worker_that_no_list_names_count_for_later_owners() {
    let now = Instant::now();
    let first = InheritedLeases::until(now);
    let second = next_owner(&first, held(now, &[], &[("a@1", 16_000)]), now);
    let third = next_owner(&second, HeldLeases::default(), after(now, 1_000));
    assert_eq!(third.of("a"), after(now, 16_000));
    let answered = held(now, &[("a@1", 5_000)], &[]);
    let third = next_owner(&second, answered, after(now, 1_000));
    assert_eq!(third.of("a"), after(now, 5_000));
}

#[test]
fn leases_of_an_owner_that_was_replaced_hold_through_a_later_release() {
    let now = Instant::now();
    let owner = InheritedLeases::until(after(now, 16_000));
    let next = next_owner(
        &owner,
        held(now, &[("a@1", 17_000)], &[]),
        after(now, 2_000),
    );
    assert_eq!(next.of("unknown"), after(now, 16_000));
    assert_eq!(next.of("a"), after(now, 17_000));
}

#[test]
fn more_workers_than_a_release_can_name_are_covered_by_the_longest_lease() {
    let now = Instant::now();
    let owner = InheritedLeases::until(now);
    let many = (0..20_000).map(|number| {
        let id = WorkerId::new(&format!("w-{number}"), Some(1));
        (id, after(now, 8_000 + number % 2_000))
    });
    let held = HeldLeases {
        known: many.collect(),
        unasked: Vec::new(),
    };
    let leases = owner.at_release(held.clone(), USUAL, now);
    assert!(leases.known.is_empty());
    let next = next_owner(&owner, held, now);
    assert_eq!(next.of("w-1999"), after(now, 9_999));
    assert_eq!(next.latest(), after(now, 9_999));
}
