//! Tests of workers that restart under the same id: which incarnation is current, and what happens to the runs of
//! earlier incarnations.

mod fixture;
#[expect(dead_code, reason = "stops are not tested here")]
mod harness;

use fixture::{job, step, worker};
use harness::{Harness, row, task};
use havenladder_jobs::{
    EndRow, Ending, Limits, Listing, Loss, Phase, Report, ResponseOutcome, RunId, RunOutcome,
    StartedAtMs, TaskId, WorkerId, WorkerInfo, name_of,
};
use std::time::Duration;
use yare::parameterized;

/// Maximum duration of a lease that a worker grants.
const MAX_LEASE: Duration = Duration::from_millis(6_000);

/// Returns the id of the incarnation of worker `a1` that started at the given time.
fn incarnation(started_at: StartedAtMs) -> WorkerId {
    WorkerId::new("a1", Some(started_at))
}

/// Applies a list entry of an incarnation of worker `a1`.
fn apply_entry(harness: &mut Harness, started_at: Option<StartedAtMs>) -> Listing {
    let info = WorkerInfo {
        id: WorkerId::new("a1", started_at),
        ..worker("a1")
    };
    harness.advance(1);
    harness.cell.list_worker(info, harness.now)
}

/// Records a response to a poll that was sent to the incarnation `polled` and got a response 1 ms later from the
/// incarnation that started at `started_at`.
fn poll(
    harness: &mut Harness,
    polled: &WorkerId,
    started_at: Option<StartedAtMs>,
) -> ResponseOutcome {
    harness.advance(1);
    let polled_at = harness.now;
    harness.advance(1);
    harness
        .cell
        .record_response(polled, started_at, polled_at, harness.now)
}

/// Records a response and a report of the polled incarnation, abandons the incarnations that it has outlived and
/// returns their ids.
fn respond(harness: &mut Harness, incarnation: &WorkerId, report: &Report) -> Vec<WorkerId> {
    let outcome = poll(harness, incarnation, incarnation.started_at());
    assert!(
        matches!(outcome, ResponseOutcome::Same { .. }),
        "{outcome:?}"
    );
    let polled_at = harness.now - Duration::from_millis(1);
    harness
        .cell
        .apply_report(incarnation, report, polled_at, harness.now);
    let outlived = harness.cell.outlived_incarnations(incarnation, polled_at);
    for ended_incarnation in &outlived {
        harness
            .cell
            .abandon_worker(ended_incarnation, Loss::Ended, harness.now);
    }
    outlived
}

/// Returns a harness with the worker `a1`, whose incarnation has been listed and contacted.
fn contacted_harness(started_at: StartedAtMs) -> Harness {
    let mut harness = Harness::new(&[]);
    assert_eq!(
        apply_entry(&mut harness, Some(started_at)),
        Listing::Incarnation(incarnation(started_at))
    );
    assert!(respond(&mut harness, &incarnation(started_at), &Report::default()).is_empty());
    harness
}

/// Returns a report of running runs and of ended ones, which are numbered from 1.
fn report(running: &[(TaskId, RunId)], ended: &[(TaskId, RunId)]) -> Report {
    let rows = running.iter().map(|(task, run)| row(*task, *run, 50));
    let ends = (1..).zip(ended).map(|(number, (task, run))| EndRow {
        number,
        task: *task,
        run: *run,
        how: RunOutcome::Done,
        saved: String::new(),
    });
    Report {
        running: rows.collect(),
        ended: ends.collect(),
        ..Report::default()
    }
}

#[test]
fn ends_of_the_next_incarnation_are_accepted_from_number_one() {
    let mut harness = contacted_harness(5);
    harness.cell.accept(job(1, vec![step(2)]));
    assert_eq!(harness.start_tasks().len(), 2);
    let done = [(task(1, 0, 0), 1), (task(1, 0, 1), 1)];
    respond(&mut harness, &incarnation(5), &report(&[], &done));
    assert_eq!(harness.cell.jobs[&1].phase, Phase::Succeeded);

    assert_eq!(
        poll(&mut harness, &incarnation(5), Some(9)),
        ResponseOutcome::Replaced {
            next: incarnation(9),
            restarted: true
        }
    );
    apply_entry(&mut harness, Some(9));
    assert_eq!(
        respond(&mut harness, &incarnation(9), &Report::default()),
        [incarnation(5)]
    );
    harness.cell.accept(job(2, vec![step(1)]));
    let started = harness.start_tasks();
    assert_eq!(started, [(incarnation(9), task(2, 0, 0), 1)]);
    respond(
        &mut harness,
        &incarnation(9),
        &report(&[], &[(task(2, 0, 0), 1)]),
    );
    assert_eq!(harness.cell.jobs[&2].phase, Phase::Succeeded);
}

