//! What the workers have run, as they themselves saw it.

use std::{
    sync::{Arc, Mutex},
    time::Instant,
};

/// What happened to a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEvent {
    /// It began.
    Started,
    /// It ended well.
    Done,
    /// It ended in another way: stopped or lapsed.
    Ended,
    /// It ended with its worker.
    Lost,
    /// Its good end was acknowledged: nothing may start the task again.
    Acknowledged,
}

/// One event of a run.
#[derive(Clone, Debug)]
pub struct Event {
    /// When.
    pub at: Instant,
    /// Which life of a worker.
    pub worker: String,
    /// The task, as it is written in calls.
    pub task: String,
    /// The run.
    pub run: u64,
    /// What happened.
    pub kind: RunEvent,
}

/// All events, in order; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Events(Arc<Mutex<Vec<Event>>>);

impl Events {
    /// Notes an event.
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

    /// The events so far.
    pub fn all(&self) -> Vec<Event> {
        self.0.lock().expect("no thread panics here").clone()
    }
}
