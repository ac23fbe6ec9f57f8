//! Tests of single decisions of a cell.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

mod fixture;
mod harness;

use fixture::{job, step, worker};
use harness::{Harness, row, task};
use havenladder_jobs::{
    Accepted, Cancelled, Disruption, Loss, Order, Permit, Phase, Refusal, Report, RunOutcome, Step,
};
use std::time::Duration;

#[test]
fn a_job_runs_its_steps_in_order_and_succeeds() {
    let mut harness = Harness::new(&["a1", "b1"]);
    let second = Step {
        after: vec![0],
        ..step(1)
    };
    assert_eq!(
        harness.cell.accept(job(1, vec![step(2), second])),
        Accepted::New
    );
    assert_eq!(harness.cell.accept(job(1, vec![step(2)])), Accepted::Known);
    let started = harness.start_tasks();
    assert_eq!(started.len(), 2);
    for (number, (id, task, run)) in (1..).zip(started) {
        harness.report_end(&id, number, task, run, RunOutcome::Done);
    }
    let started = harness.start_tasks();
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].1, task(1, 1, 0));
    harness.report_end(&started[0].0, 9, started[0].1, 1, RunOutcome::Done);
    assert_eq!(harness.cell.jobs[&1].durable_phase, Some(Phase::Running));
    harness.start_tasks();
    assert_eq!(harness.cell.jobs[&1].durable_phase, Some(Phase::Succeeded));
}

#[test]
fn a_task_without_attempts_left_fails_its_job() {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.accept(job(1, vec![step(1)]));
    for attempt in 1..=3 {
        let started = harness.start_tasks();
        assert_eq!(started, [("a1".into(), task(1, 0, 0), attempt)]);
        harness.report_end(
            "a1",
            u64::from(attempt),
            task(1, 0, 0),
            attempt,
            RunOutcome::Failed,
        );
        harness.advance(5_000);
    }
    assert!(harness.start_tasks().is_empty());
    assert_eq!(harness.cell.jobs[&1].durable_phase, Some(Phase::Failed));
}

#[test]
fn an_end_that_is_listed_twice_counts_once() {
    let mut harness = Harness::new(&["a1", "b1"]);
    harness.cell.accept(job(1, vec![step(1)]));
    let (id, first, run) = harness.start_tasks().remove(0);
    harness.report_end(&id, 1, first, run, RunOutcome::Failed);
    harness.start_tasks();
    harness.take_over();
    harness.add_worker("a1");
    harness.add_worker("b1");
    harness.report_end(&id, 1, first, run, RunOutcome::Failed);
    assert_eq!(harness.cell.jobs[&1].task(0, 0, 0).unwrap().failed, [1]);
}

#[test]
fn a_late_end_of_an_earlier_run_counts_and_stops_the_later_run() {
    let mut harness = Harness::new(&["a1", "b1"]);
    harness.cell.accept(job(1, vec![step(1)]));
    let (first, id, run) = harness.start_tasks().remove(0);
    harness
        .cell
        .abandon_worker(&first, Loss::Ended, harness.now);
    let (second, _, later) = harness.start_tasks().remove(0);
    assert!(second != first && later == run + 1);
    harness.cell.upsert_worker(worker(&first), harness.now);
    harness.report_end(&first, 1, id, run, RunOutcome::Done);
    assert_eq!(harness.take_stops(), [(second, id, later)]);
    harness.start_tasks();
    assert_eq!(harness.cell.jobs[&1].durable_phase, Some(Phase::Succeeded));
}

#[test]
fn an_unlisted_run_is_retried_only_after_its_stop_was_accepted() {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.accept(job(1, vec![step(1)]));
    let (id, first, run) = harness.start_tasks().remove(0);
    harness.cell.unacked(&id, first, run);
    assert_eq!(harness.take_stops().len(), 1);
    harness.advance(2_000);
    harness.report("a1", Report::default());
    assert!(
        harness.start_tasks().is_empty(),
        "the start may still arrive at the worker"
    );
    harness.cell.stop_accepted("a1", first, run, harness.now);
    harness.report("a1", Report::default());
    assert!(
        harness.start_tasks().is_empty(),
        "the run may not have ended yet"
    );
    harness.advance(500);
    harness.report("a1", Report::default());
    assert_eq!(harness.start_tasks(), [("a1".into(), first, run + 1)]);
}

