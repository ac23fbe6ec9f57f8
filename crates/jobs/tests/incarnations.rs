//! Workers that start again under the ids that they had: which of their lives goes on, and what becomes of what was known
//! of the others.

mod fixture;
#[expect(dead_code, reason = "stops are not looked at here")]
mod harness;

use fixture::{job, step, worker};
use harness::{Harness, row, task};
use havenladder_jobs::{
    AnswerOutcome, EndRow, Ending, Limits, Listing, Loss, Phase, Report, RunId, RunOutcome,
    StartedAtMs, TaskId, WorkerId, WorkerInfo, name_of,
};
use std::time::Duration;
use yare::parameterized;

/// The longest lease that a worker grants.
const HOLD: Duration = Duration::from_millis(6_000);

/// A life of the worker `a1`.
fn life(born: StartedAtMs) -> WorkerId {
    WorkerId::new("a1", Some(born))
}

/// Reads an entry of a life of the worker.
fn list(harness: &mut Harness, born: Option<StartedAtMs>) -> Listing {
    let info = WorkerInfo {
        id: WorkerId::new("a1", born),
        ..worker("a1")
    };
    harness.advance(1);
    harness.cell.list_worker(info, harness.now)
}

/// A question that is meant for one life, and that another, or the same, answers 1 ms later.
fn ask(harness: &mut Harness, meant: &WorkerId, born: Option<StartedAtMs>) -> AnswerOutcome {
    harness.advance(1);
    let asked = harness.now;
    harness.advance(1);
    harness
        .cell
        .record_response(meant, born, asked, harness.now)
}

/// A life answers a question that was meant for it. Those that it has outlived are given up; returns them.
fn answer(harness: &mut Harness, life: &WorkerId, report: &Report) -> Vec<WorkerId> {
    let hearing = ask(harness, life, life.started_at());
    assert!(matches!(hearing, AnswerOutcome::Same { .. }), "{hearing:?}");
    let asked = harness.now - Duration::from_millis(1);
    harness.cell.apply_report(life, report, asked, harness.now);
    let outlived = harness.cell.outlived_incarnations(life, asked);
    for over in &outlived {
        harness.cell.abandon_worker(over, Loss::Ended, harness.now);
    }
    outlived
}

/// A world with one worker, of whose life it knows.
fn met(born: StartedAtMs) -> Harness {
    let mut harness = Harness::new(&[]);
    assert_eq!(
        list(&mut harness, Some(born)),
        Listing::Incarnation(life(born))
    );
    assert!(answer(&mut harness, &life(born), &Report::default()).is_empty());
    harness
}

/// A report of runs that go on and of ends, numbered from 1.
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
    }
}

#[test]
fn the_ends_of_the_next_life_are_taken_in_from_the_first_on() {
    let mut harness = met(5);
    harness.cell.accept(job(1, vec![step(2)]));
    assert_eq!(harness.start_tasks().len(), 2);
    let done = [(task(1, 0, 0), 1), (task(1, 0, 1), 1)];
    answer(&mut harness, &life(5), &report(&[], &done));
    assert_eq!(harness.cell.jobs[&1].phase, Phase::Succeeded);

    assert_eq!(
        ask(&mut harness, &life(5), Some(9)),
        AnswerOutcome::Replaced {
            next: life(9),
            restarted: true
        }
    );
    list(&mut harness, Some(9));
    assert_eq!(
        answer(&mut harness, &life(9), &Report::default()),
        [life(5)]
    );
    harness.cell.accept(job(2, vec![step(1)]));
    let started = harness.start_tasks();
    assert_eq!(started, [(life(9), task(2, 0, 0), 1)]);
    answer(&mut harness, &life(9), &report(&[], &[(task(2, 0, 0), 1)]));
    assert_eq!(harness.cell.jobs[&2].phase, Phase::Succeeded);
}