#[parameterized(still_running = { false }, ended = { true })]
fn a_start_received_by_the_next_incarnation_is_its_run(ended: bool) {
    let mut harness = contacted_harness(5);
    harness.cell.accept(job(1, vec![step(1)]));
    let started = harness.start_tasks();
    assert_eq!(started, [(incarnation(5), task(1, 0, 0), 1)]);
    poll(&mut harness, &incarnation(5), Some(9));
    let run = [(task(1, 0, 0), 1)];
    let listed = if ended {
        report(&[], &run)
    } else {
        report(&run, &[])
    };
    respond(&mut harness, &incarnation(9), &listed);
    assert!(
        harness.start_tasks().is_empty(),
        "the task is not started a second time"
    );
    if ended {
        assert_eq!(harness.cell.jobs[&1].phase, Phase::Succeeded);
    } else {
        assert!(harness.cell.is_current(&incarnation(9), task(1, 0, 0), 1));
    }
}

#[test]
fn runs_of_an_incarnation_restart_only_after_the_next_one_was_polled() {
    let mut harness = contacted_harness(5);
    harness.cell.accept(job(1, vec![step(1)]));
    harness.start_tasks();
    poll(&mut harness, &incarnation(5), Some(9));
    apply_entry(&mut harness, Some(9));
    assert!(
        harness.start_tasks().is_empty(),
        "the next incarnation may have the run"
    );
    assert_eq!(
        respond(&mut harness, &incarnation(9), &Report::default()),
        [incarnation(5)]
    );
    assert_eq!(harness.start_tasks(), [(incarnation(9), task(1, 0, 0), 2)]);
}

#[test]
fn an_incarnation_is_polled_again_after_its_first_response() {
    let mut harness = contacted_harness(5);
    harness.cell.accept(job(1, vec![step(1)]));
    harness.start_tasks();
    apply_entry(&mut harness, Some(9));
    assert_eq!(
        poll(&mut harness, &incarnation(9), Some(9)),
        ResponseOutcome::Same { restarted: true }
    );
    let polled_at = harness.now - Duration::from_millis(1);
    assert!(
        harness
            .cell
            .outlived_incarnations(&incarnation(9), polled_at)
            .is_empty(),
        "the fence of the first poll still admits calls to the previous incarnation"
    );
    assert_eq!(
        respond(&mut harness, &incarnation(9), &Report::default()),
        [incarnation(5)]
    );
}

#[test]
fn the_fence_of_calls_rises_with_each_incarnation() {
    let mut harness = contacted_harness(5);
    assert_eq!(harness.cell.incarnation_changes(&incarnation(5)), 0);
    poll(&mut harness, &incarnation(5), Some(9));
    assert_eq!(harness.cell.incarnation_changes(&incarnation(9)), 1);
    respond(&mut harness, &incarnation(9), &Report::default());
    poll(&mut harness, &incarnation(9), Some(7));
    assert_eq!(harness.cell.incarnation_changes("a1"), 2);
}

#[test]
fn an_incarnation_whose_clock_was_set_back_is_current() {
    let mut harness = contacted_harness(1_000);
    poll(&mut harness, &incarnation(1_000), Some(3));
    assert_eq!(
        respond(&mut harness, &incarnation(3), &Report::default()),
        [incarnation(1_000)]
    );
    assert_eq!(
        harness.cell.current_incarnation("a1"),
        Some(&incarnation(3))
    );
}

#[test]
fn an_outdated_response_is_ignored() {
    let mut harness = contacted_harness(5);
    harness.advance(10);
    let early = harness.now;
    poll(&mut harness, &incarnation(5), Some(9));
    respond(&mut harness, &incarnation(9), &Report::default());
    let late = harness
        .cell
        .record_response(&incarnation(9), Some(5), early, harness.now);
    assert_eq!(late, ResponseOutcome::Outdated);
    assert_eq!(
        harness.cell.current_incarnation("a1"),
        Some(&incarnation(9))
    );
}

#[test]
fn a_late_entry_of_an_ended_incarnation_is_ignored() {
    let mut harness = contacted_harness(5);
    poll(&mut harness, &incarnation(5), Some(9));
    respond(&mut harness, &incarnation(9), &Report::default());
    assert_eq!(apply_entry(&mut harness, Some(5)), Listing::Ended);
    assert!(harness.cell.workers.get(&incarnation(5)).is_none());
}

