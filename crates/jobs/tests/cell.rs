//! What a cell decides, one event at a time.

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
fn a_job_runs_step_after_step_and_succeeds() {
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
fn a_task_that_failed_too_often_fails_its_job() {
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
fn a_late_end_of_an_earlier_run_counts_and_stops_the_later_one() {
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
fn what_a_worker_does_not_list_is_tried_again_only_once_it_answered_the_order() {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.accept(job(1, vec![step(1)]));
    let (id, first, run) = harness.start_tasks().remove(0);
    harness.cell.unacked(&id, first, run);
    assert_eq!(harness.take_stops().len(), 1);
    harness.advance(2_000);
    harness.report("a1", Report::default());
    assert!(harness.start_tasks().is_empty(), "the start may still come");
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
fn a_start_that_waits_for_its_record_is_not_sent_once_the_job_is_cancelled() {
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
fn room_is_never_overfilled_and_a_refusal_gives_it_back() {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.accept(job(1, vec![step(6)]));
    let started = harness.start_tasks();
    assert_eq!(started.len(), 4);
    harness
        .cell
        .start_refused("a1", started[0].1, 1, Refusal::Room, harness.now);
    assert!(
        harness.start_tasks().is_empty(),
        "the worker is set aside for a moment"
    );
    harness.advance(300);
    assert_eq!(harness.start_tasks().len(), 1);
}

#[test]
fn a_gang_starts_whole_or_not_at_all() {
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
fn a_broken_gang_starts_again_once_all_its_members_have_ended() {
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
    let again = harness.start_tasks();
    assert_eq!(again.len(), 2);
    assert!(again.iter().all(|(_, _, run)| *run == 2));
}

#[test]
fn a_vm_is_not_taken_out_while_its_budget_is_used_up() {
    let mut harness = Harness::new(&["a1", "b1", "c1"]);
    let lasting = Step {
        long_running: true,
        disruption_budget: Some(1),
        max_per_worker: Some(1),
        ..step(2)
    };
    harness.cell.accept(job(1, vec![lasting]));
    let started = harness.start_tasks();
    assert_eq!(started.len(), 2);
    let (first, second) = (started[0].clone(), started[1].clone());
    harness.report(
        &first.0,
        Report {
            running: vec![row(first.1, 1, 100)],
            ended: vec![],
        },
    );
    assert_eq!(
        harness.cell.disruption(&first.0),
        Disruption::Guarded,
        "the other is not at work yet"
    );
    harness.report(
        &second.0,
        Report {
            running: vec![row(second.1, 1, 100)],
            ended: vec![],
        },
    );
    assert_eq!(harness.cell.disruption(&first.0), Disruption::Free);
    harness.cell.set_disrupted(&second.0, true);
    assert_eq!(harness.cell.disruption(&first.0), Disruption::Guarded);
}

#[test]
fn a_lasting_task_starts_again_however_it_ends() {
    let mut harness = Harness::new(&["a1"]);
    let lasting = Step {
        long_running: true,
        ..step(1)
    };
    harness.cell.accept(job(1, vec![lasting]));
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
fn a_lasting_task_that_fits_nowhere_keeps_a_worker_free_of_smaller_ones() {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.accept(job(1, vec![step(9)]));
    let started = harness.start_tasks();
    assert_eq!(started.len(), 4);
    let mut wide = Step {
        long_running: true,
        ..step(1)
    };
    wide.need.cpu = 2_000;
    harness.cell.accept(job(2, vec![wide]));
    for (number, (id, task, run)) in (1..).zip(started.into_iter().take(2)) {
        assert!(harness.start_tasks().is_empty(), "the gap is kept");
        harness.report_end(&id, number, task, run, RunOutcome::Done);
    }
    assert_eq!(harness.start_tasks(), [("a1".into(), task(2, 0, 0), 1)]);
}

#[test]
fn a_task_that_cannot_be_in_time_any_more_goes_behind_those_that_can() {
    let mut harness = Harness::new(&["a1"]);
    let estimated = |count| Step {
        estimate_ms: 1_000,
        ..step(count)
    };
    harness.cell.accept(job(1, vec![estimated(4)]));
    let started = harness.start_tasks();
    harness.cell.accept(job(2, vec![estimated(1)]));
    let fresh = havenladder_jobs::Submission {
        submitted_at: 4_000,
        ..job(3, vec![estimated(1)])
    };
    harness.cell.accept(fresh);
    // Job 2 was handed in at 0 and is in time until 2 x 1,000 + 1,000 ms.
    harness.cell.mark_due(2_001);
    harness.report_end(&started[0].0, 1, started[0].1, 1, RunOutcome::Done);
    assert_eq!(harness.start_tasks()[0].1, task(3, 0, 0));
    harness.report_end(&started[1].0, 2, started[1].1, 1, RunOutcome::Done);
    assert_eq!(harness.start_tasks()[0].1, task(2, 0, 0));
}

#[test]
fn failed_runs_count_in_whatever_order_their_workers_list_them() {
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
fn lasting_tasks_of_one_step_leave_a_worker_one_after_the_other() {
    let mut harness = Harness::new(&["a1"]);
    let lasting = Step {
        long_running: true,
        disruption_budget: Some(1),
        ..step(2)
    };
    harness.cell.accept(job(1, vec![lasting]));
    assert_eq!(harness.start_tasks().len(), 2);
    let both = vec![row(task(1, 0, 0), 1, 100), row(task(1, 0, 1), 1, 100)];
    harness.report(
        "a1",
        Report {
            running: both,
            ended: vec![],
        },
    );
    harness.add_worker("b1");
    harness.cell.set_closed("a1", true);
    assert_eq!(harness.cell.disruption("a1"), Disruption::Guarded);
    assert_eq!(harness.cell.shed("a1"), 1);
    assert_eq!(harness.take_stops(), [("a1".into(), task(1, 0, 0), 1)]);
    assert_eq!(harness.cell.shed("a1"), 0, "one at a time");
    harness.report_end("a1", 1, task(1, 0, 0), 1, RunOutcome::Stopped);
    assert_eq!(harness.start_tasks()[0].0, "b1");
    assert_eq!(
        harness.cell.disruption("a1"),
        Disruption::Guarded,
        "it is not at work yet"
    );
    let there = vec![row(task(1, 0, 0), 2, 100)];
    harness.report(
        "b1",
        Report {
            running: there,
            ended: vec![],
        },
    );
    let here = vec![row(task(1, 0, 1), 1, 100)];
    harness.report(
        "a1",
        Report {
            running: here,
            ended: vec![],
        },
    );
    assert_eq!(harness.cell.disruption("a1"), Disruption::Free);
}

#[test]
fn a_task_does_not_start_again_while_an_unwanted_run_of_it_is_being_stopped() {
    let mut harness = Harness::new(&["a1", "b1"]);
    harness.cell.accept(job(1, vec![step(1)]));
    let (first, id, run) = harness.start_tasks().remove(0);
    let other = if first == "a1" { "b1" } else { "a1" };
    let stray = row(id, run, 30);
    harness.report(
        other,
        Report {
            running: vec![stray],
            ended: vec![],
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
fn a_job_whose_queue_needs_permits_starts_only_where_it_has_one() {
    let mut harness = Harness::new(&["a1", "b1"]);
    let given = havenladder_jobs::Submission {
        requires_permits: true,
        ..job(1, vec![step(2)])
    };
    harness.cell.accept(given);
    assert!(harness.start_tasks().is_empty());
    let asked = harness.cell.take_urgent();
    let [
        Order::RequestPermits {
            task: asked_for,
            workers,
        },
    ] = asked.as_slice()
    else {
        panic!("{asked:?}");
    };
    assert_eq!(workers.len(), 2);
    let expires = harness.now + Duration::from_millis(3_000);
    let permit = Permit {
        ticket: "t".to_owned(),
        expires,
    };
    let good = vec![("b1".into(), permit)];
    harness.cell.set_permits(*asked_for, workers, Some(good));
    let started = harness.start_tasks();
    assert_eq!(started.len(), 2);
    assert!(started.iter().all(|(id, ..)| id == "b1"));
    assert_eq!(harness.cell.permit(started[0].1, "b1").unwrap().ticket, "t");
    harness
        .cell
        .start_refused("b1", started[0].1, 1, Refusal::Ticket, harness.now);
    harness.advance(400);
    assert!(harness.start_tasks().is_empty(), "it is asked for anew");
    assert!(matches!(
        harness.cell.take_urgent().as_slice(),
        [Order::RequestPermits { .. }]
    ));
}

#[test]
fn the_number_of_an_unrecorded_run_is_not_used_again_after_the_recorded_one_ended() {
    let mut harness = Harness::new(&["a1", "b1"]);
    harness.cell.accept(job(1, vec![step(1)]));
    let (first, id, run) = harness.start_tasks().remove(0);
    let second = if first == "a1" { "b1" } else { "a1" };
    harness.take_over();
    harness.cell.upsert_worker(worker("a1"), harness.now);
    harness.cell.upsert_worker(worker("b1"), harness.now);
    // The earlier owner had seen run 1 fail, and run 2 has failed without a record.
    harness.report_end(second, 1, id, 2, RunOutcome::Failed);
    harness.report_end(&first, 1, id, run, RunOutcome::Failed);
    let (_, _, next) = harness.start_tasks().remove(0);
    assert_eq!(next, 3);
}
