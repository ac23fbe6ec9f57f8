//! Which ends of workers count against which tasks, and what follows for where these are started.

mod fixture;
#[expect(dead_code, reason = "stops and ends are not looked at here")]
mod harness;

use fixture::{job, step, worker};
use harness::{Harness, row, task};
use havenladder_jobs::{
    CrashHistory, Ending, Loss, LostWorker, Phase, Report, Schedule, Step, Submission, TaskId,
    WorkerId, WorkerInfo,
};
use std::collections::BTreeMap;
use yare::parameterized;

/// Long enough for a worker that answers to show that its runs do not end it.
const PROVEN: u64 = 250;

/// What speaks for and against a task.
fn crash_history(harness: &Harness, task: TaskId) -> CrashHistory {
    let state = harness.cell.jobs[&task.job].task(task.round, task.step, task.index);
    state.expect("the job has it").history.clone()
}

/// A worker ends without notice, and that is known at once.
fn crash(harness: &mut Harness, id: &str) -> LostWorker {
    harness.advance(10);
    harness.cell.mark_silent(id, harness.now);
    let lost = harness.cell.abandon_worker(id, Loss::Ended, harness.now);
    lost.expect("it was there")
}

/// A worker says that it runs all that it was told to.
fn confirm(harness: &mut Harness, id: &str) {
    let runs = harness.cell.workers.get(id).map(|worker| &worker.runs);
    let rows = runs.into_iter().flatten();
    let running = rows.map(|((task, run), _)| row(*task, *run, 50)).collect();
    harness.report(
        id,
        Report {
            running,
            ended: Vec::new(),
        },
    );
}

/// A world with one worker and one job of so many plain tasks, which run there.
fn running(tasks: u32) -> Harness {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.accept(job(1, vec![step(tasks)]));
    assert_eq!(harness.start_tasks().len(), tasks as usize);
    harness
}

/// What is known of a worker before it is given up.
enum Before {
    Nothing,
    Ordered,
    Doubted,
    Draining,
    ServesOnUnlisted,
    SilentUnlisted,
}

fn prepare(harness: &mut Harness, before: &Before) {
    let now = harness.now;
    match before {
        Before::Nothing => {}
        Before::Ordered => harness.cell.set_disrupted("a1", true),
        Before::Doubted => harness.cell.set_order_unconfirmed("a1", true),
        Before::Draining => harness.cell.upsert_worker(
            WorkerInfo {
                draining: true,
                ..worker("a1")
            },
            now,
        ),
        Before::ServesOnUnlisted => {
            harness.cell.unlist_worker("a1", now);
            harness.advance(10);
            confirm(harness, "a1");
        }
        Before::SilentUnlisted => {
            harness.cell.mark_silent("a1", now);
            harness.cell.unlist_worker("a1", now);
        }
    }
}

#[parameterized(
    without_notice = { Before::Nothing, Loss::Ended, Ending::Crashed, 1 },
    its_vm_was_moved = { Before::Nothing, Loss::Ordered, Ending::Ordered, 0 },
    its_vm_was_told_to_go = { Before::Ordered, Loss::Ended, Ending::Ordered, 0 },
    an_earlier_owner_may_have_told_its_vm_to_go = { Before::Doubted, Loss::Ended, Ending::Crashed, 1 },
    it_said_so = { Before::Draining, Loss::Ended, Ending::Announced, 0 },
    it_served_on = { Before::ServesOnUnlisted, Loss::Ended, Ending::Announced, 0 },
    its_entry_lapsed = { Before::SilentUnlisted, Loss::Ended, Ending::Crashed, 1 },
    its_lease_ran_out = { Before::Nothing, Loss::Lapsed, Ending::Unclear, 0 }
)]
fn only_ends_without_notice_count(before: Before, loss: Loss, ending: Ending, count: usize) {
    let mut harness = running(1);
    prepare(&mut harness, &before);
    let lost = harness.cell.abandon_worker("a1", loss, harness.now);
    assert_eq!(lost.map(|lost| lost.ending), Some(ending));
    assert_eq!(crash_history(&harness, task(1, 0, 0)).crashes.len(), count);
}

#[test]
fn a_worker_that_was_cut_off_counts_once_it_proves_to_have_ended() {
    let mut harness = running(1);
    harness.cell.mark_silent("a1", harness.now);
    harness.cell.expire_lease("a1", harness.now);
    assert!(crash_history(&harness, task(1, 0, 0)).crashes.is_empty());
    harness.cell.abandon_worker("a1", Loss::Ended, harness.now);
    assert_eq!(crash_history(&harness, task(1, 0, 0)).crashes.len(), 1);
}

#[test]
fn a_worker_that_answers_again_after_a_cut_does_not_count() {
    let mut harness = running(1);
    harness.cell.mark_silent("a1", harness.now);
    harness.cell.expire_lease("a1", harness.now);
    harness.report("a1", Report::default());
    harness.cell.abandon_worker("a1", Loss::Ended, harness.now);
    assert!(crash_history(&harness, task(1, 0, 0)).crashes.is_empty());
}

#[test]
fn a_start_that_was_not_sent_does_not_count() {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.accept(job(1, vec![step(1)]));
    harness.cell.schedule(harness.now);
    let lost = crash(&mut harness, "a1");
    assert_eq!(lost.runs.len(), 1);
    assert!(crash_history(&harness, task(1, 0, 0)).crashes.is_empty());
}

