//! Suspensions of the machine before the process started.

use havenladder_clock::{advance_to, timer::detect_suspension};
use std::time::Duration;

#[test]
fn a_suspension_before_the_first_check_is_not_reported() {
    advance_to(Duration::from_secs(3_600));
    assert_eq!(detect_suspension(), None);
    advance_to(Duration::from_secs(3_605));
    let detected = detect_suspension().map(|span| span.as_secs());
    assert!(detected.is_some_and(|seconds| (4..=5).contains(&seconds)));
    assert_eq!(detect_suspension(), None);
}
