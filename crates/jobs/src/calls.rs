//! The division of a batch of records into calls that the log accepts.

use crate::{Entry, JobId};
use std::{collections::VecDeque, iter};

/// The limits of the log on the size of records and calls, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppendLimits {
    /// The maximum size of a record, key and value together.
    pub record_bytes: usize,
    /// The maximum size of all records of a call.
    pub call_bytes: usize,
    /// The size that each record takes in a call in addition to its key and value.
    pub frame_bytes: usize,
}

/// What is to be done about the next records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextCall<'e> {
    /// These are appended in one call.
    Append(Vec<&'e Entry>),
    /// The log does not accept this one.
    GiveUp(&'e Entry),
    /// No record is left.
    Done,
}

/// The records of a batch that are not durable yet, in the order in which they become durable.
#[derive(Debug)]
pub struct Calls<'e> {
    rest: VecDeque<&'e Entry>,
    limits: AppendLimits,
    /// The maximum number of records in the next call, which decreases while the log refuses calls.
    max_records: usize,
}

impl<'e> Calls<'e> {
    /// Creates the calls for these records.
    pub fn new(entries: &'e [Entry], limits: AppendLimits) -> Self {
        Calls {
            rest: entries.iter().collect(),
            limits,
            max_records: usize::MAX,
        }
    }

    /// Returns what is to be done next.
    pub fn next_call(&self) -> NextCall<'e> {
        match self.rest.front() {
            None => NextCall::Done,
            Some(first) if self.max_records == 0 || !self.is_accepted(first) => {
                NextCall::GiveUp(first)
            }
            Some(first) => NextCall::Append(self.call(first)),
        }
    }

    /// Removes as many records, which are durable now.
    pub fn remove(&mut self, count: usize) {
        self.rest.drain(..count.min(self.rest.len()));
    }

    /// Records that the log refused a call with as many records for their size. The next call has half as many, until
    /// the one that is refused is found.
    pub fn refuse(&mut self, count: usize) {
        self.max_records = count / 2;
    }

    /// Removes the records of a job that has been given up.
    pub fn give_up(&mut self, job: JobId) {
        self.rest.retain(|entry| entry.job() != Some(job));
        self.max_records = usize::MAX;
    }

    /// Returns whether a record alone is within the limits.
    fn is_accepted(&self, entry: &Entry) -> bool {
        let size = entry.size();
        size <= self.limits.record_bytes && size + self.limits.frame_bytes <= self.limits.call_bytes
    }

    /// Returns the first record and as many of the following ones as fit in the same call.
    fn call(&self, first: &'e Entry) -> Vec<&'e Entry> {
        let mut room = self.limits.call_bytes - first.size() - self.limits.frame_bytes;
        let fits = |entry: &&'e Entry| {
            let left = room.checked_sub(entry.size() + self.limits.frame_bytes);
            room = left.unwrap_or(0);
            left.is_some() && self.is_accepted(entry)
        };
        let others = self.rest.iter().copied().skip(1).take_while(fits);
        iter::once(first)
            .chain(others)
            .take(self.max_records)
            .collect()
    }
}
