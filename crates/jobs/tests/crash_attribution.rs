//! Tests of crash attribution: which ends of workers count against which tasks, and where suspected tasks are
//! started.

mod fixture;
#[expect(dead_code, reason = "stops and ends are not tested here")]
mod harness;

use fixture::{job, step, worker};
use harness::{Harness, row, task};
use havenladder_jobs::{
    CrashHistory, Ending, Loss, LostWorker, Phase, Report, Schedule, Step, Submission, TaskId,
    WorkerId, WorkerInfo,
};
use std::collections::BTreeMap;
use yare::parameterized;

/// Time after which a report of a worker shows that the run in quarantine there does not crash it, in ms.
const QUARANTINE_THRESHOLD_MS: u64 = 250;

/// Returns the crash history of a task.
fn crash_history(harness: &Harness, task: TaskId) -> CrashHistory {
    let state = harness.cell.jobs[&task.job].task(task.round, task.step, task.index);
    state.expect("the job has this task").history.clone()
}

/// Crashes a worker, of which the cell learns immediately.
fn crash(harness: &mut Harness, id: &str) -> LostWorker {
    harness.advance(10);
    harness.cell.mark_silent(id, harness.now);
    let lost = harness.cell.abandon_worker(id, Loss::Ended, harness.now);
    lost.expect("the worker is known")
}

/// Applies a report in which a worker lists every run that the cell assigns to it.
fn report_all_running(harness: &mut Harness, id: &str) {
    let runs = harness.cell.workers.get(id).map(|worker| &worker.runs);
    let rows = runs.into_iter().flatten();
    let running = rows.map(|((task, run), _)| row(*task, *run, 50)).collect();
    harness.report(
        id,
        Report {
            running,
            ended: Vec::new(),
            ..Report::default()
        },
    );
}

/// Returns a harness with one worker, on which all tasks of one job are running.
fn with_running_tasks(tasks: u32) -> Harness {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.accept(job(1, vec![step(tasks)]));
    assert_eq!(harness.start_tasks().len(), tasks as usize);
    harness
}

/// State of a worker before it is abandoned.
enum PriorState {
    Nothing,
    Ordered,
    Unconfirmed,
    Draining,
    RespondingUnlisted,
    SilentUnlisted,
}

fn set_prior_state(harness: &mut Harness, before: &PriorState) {
    let now = harness.now;
    match before {
        PriorState::Nothing => {}
        PriorState::Ordered => harness.cell.set_disrupted("a1", true),
        PriorState::Unconfirmed => harness.cell.set_order_unconfirmed("a1", true),
        PriorState::Draining => harness.cell.upsert_worker(
            WorkerInfo {
                draining: true,
                ..worker("a1")
            },
            now,
        ),
        PriorState::RespondingUnlisted => {
            harness.cell.unlist_worker("a1", now);
            harness.advance(10);
            report_all_running(harness, "a1");
        }
        PriorState::SilentUnlisted => {
            harness.cell.mark_silent("a1", now);
            harness.cell.unlist_worker("a1", now);
        }
    }
}

#[parameterized(
    without_notice = { PriorState::Nothing, Loss::Ended, Ending::Crashed, 1 },
    its_vm_was_moved = { PriorState::Nothing, Loss::Ordered, Ending::Ordered, 0 },
    its_vm_was_ordered_to_stop = { PriorState::Ordered, Loss::Ended, Ending::Ordered, 0 },
    an_earlier_owner_may_have_ordered_its_vm_to_stop = { PriorState::Unconfirmed, Loss::Ended, Ending::Crashed, 1 },
    it_announced_its_end = { PriorState::Draining, Loss::Ended, Ending::Announced, 0 },
    it_responded_after_its_entry_vanished = { PriorState::RespondingUnlisted, Loss::Ended, Ending::Announced, 0 },
    its_entry_expired = { PriorState::SilentUnlisted, Loss::Ended, Ending::Crashed, 1 },
    its_lease_expired = { PriorState::Nothing, Loss::Lapsed, Ending::Unclear, 0 }
)]
fn only_unannounced_ends_count_as_crashes(
    before: PriorState,
    loss: Loss,
    ending: Ending,
    count: usize,
) {
    let mut harness = with_running_tasks(1);
    set_prior_state(&mut harness, &before);
    let lost = harness.cell.abandon_worker("a1", loss, harness.now);
    assert_eq!(lost.map(|lost| lost.ending), Some(ending));
    assert_eq!(crash_history(&harness, task(1, 0, 0)).crashes.len(), count);
}

#[test]
fn an_unreachable_worker_counts_once_its_end_is_confirmed() {
    let mut harness = with_running_tasks(1);
    harness.cell.mark_silent("a1", harness.now);
    harness.cell.expire_lease("a1", harness.now);
    assert!(crash_history(&harness, task(1, 0, 0)).crashes.is_empty());
    harness.cell.abandon_worker("a1", Loss::Ended, harness.now);
    assert_eq!(crash_history(&harness, task(1, 0, 0)).crashes.len(), 1);
}

