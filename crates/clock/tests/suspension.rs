//! A clock that is put forward, as a suspension does, beside timers that are not.

use havenladder_clock::{Instant, advance_to, timer};
use std::time::Duration;

/// Longer than the test may take.
const FAR: Duration = Duration::from_secs(60);

/// Both clocks are shared by a process, so that all is tried in one test.
#[test]
fn ages_and_deadlines_count_a_suspension_and_waits_end_once_it_is_noticed() {
    assert_eq!(timer::detect_suspension(), None);
    let mut total = Duration::ZERO;
    for ms in [500, 3_000, 30_000] {
        let span = Duration::from_millis(ms);
        let before = Instant::now();
        let deadline = before + span;
        total += span;
        advance_to(total);
        assert!(before.elapsed() >= span, "ages count it");
        assert!(Instant::now() >= deadline, "deadlines pass in it");
        let noticed = timer::detect_suspension().map(|noticed| noticed.as_millis() as u64);
        assert!(noticed.is_some_and(|noticed| noticed.abs_diff(ms) < 100));
        assert_eq!(timer::detect_suspension(), None, "it is noticed once");
    }
    wait_through(total);
}

/// A wait ends as soon as somebody notices that its time has passed, though its timer has not fired.
fn wait_through(before: Duration) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .expect("a runtime can be built");
    runtime.block_on(async {
        let at = Instant::now() + FAR;
        let notice = async {
            tokio::time::sleep(Duration::from_millis(10)).await;
            advance_to(before + FAR);
            timer::detect_suspension()
        };
        let never = std::future::pending::<()>();
        let began = std::time::Instant::now();
        let (waited, noticed) = tokio::join!(timer::timeout_at(at, never), notice);
        assert_eq!(waited, Err(timer::Elapsed));
        assert!(noticed.is_some());
        assert!(began.elapsed() < FAR / 2);
    });
}

#[test]
fn moments_are_ordered_and_never_before_the_start() {
    let now = Instant::now();
    let span = Duration::from_millis(5);
    assert!(now + span > now && now - span < now);
    assert_eq!((now + span) - now, span);
    assert_eq!(now - (now + span), Duration::ZERO);
    assert!(now - Duration::MAX <= now);
}