#[test]
fn an_entry_alone_does_not_end_an_incarnation() {
    let mut harness = contacted_harness(5);
    harness.cell.accept(job(1, vec![step(1)]));
    harness.start_tasks();
    assert_eq!(
        apply_entry(&mut harness, Some(9)),
        Listing::Incarnation(incarnation(9))
    );
    assert_eq!(
        harness.cell.current_incarnation("a1"),
        Some(&incarnation(5))
    );
    // The entry came from another writer: the worker still responds as the first incarnation.
    assert_eq!(
        poll(&mut harness, &incarnation(9), Some(5)),
        ResponseOutcome::Replaced {
            next: incarnation(5),
            restarted: false
        }
    );
    let run = [(task(1, 0, 0), 1)];
    assert_eq!(
        respond(&mut harness, &incarnation(5), &report(&run, &[])),
        [incarnation(9)]
    );
    assert!(harness.cell.is_current(&incarnation(5), task(1, 0, 0), 1));
}

#[test]
fn an_entry_without_a_start_time_belongs_to_the_responding_incarnation() {
    let mut harness = contacted_harness(5);
    assert_eq!(
        apply_entry(&mut harness, None),
        Listing::Incarnation(incarnation(5))
    );
}

#[test]
fn a_worker_that_never_reports_its_start_time_is_used_by_name() {
    let mut harness = Harness::new(&[]);
    let id = WorkerId::new("a1", None);
    assert_eq!(
        apply_entry(&mut harness, None),
        Listing::Incarnation(id.clone())
    );
    respond(&mut harness, &id, &Report::default());
    assert_eq!(
        apply_entry(&mut harness, None),
        Listing::Incarnation(id.clone())
    );
    harness.cell.accept(job(1, vec![step(1)]));
    assert_eq!(harness.start_tasks(), [(id.clone(), task(1, 0, 0), 1)]);
    respond(&mut harness, &id, &report(&[], &[(task(1, 0, 0), 1)]));
    assert_eq!(harness.cell.jobs[&1].phase, Phase::Succeeded);
    assert_eq!(harness.cell.incarnation_changes(&id), 0);
}

#[test]
fn a_worker_whose_responses_lack_a_start_time_is_identified_by_its_newest_entry() {
    let mut harness = Harness::new(&[]);
    apply_entry(&mut harness, Some(5));
    assert_eq!(
        poll(&mut harness, &incarnation(5), None),
        ResponseOutcome::Same { restarted: false }
    );
    apply_entry(&mut harness, Some(9));
    assert_eq!(
        poll(&mut harness, &incarnation(5), None),
        ResponseOutcome::Replaced {
            next: incarnation(9),
            restarted: true
        }
    );
    assert_eq!(
        poll(&mut harness, &incarnation(9), None),
        ResponseOutcome::Same { restarted: false }
    );
}

#[test]
fn an_incarnation_gets_no_runs_before_its_own_entry_is_read() {
    let mut harness = contacted_harness(5);
    poll(&mut harness, &incarnation(5), Some(9));
    respond(&mut harness, &incarnation(9), &Report::default());
    harness.cell.accept(job(1, vec![step(1)]));
    assert!(
        harness.start_tasks().is_empty(),
        "the incarnation may have other properties"
    );
    assert_eq!(
        apply_entry(&mut harness, Some(9)),
        Listing::Incarnation(incarnation(9))
    );
    assert_eq!(harness.start_tasks().len(), 1);
}

#[test]
fn a_worker_may_restart_twice_between_two_polls() {
    let mut harness = contacted_harness(5);
    harness.cell.accept(job(1, vec![step(1)]));
    harness.start_tasks();
    poll(&mut harness, &incarnation(5), Some(7));
    poll(&mut harness, &incarnation(7), Some(9));
    apply_entry(&mut harness, Some(9));
    let mut outlived = respond(&mut harness, &incarnation(9), &Report::default());
    outlived.sort();
    assert_eq!(outlived, [incarnation(5), incarnation(7)]);
    assert_eq!(harness.start_tasks(), [(incarnation(9), task(1, 0, 0), 2)]);
}

#[test]
fn the_end_of_an_incarnation_counts_as_a_crash() {
    let mut harness = contacted_harness(5);
    harness.cell.accept(job(1, vec![step(1)]));
    harness.start_tasks();
    poll(&mut harness, &incarnation(5), Some(9));
    let lost = harness
        .cell
        .abandon_worker(&incarnation(5), Loss::Ended, harness.now);
    let lost = lost.map(|lost| (lost.ending, lost.runs.len()));
    assert_eq!(lost, Some((Ending::Crashed, 1)));
}