#[test]
fn a_worker_that_responds_after_an_outage_does_not_count() {
    let mut harness = with_running_tasks(1);
    harness.cell.mark_silent("a1", harness.now);
    harness.cell.expire_lease("a1", harness.now);
    harness.report("a1", Report::default());
    harness.cell.abandon_worker("a1", Loss::Ended, harness.now);
    assert!(crash_history(&harness, task(1, 0, 0)).crashes.is_empty());
}

#[test]
fn an_unsent_start_is_not_attributed() {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.accept(job(1, vec![step(1)]));
    harness.cell.schedule(harness.now);
    let lost = crash(&mut harness, "a1");
    assert_eq!(lost.runs.len(), 1);
    assert!(crash_history(&harness, task(1, 0, 0)).crashes.is_empty());
}

#[test]
fn a_suspected_task_starts_alone_in_quarantine() {
    let mut harness = with_running_tasks(2);
    crash(&mut harness, "a1");
    harness.add_worker("b1");
    harness.add_worker("b2");
    let started: BTreeMap<TaskId, WorkerId> = harness
        .start_tasks()
        .into_iter()
        .map(|(id, task, _)| (task, id))
        .collect();
    let worker_of = |index| started.get(&task(1, 0, index));
    assert!(
        worker_of(0).is_some() && worker_of(1).is_some() && worker_of(0) != worker_of(1),
        "{started:?}"
    );
    harness.cell.accept(job(2, vec![step(1)]));
    assert!(
        harness.start_tasks().is_empty(),
        "no task starts beside a run in quarantine"
    );
    harness.advance(QUARANTINE_THRESHOLD_MS);
    report_all_running(&mut harness, "b1");
    assert_eq!(
        harness.start_tasks().len(),
        1,
        "the quarantine of b1 has ended"
    );
    let (exonerated, still_suspected) = match worker_of(0).map(|id| &**id) {
        Some("b1") => (0, 1),
        _ => (1, 0),
    };
    assert!(
        crash_history(&harness, task(1, 0, exonerated))
            .crashes
            .is_empty()
    );
    assert_eq!(
        crash_history(&harness, task(1, 0, still_suspected))
            .crashes
            .len(),
        1
    );
}

#[test]
fn quarantine_uses_the_worker_with_the_fewest_and_no_recent_runs() {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.accept(job(1, vec![step(3)]));
    harness.start_tasks();
    harness.advance(QUARANTINE_THRESHOLD_MS);
    report_all_running(&mut harness, "a1");
    harness.add_worker("b1");
    harness.cell.accept(job(
        2,
        vec![Step {
            data_rack: Some("r-b".into()),
            ..step(1)
        }],
    ));
    assert_eq!(harness.start_tasks()[0].0, "b1");
    crash(&mut harness, "b1");
    harness.add_worker("c1");
    harness.cell.accept(job(3, vec![step(1)]));
    let started = harness.start_tasks();
    let quarantine = started.iter().find(|(_, task, _)| task.job == 2);
    assert_eq!(quarantine.map(|(id, ..)| &**id), Some("c1"), "{started:?}");
    let other = started.iter().find(|(_, task, _)| task.job == 3);
    assert_eq!(other.map(|(id, ..)| &**id), Some("a1"), "{started:?}");
}

#[test]
fn two_prompt_crashes_fail_a_job_also_for_the_next_owner() {
    let mut harness = with_running_tasks(1);
    crash(&mut harness, "a1");
    harness.add_worker("b1");
    assert_eq!(harness.start_tasks().len(), 1);
    harness.take_over();
    harness.add_worker("b1");
    assert_eq!(crash_history(&harness, task(1, 0, 0)).crashes.len(), 1);
    // The report does not list the run, since its start never reached the worker.
    let started = harness.start_tasks();
    assert_eq!(started.len(), 1);
    let lost = crash(&mut harness, &started[0].0);
    assert_eq!(lost.failed, [task(1, 0, 0)]);
    assert_eq!(harness.cell.jobs[&1].phase, Phase::Failed);
    harness.start_tasks();
    harness.take_over();
    assert_eq!(harness.cell.jobs[&1].phase, Phase::Failed);
    harness.add_worker("d1");
    assert!(harness.start_tasks().is_empty());
}

#[test]
fn tasks_that_ran_for_a_while_are_not_quarantined() {
    let mut harness = with_running_tasks(1);
    harness.advance(QUARANTINE_THRESHOLD_MS);
    report_all_running(&mut harness, "a1");
    harness.cell.accept(job(2, vec![step(1)]));
    harness.start_tasks();
    crash(&mut harness, "a1");
    harness.add_worker("b1");
    harness.add_worker("b2");
    let started = harness.start_tasks();
    assert_eq!(started.len(), 2);
    assert!(
        harness
            .cell
            .workers
            .values()
            .filter(|w| w.quarantine.is_some())
            .count()
            == 1
    );
    let quarantine = harness
        .cell
        .workers
        .values()
        .find_map(|worker| worker.quarantine);
    assert_eq!(
        quarantine.map(|quarantine| quarantine.key.0),
        Some(task(2, 0, 0))
    );
}

