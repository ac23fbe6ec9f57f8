//! Outcomes of the newest requests of this entry, for `explain`.

use crate::sync::lock;
use serde::{Deserialize, Serialize};
use std::{collections::VecDeque, sync::Mutex, time::SystemTime};

/// Maximum number of requests that are kept.
const MAX_TRACES: usize = 1_024;

/// Request that has ended, with its outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trace {
    /// ID of the request, as sent in the response.
    pub request: String,
    /// Name of the service.
    pub service: String,
    /// Time at which the outcome was decided.
    pub at: SystemTime,
    /// Name of the outcome.
    pub outcome: String,
    /// Explanation that was sent to the caller.
    pub detail: String,
}

/// Bounded list of the newest requests.
#[derive(Default)]
pub struct RecentRequests {
    traces: Mutex<VecDeque<Trace>>,
}

impl RecentRequests {
    /// Records a request and drops the oldest one if the list is full.
    pub fn record(&self, trace: Trace) {
        let mut traces = lock(&self.traces);
        if traces.len() >= MAX_TRACES {
            traces.pop_front();
        }
        traces.push_back(trace);
    }

    /// Returns the newest request with this ID.
    pub fn find(&self, request: &str) -> Option<Trace> {
        lock(&self.traces)
            .iter()
            .rev()
            .find(|trace| trace.request == request)
            .cloned()
    }
}
