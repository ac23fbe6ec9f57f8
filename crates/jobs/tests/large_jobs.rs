//! Jobs whose state is larger than a record may be.
//!
//! Guards against an accepted job whose record the log refuses: the owner ended on it, and so did each next one, so that
//! nothing of any caller ran any more.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

mod fixture;
mod harness;

use fixture::{job, step, worker};
use harness::{Harness, task};
use havenladder_jobs::{
    Cell, Crash, EndRow, Entry, JobId, Need, Phase, Report, RunId, RunOutcome, Schedule, Step,
    Submission, Task, TaskId, TaskPhase, WorkerId, WorkerInfo, decode_entry,
};
use proptest::prelude::*;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// What the users' log takes as one record, less the length of the key.
const RECORD_BYTES: usize = 262_143;

/// The workers, with names as long as those of the users.
const WORKERS: [&str; 2] = ["w-0123456789abcdef", "w-fedcba9876543210"];

/// The maximum time for which reports of two workers may occupy an owner on a busy machine.
const MAX_REPORT_TIME: Duration = Duration::from_secs(2);

/// Records by key.
type Log = BTreeMap<String, Vec<u8>>;

/// Returns a step of tasks so small that a worker runs any number of them.
fn small(count: u32) -> Step {
    Step {
        need: Need::default(),
        ..step(count)
    }
}

/// Returns a harness with the workers.
fn harness() -> Harness {
    Harness::new(&WORKERS)
}

/// Adds records to a log.
fn append<'e>(log: &mut Log, entries: impl IntoIterator<Item = &'e Entry>) {
    for entry in entries {
        match &entry.value {
            Some(value) => log.insert(entry.key.clone(), value.clone()),
            None => log.remove(&entry.key),
        };
    }
}

/// Returns the cell of an owner that takes over with this log.
fn load(log: &Log) -> Cell {
    let mut cell = Cell::new(Default::default());
    let decoded = log.iter().map(|(key, value)| decode_entry(key, value));
    let invalid = cell.load_records(decoded.map(Result::unwrap).collect());
    assert!(invalid.is_empty(), "{invalid:x?}");
    cell
}

/// Returns the tasks of a job.
fn tasks(cell: &Cell, id: JobId) -> Vec<Task> {
    let rounds = cell.jobs[&id].rounds.iter();
    rounds
        .flat_map(|round| round.steps.iter().flatten().cloned())
        .collect()
}

/// Returns the size of the largest record.
fn largest(entries: &[Entry]) -> usize {
    entries.iter().map(Entry::size).max().unwrap_or(0)
}

/// Makes what has changed in a cell durable and returns the records.
fn record(cell: &mut Cell, log: &mut Log) -> Vec<Entry> {
    let batch = cell.take_batch();
    cell.confirm(&batch);
    append(log, &batch.entries);
    batch.entries
}

#[test]
fn the_records_of_a_job_of_15_000_tasks_are_accepted_and_restore_it() {
    let mut harness = harness();
    harness.cell.accept(job(1, vec![small(15_000)]));
    harness.start_tasks();
    for index in 0..1_000 {
        let id = match &harness.cell.jobs[&1].rounds[0].steps[0][index as usize].phase {
            TaskPhase::Placed(id) => id.clone(),
            other => panic!("{other:?}"),
        };
        harness.cell.apply_report(
            &id,
            &Report {
                ended: vec![end(
                    task(1, 0, index),
                    1,
                    "0123456789abcdef",
                    RunOutcome::Done,
                )],
                more_ends: true,
                ..Report::default()
            },
            harness.now,
            harness.now,
        );
    }
    harness.start_tasks();
    assert!(
        largest(&harness.log) <= RECORD_BYTES,
        "{}",
        largest(&harness.log)
    );
    let before = tasks(&harness.cell, 1);
    let placed = |task: &&Task| matches!(task.phase, TaskPhase::Placed(_));
    assert_eq!(before.iter().filter(placed).count(), 14_000);
    let open = harness.cell.jobs[&1].rounds[0].unfinished.clone();
    harness.take_over();
    assert_eq!(tasks(&harness.cell, 1), before);
    assert_eq!(harness.cell.jobs[&1].rounds[0].unfinished, open);
}

/// Returns the end of a run with its saved progress.
fn end(task: TaskId, run: RunId, saved: &str, how: RunOutcome) -> EndRow {
    EndRow {
        number: u64::from(task.index) + 1,
        task,
        run,
        how,
        saved: saved.to_owned(),
    }
}

#[test]
fn a_change_of_one_task_records_one_part() {
    let mut harness = harness();
    harness.cell.accept(job(1, vec![small(15_000)]));
    harness.start_tasks();
    let whole = harness.log.len();
    let TaskPhase::Placed(id) = harness.cell.jobs[&1].rounds[0].steps[0][7].phase.clone() else {
        panic!("the task is not placed");
    };
    harness.report_end(&id, 1, task(1, 0, 7), 1, RunOutcome::Done);
    harness.start_tasks();
    let changed = &harness.log[whole..];
    assert_eq!(changed.len(), 2, "one part and the phase");
    assert!(changed.iter().map(Entry::size).sum::<usize>() < 8_192);
}

