//! What workspaces may have running: their bounds under every change of runs, owners and configurations.

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

/// The workspace of most jobs here.
const SCHOOL: &str = "school";

/// A bound of so many cores.
fn cores(count: u64) -> Bound {
    Bound::new(Need {
        cpu: count * 1_000,
        memory: 0,
        gpu: 0,
    })
}

/// A job of a workspace.
fn job_of(workspace: &str, id: JobId, steps: Vec<Step>) -> Submission {
    Submission {
        workspace: Some(workspace.to_owned()),
        ..job(id, steps)
    }
}

/// A cell with three workers of four cores each, in which the workspace has a bound.
fn harness(bound: Bound) -> Harness {
    let mut harness = Harness::new(&["a1", "b1", "c1"]);
    set(&mut harness, bound);
    harness
}

fn set(harness: &mut Harness, bound: Bound) {
    harness.cell.set_bounds([(SCHOOL.to_owned(), bound)]);
}

/// How many cores the workspace has running, or may have.
fn used(harness: &Harness) -> u64 {
    harness
        .cell
        .account(SCHOOL)
        .map_or(0, |a| a.used().cpu / 1_000)
}

#[test]
fn no_start_goes_over_the_bound() {
    let mut harness = harness(cores(3));
    harness.cell.accept(job_of(SCHOOL, 1, vec![step(5)]));
    let started = harness.start_tasks();
    assert_eq!(started.len(), 3);
    assert_eq!(harness.cell.blocked_tasks(SCHOOL), 2);
    let (id, task, run) = started[0].clone();
    harness.report_end(&id, 1, task, run, RunOutcome::Done);
    assert_eq!(harness.start_tasks().len(), 1, "one ended, one starts");
    assert_eq!(used(&harness), 3);
}

