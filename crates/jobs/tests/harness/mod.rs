//! A test harness around one cell and a few simulated workers, for tests of single decisions.

#![expect(clippy::unwrap_used, reason = "a test stops where it fails")]

use crate::fixture::worker;
use clock::Instant;
use havenladder_jobs::{
    Batch, Cell, Decoded, EndRow, Entry, JobId, Limits, Order, Report, RunId, RunOutcome, RunRow,
    TaskId, WorkerId, decode_entry,
};
use std::time::Duration;

/// A cell, its simulated clock and the records that its log would hold.
pub struct Harness {
    /// The cell under test.
    pub cell: Cell,
    /// The simulated current time.
    pub now: Instant,
    /// The records that were appended, oldest first.
    pub log: Vec<Entry>,
}

/// Returns the id of a task in the first round of a job.
pub fn task(job: JobId, step: u32, index: u32) -> TaskId {
    TaskId {
        job,
        round: 0,
        step,
        index,
    }
}

/// Returns the row of a report for a run that is still running.
pub fn row(task: TaskId, run: RunId, percent: u64) -> RunRow {
    RunRow {
        task,
        run,
        saved: String::new(),
        percent,
        measurement: 0,
    }
}

impl Harness {
    /// Creates a cell in which each of the given workers is listed and has sent a report.
    pub fn new(workers: &[&str]) -> Self {
        let mut harness = Harness {
            cell: Cell::new(Limits::default()),
            now: Instant::now(),
            log: Vec::new(),
        };
        workers.iter().for_each(|id| harness.add_worker(id));
        harness
    }

    /// Lists a worker and applies an empty report of it.
    pub fn add_worker(&mut self, id: &str) {
        self.cell.upsert_worker(worker(id), self.now);
        self.report(id, Report::default());
    }

    /// Advances the clock.
    pub fn advance(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
    }

    /// Advances the clock by 1 ms and applies a report of the worker.
    pub fn report(&mut self, id: &str, report: Report) {
        self.advance(1);
        self.cell.apply_report(id, &report, self.now, self.now);
    }

    /// Applies a report that lists the end of one run and all other runs of the worker as running.
    pub fn report_end(&mut self, id: &str, number: u64, task: TaskId, run: RunId, how: RunOutcome) {
        let end = EndRow {
            number,
            task,
            run,
            how,
            saved: String::new(),
        };
        let running = self.running_rows(id, task, run);
        self.report(
            id,
            Report {
                running,
                ended: vec![end],
                ..Report::default()
            },
        );
    }

    /// Returns a row for each run that the cell assigns to the worker, except for one run.
    fn running_rows(&self, id: &str, task: TaskId, run: RunId) -> Vec<RunRow> {
        let Some(host) = self.cell.workers.get(id) else {
            return Vec::new();
        };
        let others = host.runs.keys().filter(|key| **key != (task, run));
        others.map(|(task, run)| row(*task, *run, 50)).collect()
    }

    /// Schedules, makes the records durable and sends the starts. Returns those that the cell still confirmed; the
    /// worker accepts each of them.
    pub fn start_tasks(&mut self) -> Vec<(WorkerId, TaskId, RunId)> {
        self.cell.schedule(self.now);
        let batch: Batch = self.cell.take_batch();
        self.cell.confirm(&batch);
        self.log.extend(batch.entries);
        let mut started = Vec::new();
        for order in batch.starts {
            let Order::Start { worker, task, run } = order else {
                continue;
            };
            if self.cell.prepare_start(&worker, task, run, self.now) {
                self.cell.start_accepted(&worker, task, run, self.now);
                started.push((worker, task, run));
            }
        }
        started
    }

    /// Takes the urgent orders of the cell and returns the stops among them.
    pub fn take_stops(&mut self) -> Vec<(WorkerId, TaskId, RunId)> {
        let stop = |order| match order {
            Order::Stop { worker, task, run } => Some((worker, task, run)),
            Order::Start { .. } | Order::Pace { .. } | Order::RequestPermits { .. } => None,
        };
        self.cell
            .take_urgent()
            .into_iter()
            .filter_map(stop)
            .collect()
    }

    /// Replaces the cell by that of a new owner, which has read the log and has contacted no worker yet.
    pub fn take_over(&mut self) {
        let mut newest: std::collections::BTreeMap<String, Vec<u8>> = Default::default();
        for entry in &self.log {
            match &entry.value {
                Some(value) => newest.insert(entry.key.clone(), value.clone()),
                None => newest.remove(&entry.key),
            };
        }
        let decoded: Vec<Decoded> = newest
            .iter()
            .map(|(key, value)| decode_entry(key, value).unwrap())
            .collect();
        self.cell = Cell::new(Limits::default());
        self.cell.load_records(decoded);
    }
}
