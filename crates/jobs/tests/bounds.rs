//! Tests of the bounds of workspaces, which limit what a workspace may have running, when runs, owners and
//! configurations change.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

mod fixture;
mod harness;

use fixture::{job, step, worker};
use harness::{Harness, row, task};
use havenladder_jobs::{
    Bound, JobId, Limits, Loss, Need, Order, Refusal, Report, RunOutcome, Step, Submission,
    decode_entry,
};
use std::time::Duration;

/// The workspace of most jobs in these tests.
const SCHOOL: &str = "school";

/// Returns a bound of the given number of cores.
fn cores(count: u64) -> Bound {
    Bound::new(Need {
        cpu: count * 1_000,
        memory: 0,
        gpu: 0,
    })
}

/// Returns a job of a workspace.
fn job_of(workspace: &str, id: JobId, steps: Vec<Step>) -> Submission {
    Submission {
        workspace: Some(workspace.to_owned()),
        ..job(id, steps)
    }
}

/// Returns a harness with three workers of four cores each, in which the workspace has the given bound.
fn harness_with_bound(bound: Bound) -> Harness {
    let mut harness = Harness::new(&["a1", "b1", "c1"]);
    set_bound(&mut harness, bound);
    harness
}

fn set_bound(harness: &mut Harness, bound: Bound) {
    harness.cell.set_bounds([(SCHOOL.to_owned(), bound)]);
}

/// Returns the number of cores that runs of the workspace use, or may use.
fn used(harness: &Harness) -> u64 {
    harness
        .cell
        .account(SCHOOL)
        .map_or(0, |a| a.used().cpu / 1_000)
}

#[test]
fn no_start_exceeds_the_bound() {
    let mut harness = harness_with_bound(cores(3));
    harness.cell.accept(job_of(SCHOOL, 1, vec![step(5)]));
    let started = harness.start_tasks();
    assert_eq!(started.len(), 3);
    assert_eq!(harness.cell.blocked_tasks(SCHOOL), 2);
    let (id, task, run) = started[0].clone();
    harness.report_end(&id, 1, task, run, RunOutcome::Done);
    assert_eq!(
        harness.start_tasks().len(),
        1,
        "one run ended, so one task starts"
    );
    assert_eq!(used(&harness), 3);
}

#[test]
fn blocked_tasks_neither_block_other_workspaces_nor_demand_capacity() {
    let mut harness = harness_with_bound(cores(1));
    harness.cell.accept(job_of(SCHOOL, 1, vec![step(40)]));
    harness.cell.accept(job_of("other", 2, vec![step(2)]));
    harness.cell.accept(job(3, vec![step(2)]));
    harness.cell.set_bounds([
        (SCHOOL.to_owned(), cores(1)),
        ("other".to_owned(), cores(9)),
    ]);
    assert_eq!(harness.start_tasks().len(), 5);
    let demand = harness.cell.demand("s");
    assert_eq!(demand.waiting, Need::default());
    assert_eq!(demand.unschedulable.need, Need::default());
}

#[test]
fn a_blocked_long_running_task_demands_no_capacity() {
    let mut harness = harness_with_bound(cores(2));
    let long_running_step = Step {
        long_running: true,
        ..step(4)
    };
    harness
        .cell
        .accept(job_of(SCHOOL, 1, vec![long_running_step]));
    assert_eq!(harness.start_tasks().len(), 2);
    assert_eq!(harness.cell.demand("s").unschedulable.need, Need::default());
    assert!(harness.cell.waiting_long_running().is_empty());
}

#[test]
fn a_raised_bound_takes_effect_immediately_and_a_lowered_one_stops_nothing() {
    let mut harness = harness_with_bound(cores(2));
    harness.cell.accept(job_of(SCHOOL, 1, vec![step(9)]));
    assert_eq!(harness.start_tasks().len(), 2);
    set_bound(&mut harness, cores(5));
    let started = harness.start_tasks();
    assert_eq!(started.len(), 3);
    set_bound(&mut harness, cores(1));
    assert!(harness.start_tasks().is_empty());
    assert!(harness.take_stops().is_empty());
    let (id, task, run) = started[0].clone();
    harness.report_end(&id, 1, task, run, RunOutcome::Done);
    assert!(
        harness.start_tasks().is_empty(),
        "four runs are still running"
    );
    set_bound(&mut harness, Bound::NONE);
    assert_eq!(harness.start_tasks().len(), 4, "the bound was removed");
}

