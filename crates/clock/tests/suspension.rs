//! Suspensions, simulated by advancing the clock while the runtime's timers continue normally.

use havenladder_clock::{Instant, advance_to, timer};
use std::time::Duration;

/// A duration longer than the test may take.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Both clocks are shared by the process, so that a single test covers all cases.
#[test]
fn ages_and_deadlines_include_a_suspension_and_waits_end_when_it_is_detected() {
    assert_eq!(timer::detect_suspension(), None);
    let mut total = Duration::ZERO;
    for ms in [500, 3_000, 30_000] {
        let span = Duration::from_millis(ms);
        let before = Instant::now();
        let deadline = before + span;
        total += span;
        advance_to(total);
        assert!(before.elapsed() >= span, "ages include the suspension");
        assert!(
            Instant::now() >= deadline,
            "deadlines pass during the suspension"
        );
        let detected = timer::detect_suspension().map(|detected| detected.as_millis() as u64);
        assert!(detected.is_some_and(|detected| detected.abs_diff(ms) < 100));
        assert_eq!(
            timer::detect_suspension(),
            None,
            "each suspension is reported once"
        );
    }
    check_wait_during_suspension(total);
}

/// Checks that a wait ends as soon as a suspension is detected, although its timer has not fired.
fn check_wait_during_suspension(before: Duration) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .expect("a runtime can be built");
    runtime.block_on(async {
        let at = Instant::now() + TEST_TIMEOUT;
        let detection = async {
            tokio::time::sleep(Duration::from_millis(10)).await;
            advance_to(before + TEST_TIMEOUT);
            timer::detect_suspension()
        };
        let never = std::future::pending::<()>();
        let began = std::time::Instant::now();
        let (waited, detected) = tokio::join!(timer::timeout_at(at, never), detection);
        assert_eq!(waited, Err(timer::Elapsed));
        assert!(detected.is_some());
        assert!(began.elapsed() < TEST_TIMEOUT / 2);
    });
}

#[test]
fn instants_are_ordered_and_never_before_the_start() {
    let now = Instant::now();
    let span = Duration::from_millis(5);
    assert!(now + span > now && now - span < now);
    assert_eq!((now + span) - now, span);
    assert_eq!(now - (now + span), Duration::ZERO);
    assert!(now - Duration::MAX <= now);
}
