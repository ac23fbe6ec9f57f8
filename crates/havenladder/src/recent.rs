//! What became of the newest requests of this entry, for `explain`.

use crate::sync::lock;
use serde::{Deserialize, Serialize};
use std::{collections::VecDeque, sync::Mutex, time::SystemTime};

/// Requests that are remembered.
const MAX_TRACES: usize = 1_024;

/// One request that got its outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trace {
    /// The request's id, as its answer bore it.
    pub request: String,
    /// Its service.
    pub service: String,
    /// When it got its outcome.
    pub at: SystemTime,
    /// Its outcome.
    pub outcome: String,
    /// What its caller was told.
    pub detail: String,
}

/// The newest requests.
#[derive(Default)]
pub struct Recent {
    traces: Mutex<VecDeque<Trace>>,
}

impl Recent {
    /// Notes a request.
    pub fn record(&self, trace: Trace) {
        let mut traces = lock(&self.traces);
        if traces.len() >= MAX_TRACES {
            traces.pop_front();
        }
        traces.push_back(trace);
    }

    /// Finds a request by its id.
    pub fn find(&self, request: &str) -> Option<Trace> {
        lock(&self.traces)
            .iter()
            .rev()
            .find(|trace| trace.request == request)
            .cloned()
    }
}