#[test]
fn a_run_counts_until_it_is_known_to_have_ended() {
    let mut harness = harness_with_bound(cores(1));
    harness.cell.accept(job_of(SCHOOL, 1, vec![step(1)]));
    let (id, first, run) = harness.start_tasks().remove(0);
    assert_eq!(first, task(1, 0, 0));
    harness.cell.cancel(1);
    harness.cell.accept(job_of(SCHOOL, 2, vec![step(1)]));
    assert!(
        harness.start_tasks().is_empty(),
        "the run of job 1 is still being stopped"
    );
    harness.cell.stop_accepted(&id, first, run, harness.now);
    assert!(
        harness.start_tasks().is_empty(),
        "the stopped run may still take time to end"
    );
    harness.advance(1_000);
    let empty_report = Report::default();
    harness.report(&id, empty_report);
    assert_eq!(harness.start_tasks().len(), 1);
}

#[test]
fn a_start_without_a_response_counts() {
    let mut harness = harness_with_bound(cores(1));
    harness.cell.accept(job_of(SCHOOL, 1, vec![step(1)]));
    let (id, task, run) = harness.start_tasks().remove(0);
    harness.cell.unacked(&id, task, run);
    harness.cell.accept(job_of(SCHOOL, 2, vec![step(1)]));
    assert!(harness.start_tasks().is_empty());
    assert_eq!(used(&harness), 1);
}

#[test]
fn a_refused_start_releases_its_share() {
    let mut harness = harness_with_bound(cores(1));
    harness.cell.accept(job_of(SCHOOL, 1, vec![step(1)]));
    let (id, task, run) = harness.start_tasks().remove(0);
    harness
        .cell
        .start_refused(&id, task, run, Refusal::Room, harness.now);
    assert_eq!(used(&harness), 0);
}

#[test]
fn runs_of_a_lost_worker_count_until_its_lease_expires() {
    let mut harness = harness_with_bound(cores(1));
    harness.cell.accept(job_of(SCHOOL, 1, vec![step(1)]));
    let (id, ..) = harness.start_tasks().remove(0);
    harness.cell.accept(job_of(SCHOOL, 2, vec![step(1)]));
    harness.cell.mark_silent(&id, harness.now);
    assert!(harness.start_tasks().is_empty());
    harness.cell.abandon_worker(&id, Loss::Lapsed, harness.now);
    assert_eq!(harness.start_tasks().len(), 1);
    assert_eq!(used(&harness), 1);
}

#[test]
fn a_new_owner_counts_the_runs_placed_by_earlier_owners() {
    let mut harness = harness_with_bound(cores(2));
    harness.cell.accept(job_of(SCHOOL, 1, vec![step(4)]));
    let started = harness.start_tasks();
    assert_eq!(started.len(), 2);
    harness.take_over();
    harness.take_over();
    set_bound(&mut harness, cores(2));
    assert_eq!(
        used(&harness),
        2,
        "runs on workers that are not listed yet count"
    );
    harness.add_worker("d1");
    assert!(harness.start_tasks().is_empty());
    for id in ["a1", "b1", "c1"] {
        harness.cell.upsert_worker(worker(id), harness.now);
    }
    assert_eq!(
        used(&harness),
        2,
        "runs on workers that have not responded yet count"
    );
    assert!(harness.start_tasks().is_empty());
}

#[test]
fn a_new_owner_starts_nothing_before_it_knows_the_bounds() {
    let mut harness = harness_with_bound(cores(2));
    harness.cell.accept(job_of(SCHOOL, 1, vec![step(4)]));
    harness.cell.schedule(harness.now);
    let batch = harness.cell.take_batch();
    harness.log.extend(batch.entries);
    harness.take_over();
    harness.add_worker("d1");
    assert!(harness.start_tasks().is_empty());
    set_bound(&mut harness, cores(4));
    // The two tasks that the earlier owner placed may be running.
    assert_eq!(harness.start_tasks().len(), 2);
}

#[test]
fn a_workspace_that_is_no_longer_configured_keeps_its_bound() {
    let mut harness = harness_with_bound(cores(2));
    harness.cell.accept(job_of(SCHOOL, 1, vec![step(4)]));
    assert_eq!(harness.start_tasks().len(), 2);
    harness.cell.set_bounds([]);
    assert!(
        harness.start_tasks().is_empty(),
        "the workspace keeps its last bound"
    );
    harness.take_over();
    for id in ["a1", "b1", "c1"] {
        harness.add_worker(id);
    }
    harness.cell.set_bounds([]);
    assert_eq!(
        harness.start_tasks().len(),
        4,
        "the new owner knows of no bound"
    );
}