#[test]
fn a_start_waiting_for_its_record_is_not_sent_after_a_cancellation() {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.accept(job(1, vec![step(1)]));
    harness.cell.schedule(harness.now);
    let batch = harness.cell.take_batch();
    assert_eq!(batch.starts.len(), 1);
    harness.cell.cancel(1);
    assert!(
        !harness
            .cell
            .prepare_start("a1", task(1, 0, 0), 1, harness.now)
    );
    let worker = harness.cell.workers.get("a1").unwrap();
    assert!(worker.runs.is_empty());
    assert_eq!(harness.cell.cancel(2), Cancelled::Unknown);
}

#[test]
fn capacity_is_never_exceeded_and_released_by_a_refusal() {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.accept(job(1, vec![step(6)]));
    let started = harness.start_tasks();
    assert_eq!(started.len(), 4);
    harness
        .cell
        .start_refused("a1", started[0].1, 1, Refusal::Room, harness.now);
    assert!(
        harness.start_tasks().is_empty(),
        "the worker gets no starts for a short time"
    );
    harness.advance(300);
    assert_eq!(harness.start_tasks().len(), 1);
}

#[test]
fn a_gang_starts_completely_or_not_at_all() {
    let mut harness = Harness::new(&["a1"]);
    let gang = Step {
        gang: true,
        ..step(6)
    };
    harness.cell.accept(job(1, vec![gang]));
    assert!(harness.start_tasks().is_empty());
    harness.add_worker("b1");
    let started = harness.start_tasks();
    assert_eq!(started.len(), 6);
    assert!(started.iter().all(|(_, _, run)| *run == 1));
    harness.report_end(&started[0].0, 1, started[0].1, 1, RunOutcome::Done);
    harness.start_tasks();
    assert_eq!(harness.cell.jobs[&1].durable_phase, Some(Phase::Succeeded));
}

#[test]
fn a_broken_gang_restarts_once_all_its_members_have_ended() {
    let mut harness = Harness::new(&["a1", "b1"]);
    let gang = Step {
        gang: true,
        ..step(2)
    };
    harness.cell.accept(job(1, vec![gang]));
    let started = harness.start_tasks();
    harness.report_end(&started[0].0, 1, started[0].1, 1, RunOutcome::Failed);
    assert!(harness.start_tasks().is_empty());
    harness.report_end(&started[1].0, 1, started[1].1, 1, RunOutcome::Broken);
    let restarted = harness.start_tasks();
    assert_eq!(restarted.len(), 2);
    assert!(restarted.iter().all(|(_, _, run)| *run == 2));
}

#[test]
fn a_vm_is_not_disrupted_while_the_disruption_budget_is_used_up() {
    let mut harness = Harness::new(&["a1", "b1", "c1"]);
    let long_running_step = Step {
        long_running: true,
        disruption_budget: Some(1),
        max_per_worker: Some(1),
        ..step(2)
    };
    harness.cell.accept(job(1, vec![long_running_step]));
    let started = harness.start_tasks();
    assert_eq!(started.len(), 2);
    let (first, second) = (started[0].clone(), started[1].clone());
    harness.report(
        &first.0,
        Report {
            running: vec![row(first.1, 1, 100)],
            ended: vec![],
            ..Report::default()
        },
    );
    assert_eq!(
        harness.cell.disruption(&first.0),
        Disruption::Guarded,
        "the other task is not reported as running yet"
    );
    harness.report(
        &second.0,
        Report {
            running: vec![row(second.1, 1, 100)],
            ended: vec![],
            ..Report::default()
        },
    );
    assert_eq!(harness.cell.disruption(&first.0), Disruption::Free);
    harness.cell.set_disrupted(&second.0, true);
    assert_eq!(harness.cell.disruption(&first.0), Disruption::Guarded);
}

