//! Whether a service is unavailable for all entries or an entry is isolated from it.

use havenladder_fleet::{ServiceReport, is_isolated, is_unavailable};
use yare::parameterized;

fn reports(rows: &[(&str, bool)]) -> Vec<ServiceReport> {
    let report = |(hall, silent): &(&str, bool)| ServiceReport {
        hall: (*hall).to_owned(),
        silent: *silent,
    };
    rows.iter().map(report).collect()
}

#[parameterized(
    no_reports = { &[], false },
    own_hall_only = { &[("a", true), ("a", true)], false },
    another_hall = { &[("a", true), ("b", true)], true },
    one_gets_responses = { &[("b", true), ("c", false)], false },
    own_hall_gets_responses = { &[("a", false), ("b", true)], false },
)]
fn a_service_is_unavailable_if_another_data_centre_agrees_and_none_disagrees(
    rows: &[(&str, bool)],
    unavailable: bool,
) {
    assert_eq!(is_unavailable("a", &reports(rows), rows.len()), unavailable);
}

#[test]
fn entries_cut_off_together_do_not_assume_an_outage() {
    let reports = reports(&[("b", true), ("c", true)]);
    assert!(is_unavailable("a", &reports, 3));
    assert!(
        !is_unavailable("a", &reports, 4),
        "two of four did not reply"
    );
}

#[parameterized(
    no_reports = { &[], false },
    one_gets_responses = { &[("a", false)], true },
    most_get_responses = { &[("a", false), ("b", false), ("c", true)], true },
    a_third_gets_responses = { &[("a", false), ("b", true), ("c", true)], true },
    a_quarter_gets_responses = { &[("a", false), ("b", true), ("c", true), ("c", true)], false },
    unavailable_for_all = { &[("a", true), ("b", true)], false },
)]
fn an_entry_is_isolated_if_the_service_answers_enough_others(
    rows: &[(&str, bool)],
    isolated: bool,
) {
    assert_eq!(is_isolated(&reports(rows)), isolated);
}
