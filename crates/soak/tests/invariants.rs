//! Tests that the checks of the invariants find violations and nothing else.

use havenladder_soak::{
    caller::Job,
    invariants::{Invariant, check},
    prober::WrongRejection,
};
use standin::users::events::{Event, RunEvent};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};
use yare::parameterized;

/// The job that all events belong to.
const ID: u64 = 7;

/// Returns events one second apart, the first at `from`. Each row has the worker, the step and
/// index of the task, the run, and the kind of event.
fn events(from: Instant, rows: &[(&str, &str, u64, RunEvent)]) -> Vec<Event> {
    let event = |(second, (worker, task, run, kind)): (u64, &(&str, &str, u64, RunEvent))| Event {
        at: from + Duration::from_secs(second),
        called_at: from + Duration::from_secs(second),
        worker: (*worker).to_owned(),
        task: format!("{ID:016x}.0.{task}"),
        run: *run,
        kind: *kind,
    };
    (0..).zip(rows).map(event).collect()
}

/// Returns a job that was accepted before all events and reported as done long after them.
fn done_job(from: Instant) -> Job {
    Job {
        accepted: Some(from),
        succeeded: Some(from + Duration::from_secs(60)),
        ..Job::default()
    }
}

fn violated(job: Job, events: &[Event]) -> Vec<Invariant> {
    let jobs = BTreeMap::from([(ID, job)]);
    let found = check(&jobs, events, &[], &[]);
    found
        .into_iter()
        .map(|violation| violation.invariant)
        .collect()
}

use RunEvent::{Acknowledged, Done, Ended, Lost, Started};

#[parameterized(
    five_starts = { 5, &[] },
    six_starts = { 6, &[Invariant::CrashesAreBounded] },
)]
fn a_task_that_ends_its_workers_may_be_started_five_times(starts: u64, found: &[Invariant]) {
    let from = Instant::now();
    let rows: Vec<_> = (1..=starts)
        .flat_map(|run| [("w", "0.0", run, Started), ("w", "0.0", run, Lost)])
        .collect();
    let job = Job {
        accepted: Some(from),
        failed: true,
        fatal: true,
        ..Job::default()
    };
    assert_eq!(violated(job, &events(from, &rows)), found);
}

#[parameterized(
    after_one_end_of_a_worker = { 1, &[Invariant::AcceptedIsKept] },
    after_two = { 2, &[] },
)]
fn a_job_may_fail_once_two_workers_have_ended_under_a_task(ends: u64, found: &[Invariant]) {
    let from = Instant::now();
    let rows: Vec<_> = (1..=ends)
        .flat_map(|run| [("w", "0.0", run, Started), ("w", "0.0", run, Lost)])
        .collect();
    let job = Job {
        accepted: Some(from),
        failed: true,
        ..Job::default()
    };
    assert_eq!(violated(job, &events(from, &rows)), found);
}

#[test]
fn a_regular_job_violates_no_invariant() {
    let from = Instant::now();
    let rows = [
        ("w1", "0.0", 1, Started),
        ("w1", "0.0", 1, Ended),
        ("w2", "0.0", 2, Started),
        ("w2", "0.0", 2, Done),
        ("w2", "0.0", 2, Acknowledged),
        ("w1", "1.0", 1, Started),
        ("w1", "1.0", 1, Done),
    ];
    assert_eq!(violated(done_job(from), &events(from, &rows)), []);
}

#[parameterized(
    two_at_once = { &[("w1", "0.0", 1, Started), ("w2", "0.0", 2, Started), ("w1", "0.0", 1, Done)] },
    after_an_acknowledged_end = { &[("w1", "0.0", 1, Started), ("w1", "0.0", 1, Done),
        ("w1", "0.0", 1, Acknowledged), ("w2", "0.0", 2, Started)] },
)]
fn a_task_that_runs_twice_is_reported(rows: &[(&str, &str, u64, RunEvent)]) {
    let from = Instant::now();
    assert_eq!(
        violated(done_job(from), &events(from, rows)),
        [Invariant::RunsOnce]
    );
}

#[parameterized(
    after_the_second_of_them_has_ended = { Done },
    after_the_lease_of_the_second_has_expired = { Ended },
    after_the_second_was_lost = { Lost },
)]
fn each_run_beside_one_that_goes_on_is_reported(end_of_the_second: RunEvent) {
    let from = Instant::now();
    let rows = [
        ("w1", "0.0", 1, Started),
        ("w2", "0.0", 2, Started),
        ("w2", "0.0", 2, end_of_the_second),
        ("w3", "0.0", 3, Started),
        ("w1", "0.0", 1, Ended),
        ("w3", "0.0", 3, Done),
    ];
    assert_eq!(
        violated(done_job(from), &events(from, &rows)),
        [Invariant::RunsOnce, Invariant::RunsOnce]
    );
}