#[test]
fn a_new_owner_knows_from_the_records_which_incarnation_had_a_run() {
    let mut harness = contacted_harness(5);
    harness.cell.accept(job(1, vec![step(1)]));
    harness.start_tasks();
    harness.take_over();
    apply_entry(&mut harness, Some(9));
    assert!(
        harness.start_tasks().is_empty(),
        "the state of the run is unknown"
    );
    assert_eq!(
        respond(&mut harness, &incarnation(9), &Report::default()),
        [incarnation(5)]
    );
    assert_eq!(harness.start_tasks(), [(incarnation(9), task(1, 0, 0), 2)]);
    let crashes = |harness: &Harness| {
        let task = harness.cell.jobs[&1].task(0, 0, 0);
        task.map_or(0, |task| task.history.crashes.len())
    };
    assert_eq!(
        crashes(&harness),
        1,
        "the end of the previous incarnation counts"
    );
}

#[test]
fn a_new_owner_adopts_a_run_received_by_the_next_incarnation() {
    let mut harness = contacted_harness(5);
    harness.cell.accept(job(1, vec![step(1)]));
    harness.start_tasks();
    harness.take_over();
    apply_entry(&mut harness, Some(9));
    let run = [(task(1, 0, 0), 1)];
    respond(&mut harness, &incarnation(9), &report(&run, &[]));
    assert!(harness.cell.is_current(&incarnation(9), task(1, 0, 0), 1));
    assert!(harness.start_tasks().is_empty());
}

#[test]
fn an_unlisted_run_ends_only_after_the_maximum_lease() {
    let mut harness = contacted_harness(5);
    harness.cell.limits = Limits {
        max_lease: MAX_LEASE,
        ..Limits::default()
    };
    harness.cell.accept(job(1, vec![step(2)]));
    harness.start_tasks();
    let (listed, unlisted) = (task(1, 0, 0), task(1, 0, 1));
    harness
        .cell
        .start_accepted(&incarnation(5), unlisted, 1, harness.now);
    let one = report(&[(listed, 1)], &[]);
    harness
        .cell
        .record_response(&incarnation(5), Some(5), harness.now, harness.now);
    harness.cell.apply_report(
        &incarnation(5),
        &one,
        harness.now - Duration::from_millis(9),
        harness.now,
    );
    let expire = |harness: &mut Harness| {
        let lost = harness.cell.expire_lease(&incarnation(5), harness.now);
        let runs = lost.map_or(Vec::new(), |lost| lost.runs);
        runs.into_iter().map(|run| run.task).collect::<Vec<_>>()
    };
    harness.advance(4_000);
    assert_eq!(expire(&mut harness), [listed]);
    assert!(expire(&mut harness).is_empty());
    harness.advance(2_100);
    assert!(expire(&mut harness).contains(&unlisted));
}

#[test]
fn incarnations_known_only_from_entries_are_bounded() {
    let mut harness = contacted_harness(5);
    for started_at in 100..200 {
        apply_entry(&mut harness, Some(started_at));
    }
    assert!(harness.cell.incarnations_of("a1").len() <= 4);
    assert!(harness.cell.workers.get(&incarnation(5)).is_some());
}

#[test]
fn a_million_entries_of_nonexistent_workers_are_bounded() {
    let mut harness = contacted_harness(5);
    let mut refused = 0;
    for number in 0..1_000_000 {
        let info = WorkerInfo {
            id: WorkerId::new(&format!("ghost-{number}"), None),
            ..worker("a1")
        };
        let listing = harness.cell.list_worker(info, harness.now);
        refused += usize::from(listing == Listing::LimitReached);
    }
    assert!(
        refused >= 900_000,
        "{refused} of a million entries were refused"
    );
    assert_eq!(
        apply_entry(&mut harness, Some(5)),
        Listing::Incarnation(incarnation(5)),
        "a known worker is still accepted"
    );
}

#[parameterized(
    plain = { "w-1", None },
    with_start_time = { "w-1", Some(1_796_262_123_456) },
    with_at_sign = { "w@5", None },
    with_both = { "w@5", Some(7) },
    ending_with_at_sign = { "w@", None },
    largest = { "w", Some(u64::MAX) }
)]
fn an_incarnation_id_is_parsed_from_its_text(name: &str, started_at: Option<StartedAtMs>) {
    let incarnation = WorkerId::new(name, started_at);
    assert_eq!(
        (incarnation.name(), incarnation.started_at()),
        (name, started_at)
    );
    assert_eq!(name_of(&incarnation), name);
    assert_eq!(WorkerId::from(&*incarnation), incarnation);
}