#[test]
fn the_records_of_a_job_that_is_over_are_removed() {
    let (mut harness, mut log) = (harness(), Log::new());
    harness.cell.accept(job(1, vec![small(2_000)]));
    harness.start_tasks();
    append(&mut log, &harness.log);
    assert!(log.len() > 10);
    harness.cell.cancel(1);
    let entries = record(&mut harness.cell, &mut log);
    assert_eq!(log.len(), 1, "only the outcome: {:?}", log.keys());
    // Wherever an append in several calls is cut off, the job is over or as before, and its records go with the next
    // batch.
    for count in 0..entries.len() {
        let mut part = Log::new();
        append(&mut part, &harness.log);
        append(&mut part, &entries[..count]);
        let mut cell = load(&part);
        assert_eq!(cell.jobs[&1].phase.is_over(), count > 0);
        cell.cancel(1);
        record(&mut cell, &mut part);
        assert_eq!(part, log);
    }
}

#[test]
fn a_new_job_of_which_not_all_records_are_durable_is_not_restored_in_part() {
    let mut harness = harness();
    harness.cell.accept(job(1, vec![small(2_000)]));
    harness.cell.schedule(harness.now);
    let entries = harness.cell.take_batch().entries;
    for count in 0..entries.len() {
        let mut log = Log::new();
        append(&mut log, &entries[..count]);
        let decoded = log
            .iter()
            .map(|(key, value)| decode_entry(key, value).unwrap());
        let mut cell = Cell::new(Default::default());
        cell.load_records(decoded.collect());
        assert!(!cell.jobs.contains_key(&1), "after {count} records");
        // A job that is submitted under the same id later inherits no tasks.
        let mut next = job(1, vec![small(2_000)]);
        next.submitted_at = 5;
        cell.accept(next);
        record(&mut cell, &mut log);
        let fresh = |task: &Task| task.phase == TaskPhase::Waiting && task.run == 0;
        assert!(tasks(&load(&log), 1).iter().all(fresh));
    }
}

#[test]
fn a_worker_that_has_none_of_15_000_runs_does_not_occupy_the_owner_for_seconds() {
    let mut harness = harness();
    harness.cell.accept(job(1, vec![small(15_000)]));
    harness.start_tasks();
    harness.take_over();
    harness.cell.mark_listed();
    let began = Instant::now();
    for id in WORKERS {
        harness.add_worker(id);
    }
    let took = began.elapsed();
    assert!(took < MAX_REPORT_TIME, "{took:?}");
    assert_eq!(harness.start_tasks().len(), 15_000);
}

/// Returns the records that an earlier version kept of a job: its submission, and one record of its state.
fn earlier_records(cell: &Cell, id: JobId) -> Log {
    let job = &cell.jobs[&id];
    let state = (job.phase, &job.rounds, None::<String>);
    let submission = (job.order, &job.submission);
    Log::from([
        (
            format!("g{id:016x}"),
            rmp_serde::to_vec(&submission).unwrap(),
        ),
        (format!("s{id:016x}"), rmp_serde::to_vec(&state).unwrap()),
    ])
}

#[test]
fn a_state_that_an_earlier_version_kept_in_one_record_is_restored_wherever_its_parts_are_cut_off() {
    let mut harness = harness();
    harness.cell.accept(job(1, vec![small(2_000)]));
    harness.start_tasks();
    let earlier = earlier_records(&harness.cell, 1);
    let mut cell = load(&earlier);
    let former = tasks(&cell, 1);
    assert_eq!(former, tasks(&harness.cell, 1));
    cell.upsert_worker(worker("a1"), harness.now);
    cell.apply_report("a1", &Report::default(), harness.now, harness.now);
    // The end of a run of an earlier owner changes the job.
    let TaskPhase::Placed(id) = former[1_999].phase.clone() else {
        panic!("the task is not placed");
    };
    let info = WorkerInfo {
        id: id.clone(),
        ..worker("a1")
    };
    cell.upsert_worker(info, harness.now);
    let report = Report {
        ended: vec![end(task(1, 0, 1_999), 1, "", RunOutcome::Done)],
        more_ends: true,
        ..Report::default()
    };
    cell.apply_report(&id, &report, harness.now, harness.now);
    let entries = cell.take_batch().entries;
    assert!(entries.len() > 10);
    for count in 0..=entries.len() {
        let mut log = earlier.clone();
        append(&mut log, &entries[..count]);
        let restored = tasks(&load(&log), 1);
        let expected = if count == entries.len() {
            tasks(&cell, 1)
        } else {
            former.clone()
        };
        assert_eq!(restored, expected, "after {count} records");
    }
}