#[parameterized(
    has_ended = { Done },
    has_lapsed = { Ended },
    was_lost = { Lost },
)]
fn a_run_on_the_worker_of_another_one_that_has_gone_is_not_reported(end: RunEvent) {
    let from = Instant::now();
    let rows = [
        ("w1", "0.0", 1, Started),
        ("w1", "0.0", 1, end),
        ("w1", "0.0", 1, Started),
        ("w1", "0.0", 1, Lost),
        ("w1", "0.0", 2, Started),
        ("w1", "0.0", 2, Done),
    ];
    assert_eq!(violated(done_job(from), &events(from, &rows)), []);
}

#[test]
fn a_step_that_begins_too_early_is_reported() {
    let from = Instant::now();
    let rows = [
        ("w1", "0.0", 1, Started),
        ("w1", "1.0", 1, Started),
        ("w1", "0.0", 1, Done),
        ("w1", "1.0", 1, Done),
    ];
    assert_eq!(
        violated(done_job(from), &events(from, &rows)),
        [Invariant::StepsInOrder]
    );
}

/// The first step's task is done on a worker that is given up before it tells so; its next run is lost.
#[test]
fn a_step_that_begins_after_a_later_run_of_a_task_that_is_done_is_not_reported() {
    let from = Instant::now();
    let rows = [
        ("w1", "0.0", 1, Started),
        ("w1", "0.0", 1, Done),
        ("w2", "0.0", 2, Started),
        ("w2", "0.0", 2, Lost),
        ("w1", "1.0", 1, Started),
        ("w1", "1.0", 1, Done),
    ];
    assert_eq!(violated(done_job(from), &events(from, &rows)), []);
}

#[test]
fn a_run_of_a_refused_job_is_reported() {
    let from = Instant::now();
    let job = Job {
        refused: true,
        ..Job::default()
    };
    let rows = [("w1", "0.0", 1, Started)];
    assert_eq!(
        violated(job, &events(from, &rows)),
        [Invariant::RefusedNeverRuns]
    );
}

#[test]
fn a_run_of_an_unsubmitted_job_is_reported() {
    let from = Instant::now();
    let found = check(
        &BTreeMap::new(),
        &events(from, &[("w1", "0.0", 1, Started)]),
        &[],
        &[],
    );
    assert_eq!(found[0].invariant, Invariant::RefusedNeverRuns);
}

#[parameterized(
    not_ended = { Job { accepted: Some(Instant::now()), ..Job::default() } },
    failed = { Job { accepted: Some(Instant::now()), failed: true, ..Job::default() } },
    denied = { Job { denied: Some(Instant::now()), ..Job::default() } },
)]
fn an_accepted_job_that_is_lost_or_fails_is_reported(job: Job) {
    assert_eq!(violated(job, &[]), [Invariant::AcceptedIsKept]);
}

#[test]
fn a_start_long_after_a_cancellation_is_reported() {
    let from = Instant::now();
    let job = Job {
        accepted: Some(from),
        cancel_sent: Some(from),
        cancelled: Some(from),
        ..Job::default()
    };
    let rows = [
        ("w1", "0.0", 1, Started),
        ("w1", "0.0", 1, Ended),
        ("w1", "0.1", 1, Started),
        ("w1", "0.1", 1, Ended),
        ("w1", "0.2", 1, Started),
    ];
    assert_eq!(
        violated(job, &events(from, &rows)),
        [Invariant::NoStartAfterCancel]
    );
}

#[parameterized(
    whose_call_came_before_the_end_of_the_grace = { 2, &[] },
    whose_call_came_after_it = { 4, &[Invariant::NoStartAfterCancel] },
)]
fn a_late_start_after_a_cancellation_counts_from_its_call(second: u64, found: &[Invariant]) {
    let from = Instant::now();
    let job = Job {
        accepted: Some(from),
        cancel_sent: Some(from),
        cancelled: Some(from),
        ..Job::default()
    };
    let mut events = events(from, &[("w1", "0.0", 1, Started)]);
    events[0].at = from + Duration::from_secs(6);
    events[0].called_at = from + Duration::from_secs(second);
    assert_eq!(violated(job, &events), found);
}

#[parameterized(
    nothing_ran = { &[] },
    one_still_runs = { &[("w1", "0.0", 1, Started), ("w1", "0.0", 1, Done), ("w1", "0.1", 1, Started)] },
)]
fn a_job_that_is_done_too_early_is_reported(rows: &[(&str, &str, u64, RunEvent)]) {
    let from = Instant::now();
    assert_eq!(
        violated(done_job(from), &events(from, rows)),
        [Invariant::DoneMeansAllTasks]
    );
}

#[test]
fn a_route_reported_as_missing_is_found() {
    let rejection = WrongRejection {
        route: 7,
        entry: 1,
        status: 404,
        age: Duration::from_millis(2_500),
    };
    let found = check(&BTreeMap::new(), &[], &[], &[rejection]);
    let found: Vec<Invariant> = found.iter().map(|violation| violation.invariant).collect();
    assert_eq!(found, [Invariant::ChangesAreInForce]);
}
