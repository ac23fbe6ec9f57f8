//! Records of the cell's log that another writer may have left, and figures of callers that make no sense: no panic,
//! and nothing taken for something else.

mod fixture;

use clock::Instant;
use fixture::{job, step, worker};
use havenladder_jobs::{
    Cell, Decoded, Job, Limits, Phase, Report, Round, State, Step, decode_entry,
};
use proptest::prelude::*;
use std::time::Duration;

/// The kinds of records: what was handed in, the state of a job, a wave, the VMs of orders; and one that is none.
const KINDS: [char; 5] = ['g', 's', 'w', 'o', 'x'];

/// A cell with a worker that takes these records over, and goes on for some rounds.
fn take_over(records: Vec<Decoded>) -> Cell {
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

/// A step with any figures, as far as a job with it is taken.
fn any_step() -> impl Strategy<Value = Step> {
    let figures = (any::<u64>(), any::<u64>(), any::<u64>(), any::<u64>());
    let flags = (any::<bool>(), any::<bool>(), any::<bool>());
    (1..4_u32, figures, flags).prop_map(|(count, (cpu, memory, gpu, estimate_ms), flags)| {
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
    fn no_bytes_are_taken_for_another_kind(kind in 0..KINDS.len(), id: u64, bytes in any::<Vec<u8>>()) {
        let key = format!("{}{id:016x}", KINDS[kind]);
        let decoded = decode_entry(&key, &bytes);
        let fits = match (&decoded, KINDS[kind]) {
            (Err(_), _)
            | (Ok(Decoded::Submission(..)), 'g')
            | (Ok(Decoded::State(..)), 's')
            | (Ok(Decoded::Maintained(..)), 'w')
            | (Ok(Decoded::VmOrders(..)), 'o') => true,
            (Ok(_), _) => false
        };
        prop_assert!(fits);
        take_over(decoded.into_iter().collect());
    }

    #[test]
    fn no_text_is_a_key(key in any::<String>()) {
        let _ = decode_entry(&key, &[]);
    }

    #[test]
    fn a_state_that_does_not_fit_its_job_harms_nothing(
        steps in prop::collection::vec(any_step(), 1..4),
        others in prop::collection::vec(any_step(), 0..4),
        rounds in 0..3_usize
    ) {
        let given = job(1, steps);
        let rounds = vec![Round::new(&others); rounds];
        let state = State { phase: Phase::Running, rounds, workspace: None };
        let sound = Job::new(job(2, vec![step(1)]), 1);
        let records = vec![
            Decoded::Submission(0, given),
            Decoded::State(1, state),
            Decoded::Submission(1, sound.submission.clone()),
            Decoded::State(2, State { phase: Phase::Pending, rounds: sound.rounds, workspace: None })
        ];
        let cell = take_over(records);
        prop_assert_eq!(cell.jobs[&2].phase, Phase::Running, "the others hold");
    }

    #[test]
    fn figures_of_callers_do_no_harm(steps in prop::collection::vec(any_step(), 1..4), at: u64) {
        let mut cell = take_over(Vec::new());
        let mut given = job(1, steps);
        given.submitted_at = at;
        given.slack = u64::MAX;
        cell.accept(given);
        cell.accept(job(2, vec![step(1)]));
        cell.schedule(Instant::now());
        prop_assert_eq!(cell.jobs[&2].phase, Phase::Running, "the others hold");
        cell.demand("s");
    }
}