#[test]
fn possibly_unrecorded_runs_count_until_all_workers_are_contacted() {
    let mut harness = harness_with_bound(cores(3));
    harness.cell.accept(job_of(SCHOOL, 1, vec![step(2)]));
    // Job 2 is submitted and recorded but not started: the earlier owner may have started it without a record.
    harness.cell.take_batch();
    let batch = {
        harness.cell.accept(job_of(SCHOOL, 2, vec![step(1)]));
        harness.cell.take_batch()
    };
    harness.log.extend(batch.entries);
    harness.take_over();
    let expires = harness.now + Duration::from_secs(9);
    harness.cell.raise_takeover_barrier(expires, false);
    set_bound(&mut harness, cores(1));
    harness.cell.accept(job_of(SCHOOL, 3, vec![step(1)]));
    harness.cell.upsert_worker(worker("a1"), harness.now);
    harness.add_worker("b1");
    harness.cell.mark_listed();
    assert!(harness.start_tasks().is_empty(), "job 2 may run on a1");
    harness.report("a1", Report::default());
    assert_eq!(harness.start_tasks().len(), 1);
    assert_eq!(used(&harness), 1);
}

#[test]
fn a_gang_starts_completely_or_not_at_all() {
    let mut harness = harness_with_bound(cores(3));
    let gang = Step {
        gang: true,
        ..step(3)
    };
    harness.cell.accept(job_of(SCHOOL, 1, vec![step(1)]));
    harness.cell.accept(job_of(SCHOOL, 2, vec![gang]));
    let started = harness.start_tasks();
    assert_eq!(started.len(), 1, "only a part of the gang would fit");
    // A small job that is submitted later does not start before the gang.
    harness.cell.accept(job_of(SCHOOL, 3, vec![step(1)]));
    assert!(harness.start_tasks().is_empty());
    let (id, task, run) = started[0].clone();
    harness.report_end(&id, 1, task, run, RunOutcome::Done);
    assert_eq!(harness.start_tasks().len(), 3);
}

#[test]
fn a_best_effort_task_counts_with_its_whole_need() {
    let mut harness = harness_with_bound(cores(1));
    let best_effort_step = Step {
        best_effort: true,
        long_running: true,
        ..step(2)
    };
    harness
        .cell
        .accept(job_of(SCHOOL, 1, vec![best_effort_step]));
    assert_eq!(harness.start_tasks().len(), 1);
}

#[test]
fn a_task_is_not_blocked_by_a_resource_that_it_does_not_need() {
    let bound = Bound::new(Need {
        cpu: 0,
        memory: 1,
        gpu: 0,
    });
    let memory = Need {
        cpu: 0,
        memory: 100,
        gpu: 0,
    };
    assert!(!bound.allows(Need::default(), memory));
    let cpu = Need {
        cpu: 100,
        ..Need::default()
    };
    assert!(
        bound.allows(memory, cpu),
        "the exceeded memory bound does not matter"
    );
}

#[test]
fn an_unknown_run_counts_once_a_report_lists_it() {
    let mut harness = harness_with_bound(cores(1));
    harness.cell.accept(job_of(SCHOOL, 1, vec![step(1)]));
    let (id, task, run) = harness.start_tasks().remove(0);
    harness.cell.abandon_worker(&id, Loss::Lapsed, harness.now);
    harness.cell.upsert_worker(worker("a1"), harness.now);
    assert_eq!(used(&harness), 0);
    let report = Report {
        running: vec![row(task, run, 10)],
        ended: vec![],
        ..Report::default()
    };
    harness.report("a1", report);
    assert_eq!(used(&harness), 1);
}

#[test]
fn a_job_that_can_never_run_is_detected_immediately() {
    let harness = harness_with_bound(cores(2));
    let large = Step {
        need: Need {
            cpu: 2_001,
            ..step(1).need
        },
        ..step(1)
    };
    let gang = Step {
        gang: true,
        ..step(3)
    };
    assert!(
        harness
            .cell
            .exceeds_bound(SCHOOL, &[step(1), large.clone()])
    );
    assert!(harness.cell.exceeds_bound(SCHOOL, &[gang]));
    assert!(!harness.cell.exceeds_bound(SCHOOL, &[step(40)]));
    assert!(
        !harness.cell.exceeds_bound("other", &[large]),
        "the bound of the other workspace is unknown"
    );
}

