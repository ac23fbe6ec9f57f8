//! Calls to the platform's store. They are resent until they are answered, and appends are counted
//! by kind.
//!
//! The store applies an append once, however often it is sent. A repeated append with a producer's
//! number gets the response of the first one, and a repeated append that is conditional on the end
//! of the log finds that the end has moved.

use super::{
    logs::kind,
    node::Node,
    resend::{Answered, Timeouts, until_answered},
};
use adapter::{
    http::{CallError, Connection},
    operator,
    store::{Append, AppendResponse, Condition, NewestRecords, Offset, OpenedRead, ReadResponse},
};
use bytes::Bytes;
use clock::Instant;
use std::time::Duration;
use tracing::info;

/// Duration from which on an append is logged: ten times the usual one.
const LOG_THRESHOLD: Duration = Duration::from_millis(150);

/// Limits for an append and for the beginning of a part of the newest records. The time suffices for three responses
/// of a store that is 89 times slower than usual.
const APPEND_TIMEOUTS: Timeouts = Timeouts {
    hold: Duration::ZERO,
    limit: Duration::from_millis(1_500),
};

/// Time, beyond the wait for records, for which a read is resent. An entry that is isolated from
/// the store must turn to others early enough for a change to be in force within 2 s.
const READ_RESEND_LIMIT: Duration = Duration::from_millis(700);

/// Kind of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendKind {
    /// Records of jobs.
    Jobs,
    /// A record of the lease.
    Lease,
    /// The progress of a wave.
    Wave,
}

impl AppendKind {
    /// Returns the name of the kind in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            AppendKind::Jobs => "jobs",
            AppendKind::Lease => "lease",
            AppendKind::Wave => "wave",
        }
    }
}

/// Appends either all records or none.
///
/// # Errors
///
/// Fails if the store does not answer or cannot be reached. After a call without a response, the
/// records may be in the log or may arrive there later.
pub async fn append(
    node: &Node,
    kind: AppendKind,
    topic: &str,
    condition: Condition<'_>,
    body: Bytes,
) -> Result<AppendResponse, CallError> {
    let began = Instant::now();
    let append = Append::new(topic, condition, body);
    let send = |connection| {
        let (store, append) = (node.store.with_connection(connection), append.clone());
        async move { store.append(append).await }
    };
    let answered = until_answered(&node.store_times, APPEND_TIMEOUTS, send).await;
    record_append(node, kind, &answered, began.elapsed());
    answered.outcome
}

/// Reads records, waiting for the first one if there is none yet.
///
/// # Errors
///
/// Fails if the store does not answer.
pub async fn read(
    node: &Node,
    topic: &'static str,
    from: Offset,
    hold: Duration,
) -> Result<ReadResponse, CallError> {
    open_read(node, topic, from, hold).await?.receive().await
}

/// Reads records as [`read`] does, and returns as soon as the response begins. A resent call does not
/// wait. It is only resent before that: each copy of a large response would delay the others on a
/// narrow link.
///
/// # Errors
///
/// Fails if the store does not answer.
pub async fn open_read(
    node: &Node,
    topic: &'static str,
    from: Offset,
    hold: Duration,
) -> Result<OpenedRead, CallError> {
    let send = |connection| {
        let store = node.store.with_connection(connection);
        let wait = match connection {
            Connection::Pooled => hold,
            Connection::New => Duration::ZERO,
        };
        async move { store.read(topic, from, wait).await }
    };
    node.metrics.read(topic);
    let limit = READ_RESEND_LIMIT;
    let answered = until_answered(&node.store_times, Timeouts { hold, limit }, send).await;
    answered.outcome
}

/// Reads the records from an offset on, once and without waiting, and returns as soon as the response
/// begins.
///
/// # Errors
///
/// Fails if the store does not answer.
pub async fn open_read_once(
    node: &Node,
    topic: &'static str,
    from: Offset,
) -> Result<OpenedRead, CallError> {
    node.metrics.read(topic);
    let store = node.store.with_connection(Connection::Pooled);
    store.read(topic, from, Duration::ZERO).await
}

/// Reads the newest record of each key. Returns `None` if the store refused a call.
///
/// # Errors
///
/// Fails if the store does not answer.
pub async fn newest(node: &Node, topic: &'static str) -> Result<Option<NewestRecords>, CallError> {
    let mut newest = NewestRecords::default();
    loop {
        let after = newest.next.take();
        node.metrics.read(topic);
        let send = |connection| {
            let (store, after) = (node.store.with_connection(connection), after.clone());
            async move { store.newest(topic, after.as_deref()).await }
        };
        let answered = until_answered(&node.store_times, APPEND_TIMEOUTS, send).await;
        let opened = answered.outcome?;
        let _transfer = (topic == operator::TOPIC).then(|| node.replication.begin_transfer());
        let Some(part) = opened.receive().await? else {
            return Ok(None);
        };
        newest.extend(part);
        if newest.next.is_none() {
            return Ok(Some(newest));
        }
    }
}

/// Counts an append, and logs it if it was resent, was slow or has no response.
fn record_append(
    node: &Node,
    kind: AppendKind,
    answered: &Answered<AppendResponse>,
    took: Duration,
) {
    let Answered { outcome, calls } = answered;
    let resends = u64::from(calls - 1);
    node.metrics
        .store_called(kind.name(), outcome_name(outcome), resends);
    if outcome.is_err() || resends > 0 || took >= LOG_THRESHOLD {
        let ms = took.as_millis() as u64;
        info!(target: kind::REQUEST, matter = kind.name(), ?outcome, calls, ms, "append");
    }
}

/// Returns the name of an outcome in the metrics.
fn outcome_name(outcome: &Result<AppendResponse, CallError>) -> &'static str {
    match outcome {
        Ok(AppendResponse::Done(_)) => "done",
        Ok(AppendResponse::Busy) => "busy",
        Ok(_) => "refused",
        Err(error) if error.is_unsent() => "unsent",
        Err(_) => "unanswered",
    }
}
