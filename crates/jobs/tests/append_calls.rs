//! The division of a batch of records into calls that the log accepts.
//!
//! Guards against a record or a call that is larger than the log accepts and that an owner repeats or ends on.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

use havenladder_jobs::{AppendLimits, Calls, Entry, NextCall};
use proptest::prelude::*;

const LIMITS: AppendLimits = AppendLimits {
    record_bytes: 100,
    call_bytes: 250,
    frame_bytes: 5,
};

/// Returns a record of a job with a value of `size` bytes.
fn entry(job: u64, size: usize) -> Entry {
    Entry {
        key: format!("s{job:016x}"),
        value: Some(vec![0; size]),
    }
}

/// Carries out all calls. The log refuses calls with a record of the job `refused`. Returns the keys that became
/// durable, the jobs that were given up, and the number of calls.
fn carry_out(entries: &[Entry], refused: Option<u64>) -> (Vec<String>, Vec<u64>, usize) {
    let mut calls = Calls::new(entries, LIMITS);
    let (mut durable, mut given_up, mut count) = (Vec::new(), Vec::new(), 0);
    loop {
        match calls.next_call() {
            NextCall::Done => return (durable, given_up, count),
            NextCall::GiveUp(entry) => {
                let job = entry.job().unwrap();
                given_up.push(job);
                calls.give_up(job);
            }
            NextCall::Append(records) => {
                count += 1;
                let bytes: usize = records.iter().map(|e| e.size() + LIMITS.frame_bytes).sum();
                assert!(!records.is_empty() && bytes <= LIMITS.call_bytes);
                if records.iter().any(|entry| entry.job() == refused) {
                    calls.refuse(records.len());
                } else {
                    durable.extend(records.iter().map(|entry| entry.key.clone()));
                    calls.remove(records.len());
                }
            }
        }
    }
}

#[test]
fn records_within_the_limits_are_appended_in_one_call() {
    let entries = [entry(1, 10), entry(2, 10)];
    assert_eq!(carry_out(&entries, None).2, 1);
}

#[test]
fn a_record_that_is_too_large_is_given_up_without_a_call() {
    let entries = [entry(1, 84), entry(2, 10)];
    let (durable, given_up, calls) = carry_out(&entries, None);
    assert_eq!(
        (durable, given_up, calls),
        (vec![entries[1].key.clone()], vec![1], 1)
    );
}

proptest! {
    #[test]
    fn all_records_become_durable_in_their_order(
        sizes in prop::collection::vec(0..84_usize, 0..60)
    ) {
        let entries: Vec<Entry> = (0..).zip(sizes).map(|(job, size)| entry(job, size)).collect();
        let (durable, given_up, _) = carry_out(&entries, None);
        let keys: Vec<String> = entries.iter().map(|entry| entry.key.clone()).collect();
        prop_assert_eq!(durable, keys);
        prop_assert!(given_up.is_empty());
    }

    #[test]
    fn only_a_job_that_the_log_refuses_is_given_up(
        sizes in prop::collection::vec(0..120_usize, 1..60),
        refused in 0..60_u64
    ) {
        let entries: Vec<Entry> = (0..).zip(sizes).map(|(job, size)| entry(job, size)).collect();
        let (durable, given_up, calls) = carry_out(&entries, Some(refused));
        let is_kept = |entry: &&Entry| entry.size() <= 100 && entry.job() != Some(refused);
        let keys: Vec<String> = entries.iter().filter(is_kept).map(|e| e.key.clone()).collect();
        prop_assert_eq!(given_up.len() + durable.len(), entries.len());
        prop_assert_eq!(durable, keys);
        prop_assert!(calls <= 2 * entries.len() + 8);
    }
}
