//! Tests of the forecast for jobs of a workspace that waits for its bound.

mod fixture;
#[expect(dead_code, reason = "only starts are tested here")]
mod harness;

use fixture::{job, step};
use harness::Harness;
use havenladder_jobs::{Bound, Forecast, JobId, Need, Step, Submission};

/// The workspace with a bound.
const BOUNDED: &str = "bounded";

/// The workspace without a bound.
const FREE: &str = "free";

/// Returns a job of two tasks of one core that take a second.
fn job_of(workspace: &str, id: JobId) -> Submission {
    let one = Step {
        estimate_ms: 1_000,
        ..step(2)
    };
    Submission {
        workspace: Some(workspace.to_owned()),
        ..job(id, vec![one])
    }
}

/// Returns a bound of this many thousandths of a core.
fn cpu_bound(cpu: u64) -> Bound {
    Bound::new(Need {
        cpu,
        ..Need::default()
    })
}

/// Guards against a workspace at its bound whose jobs were accepted without regard to it: they started up to 25 s later.
#[test]
fn a_job_that_would_wait_too_long_for_its_bound_is_rejected() {
    let mut harness = Harness::new(&["a1", "b1", "c1", "d1"]);
    let bounds = [(BOUNDED, cpu_bound(2_000)), (FREE, Bound::NONE)];
    let bounds = bounds.map(|(name, bound)| (name.to_owned(), bound));
    harness.cell.set_bounds(bounds);
    let mut accepted = 0;
    for id in 1..=10 {
        let next = job_of(BOUNDED, id);
        if harness.cell.forecast(&next) == Forecast::Worthwhile {
            harness.cell.accept(next);
            accepted += 1;
        }
        harness.start_tasks();
        harness.cell.update_bound_backlogs();
    }
    // One runs. The next ones are in time if they start within 2.6 s.
    assert!((2..=5).contains(&accepted), "{accepted}");
    let Forecast::TooLate(ms) = harness.cell.forecast(&job_of(BOUNDED, 20)) else {
        panic!("a job that has to wait for its bound is accepted");
    };
    assert!((1..2_000).contains(&ms), "{ms}");
    assert_eq!(
        harness.cell.forecast(&job_of(FREE, 21)),
        Forecast::Worthwhile
    );
}

#[test]
fn a_workspace_below_its_bound_is_not_rejected() {
    let mut harness = Harness::new(&["a1", "b1", "c1", "d1"]);
    harness
        .cell
        .set_bounds([(BOUNDED.to_owned(), cpu_bound(100_000))]);
    for id in 1..=40 {
        let next = job_of(BOUNDED, id);
        assert_eq!(harness.cell.forecast(&next), Forecast::Worthwhile);
        harness.cell.accept(next);
        harness.start_tasks();
        harness.cell.update_bound_backlogs();
    }
}
