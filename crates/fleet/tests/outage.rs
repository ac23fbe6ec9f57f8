//! Whether a service is away for all.

use havenladder_fleet::{ServiceReport, is_isolated, is_unavailable};
use yare::parameterized;

fn told(rows: &[(&str, bool)]) -> Vec<ServiceReport> {
    let hearing = |(hall, silent): &(&str, bool)| ServiceReport {
        hall: (*hall).to_owned(),
        silent: *silent,
    };
    rows.iter().map(hearing).collect()
}

#[parameterized(
    nobody = { &[], false },
    own_hall_only = { &[("a", true), ("a", true)], false },
    another_hall = { &[("a", true), ("b", true)], true },
    somebody_hears_it = { &[("b", true), ("c", false)], false },
    own_hall_hears_it = { &[("a", false), ("b", true)], false },
)]
fn a_service_is_away_if_another_hall_says_so_and_none_the_contrary(
    rows: &[(&str, bool)],
    away: bool,
) {
    assert_eq!(is_unavailable("a", &told(rows), rows.len()), away);
}

#[test]
fn entries_that_are_cut_off_together_do_not_take_it_for_an_outage() {
    let told = told(&[("b", true), ("c", true)]);
    assert!(is_unavailable("a", &told, 3));
    assert!(!is_unavailable("a", &told, 4), "as many did not answer");
}

#[parameterized(
    nobody = { &[], false },
    one_hears_it = { &[("a", false)], true },
    most_hear_it = { &[("a", false), ("b", false), ("c", true)], true },
    a_third_hears_it = { &[("a", false), ("b", true), ("c", true)], true },
    hardly_anybody_hears_it = { &[("a", false), ("b", true), ("c", true), ("c", true)], false },
    away_for_all = { &[("a", true), ("b", true)], false },
)]
fn a_service_turns_an_entry_away_if_it_answers_enough_others(
    rows: &[(&str, bool)],
    turned_away: bool,
) {
    assert_eq!(is_isolated(&told(rows)), turned_away);
}