#[parameterized(goes_on = { false }, has_ended = { true })]
fn a_start_that_came_to_the_next_life_is_its_run(ended: bool) {
    let mut harness = met(5);
    harness.cell.accept(job(1, vec![step(1)]));
    let started = harness.start_tasks();
    assert_eq!(started, [(life(5), task(1, 0, 0), 1)]);
    ask(&mut harness, &life(5), Some(9));
    let run = [(task(1, 0, 0), 1)];
    let listed = if ended {
        report(&[], &run)
    } else {
        report(&run, &[])
    };
    answer(&mut harness, &life(9), &listed);
    assert!(harness.start_tasks().is_empty(), "it is not started again");
    if ended {
        assert_eq!(harness.cell.jobs[&1].phase, Phase::Succeeded);
    } else {
        assert!(harness.cell.is_current(&life(9), task(1, 0, 0), 1));
    }
}

#[test]
fn runs_of_a_life_are_free_only_once_the_next_one_has_been_asked() {
    let mut harness = met(5);
    harness.cell.accept(job(1, vec![step(1)]));
    harness.start_tasks();
    ask(&mut harness, &life(5), Some(9));
    list(&mut harness, Some(9));
    assert!(
        harness.start_tasks().is_empty(),
        "the next life may have the run"
    );
    assert_eq!(
        answer(&mut harness, &life(9), &Report::default()),
        [life(5)]
    );
    assert_eq!(harness.start_tasks(), [(life(9), task(1, 0, 0), 2)]);
}

#[test]
fn a_life_that_answers_for_the_first_time_is_asked_once_more() {
    let mut harness = met(5);
    harness.cell.accept(job(1, vec![step(1)]));
    harness.start_tasks();
    list(&mut harness, Some(9));
    assert_eq!(
        ask(&mut harness, &life(9), Some(9)),
        AnswerOutcome::Same { restarted: true }
    );
    let asked = harness.now - Duration::from_millis(1);
    assert!(
        harness
            .cell
            .outlived_incarnations(&life(9), asked)
            .is_empty(),
        "it was asked with a fence that lets calls to the life before pass"
    );
    assert_eq!(
        answer(&mut harness, &life(9), &Report::default()),
        [life(5)]
    );
}

#[test]
fn the_fence_of_calls_rises_with_each_life() {
    let mut harness = met(5);
    assert_eq!(harness.cell.incarnation_changes(&life(5)), 0);
    ask(&mut harness, &life(5), Some(9));
    assert_eq!(harness.cell.incarnation_changes(&life(9)), 1);
    answer(&mut harness, &life(9), &Report::default());
    ask(&mut harness, &life(9), Some(7));
    assert_eq!(harness.cell.incarnation_changes("a1"), 2);
}

#[test]
fn a_life_goes_on_whose_clock_was_put_back() {
    let mut harness = met(1_000);
    ask(&mut harness, &life(1_000), Some(3));
    assert_eq!(
        answer(&mut harness, &life(3), &Report::default()),
        [life(1_000)]
    );
    assert_eq!(harness.cell.current_incarnation("a1"), Some(&life(3)));
}

#[test]
fn an_answer_that_was_overtaken_says_nothing() {
    let mut harness = met(5);
    harness.advance(10);
    let early = harness.now;
    ask(&mut harness, &life(5), Some(9));
    answer(&mut harness, &life(9), &Report::default());
    let late = harness
        .cell
        .record_response(&life(9), Some(5), early, harness.now);
    assert_eq!(late, AnswerOutcome::Outdated);
    assert_eq!(harness.cell.current_incarnation("a1"), Some(&life(9)));
}

#[test]
fn an_entry_of_a_life_that_is_over_comes_late() {
    let mut harness = met(5);
    ask(&mut harness, &life(5), Some(9));
    answer(&mut harness, &life(9), &Report::default());
    assert_eq!(list(&mut harness, Some(5)), Listing::Ended);
    assert!(harness.cell.workers.get(&life(5)).is_none());
}