#[test]
fn a_long_running_task_restarts_after_any_outcome() {
    let mut harness = Harness::new(&["a1"]);
    let long_running_step = Step {
        long_running: true,
        ..step(1)
    };
    harness.cell.accept(job(1, vec![long_running_step]));
    for run in 1..=6 {
        assert_eq!(harness.start_tasks(), [("a1".into(), task(1, 0, 0), run)]);
        let how = if run % 2 == 0 {
            RunOutcome::Failed
        } else {
            RunOutcome::Done
        };
        harness.report_end("a1", u64::from(run), task(1, 0, 0), run, how);
        harness.advance(4_000);
    }
}

#[test]
fn an_unschedulable_long_running_task_reserves_capacity_on_a_worker() {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.accept(job(1, vec![step(9)]));
    let started = harness.start_tasks();
    assert_eq!(started.len(), 4);
    let mut large = Step {
        long_running: true,
        ..step(1)
    };
    large.need.cpu = 2_000;
    harness.cell.accept(job(2, vec![large]));
    for (number, (id, task, run)) in (1..).zip(started.into_iter().take(2)) {
        assert!(
            harness.start_tasks().is_empty(),
            "free capacity is reserved for the larger task"
        );
        harness.report_end(&id, number, task, run, RunOutcome::Done);
    }
    assert_eq!(harness.start_tasks(), [("a1".into(), task(2, 0, 0), 1)]);
}

#[test]
fn a_late_task_is_placed_after_those_that_can_meet_their_deadline() {
    let mut harness = Harness::new(&["a1"]);
    let estimated = |count| Step {
        estimate_ms: 1_000,
        ..step(count)
    };
    harness.cell.accept(job(1, vec![estimated(4)]));
    let started = harness.start_tasks();
    harness.cell.accept(job(2, vec![estimated(1)]));
    let recent = havenladder_jobs::Submission {
        submitted_at: 4_000,
        ..job(3, vec![estimated(1)])
    };
    harness.cell.accept(recent);
    // Job 2 was submitted at 0 and is in time if it ends within 2 x 1,000 + 1,000 ms.
    harness.cell.mark_due(2_001);
    harness.report_end(&started[0].0, 1, started[0].1, 1, RunOutcome::Done);
    assert_eq!(harness.start_tasks()[0].1, task(3, 0, 0));
    harness.report_end(&started[1].0, 2, started[1].1, 1, RunOutcome::Done);
    assert_eq!(harness.start_tasks()[0].1, task(2, 0, 0));
}

#[test]
fn failed_runs_count_in_any_order_of_reports() {
    let mut harness = Harness::new(&["a1", "b1"]);
    harness.cell.accept(job(1, vec![step(1)]));
    harness.start_tasks();
    for (number, run) in [(1, 2), (1, 1), (2, 3)] {
        let id = if run == 2 { "b1" } else { "a1" };
        harness.report_end(id, number, task(1, 0, 0), run, RunOutcome::Failed);
    }
    assert_eq!(harness.cell.jobs[&1].phase, Phase::Failed);
}

#[test]
fn long_running_tasks_of_one_step_leave_a_worker_one_at_a_time() {
    let mut harness = Harness::new(&["a1"]);
    let long_running_step = Step {
        long_running: true,
        disruption_budget: Some(1),
        ..step(2)
    };
    harness.cell.accept(job(1, vec![long_running_step]));
    assert_eq!(harness.start_tasks().len(), 2);
    let both_running = vec![row(task(1, 0, 0), 1, 100), row(task(1, 0, 1), 1, 100)];
    harness.report(
        "a1",
        Report {
            running: both_running,
            ended: vec![],
            ..Report::default()
        },
    );
    harness.add_worker("b1");
    harness.cell.set_closed("a1", true);
    assert_eq!(harness.cell.disruption("a1"), Disruption::Guarded);
    assert_eq!(harness.cell.shed("a1"), 1);
    assert_eq!(harness.take_stops(), [("a1".into(), task(1, 0, 0), 1)]);
    assert_eq!(
        harness.cell.shed("a1"),
        0,
        "only one task is stopped at a time"
    );
    harness.report_end("a1", 1, task(1, 0, 0), 1, RunOutcome::Stopped);
    assert_eq!(harness.start_tasks()[0].0, "b1");
    assert_eq!(
        harness.cell.disruption("a1"),
        Disruption::Guarded,
        "the moved task is not reported as running yet"
    );
    let there = vec![row(task(1, 0, 0), 2, 100)];
    harness.report(
        "b1",
        Report {
            running: there,
            ended: vec![],
            ..Report::default()
        },
    );
    let here = vec![row(task(1, 0, 1), 1, 100)];
    harness.report(
        "a1",
        Report {
            running: here,
            ended: vec![],
            ..Report::default()
        },
    );
    assert_eq!(harness.cell.disruption("a1"), Disruption::Free);
}

