//! Applies the records of the log one after the other, with the same outcome in every process.

use crate::{
    MAX_RECORD_EXPIRY,
    record::{Change, Outcome, Reason, Record},
    state::{Fleet, RecordOrigin},
};
use protocol::{LogRecord, Offset, RecordId, decode};
use std::time::SystemTime;

/// The record to which a proposal belongs.
#[derive(Clone, Debug)]
pub(crate) struct Context {
    /// The record's offset.
    pub offset: Offset,
    /// The time at which the log accepted the record.
    pub at: SystemTime,
    /// The entry that appended the record.
    pub by: String,
}

impl Fleet {
    /// Applies the record at [`Fleet::next`] and returns the outcome of each proposal.
    ///
    /// Records at lower offsets have been applied before and change nothing. The caller must not skip an
    /// offset, since the state cannot show what it missed.
    ///
    /// # Panics
    ///
    /// Panics when an offset is skipped: a state that lacks a record must never be served.
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

    /// Returns the origin and the outcomes of a record that was accepted recently, or `None` if the id is
    /// not known.
    pub fn outcome(&self, id: RecordId) -> Option<(&RecordOrigin, &[Outcome])> {
        let origin = self.recent.get(&id)?;
        let outcomes = self.outcomes.get(&id)?;
        Some((origin, outcomes))
    }

    fn apply_record(&mut self, offset: Offset, record: &Record) -> Vec<Outcome> {
        if let Some(reason) = self.rejection(record) {
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
        self.record_outcomes(&context, record, &outcomes);
        outcomes
    }

    fn rejection(&self, record: &Record) -> Option<Reason> {
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
            Change::Observe(observations) => self.observe(context, observations),
            Change::Grant(request) => self.grant(context, request),
            Change::Lease(request) => self.lease(context, request),
            Change::Begin { vm, grant } => self.begin(context, vm, *grant),
            Change::Finish { vm, grant, boot } => self.finish(context, vm, *grant, *boot),
            Change::Undo { vm, grant } => self.undo(context, vm, *grant),
            Change::Forget { vm } => self.forget(vm),
            Change::Wave(change) => self.change_wave(context, change),
        }
    }

    fn record_outcomes(&mut self, context: &Context, record: &Record, outcomes: &[Outcome]) {
        let origin = RecordOrigin {
            offset: context.offset,
            by: record.by.clone(),
            at: context.at,
        };
        self.recent.insert(record.id, origin);
        self.expiring.insert((record.expires, record.id), ());
        self.outcomes.insert(record.id, outcomes.to_vec());
    }

    /// Forgets expired ids: a second copy of such a record would be rejected as late anyway.
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
