//! Property tests of log records that another writer may have left, and of extreme numbers in submissions: neither
//! may cause a panic, and no record may be decoded as one of another kind.

mod fixture;

use clock::Instant;
use fixture::{job, step, worker};
use havenladder_jobs::{
    Cell, Decoded, Job, Limits, Phase, Report, Round, State, Step, decode_entry,
};
use proptest::prelude::*;
use std::time::Duration;

/// First letters of the keys of records: submissions, states of jobs, tasks of large jobs, waves and VM orders; the last
/// one is not used.
const KINDS: [char; 6] = ['g', 's', 'p', 'w', 'o', 'x'];

/// Loads the records into a cell with one worker, runs a few rounds and returns the cell.
fn load_and_run(records: Vec<Decoded>) -> Cell {
    let mut cell = Cell::new(Limits::default());
    cell.load_records(records);
    let mut now = Instant::now();
    cell.mark_listed();
    for _ in 0..3 {
        now += Duration::from_millis(500);
        cell.upsert_worker(worker("a1"), now);
        cell.apply_report("a1", &Report::default(), now, now);
        cell.mark_due(1_000_000);
        cell.schedule(now);
        cell.stop_stalled(now);
        let batch = cell.take_batch();
        cell.confirm(&batch);
    }
    cell
}

/// Generates steps with arbitrary needs, estimates and flags.
fn any_step() -> impl Strategy<Value = Step> {
    let numbers = (any::<u64>(), any::<u64>(), any::<u64>(), any::<u64>());
    let flags = (any::<bool>(), any::<bool>(), any::<bool>());
    (1..4_u32, numbers, flags).prop_map(|(count, (cpu, memory, gpu, estimate_ms), flags)| {
        let (gang, long_running, best_effort) = flags;
        let mut step = Step {
            gang,
            long_running,
            best_effort,
            estimate_ms,
            ..step(count)
        };
        (step.need.cpu, step.need.memory, step.need.gpu) = (cpu, memory, gpu);
        step
    })
}

proptest! {
    #[test]
    fn no_bytes_are_decoded_as_another_kind_of_record(kind in 0..KINDS.len(), id: u64, bytes in any::<Vec<u8>>()) {
        let position = if KINDS[kind] == 'p' { "00000000" } else { "" };
        let key = format!("{}{id:016x}{position}", KINDS[kind]);
        let decoded = decode_entry(&key, &bytes);
        let expected_kind = match (&decoded, KINDS[kind]) {
            (Err(_), _)
            | (Ok(Decoded::Submission(..)), 'g')
            | (Ok(Decoded::State(..)), 's')
            | (Ok(Decoded::Part(..)), 'p')
            | (Ok(Decoded::Maintained(..)), 'w')
            | (Ok(Decoded::VmOrders(..)), 'o') => true,
            (Ok(_), _) => false
        };
        prop_assert!(expected_kind);
        load_and_run(decoded.into_iter().collect());
    }

    #[test]
    fn decoding_any_key_does_not_panic(key in any::<String>()) {
        let _ = decode_entry(&key, &[]);
    }

    #[test]
    fn a_state_that_does_not_match_its_job_does_not_affect_other_jobs(
        steps in prop::collection::vec(any_step(), 1..4),
        other_steps in prop::collection::vec(any_step(), 0..4),
        rounds in 0..3_usize
    ) {
        let submission = job(1, steps);
        let rounds = vec![Round::new(&other_steps); rounds];
        let state = State { phase: Phase::Running, rounds, workspace: None };
        let valid = Job::new(job(2, vec![step(1)]), 1);
        let records = vec![
            Decoded::Submission(0, submission),
            Decoded::State(1, state),
            Decoded::Submission(1, valid.submission.clone()),
            Decoded::State(2, State { phase: Phase::Pending, rounds: valid.rounds, workspace: None })
        ];
        let cell = load_and_run(records);
        prop_assert_eq!(cell.jobs[&2].phase, Phase::Running, "the other job is not affected");
    }

    #[test]
    fn extreme_numbers_of_callers_do_not_affect_other_jobs(steps in prop::collection::vec(any_step(), 1..4), at: u64) {
        let mut cell = load_and_run(Vec::new());
        let mut submission = job(1, steps);
        submission.submitted_at = at;
        submission.slack = u64::MAX;
        cell.accept(submission);
        cell.accept(job(2, vec![step(1)]));
        cell.schedule(Instant::now());
        prop_assert_eq!(cell.jobs[&2].phase, Phase::Running, "the other job is not affected");
        cell.demand("s");
    }
}