#[test]
fn the_workspace_of_a_job_is_kept_after_its_end() {
    let mut harness = harness_with_bound(cores(2));
    harness.cell.accept(job_of(SCHOOL, 1, vec![step(1)]));
    harness.start_tasks();
    harness.cell.cancel(1);
    harness.start_tasks();
    harness.take_over();
    let workspace = harness.cell.jobs[&1].submission.workspace.clone();
    assert_eq!(workspace.as_deref(), Some(SCHOOL));
}

#[test]
fn records_without_a_workspace_are_loaded() {
    /// A submission as it was recorded before workspaces were introduced.
    #[derive(serde::Serialize)]
    struct OldSubmission(
        u64,
        String,
        String,
        u32,
        u32,
        bool,
        u64,
        f64,
        u64,
        havenladder_jobs::JobSpec,
    );
    let submission = job(7, vec![step(1)]);
    let old_submission = OldSubmission(
        submission.id,
        submission.queue.clone(),
        submission.service.clone(),
        submission.priority,
        submission.max_attempts,
        submission.requires_permits,
        submission.submitted_at,
        submission.stretch,
        submission.slack,
        submission.spec.clone(),
    );
    let value = rmp_serde::to_vec(&(3u64, old_submission)).unwrap();
    let state = rmp_serde::to_vec(&(havenladder_jobs::Phase::Succeeded, Vec::<u8>::new())).unwrap();
    let records = vec![
        decode_entry("g0000000000000007", &value).unwrap(),
        decode_entry("s0000000000000008", &state).unwrap(),
    ];
    let mut cell = havenladder_jobs::Cell::new(Limits::default());
    let unreadable = cell.load_records(records);
    assert_eq!(
        unreadable,
        [7],
        "the state of job 7 is missing, but its submission is decoded"
    );
    assert_eq!(cell.jobs[&8].submission.workspace, None);
}

#[test]
fn a_wait_for_a_bound_is_reported_once_when_it_begins_and_ends() {
    let mut harness = harness_with_bound(cores(1));
    harness.cell.accept(job_of(SCHOOL, 1, vec![step(2)]));
    let (id, task, run) = harness.start_tasks().remove(0);
    harness.start_tasks();
    let waits = harness.cell.take_bound_waits();
    assert_eq!(waits.iter().map(|w| w.waits).collect::<Vec<_>>(), [true]);
    assert_eq!(waits[0].used.cpu, 1_000);
    harness.report_end(&id, 1, task, run, RunOutcome::Done);
    harness.start_tasks();
    let waits = harness.cell.take_bound_waits();
    assert_eq!(waits.iter().map(|w| w.waits).collect::<Vec<_>>(), [false]);
}

/// Lowers the bound while the starts of a job wait for their records, and returns the number of starts that are
/// still sent.
fn confirm_under(lowered: Bound, steps: Vec<Step>) -> (Harness, usize) {
    let mut harness = harness_with_bound(cores(5));
    harness.cell.accept(job_of(SCHOOL, 1, steps));
    harness.cell.schedule(harness.now);
    let batch = harness.cell.take_batch();
    set_bound(&mut harness, lowered);
    harness.cell.confirm(&batch);
    let mut sent = 0;
    for order in batch.starts {
        if let Order::Start { worker, task, run } = order
            && harness.cell.prepare_start(&worker, task, run, harness.now)
        {
            sent += 1;
        }
    }
    (harness, sent)
}

#[test]
fn a_start_with_a_late_record_respects_the_bound_at_that_time() {
    let (harness, sent) = confirm_under(cores(2), vec![step(5)]);
    assert_eq!(sent, 2);
    assert_eq!(used(&harness), 2);
    let (mut harness, sent) = confirm_under(Bound::CLOSED, vec![step(5)]);
    assert_eq!(sent, 0);
    set_bound(&mut harness, cores(5));
    assert_eq!(
        harness.start_tasks().len(),
        5,
        "the withdrawn tasks wait to be started again"
    );
}

#[test]
fn a_gang_with_a_late_record_starts_completely_or_not_at_all() {
    let gang = Step {
        gang: true,
        ..step(4)
    };
    let (mut harness, sent) = confirm_under(cores(3), vec![gang]);
    assert_eq!(sent, 0);
    assert_eq!(used(&harness), 0);
    set_bound(&mut harness, cores(4));
    assert_eq!(harness.start_tasks().len(), 4);
}