#[test]
fn a_task_does_not_restart_while_an_unwanted_run_of_it_is_being_stopped() {
    let mut harness = Harness::new(&["a1", "b1"]);
    harness.cell.accept(job(1, vec![step(1)]));
    let (first, id, run) = harness.start_tasks().remove(0);
    let other = if first == "a1" { "b1" } else { "a1" };
    let orphaned = row(id, run, 30);
    harness.report(
        other,
        Report {
            running: vec![orphaned],
            ended: vec![],
            ..Report::default()
        },
    );
    assert_eq!(harness.take_stops().len(), 1);
    harness.report_end(&first, 1, id, run, RunOutcome::Failed);
    assert!(
        harness.start_tasks().is_empty(),
        "the other run has not ended"
    );
    harness.report_end(other, 1, id, run, RunOutcome::Stopped);
    assert_eq!(harness.start_tasks().len(), 1);
}

#[test]
fn a_job_that_requires_permits_starts_only_on_permitted_workers() {
    let mut harness = Harness::new(&["a1", "b1"]);
    let submission = havenladder_jobs::Submission {
        requires_permits: true,
        ..job(1, vec![step(2)])
    };
    harness.cell.accept(submission);
    assert!(harness.start_tasks().is_empty());
    let orders = harness.cell.take_urgent();
    let [
        Order::RequestPermits {
            task: requested_task,
            workers,
        },
    ] = orders.as_slice()
    else {
        panic!("{orders:?}");
    };
    assert_eq!(workers.len(), 2);
    let expires = harness.now + Duration::from_millis(3_000);
    let permit = Permit {
        ticket: "t".to_owned(),
        expires,
    };
    let permitted = vec![("b1".into(), permit)];
    harness
        .cell
        .set_permits(*requested_task, workers, Some(permitted));
    let started = harness.start_tasks();
    assert_eq!(started.len(), 2);
    assert!(started.iter().all(|(id, ..)| id == "b1"));
    assert_eq!(harness.cell.permit(started[0].1, "b1").unwrap().ticket, "t");
    harness
        .cell
        .start_refused("b1", started[0].1, 1, Refusal::Ticket, harness.now);
    harness.advance(400);
    assert!(
        harness.start_tasks().is_empty(),
        "a new permit is requested first"
    );
    assert!(matches!(
        harness.cell.take_urgent().as_slice(),
        [Order::RequestPermits { .. }]
    ));
}

#[test]
fn the_number_of_an_unrecorded_run_is_not_reused() {
    let mut harness = Harness::new(&["a1", "b1"]);
    harness.cell.accept(job(1, vec![step(1)]));
    let (first, id, run) = harness.start_tasks().remove(0);
    let second = if first == "a1" { "b1" } else { "a1" };
    harness.take_over();
    harness.cell.upsert_worker(worker("a1"), harness.now);
    harness.cell.upsert_worker(worker("b1"), harness.now);
    // The earlier owner had received the failure of run 1; run 2 was started without a record and failed.
    harness.report_end(second, 1, id, 2, RunOutcome::Failed);
    harness.report_end(&first, 1, id, run, RunOutcome::Failed);
    let (_, _, next) = harness.start_tasks().remove(0);
    assert_eq!(next, 3);
}
