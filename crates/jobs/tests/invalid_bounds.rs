//! Tests of bounds of workspaces that cannot be read, and of needs that exceed any worker.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

mod fixture;
#[expect(dead_code, reason = "stops and ends are not tested here")]
mod harness;

use fixture::{job, step, worker};
use harness::Harness;
use havenladder_jobs::{Bound, JobId, Need, Report, Step, Submission};
use std::time::Duration;

/// The workspace of all jobs in these tests.
const SCHOOL: &str = "school";

fn job_of_school(id: JobId, steps: Vec<Step>) -> Submission {
    Submission {
        workspace: Some(SCHOOL.to_owned()),
        ..job(id, steps)
    }
}

#[test]
fn a_closed_bound_stays_closed_when_its_workspace_is_no_longer_configured() {
    let mut harness = Harness::new(&["a1"]);
    harness
        .cell
        .set_bounds([(SCHOOL.to_owned(), Bound::CLOSED)]);
    harness.cell.accept(job_of_school(1, vec![step(2)]));
    assert!(harness.start_tasks().is_empty());
    harness.cell.set_bounds([]);
    assert!(
        harness.start_tasks().is_empty(),
        "the workspace keeps its last bound"
    );
    harness.cell.set_bounds([(SCHOOL.to_owned(), Bound::NONE)]);
    assert_eq!(harness.start_tasks().len(), 2);
}

#[test]
fn a_workspace_that_was_never_configured_has_no_bound() {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.accept(job_of_school(1, vec![step(2)]));
    assert!(
        harness.start_tasks().is_empty(),
        "the configuration has not arrived yet"
    );
    harness.cell.set_bounds([]);
    assert_eq!(harness.start_tasks().len(), 2);
}

#[test]
fn an_absurd_need_does_not_distort_the_account_of_other_runs() {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.set_bounds([(SCHOOL.to_owned(), Bound::NONE)]);
    harness.cell.accept(job_of_school(1, vec![step(2)]));
    assert_eq!(harness.start_tasks().len(), 2);
    let absurd = Step {
        need: Need {
            cpu: u64::MAX,
            memory: u64::MAX,
            gpu: 0,
        },
        ..step(3)
    };
    harness.cell.accept(job_of_school(2, vec![absurd]));
    harness.start_tasks();
    harness.take_over();
    let expires = harness.now + Duration::from_secs(9);
    harness.cell.raise_takeover_barrier(expires, false);
    let used = |harness: &Harness| harness.cell.account(SCHOOL).unwrap().used();
    assert_eq!(
        used(&harness).cpu,
        u64::MAX,
        "all recorded runs may be running"
    );
    harness.cell.upsert_worker(worker("a1"), harness.now);
    harness.cell.mark_listed();
    let runs = (0..2).map(|index| harness::row(harness::task(1, 0, index), 1, 50));
    let running = runs.collect();
    harness.report(
        "a1",
        Report {
            running,
            ended: Vec::new(),
            ..Report::default()
        },
    );
    harness.cell.set_bounds([(SCHOOL.to_owned(), Bound::NONE)]);
    harness.start_tasks();
    let need_of_two = Need {
        cpu: 2_000,
        memory: 200,
        gpu: 0,
    };
    assert_eq!(
        used(&harness),
        need_of_two,
        "the runs with an absurd need are known not to run"
    );
}
