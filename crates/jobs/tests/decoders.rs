//! Property tests of log records that another writer may have left, and of extreme numbers in submissions: neither
//! may cause a panic, and no record may be decoded as one of another kind.

mod fixture;

use clock::Instant;
use fixture::{job, step, worker};
use havenladder_jobs::{
    Cell, Decoded, Job, Limits, Phase, Report, Round, State, Step, decode_entry,
};
use proptest::prelude::*;
use std::{thread, time::Duration};
use yare::parameterized;

/// Size of the stack on which records are decoded, a fraction of what a process has.
const SMALL_STACK_BYTES: usize = 512 << 10;

/// First letters of the keys of records: submissions, states of jobs, tasks of large jobs, waves, VM orders and pending
/// maintenance; the last one is not used.
const KINDS: [char; 7] = ['g', 's', 'p', 'w', 'o', 'm', 'x'];

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

/// Returns bytes that begin a value of each kind of record and end in `rest`.
fn begun(rest: &[u8]) -> [Vec<u8>; 4] {
    let begin = |head: &[u8]| [head, rest].concat();
    // A submission is a pair of its order and its content, a state is a list of its fields.
    [
        begin(&[0x92, 0x01]),
        begin(&[0x93]),
        begin(&[0xdc, 0x00, 0x01]),
        begin(&[0x81]),
    ]
}

#[parameterized(
    deep_arrays = { vec![0x91; 250_000] },
    deep_maps = { [0x81, 0x01].repeat(125_000) },
    array_of_a_huge_length = { vec![0xdd, 0xff, 0xff, 0xff, 0xff] },
    map_of_a_huge_length = { vec![0xdf, 0xff, 0xff, 0xff, 0xff] },
    text_of_a_huge_length = { vec![0xdb, 0xff, 0xff, 0xff, 0xff, 0x61] },
    bytes_of_a_huge_length = { vec![0xc6, 0xff, 0xff, 0xff, 0xff, 0x61] },
    extension_of_a_huge_length = { vec![0xc9, 0xff, 0xff, 0xff, 0xff, 0x01] },
)]
fn an_odd_record_takes_neither_the_stack_nor_much_memory(rest: Vec<u8>) {
    let decode = move || {
        for value in begun(&rest).iter().chain([&rest]) {
            for kind in KINDS {
                assert!(decode_entry(&format!("{kind}0000000000000001"), value).is_err());
            }
        }
    };
    let thread = thread::Builder::new().stack_size(SMALL_STACK_BYTES);
    let outcome = thread.spawn(decode).expect("a thread").join();
    outcome.expect("the test holds");
}

/// A cell that has taken such a job over must accept others.
#[test]
fn a_job_at_the_end_of_the_order_does_not_stop_later_ones() {
    let odd = Job::new(job(1, vec![step(1)]), u64::MAX);
    let state = State {
        phase: Phase::Pending,
        rounds: odd.rounds,
        workspace: None,
    };
    let mut cell = load_and_run(vec![
        Decoded::Submission(u64::MAX, odd.submission),
        Decoded::State(1, state),
    ]);
    for id in 2..4 {
        cell.accept(job(id, vec![step(1)]));
    }
    cell.schedule(Instant::now());
    assert_eq!(cell.jobs[&3].phase, Phase::Running);
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
            | (Ok(Decoded::VmOrders(..)), 'o')
            | (Ok(Decoded::PendingMaintenance(..)), 'm') => true,
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