#[test]
fn what_begins_on_trial_is_alone_and_others_go_elsewhere() {
    let mut harness = running(2);
    crash(&mut harness, "a1");
    harness.add_worker("b1");
    harness.add_worker("b2");
    let started: BTreeMap<TaskId, WorkerId> = harness
        .start_tasks()
        .into_iter()
        .map(|(id, task, _)| (task, id))
        .collect();
    let on = |index| started.get(&task(1, 0, index));
    assert!(
        on(0).is_some() && on(1).is_some() && on(0) != on(1),
        "{started:?}"
    );
    harness.cell.accept(job(2, vec![step(1)]));
    assert!(
        harness.start_tasks().is_empty(),
        "nothing begins beside them"
    );
    harness.advance(PROVEN);
    confirm(&mut harness, "b1");
    assert_eq!(
        harness.start_tasks().len(),
        1,
        "the worker has outlived the quarantine"
    );
    let (cleared, open) = match on(0).map(|id| &**id) {
        Some("b1") => (0, 1),
        _ => (1, 0),
    };
    assert!(
        crash_history(&harness, task(1, 0, cleared))
            .crashes
            .is_empty()
    );
    assert_eq!(crash_history(&harness, task(1, 0, open)).crashes.len(), 1);
}

#[test]
fn a_trial_takes_the_worker_with_the_fewest_runs_and_none_that_has_just_begun() {
    let mut harness = Harness::new(&["a1"]);
    harness.cell.accept(job(1, vec![step(3)]));
    harness.start_tasks();
    harness.advance(PROVEN);
    confirm(&mut harness, "a1");
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
fn two_prompt_ends_give_a_job_up_also_for_the_next_owner() {
    let mut harness = running(1);
    crash(&mut harness, "a1");
    harness.add_worker("b1");
    assert_eq!(harness.start_tasks().len(), 1);
    harness.take_over();
    harness.add_worker("b1");
    assert_eq!(crash_history(&harness, task(1, 0, 0)).crashes.len(), 1);
    // It does not name the run: its start never came there.
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
fn what_has_gone_on_for_a_while_is_not_put_on_trial() {
    let mut harness = running(1);
    harness.advance(PROVEN);
    confirm(&mut harness, "a1");
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
fn repeats_of_a_job_share_what_speaks_against_a_task() {
    let schedule = Schedule {
        repeats: 2,
        first_due_ms: 0,
        interval_ms: 0,
    };
    let mut given: Submission = job(1, vec![step(1)]);
    given.spec.schedule = Some(schedule);
    let mut harness = Harness::new(&["a1"]);
    harness.cell.mark_due(1);
    harness.cell.accept(given);
    harness.cell.mark_due(2);
    assert_eq!(harness.start_tasks().len(), 2, "both repeats run");
    crash(&mut harness, "a1");
    for round in 0..2 {
        let task = TaskId {
            round,
            ..task(1, 0, 0)
        };
        assert_eq!(
            crash_history(&harness, task).crashes.len(),
            1,
            "one end counts once"
        );
    }
    for id in ["b1", "b2"] {
        harness.add_worker(id);
    }
    assert_eq!(
        harness.start_tasks().len(),
        2,
        "each on a worker of its own"
    );
    let lost = crash(&mut harness, "b1");
    assert_eq!(lost.failed.len(), 1);
    assert_eq!(harness.cell.jobs[&1].phase, Phase::Failed);
}

#[test]
fn members_of_a_gang_under_suspicion_get_workers_of_their_own() {
    let gang = Step {
        gang: true,
        ..step(4)
    };
    let mut harness = Harness::new(&["a1", "a2"]);
    harness.cell.accept(job(1, vec![gang]));
    let started = harness.start_tasks();
    let there = |id: &str| started.iter().filter(|(on, ..)| on == id).count();
    assert_eq!((there("a1"), there("a2")), (2, 2));
    crash(&mut harness, "a1");
    // The others end with them.
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
    let again = harness.start_tasks();
    assert_eq!(again.len(), 4, "{again:?}");
    for index in 0..4 {
        if crash_history(&harness, task(1, 0, index))
            .crashes
            .is_empty()
        {
            continue;
        }
        let on = again.iter().find(|(_, task, _)| task.index == index);
        let on = on.map(|(id, ..)| id).expect("it was started");
        let beside = again.iter().filter(|(id, ..)| id == on).count();
        assert_eq!(beside, 1, "{again:?}");
    }
}

#[test]
fn a_worker_that_never_answered_and_had_no_runs_is_no_accident() {
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
        "two ends are proof"
    );
}

/// Users saw the job of a harmless task given up after one accident, in this order: its worker ended by accident 34 ms
/// after its start; the task was to begin in quarantine on a worker that had ended as well, which nobody knew yet; that
/// start had no answer, and when the second worker's end was known it counted as the proof. The evidence: `start failed`
/// with `no answer`, and the same run `after 0 ms, Quarantined` in the line `worker lost`.
#[test]
fn a_start_without_an_answer_is_no_proof_against_its_task() {
    let mut harness = running(1);
    crash(&mut harness, "a1");
    harness.add_worker("b1");
    harness.cell.schedule(harness.now);
    let starts = harness.cell.take_batch().starts;
    assert_eq!(starts.len(), 1, "it begins in quarantine");
    let now = harness.now;
    assert!(harness.cell.prepare_start("b1", task(1, 0, 0), 2, now));
    harness.cell.unacked("b1", task(1, 0, 0), 2);
    let lost = crash(&mut harness, "b1");
    assert!(lost.failed.is_empty(), "nothing shows that it began");
}
