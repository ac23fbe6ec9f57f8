//! Appends to the platform's store, counted: what each was about, how long its answer took, and whether it came.

use super::node::Node;
use adapter::{
    http::CallError,
    store::{Appended, Condition},
};
use bytes::Bytes;
use std::time::{Duration, Instant};
use tracing::info;

/// From how long on a call is logged: ten times what an append takes as a rule.
const LONG: Duration = Duration::from_millis(150);

/// What an append is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Matter {
    /// Records of jobs.
    Jobs,
    /// The lease.
    Lease,
    /// How far a wave is.
    Wave,
}

impl Matter {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Matter::Jobs => "jobs",
            Matter::Lease => "lease",
            Matter::Wave => "wave",
        }
    }
}

/// Appends records, all or none.
///
/// # Errors
///
/// After a call without an answer the records may be there, or come later.
pub async fn append(
    node: &Node,
    matter: Matter,
    topic: &str,
    condition: Condition<'_>,
    body: Bytes,
) -> Result<Appended, CallError> {
    let began = Instant::now();
    let outcome = node.store.append(topic, condition, body).await;
    note(node, matter, &outcome, began.elapsed());
    outcome
}

/// Counts a call to the store, and logs one that took long or has no answer.
fn note(node: &Node, matter: Matter, outcome: &Result<Appended, CallError>, took: Duration) {
    node.metrics.store_called(matter.name(), name(outcome));
    if outcome.is_err() || took >= LONG {
        let ms = took.as_millis() as u64;
        info!(matter = matter.name(), ?outcome, ms, "call to the store");
    }
}

/// The name of a call's outcome in the metrics.
fn name(outcome: &Result<Appended, CallError>) -> &'static str {
    match outcome {
        Ok(Appended::Done(_)) => "done",
        Ok(Appended::Busy) => "busy",
        Ok(_) => "refused",
        Err(error) if error.is_unsent() => "unsent",
        Err(_) => "unanswered",
    }
}
