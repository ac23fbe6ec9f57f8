//! Appends to the platform's store: sent again while they have no answer, and counted by what they are about.
//!
//! The store takes an append once, however often it is sent: one with a producer's number answers a repetition as
//! it did the first call, and one on condition of the log's end finds the end moved.

use super::{
    node::Node,
    resend::{Answered, until_answered},
};
use adapter::{
    http::CallError,
    store::{Append, Appended, Condition},
};
use bytes::Bytes;
use std::time::{Duration, Instant};
use tracing::info;

/// From how long on an append is logged: ten times what it takes as a rule.
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
    let append = Append::new(topic, condition, body);
    let send = |connection| {
        let (store, append) = (node.store.over(connection), append.clone());
        async move { store.append(append).await }
    };
    let answered = until_answered(&node.store_times, Duration::ZERO, send).await;
    note(node, matter, &answered, began.elapsed());
    answered.outcome
}

/// Counts an append, and logs one that was sent more than once, took long or has no answer.
fn note(node: &Node, matter: Matter, answered: &Answered<Appended>, took: Duration) {
    let Answered { outcome, calls } = answered;
    let again = u64::from(calls - 1);
    node.metrics
        .store_called(matter.name(), name(outcome), again);
    if outcome.is_err() || again > 0 || took >= LONG {
        let ms = took.as_millis() as u64;
        info!(matter = matter.name(), ?outcome, calls, ms, "append");
    }
}

/// The name of an outcome in the metrics.
fn name(outcome: &Result<Appended, CallError>) -> &'static str {
    match outcome {
        Ok(Appended::Done(_)) => "done",
        Ok(Appended::Busy) => "busy",
        Ok(_) => "refused",
        Err(error) if error.is_unsent() => "unsent",
        Err(_) => "unanswered",
    }
}