#[test]
fn an_entry_alone_does_not_end_a_life() {
    let mut harness = met(5);
    harness.cell.accept(job(1, vec![step(1)]));
    harness.start_tasks();
    assert_eq!(list(&mut harness, Some(9)), Listing::Incarnation(life(9)));
    assert_eq!(harness.cell.current_incarnation("a1"), Some(&life(5)));
    // Another writer's: the worker goes on to answer.
    assert_eq!(
        ask(&mut harness, &life(9), Some(5)),
        AnswerOutcome::Replaced {
            next: life(5),
            restarted: false
        }
    );
    let run = [(task(1, 0, 0), 1)];
    assert_eq!(
        answer(&mut harness, &life(5), &report(&run, &[])),
        [life(9)]
    );
    assert!(harness.cell.is_current(&life(5), task(1, 0, 0), 1));
}

#[test]
fn an_entry_that_names_no_life_is_of_the_one_that_answers() {
    let mut harness = met(5);
    assert_eq!(list(&mut harness, None), Listing::Incarnation(life(5)));
}

#[test]
fn a_worker_that_never_tells_when_it_began_is_served_under_its_name() {
    let mut harness = Harness::new(&[]);
    let id = WorkerId::new("a1", None);
    assert_eq!(list(&mut harness, None), Listing::Incarnation(id.clone()));
    answer(&mut harness, &id, &Report::default());
    assert_eq!(list(&mut harness, None), Listing::Incarnation(id.clone()));
    harness.cell.accept(job(1, vec![step(1)]));
    assert_eq!(harness.start_tasks(), [(id.clone(), task(1, 0, 0), 1)]);
    answer(&mut harness, &id, &report(&[], &[(task(1, 0, 0), 1)]));
    assert_eq!(harness.cell.jobs[&1].phase, Phase::Succeeded);
    assert_eq!(harness.cell.incarnation_changes(&id), 0);
}

#[test]
fn a_worker_whose_answers_name_no_life_goes_by_its_newest_entry() {
    let mut harness = Harness::new(&[]);
    list(&mut harness, Some(5));
    assert_eq!(
        ask(&mut harness, &life(5), None),
        AnswerOutcome::Same { restarted: false }
    );
    list(&mut harness, Some(9));
    assert_eq!(
        ask(&mut harness, &life(5), None),
        AnswerOutcome::Replaced {
            next: life(9),
            restarted: true
        }
    );
    assert_eq!(
        ask(&mut harness, &life(9), None),
        AnswerOutcome::Same { restarted: false }
    );
}

#[test]
fn a_life_gets_no_runs_before_its_own_entry_has_been_read() {
    let mut harness = met(5);
    ask(&mut harness, &life(5), Some(9));
    answer(&mut harness, &life(9), &Report::default());
    harness.cell.accept(job(1, vec![step(1)]));
    assert!(
        harness.start_tasks().is_empty(),
        "it may be of another kind"
    );
    assert_eq!(list(&mut harness, Some(9)), Listing::Incarnation(life(9)));
    assert_eq!(harness.start_tasks().len(), 1);
}

#[test]
fn a_worker_may_start_again_twice_between_two_questions() {
    let mut harness = met(5);
    harness.cell.accept(job(1, vec![step(1)]));
    harness.start_tasks();
    ask(&mut harness, &life(5), Some(7));
    ask(&mut harness, &life(7), Some(9));
    list(&mut harness, Some(9));
    let mut outlived = answer(&mut harness, &life(9), &Report::default());
    outlived.sort();
    assert_eq!(outlived, [life(5), life(7)]);
    assert_eq!(harness.start_tasks(), [(life(9), task(1, 0, 0), 2)]);
}

#[test]
fn the_end_of_a_life_counts_as_a_crash() {
    let mut harness = met(5);
    harness.cell.accept(job(1, vec![step(1)]));
    harness.start_tasks();
    ask(&mut harness, &life(5), Some(9));
    let lost = harness
        .cell
        .abandon_worker(&life(5), Loss::Ended, harness.now);
    let lost = lost.map(|lost| (lost.ending, lost.runs.len()));
    assert_eq!(lost, Some((Ending::Crashed, 1)));
}

