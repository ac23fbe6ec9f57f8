//! Holder of the agreed state of this process, and of the newest log records for peers to read.

use crate::sync::{lock, read, write};
use fleet::{Fleet, Outcome};
use protocol::{LogRecord, LogSlice, Offset};
use std::{
    collections::VecDeque,
    sync::{Condvar, Mutex, RwLock, RwLockReadGuard},
    time::{Duration, Instant},
};

/// Maximum number of records that are kept for peers.
const TAIL_RECORDS: usize = 4_096;

/// Maximum total size in bytes of the records that are kept for peers.
const TAIL_BYTES: usize = 4 << 20;

/// Newest records of the log, in order.
#[derive(Default)]
struct Tail {
    records: VecDeque<LogRecord>,
    bytes: usize,
}

/// Holder of the agreed state, which only ever moves to higher offsets.
#[derive(Default)]
pub struct FleetCell {
    fleet: RwLock<Fleet>,
    tail: Mutex<Tail>,
    next: Mutex<Option<Offset>>,
    changed: Condvar,
}

impl FleetCell {
    /// Returns whether a state has been loaded. Nothing may be served before that.
    pub fn is_loaded(&self) -> bool {
        lock(&self.next).is_some()
    }

    /// Locks the state for reading. The guard must be held only briefly, since it blocks updates.
    pub fn get(&self) -> RwLockReadGuard<'_, Fleet> {
        read(&self.fleet)
    }

    /// Replaces the state by a loaded one if that is newer.
    pub fn load(&self, loaded: Fleet) {
        let next = loaded.next;
        {
            let mut fleet = write(&self.fleet);
            if self.is_loaded() && loaded.next <= fleet.next {
                return;
            }
            *fleet = loaded;
            *lock(&self.tail) = Tail::default();
        }
        self.announce(next);
    }

    /// Applies the records that come next and returns each with its outcomes. Skips records that
    /// were applied before, and stops before a record that would leave a gap.
    pub fn apply(&self, records: Vec<LogRecord>) -> Vec<(LogRecord, Vec<Outcome>)> {
        let mut applied = Vec::new();
        let next = {
            let mut fleet = write(&self.fleet);
            for record in records {
                if record.offset < fleet.next {
                    continue;
                }
                if record.offset > fleet.next {
                    break;
                }
                let outcomes = fleet.apply(&record);
                applied.push((record, outcomes));
            }
            fleet.next
        };
        if !applied.is_empty() {
            self.append_to_tail(applied.iter().map(|(record, _)| record));
            self.announce(next);
        }
        applied
    }

    /// Returns the retained records from offset `from` on, waiting up to `wait` until there is one.
    pub fn slice(&self, from: Offset, wait: Duration) -> LogSlice {
        self.wait(Instant::now() + wait, |next| next > from);
        let next = self.get().next;
        let tail = lock(&self.tail);
        let oldest = tail.records.front().map_or(next, |record| record.offset);
        let records = tail
            .records
            .iter()
            .filter(|record| record.offset >= from)
            .cloned()
            .collect();
        LogSlice {
            oldest,
            next,
            records,
        }
    }

    /// Waits until the next offset satisfies `is_met`, and returns false if the deadline passes
    /// first.
    pub fn wait(&self, deadline: Instant, is_met: impl Fn(Offset) -> bool) -> bool {
        let mut next = lock(&self.next);
        loop {
            if next.is_some_and(&is_met) {
                return true;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            next = self
                .changed
                .wait_timeout(next, left)
                .unwrap_or_else(std::sync::PoisonError::into_inner)
                .0;
        }
    }

    fn append_to_tail<'a>(&self, records: impl Iterator<Item = &'a LogRecord>) {
        let mut tail = lock(&self.tail);
        for record in records {
            tail.bytes += record.data.len();
            tail.records.push_back(record.clone());
        }
        while tail.records.len() > TAIL_RECORDS || tail.bytes > TAIL_BYTES {
            let Some(oldest) = tail.records.pop_front() else {
                return;
            };
            tail.bytes -= oldest.data.len();
        }
    }

    fn announce(&self, next: Offset) {
        *lock(&self.next) = Some(next);
        self.changed.notify_all();
    }
}
