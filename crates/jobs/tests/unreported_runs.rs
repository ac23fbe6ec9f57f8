//! Runs that were sent to a worker and that no report of its incarnation has named: the next incarnation may have them.

mod fixture;
#[expect(dead_code, reason = "reports are not tested here")]
mod harness;

use fixture::{job, step};
use harness::Harness;
use havenladder_jobs::Limits;
use std::time::Duration;

/// Maximum duration of a lease that a worker grants.
const MAX_LEASE: Duration = Duration::from_millis(6_000);

/// Maximum delay of a call.
const MAX_DELAY: Duration = Duration::from_millis(2_000);

#[test]
fn an_unreported_run_is_kept_until_the_last_call_to_its_worker_can_have_no_effect() {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.limits = Limits {
        max_lease: MAX_LEASE,
        max_call_delay: MAX_DELAY,
        ..Limits::default()
    };
    harness.cell.accept(job(1, vec![step(1)]));
    harness.start_tasks();
    harness.advance(500);
    harness.cell.record_lease_call("a1", harness.now);
    let last = harness.now + MAX_DELAY + MAX_LEASE;
    assert_eq!(harness.cell.unreported_until("a1"), Some(last));
    harness.advance(7_999);
    assert_eq!(harness.cell.expire_lease("a1", harness.now), None);
    harness.advance(1);
    let lost = harness.cell.expire_lease("a1", harness.now);
    assert_eq!(lost.map(|lost| lost.runs.len()), Some(1));
}