#[test]
fn a_new_owner_knows_from_the_records_which_life_had_a_run() {
    let mut harness = met(5);
    harness.cell.accept(job(1, vec![step(1)]));
    harness.start_tasks();
    harness.take_over();
    list(&mut harness, Some(9));
    assert!(
        harness.start_tasks().is_empty(),
        "nothing is known of the run"
    );
    assert_eq!(
        answer(&mut harness, &life(9), &Report::default()),
        [life(5)]
    );
    assert_eq!(harness.start_tasks(), [(life(9), task(1, 0, 0), 2)]);
    let crashes = |harness: &Harness| {
        let task = harness.cell.jobs[&1].task(0, 0, 0);
        task.map_or(0, |task| task.history.crashes.len())
    };
    assert_eq!(crashes(&harness), 1, "the end of the life before counts");
}

#[test]
fn a_new_owner_takes_over_a_run_that_came_to_the_next_life() {
    let mut harness = met(5);
    harness.cell.accept(job(1, vec![step(1)]));
    harness.start_tasks();
    harness.take_over();
    list(&mut harness, Some(9));
    let run = [(task(1, 0, 0), 1)];
    answer(&mut harness, &life(9), &report(&run, &[]));
    assert!(harness.cell.is_current(&life(9), task(1, 0, 0), 1));
    assert!(harness.start_tasks().is_empty());
}

#[test]
fn a_run_that_its_life_never_listed_outlasts_the_lease() {
    let mut harness = met(5);
    harness.cell.limits = Limits {
        max_lease: HOLD,
        ..Limits::default()
    };
    harness.cell.accept(job(1, vec![step(2)]));
    harness.start_tasks();
    let (named, unnamed) = (task(1, 0, 0), task(1, 0, 1));
    harness
        .cell
        .start_accepted(&life(5), unnamed, 1, harness.now);
    let one = report(&[(named, 1)], &[]);
    harness
        .cell
        .record_response(&life(5), Some(5), harness.now, harness.now);
    harness.cell.apply_report(
        &life(5),
        &one,
        harness.now - Duration::from_millis(9),
        harness.now,
    );
    let lapse = |harness: &mut Harness| {
        let lost = harness.cell.expire_lease(&life(5), harness.now);
        let runs = lost.map_or(Vec::new(), |lost| lost.runs);
        runs.into_iter().map(|run| run.task).collect::<Vec<_>>()
    };
    harness.advance(4_000);
    assert_eq!(lapse(&mut harness), [named]);
    assert!(lapse(&mut harness).is_empty());
    harness.advance(2_100);
    assert!(lapse(&mut harness).contains(&unnamed));
}

#[test]
fn any_number_of_lives_that_only_entries_name_is_bounded() {
    let mut harness = met(5);
    for born in 100..200 {
        list(&mut harness, Some(born));
    }
    assert!(harness.cell.incarnations_of("a1").len() <= 4);
    assert!(harness.cell.workers.get(&life(5)).is_some());
}

#[test]
fn a_million_entries_of_workers_that_there_are_not_are_bounded() {
    let mut harness = met(5);
    let mut refused = 0;
    for number in 0..1_000_000 {
        let info = WorkerInfo {
            id: WorkerId::new(&format!("ghost-{number}"), None),
            ..worker("a1")
        };
        let listing = harness.cell.list_worker(info, harness.now);
        refused += usize::from(listing == Listing::LimitReached);
    }
    assert!(refused >= 900_000, "{refused} of a million were left out");
    assert_eq!(
        list(&mut harness, Some(5)),
        Listing::Incarnation(life(5)),
        "it is known"
    );
}

#[parameterized(
    plain = { "w-1", None },
    with_a_time = { "w-1", Some(1_796_262_123_456) },
    with_the_sign = { "w@5", None },
    with_both = { "w@5", Some(7) },
    at_its_end = { "w@", None },
    largest = { "w", Some(u64::MAX) }
)]
fn a_life_is_read_back_from_its_text(name: &str, born: Option<StartedAtMs>) {
    let life = WorkerId::new(name, born);
    assert_eq!((life.name(), life.started_at()), (name, born));
    assert_eq!(name_of(&life), name);
    assert_eq!(WorkerId::from(&*life), life);
}