#[test]
fn repeats_of_a_job_share_the_crash_history_of_a_task() {
    let schedule = Schedule {
        repeats: 2,
        first_due_ms: 0,
        interval_ms: 0,
    };
    let mut submission: Submission = job(1, vec![step(1)]);
    submission.spec.schedule = Some(schedule);
    let mut harness = Harness::new(&["a1"]);
    harness.cell.mark_due(1);
    harness.cell.accept(submission);
    harness.cell.mark_due(2);
    assert_eq!(harness.start_tasks().len(), 2, "both repeats are running");
    crash(&mut harness, "a1");
    for round in 0..2 {
        let task = TaskId {
            round,
            ..task(1, 0, 0)
        };
        assert_eq!(
            crash_history(&harness, task).crashes.len(),
            1,
            "one crash counts once for each repeat"
        );
    }
    for id in ["b1", "b2"] {
        harness.add_worker(id);
    }
    assert_eq!(
        harness.start_tasks().len(),
        2,
        "each repeat runs on a worker of its own"
    );
    let lost = crash(&mut harness, "b1");
    assert_eq!(lost.failed.len(), 1);
    assert_eq!(harness.cell.jobs[&1].phase, Phase::Failed);
}

#[test]
fn suspected_gang_members_get_workers_of_their_own() {
    let gang = Step {
        gang: true,
        ..step(4)
    };
    let mut harness = Harness::new(&["a1", "a2"]);
    harness.cell.accept(job(1, vec![gang]));
    let started = harness.start_tasks();
    let runs_on = |id: &str| started.iter().filter(|(on, ..)| on == id).count();
    assert_eq!((runs_on("a1"), runs_on("a2")), (2, 2));
    crash(&mut harness, "a1");
    // The gang members on a2 end with those on a1.
    harness.report("a2", Report::default());
    let running = harness
        .cell
        .workers
        .get("a2")
        .map(|worker| worker.runs.len());
    assert_eq!(running, Some(0));
    for id in ["b1", "b2"] {
        harness.add_worker(id);
    }
    let restarted = harness.start_tasks();
    assert_eq!(restarted.len(), 4, "{restarted:?}");
    for index in 0..4 {
        if crash_history(&harness, task(1, 0, index))
            .crashes
            .is_empty()
        {
            continue;
        }
        let on = restarted.iter().find(|(_, task, _)| task.index == index);
        let on = on.map(|(id, ..)| id).expect("the task was started");
        let beside = restarted.iter().filter(|(id, ..)| id == on).count();
        assert_eq!(beside, 1, "{restarted:?}");
    }
}

#[test]
fn a_worker_that_never_responded_and_had_no_runs_is_no_accident() {
    let mut harness = Harness::new(&["a1"]);
    for number in 0..4 {
        let id = format!("ghost-{number}");
        harness.cell.upsert_worker(worker(&id), harness.now);
        harness.cell.abandon_worker(&id, Loss::Ended, harness.now);
    }
    harness.cell.accept(job(1, vec![step(1)]));
    harness.start_tasks();
    crash(&mut harness, "a1");
    harness.add_worker("b1");
    harness.start_tasks();
    assert_eq!(
        crash(&mut harness, "b1").failed.len(),
        1,
        "two crashes are sufficient evidence"
    );
}

/// Guards against failing the job of a harmless task after one accident. Its worker crashed 34 ms after its start.
/// The task was then started in quarantine on a worker that had already ended, which was not known yet; that start
/// got no response (`start failed` with `no answer`), but the end of the second worker was attributed to the task
/// (`after 0 ms, Quarantined` in the line `worker lost`).
#[test]
fn a_start_without_a_response_is_not_attributed_to_its_task() {
    let mut harness = with_running_tasks(1);
    crash(&mut harness, "a1");
    harness.add_worker("b1");
    harness.cell.schedule(harness.now);
    let starts = harness.cell.take_batch().starts;
    assert_eq!(starts.len(), 1, "the task starts in quarantine");
    let now = harness.now;
    assert!(harness.cell.prepare_start("b1", task(1, 0, 0), 2, now));
    harness.cell.unacked("b1", task(1, 0, 0), 2);
    let lost = crash(&mut harness, "b1");
    assert!(
        lost.failed.is_empty(),
        "there is no evidence that the run started"
    );
}

/// Guards against a harmless task that is suspected again by each new owner and fails in the end: a suspicion was cleared
/// in memory only, and the next owner counted the crashes that the record still held.
#[test]
fn a_task_that_is_cleared_stays_cleared_for_the_next_owner() {
    let mut harness = with_running_tasks(1);
    crash(&mut harness, "a1");
    harness.add_worker("b1");
    assert_eq!(harness.start_tasks().len(), 1);
    assert_eq!(crash_history(&harness, task(1, 0, 0)).crashes.len(), 1);
    harness.advance(QUARANTINE_THRESHOLD_MS);
    report_all_running(&mut harness, "b1");
    assert!(harness.start_tasks().is_empty());
    harness.take_over();
    assert!(
        crash_history(&harness, task(1, 0, 0)).crashes.is_empty(),
        "the run on b1 has disproved the crash"
    );
}