#[test]
fn what_waits_for_its_bound_holds_up_nobody_and_asks_for_no_room() {
    let mut harness = harness(cores(1));
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
fn a_lasting_task_that_waits_for_its_bound_asks_for_no_room() {
    let mut harness = harness(cores(2));
    let lasting = Step {
        long_running: true,
        ..step(4)
    };
    harness.cell.accept(job_of(SCHOOL, 1, vec![lasting]));
    assert_eq!(harness.start_tasks().len(), 2);
    assert_eq!(harness.cell.demand("s").unschedulable.need, Need::default());
    assert!(harness.cell.waiting_long_running().is_empty());
}

#[test]
fn a_raised_bound_counts_at_once_and_a_lowered_one_stops_nothing() {
    let mut harness = harness(cores(2));
    harness.cell.accept(job_of(SCHOOL, 1, vec![step(9)]));
    assert_eq!(harness.start_tasks().len(), 2);
    set(&mut harness, cores(5));
    let started = harness.start_tasks();
    assert_eq!(started.len(), 3);
    set(&mut harness, cores(1));
    assert!(harness.start_tasks().is_empty());
    assert!(harness.take_stops().is_empty());
    let (id, task, run) = started[0].clone();
    harness.report_end(&id, 1, task, run, RunOutcome::Done);
    assert!(harness.start_tasks().is_empty(), "four still run");
    set(&mut harness, Bound::NONE);
    assert_eq!(harness.start_tasks().len(), 4, "the bound is off");
}

#[test]
fn a_run_counts_until_it_is_known_to_be_gone() {
    let mut harness = harness(cores(1));
    harness.cell.accept(job_of(SCHOOL, 1, vec![step(1)]));
    let (id, first, run) = harness.start_tasks().remove(0);
    assert_eq!(first, task(1, 0, 0));
    harness.cell.cancel(1);
    harness.cell.accept(job_of(SCHOOL, 2, vec![step(1)]));
    assert!(
        harness.start_tasks().is_empty(),
        "the first is being stopped"
    );
    harness.cell.stop_accepted(&id, first, run, harness.now);
    assert!(harness.start_tasks().is_empty(), "it has its time to end");
    harness.advance(1_000);
    let gone = Report::default();
    harness.report(&id, gone);
    assert_eq!(harness.start_tasks().len(), 1);
}

#[test]
fn a_start_without_an_answer_counts() {
    let mut harness = harness(cores(1));
    harness.cell.accept(job_of(SCHOOL, 1, vec![step(1)]));
    let (id, task, run) = harness.start_tasks().remove(0);
    harness.cell.unacked(&id, task, run);
    harness.cell.accept(job_of(SCHOOL, 2, vec![step(1)]));
    assert!(harness.start_tasks().is_empty());
    assert_eq!(used(&harness), 1);
}

#[test]
fn a_start_that_was_refused_gives_its_part_back() {
    let mut harness = harness(cores(1));
    harness.cell.accept(job_of(SCHOOL, 1, vec![step(1)]));
    let (id, task, run) = harness.start_tasks().remove(0);
    harness
        .cell
        .start_refused(&id, task, run, Refusal::Room, harness.now);
    assert_eq!(used(&harness), 0);
}

#[test]
fn what_a_lost_worker_ran_counts_until_its_lease_has_run_out() {
    let mut harness = harness(cores(1));
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
fn a_new_owner_counts_what_the_earlier_ones_placed() {
    let mut harness = harness(cores(2));
    harness.cell.accept(job_of(SCHOOL, 1, vec![step(4)]));
    let started = harness.start_tasks();
    assert_eq!(started.len(), 2);
    harness.take_over();
    harness.take_over();
    set(&mut harness, cores(2));
    assert_eq!(used(&harness), 2, "on workers that no list has named");
    harness.add_worker("d1");
    assert!(harness.start_tasks().is_empty());
    for id in ["a1", "b1", "c1"] {
        harness.cell.upsert_worker(worker(id), harness.now);
    }
    assert_eq!(used(&harness), 2, "on workers that have not answered");
    assert!(harness.start_tasks().is_empty());
}

#[test]
fn a_new_owner_starts_nothing_before_it_knows_the_bounds() {
    let mut harness = harness(cores(2));
    harness.cell.accept(job_of(SCHOOL, 1, vec![step(4)]));
    harness.cell.schedule(harness.now);
    let batch = harness.cell.take_batch();
    harness.log.extend(batch.entries);
    harness.take_over();
    harness.add_worker("d1");
    assert!(harness.start_tasks().is_empty());
    set(&mut harness, cores(4));
    // The two that the earlier owner placed may run.
    assert_eq!(harness.start_tasks().len(), 2);
}

#[test]
fn a_workspace_that_a_configuration_does_not_name_any_more_goes_on() {
    let mut harness = harness(cores(2));
    harness.cell.accept(job_of(SCHOOL, 1, vec![step(4)]));
    assert_eq!(harness.start_tasks().len(), 2);
    harness.cell.set_bounds([]);
    assert!(
        harness.start_tasks().is_empty(),
        "it keeps the bound that it had"
    );
    harness.take_over();
    for id in ["a1", "b1", "c1"] {
        harness.add_worker(id);
    }
    harness.cell.set_bounds([]);
    assert_eq!(
        harness.start_tasks().len(),
        4,
        "nobody knows a bound any more"
    );
}

#[test]
fn runs_that_an_earlier_owner_may_have_started_without_a_record_count_until_all_workers_are_met() {
    let mut harness = harness(cores(3));
    harness.cell.accept(job_of(SCHOOL, 1, vec![step(2)]));
    // Handed in, recorded and not started: the earlier owner may have done so without a record.
    harness.cell.take_batch();
    let batch = {
        harness.cell.accept(job_of(SCHOOL, 2, vec![step(1)]));
        harness.cell.take_batch()
    };
    harness.log.extend(batch.entries);
    harness.take_over();
    let expires = harness.now + Duration::from_secs(9);
    harness.cell.raise_takeover_barrier(expires, false);
    set(&mut harness, cores(1));
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
fn a_gang_starts_whole_or_not_at_all() {
    let mut harness = harness(cores(3));
    let gang = Step {
        gang: true,
        ..step(3)
    };
    harness.cell.accept(job_of(SCHOOL, 1, vec![step(1)]));
    harness.cell.accept(job_of(SCHOOL, 2, vec![gang]));
    let started = harness.start_tasks();
    assert_eq!(started.len(), 1, "a part of the gang would fit");
    // A small one that comes later does not pass the gang by.
    harness.cell.accept(job_of(SCHOOL, 3, vec![step(1)]));
    assert!(harness.start_tasks().is_empty());
    let (id, task, run) = started[0].clone();
    harness.report_end(&id, 1, task, run, RunOutcome::Done);
    assert_eq!(harness.start_tasks().len(), 3);
}

#[test]
fn what_fills_counts_with_all_that_it_asks_for() {
    let mut harness = harness(cores(1));
    let fills = Step {
        best_effort: true,
        long_running: true,
        ..step(2)
    };
    harness.cell.accept(job_of(SCHOOL, 1, vec![fills]));
    assert_eq!(harness.start_tasks().len(), 1);
}

#[test]
fn a_resource_that_a_task_does_not_take_does_not_hold_it() {
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
    assert!(bound.allows(memory, cpu), "memory is far over its bound");
}

#[test]
fn a_run_that_nobody_knew_counts_once_a_report_names_it() {
    let mut harness = harness(cores(1));
    harness.cell.accept(job_of(SCHOOL, 1, vec![step(1)]));
    let (id, task, run) = harness.start_tasks().remove(0);
    harness.cell.abandon_worker(&id, Loss::Lapsed, harness.now);
    harness.cell.upsert_worker(worker("a1"), harness.now);
    assert_eq!(used(&harness), 0);
    let report = Report {
        running: vec![row(task, run, 10)],
        ended: vec![],
    };
    harness.report("a1", report);
    assert_eq!(used(&harness), 1);
}

#[test]
fn a_job_that_can_never_run_is_known_at_once() {
    let harness = harness(cores(2));
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
        "nothing is known of it"
    );
}

#[test]
fn the_workspace_of_a_job_outlasts_its_end() {
    let mut harness = harness(cores(2));
    harness.cell.accept(job_of(SCHOOL, 1, vec![step(1)]));
    harness.start_tasks();
    harness.cell.cancel(1);
    harness.start_tasks();
    harness.take_over();
    let kept = harness.cell.jobs[&1].submission.workspace.clone();
    assert_eq!(kept.as_deref(), Some(SCHOOL));
}

#[test]
fn records_without_a_workspace_load_as_before() {
    /// What was handed in, as it was recorded before there were workspaces.
    #[derive(serde::Serialize)]
    struct Before(
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
    let given = job(7, vec![step(1)]);
    let before = Before(
        given.id,
        given.queue.clone(),
        given.service.clone(),
        given.priority,
        given.max_attempts,
        given.requires_permits,
        given.submitted_at,
        given.stretch,
        given.slack,
        given.spec.clone(),
    );
    let value = rmp_serde::to_vec(&(3u64, before)).unwrap();
    let state = rmp_serde::to_vec(&(havenladder_jobs::Phase::Succeeded, Vec::<u8>::new())).unwrap();
    let records = vec![
        decode_entry("g0000000000000007", &value).unwrap(),
        decode_entry("s0000000000000008", &state).unwrap(),
    ];
    let mut cell = havenladder_jobs::Cell::new(Limits::default());
    let odd = cell.load_records(records);
    assert_eq!(odd, [7], "its state is missing, the record itself is read");
    assert_eq!(cell.jobs[&8].submission.workspace, None);
}

#[test]
fn the_wait_for_a_bound_is_told_once_as_it_begins_and_ends() {
    let mut harness = harness(cores(1));
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

/// Starts that wait for their records, and the bound that is lowered meanwhile: those that are sent then.
fn confirm_under(lowered: Bound, steps: Vec<Step>) -> (Harness, usize) {
    let mut harness = harness(cores(5));
    harness.cell.accept(job_of(SCHOOL, 1, steps));
    harness.cell.schedule(harness.now);
    let batch = harness.cell.take_batch();
    set(&mut harness, lowered);
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
fn a_start_whose_record_took_long_goes_by_the_bound_that_is_in_force_then() {
    let (harness, sent) = confirm_under(cores(2), vec![step(5)]);
    assert_eq!(sent, 2);
    assert_eq!(used(&harness), 2);
    let (mut harness, sent) = confirm_under(Bound::CLOSED, vec![step(5)]);
    assert_eq!(sent, 0);
    set(&mut harness, cores(5));
    assert_eq!(
        harness.start_tasks().len(),
        5,
        "they wait for their turn again"
    );
}

#[test]
fn a_gang_whose_record_took_long_starts_whole_or_not_at_all() {
    let gang = Step {
        gang: true,
        ..step(4)
    };
    let (mut harness, sent) = confirm_under(cores(3), vec![gang]);
    assert_eq!(sent, 0);
    assert_eq!(used(&harness), 0);
    set(&mut harness, cores(4));
    assert_eq!(harness.start_tasks().len(), 4);
}
