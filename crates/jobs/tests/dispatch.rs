//! The starts that an owner can send limit what it orders and which jobs it accepts.
//!
//! Guards against an owner that orders more starts than its link carries: they took the capacity of workers while they
//! waited, work that came later could not go ahead of them, and all jobs ended late instead of a part being refused.

mod fixture;
#[expect(dead_code, reason = "only starts are tested here")]
mod harness;

use fixture::{job, step};
use harness::Harness;
use havenladder_jobs::{Accepted, Dispatch, Forecast, JobId, Step, Submission};

/// Bytes of starts that the owner sends per second.
const RATE: f64 = 10_000.0;

/// Length of the text of each job, in bytes.
const TEXT_BYTES: usize = 1_000;

/// Workers with a total capacity of 16 tasks.
const WORKERS: [&str; 4] = ["a1", "b1", "c1", "d1"];

/// Returns a job whose tasks have a text of [`TEXT_BYTES`].
fn long_job(id: JobId, steps: Vec<Step>) -> Submission {
    let mut submission = job(id, steps);
    submission.spec.text = "x".repeat(TEXT_BYTES);
    submission
}

/// Returns a step of tasks that are estimated to take a second.
fn estimated_step(count: u32) -> Step {
    Step {
        estimate_ms: 1_000,
        ..step(count)
    }
}

/// Returns a dispatch with the given bytes of starts waiting.
fn limited(waiting: u64) -> Dispatch {
    Dispatch {
        waiting,
        rate: RATE,
    }
}

#[test]
fn starts_are_ordered_no_faster_than_they_can_be_sent() {
    let mut harness = Harness::new(&WORKERS);
    harness.cell.accept(long_job(1, vec![step(16)]));
    harness.cell.set_dispatch(limited(0));
    let started = harness.start_tasks();
    // 0.3 s ahead: 3,000 bytes.
    assert_eq!(started.len(), 3);
    harness.cell.set_dispatch(limited(2_500));
    assert_eq!(harness.start_tasks().len(), 1);
    harness.cell.set_dispatch(limited(3_000));
    assert_eq!(harness.start_tasks().len(), 0);
    harness.cell.set_dispatch(Dispatch::default());
    assert_eq!(harness.start_tasks().len(), 12);
}

#[test]
fn long_running_tasks_go_before_others_of_any_service() {
    let mut harness = Harness::new(&WORKERS);
    for id in ["e1", "f1"] {
        let mut other = fixture::worker(id);
        other.service = "z".to_owned();
        harness.cell.upsert_worker(other, harness.now);
        harness.report(id, Default::default());
    }
    harness.cell.accept(long_job(1, vec![step(8)]));
    let lasting = Step {
        long_running: true,
        ..step(3)
    };
    let mut lasting = long_job(2, vec![lasting]);
    lasting.service = "z".to_owned();
    harness.cell.accept(lasting);
    harness.cell.set_dispatch(limited(0));
    let started = harness.start_tasks();
    assert_eq!(started.len(), 3);
    assert!(
        started.iter().all(|(_, task, _)| task.job == 2),
        "{started:?}"
    );
}

#[test]
fn a_job_whose_starts_would_wait_too_long_is_rejected() {
    let mut harness = Harness::new(&WORKERS);
    harness.cell.set_dispatch(limited(0));
    let fits = long_job(1, vec![estimated_step(8)]);
    assert_eq!(harness.cell.forecast(&fits), Forecast::Worthwhile);
    // 40 starts take 4 s, which leaves no time for the task itself.
    let wide = long_job(2, vec![estimated_step(40)]);
    let Forecast::TooLate(ms) = harness.cell.forecast(&wide) else {
        panic!("a job that cannot be started in time is accepted");
    };
    assert!((1_000..2_000).contains(&ms), "{ms}");
}

#[test]
fn starts_that_earlier_jobs_need_count() {
    let mut harness = Harness::new(&WORKERS);
    harness.cell.set_dispatch(limited(0));
    let mut accepted = 0;
    for id in 1..=10 {
        // The second step needs starts as well, once the first has ended.
        let second = Step {
            after: vec![0],
            ..estimated_step(4)
        };
        let submission = long_job(id, vec![estimated_step(4), second]);
        if harness.cell.forecast(&submission) == Forecast::Worthwhile {
            assert_eq!(harness.cell.accept(submission), Accepted::New);
            accepted += 1;
        }
    }
    assert!((2..=6).contains(&accepted), "{accepted}");
    // Once the earlier jobs can no longer be in time, others go first.
    harness.cell.mark_due(60_000);
    harness.cell.update_start_backlog();
    let mut later = long_job(20, vec![estimated_step(4)]);
    later.submitted_at = 60_000;
    assert_eq!(harness.cell.forecast(&later), Forecast::Worthwhile);
}

#[test]
fn a_link_without_a_limit_changes_nothing() {
    let mut harness = Harness::new(&WORKERS);
    for id in 1..=100 {
        let submission = long_job(id, vec![estimated_step(4)]);
        assert_eq!(harness.cell.forecast(&submission), Forecast::Worthwhile);
        harness.cell.accept(submission);
    }
    assert_eq!(harness.start_tasks().len(), 16);
}

/// Guards against jobs that are rejected for the wait of starts although no start waits: a job whose objective is shorter
/// than its tasks is late anywhere, but its caller still waits for it.
#[test]
fn a_link_without_a_limit_rejects_no_job_for_its_objective() {
    let harness = Harness::new(&WORKERS);
    let mut tight = long_job(1, vec![estimated_step(1)]);
    tight.stretch = 0.5;
    tight.slack = 1;
    assert_eq!(harness.cell.forecast(&tight), Forecast::Worthwhile);
}
