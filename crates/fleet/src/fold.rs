//! The fold: one record after the other, the same outcome in every process.

use crate::{
    MAX_RECORD_EXPIRY,
    record::{Change, Outcome, Reason, Record},
    state::{Fleet, RecordOrigin},
};
use protocol::{LogRecord, Offset, RecordId, decode};
use std::time::SystemTime;

/// Where a proposal stands in the log.
#[derive(Clone, Debug)]
pub(crate) struct Context {
    /// The record's offset.
    pub offset: Offset,
    /// When the log took it.
    pub at: SystemTime,
    /// Who appended it.
    pub by: String,
}

impl Fleet {
    /// Applies the record at [`Fleet::next`] and returns what was decided about each proposal.
    ///
    /// Records at lower offsets have been applied before and change nothing; the caller must not
    /// skip an offset, since the fold cannot know what it missed.
    ///
    /// # Panics
    ///
    /// Panics when an offset is skipped: a state with a hole in it must never be served.
    pub fn apply(&mut self, record: &LogRecord) -> Vec<Outcome> {
        if record.offset < self.next {
            return vec![Outcome::Rejected(Reason::Duplicate)];
        }
        assert_eq!(record.offset, self.next, "a record of the log was skipped");
        self.next += 1;
        self.at = self.at.max(record.at);
        self.forget_expired();
        match decode::<Record>(&record.data) {
            Ok(proposals) => self.apply_record(record.offset, &proposals),
            Err(_) => vec![Outcome::Rejected(Reason::Malformed)],
        }
    }

    /// Returns what was decided about a record that was taken lately.
    pub fn outcome(&self, id: RecordId) -> Option<(&RecordOrigin, &[Outcome])> {
        let mark = self.recent.get(&id)?;
        let outcomes = self.outcomes.get(&id)?;
        Some((mark, outcomes))
    }

    fn apply_record(&mut self, offset: Offset, record: &Record) -> Vec<Outcome> {
        if let Some(reason) = self.refusal(record) {
            return vec![Outcome::Rejected(reason); record.changes.len()];
        }
        let context = Context {
            offset,
            at: self.at,
            by: record.by.clone(),
        };
        let outcomes: Vec<Outcome> = record
            .changes
            .iter()
            .map(|change| self.apply_change(&context, change))
            .collect();
        self.remember(&context, record, &outcomes);
        outcomes
    }

    fn refusal(&self, record: &Record) -> Option<Reason> {
        if self.recent.contains_key(&record.id) {
            return Some(Reason::Duplicate);
        }
        if self.at > record.expires {
            return Some(Reason::Late);
        }
        if record.expires > self.at + MAX_RECORD_EXPIRY {
            return Some(Reason::BadDeadline);
        }
        None
    }

    fn apply_change(&mut self, context: &Context, change: &Change) -> Outcome {
        match change {
            Change::Settings(changes) => self.publish(context, changes),
            Change::Observe(seen) => self.observe(context, seen),
            Change::Grant(request) => self.grant(context, request),
            Change::Lease(request) => self.lease(context, request),
            Change::Begin { vm, grant } => self.begin(context, vm, *grant),
            Change::Finish { vm, grant, boot } => self.finish(context, vm, *grant, *boot),
            Change::Undo { vm, grant } => self.undo(context, vm, *grant),
            Change::Forget { vm } => self.forget(vm),
            Change::Wave(change) => self.steer(context, change),
        }
    }

    fn remember(&mut self, context: &Context, record: &Record, outcomes: &[Outcome]) {
        let mark = RecordOrigin {
            offset: context.offset,
            by: record.by.clone(),
            at: context.at,
        };
        self.recent.insert(record.id, mark);
        self.expiring.insert((record.expires, record.id), ());
        self.outcomes.insert(record.id, outcomes.to_vec());
    }

    /// Forgets ids whose second copies would be rejected as late anyway.
    fn forget_expired(&mut self) {
        while let Some((&(expires, id), ())) = self.expiring.first_key_value() {
            if expires >= self.at {
                return;
            }
            self.expiring.pop_first();
            self.recent.remove(&id);
            self.outcomes.remove(&id);
        }
    }
}
