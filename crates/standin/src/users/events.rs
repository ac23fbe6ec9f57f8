//! A record of the runs on all workers and of the calls to them, made by the workers themselves.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// The kinds of events of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEvent {
    /// The run started.
    Started,
    /// The run completed successfully.
    Done,
    /// The run ended in another way: it was stopped, or its lease expired.
    Ended,
    /// The run was lost because its worker ended.
    Lost,
    /// The run's successful end was acknowledged; the task must not be started again.
    Acknowledged,
}

/// One event of a run.
#[derive(Clone, Debug)]
pub struct Event {
    /// Time of the event.
    pub at: Instant,
    /// Time at which the worker received the call that caused the event, which is earlier for a late call; `at` if no
    /// call did.
    pub called_at: Instant,
    /// Id of the worker that ran the task.
    pub worker: String,
    /// Task, in the form that it has in requests.
    pub task: String,
    /// Number of the run.
    pub run: u64,
    /// Kind of the event.
    pub kind: RunEvent,
}

/// A call that a worker carried out.
#[derive(Clone, Debug)]
pub struct Call {
    /// Time at which it was carried out and, except for a late one, its response was complete.
    pub at: Instant,
    /// Id of the worker.
    pub worker: String,
    /// Start of the incarnation that carried it out, in milliseconds since 1970.
    pub incarnation: u64,
    /// Path of the call.
    pub path: String,
    /// Task that the call names, or an empty text.
    pub task: String,
    /// Number of the run that the call names.
    pub run: u64,
    /// Fencing token of the call.
    pub fence: u64,
    /// Time in ms for which the worker holds its runs after the call; negative if its lease is over.
    pub lease_ms: i64,
    /// Status of the response.
    pub status: u16,
    /// Time after which a late call was carried out.
    pub delay: Option<Duration>,
}

/// All events and calls in the order in which they were recorded; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Events {
    runs: Arc<Mutex<Vec<Event>>>,
    calls: Arc<Mutex<Vec<Call>>>,
}

impl Events {
    /// Records an event that happens now.
    pub fn record(&self, worker: &str, task: &str, run: u64, kind: RunEvent) {
        let now = Instant::now();
        self.record_called(now, worker, (task, run), kind);
    }

    /// Records an event that happens now because of a call that was received at `called_at`.
    pub fn record_called(
        &self,
        called_at: Instant,
        worker: &str,
        (task, run): (&str, u64),
        kind: RunEvent,
    ) {
        let event = Event {
            at: Instant::now(),
            called_at,
            worker: worker.to_owned(),
            task: task.to_owned(),
            run,
            kind,
        };
        let mut runs = self.runs.lock().expect("no thread panics here");
        runs.push(event);
    }

    /// Returns all events so far.
    pub fn all(&self) -> Vec<Event> {
        self.runs.lock().expect("no thread panics here").clone()
    }

    /// Records a call.
    pub fn record_call(&self, call: Call) {
        let mut calls = self.calls.lock().expect("no thread panics here");
        calls.push(call);
    }

    /// Returns all calls so far.
    pub fn calls(&self) -> Vec<Call> {
        self.calls.lock().expect("no thread panics here").clone()
    }
}