#[test]
fn a_gang_whose_end_is_durable_in_part_is_done() {
    let (mut harness, mut log) = (harness(), Log::new());
    let gang = Step {
        gang: true,
        ..small(500)
    };
    harness.cell.accept(job(1, vec![gang, small(1)]));
    harness.start_tasks();
    append(&mut log, &harness.log);
    let TaskPhase::Placed(id) = harness.cell.jobs[&1].rounds[0].steps[0][0].phase.clone() else {
        panic!("the gang is not placed");
    };
    harness.report_end(&id, 1, task(1, 0, 0), 1, RunOutcome::Done);
    let entries = harness.cell.take_batch().entries;
    append(&mut log, &entries[..1]);
    assert_eq!(load(&log).jobs[&1].rounds[0].unfinished, [0, 1]);
}

#[test]
fn a_job_that_is_given_up_fails_and_another_one_goes_on() {
    let mut harness = harness();
    harness.cell.accept(job(1, vec![small(2_000)]));
    harness.cell.accept(job(2, vec![small(1)]));
    harness.start_tasks();
    harness.cell.give_up(1);
    assert_eq!(harness.take_stops().len(), 2_000);
    harness.start_tasks();
    harness.take_over();
    assert_eq!(harness.cell.jobs[&1].phase, Phase::Failed);
    assert_eq!(harness.cell.jobs[&2].phase, Phase::Running);
}

#[test]
fn a_new_job_that_is_given_up_is_withdrawn() {
    let mut harness = harness();
    harness.cell.accept(job(1, vec![small(2)]));
    harness.cell.schedule(harness.now);
    let mut batch = harness.cell.take_batch();
    harness.cell.give_up(1);
    batch.remove_job(1);
    harness.cell.confirm(&batch);
    assert!(batch.starts.is_empty() && !harness.cell.jobs.contains_key(&1));
    assert!(harness.start_tasks().is_empty());
}

#[test]
fn jobs_that_can_never_be_recorded_are_not_storable() {
    let large = |count| job(1, vec![small(count)]);
    assert!(large(20_000).is_storable(RECORD_BYTES));
    assert!(!large(20_001).is_storable(RECORD_BYTES));
    let mut repeats = large(1_001);
    repeats.spec.schedule = Some(Schedule {
        first_due_ms: 0,
        interval_ms: 1,
        repeats: 20,
    });
    assert!(
        !repeats.is_storable(RECORD_BYTES),
        "20,020 tasks in all rounds"
    );
    let mut attempts = large(1);
    attempts.max_attempts = 60_000;
    assert!(!attempts.is_storable(RECORD_BYTES), "too many failed runs");
    let steps = job(1, vec![small(1); 15_000]);
    assert!(
        !steps.is_storable(RECORD_BYTES),
        "the submission is too large"
    );
}

/// Returns the tasks of a job in the largest state that they can have.
fn fill_up(cell: &mut Cell, id: JobId) {
    let job = cell.jobs.get_mut(&id).unwrap();
    let counts: Vec<u32> = job
        .submission
        .spec
        .steps
        .iter()
        .map(|step| step.count)
        .collect();
    for round in 0..job.rounds.len() as u32 {
        for (step, count) in (0..).zip(&counts) {
            for index in 0..*count {
                fill_task(job.task_mut(round, step, index).unwrap(), counts.len());
            }
        }
    }
}

fn fill_task(task: &mut Task, attempts: usize) {
    let crash = Crash {
        age_ms: Some(u64::MAX),
        fresh: true,
        alone: true,
    };
    task.phase = TaskPhase::Placed(WorkerId::new(&"w".repeat(255), Some(u64::MAX)));
    (task.run, task.max_reported_run) = (RunId::MAX, RunId::MAX);
    task.failed = vec![RunId::MAX; attempts];
    task.saved = "x".repeat(1_024);
    task.history.crashes = vec![crash; 16];
    task.history.max_runtime_ms = u64::MAX;
}

/// Generates jobs that are storable.
fn any_job() -> impl Strategy<Value = Submission> {
    let counts = prop::collection::vec(1..60_u32, 1..20);
    (counts, 1..20_u32).prop_map(|(counts, repeats)| {
        let mut job = job(1, counts.into_iter().map(small).collect());
        job.max_attempts = job.spec.steps.len() as u32;
        job.spec.schedule = Some(Schedule {
            first_due_ms: 0,
            interval_ms: 1,
            repeats,
        });
        job
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    #[test]
    fn no_state_of_a_storable_job_exceeds_a_record(job in any_job()) {
        let sizes: Vec<usize> = (0..=RECORD_BYTES).collect();
        let limit = sizes.partition_point(|bytes| !job.is_storable(*bytes));
        let mut cell = Cell::new(Default::default());
        cell.accept(job);
        fill_up(&mut cell, 1);
        let entries = cell.take_batch().entries;
        prop_assert!(largest(&entries) <= limit, "{} of {limit}", largest(&entries));
        let mut log = Log::new();
        append(&mut log, &entries);
        prop_assert_eq!(tasks(&load(&log), 1), tasks(&cell, 1));
    }
}
