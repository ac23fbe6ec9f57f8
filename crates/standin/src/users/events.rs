//! A record of the runs on all workers, made by the workers themselves.

use std::{
    sync::{Arc, Mutex},
    time::Instant,
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
    /// Id of the worker that ran the task.
    pub worker: String,
    /// Task, in the form that it has in requests.
    pub task: String,
    /// Number of the run.
    pub run: u64,
    /// Kind of the event.
    pub kind: RunEvent,
}

/// All events in the order in which they were recorded; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Events(Arc<Mutex<Vec<Event>>>);

impl Events {
    /// Records an event that happens now.
    pub fn record(&self, worker: &str, task: &str, run: u64, kind: RunEvent) {
        let event = Event {
            at: Instant::now(),
            worker: worker.to_owned(),
            task: task.to_owned(),
            run,
            kind,
        };
        self.0.lock().expect("no thread panics here").push(event);
    }

    /// Returns all events so far.
    pub fn all(&self) -> Vec<Event> {
        self.0.lock().expect("no thread panics here").clone()
    }
}
