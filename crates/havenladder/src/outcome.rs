//! Outcomes of requests as callers, metrics and the burn report see them.

use crate::problem::Problem;
use hyper::StatusCode;
use protocol::Loss;
use serving::{AttemptEnd, ClaimDecision, ClaimState, NotRun, NotRunReason, Outcome};
use std::time::{Duration, Instant};

/// Time after which a caller may retry a request whose key is in progress.
const IN_PROGRESS_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns the name of an outcome in metrics and logs.
pub fn name(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Done(_) => "done",
        Outcome::NotRun(_) => "not-run",
        Outcome::Unknown(_) => "unknown",
        Outcome::Claimed(_) => "claimed",
    }
}

/// Returns how the burn report counts a request: `None` if it is not counted, `Some(None)` if it is
/// good, and the kind of loss otherwise.
pub fn loss(outcome: &Outcome, in_time: bool) -> Option<Option<Loss>> {
    match outcome {
        Outcome::Done(_) if in_time => Some(None),
        Outcome::Done(_) => Some(Some(Loss::Late)),
        Outcome::NotRun(refusal) => match refusal.reason {
            NotRunReason::Overload | NotRunReason::Refused => Some(Some(Loss::Overload)),
            NotRunReason::NoWorker | NotRunReason::Stopping => Some(Some(Loss::NoWorker)),
            NotRunReason::LogDown => Some(Some(Loss::LogDown)),
            NotRunReason::DeadlinePast | NotRunReason::Cancelled => None,
        },
        Outcome::Unknown(AttemptEnd::Failed) => Some(Some(Loss::WorkerFailed)),
        Outcome::Unknown(_) => Some(Some(Loss::Unknown)),
        Outcome::Claimed(_) => None,
    }
}

/// Returns the problem document for an outcome that has no response of a worker.
pub fn problem(outcome: &Outcome) -> Problem {
    match outcome {
        Outcome::NotRun(refusal) => not_run(refusal),
        Outcome::Claimed(decision) => claimed(*decision),
        Outcome::Done(_) | Outcome::Unknown(_) => unknown(outcome),
    }
}

fn not_run(refusal: &NotRun) -> Problem {
    let (status, kind, detail) = match refusal.reason {
        NotRunReason::Overload => (503, "overload", "it could not be done in time"),
        NotRunReason::DeadlinePast => (504, "deadline-past", "its deadline is past"),
        NotRunReason::NoWorker => (503, "no-worker", "no worker of its pool takes work"),
        NotRunReason::Refused => (503, "refused", "every worker that was tried refused it"),
        NotRunReason::LogDown => (503, "log-down", "the log for claims cannot be reached"),
        NotRunReason::Cancelled => (499, "cancelled", "its caller went away"),
        NotRunReason::Stopping => (503, "stopping", "this entry is about to stop"),
    };
    Problem {
        status: StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE),
        kind,
        detail: format!("the request was not run: {detail}"),
        field: None,
        outcome: "not-run",
        retry_after: Some(refusal.retry_at.saturating_duration_since(Instant::now())),
    }
}

fn claimed(decision: ClaimDecision) -> Problem {
    let conflict = |kind, detail: &str, outcome, retry_after| Problem {
        status: StatusCode::CONFLICT,
        kind,
        detail: detail.to_owned(),
        field: Some("idempotency-key"),
        outcome,
        retry_after,
    };
    match decision {
        ClaimDecision::Done => conflict(
            "already-done",
            "a request with this key ran to its end and its caller was answered",
            "done",
            None,
        ),
        ClaimDecision::Held(ClaimState::Open) => conflict(
            "in-progress",
            "a request with this key is in progress, or its entry was lost with it",
            "in-progress",
            Some(IN_PROGRESS_RETRY_AFTER),
        ),
        ClaimDecision::Held(_) => conflict(
            "claimed",
            "a request with this key was sent and nobody can tell whether it ran",
            "unknown",
            None,
        ),
        ClaimDecision::Mismatch => Problem {
            status: StatusCode::UNPROCESSABLE_ENTITY,
            ..conflict(
                "key-reused",
                "the key belongs to a request with another body",
                "not-run",
                None,
            )
        },
        ClaimDecision::TooOld => Problem {
            status: StatusCode::BAD_REQUEST,
            ..conflict("key-too-old", "the key is too old", "not-run", None)
        },
        ClaimDecision::Won | ClaimDecision::LogDown => {
            conflict("claimed", "claimed", "unknown", None)
        }
    }
}

fn unknown(outcome: &Outcome) -> Problem {
    let detail = match outcome {
        Outcome::Unknown(AttemptEnd::Failed) => "a worker began it and failed",
        _ => "it was sent and its whole answer did not come back",
    };
    Problem {
        status: StatusCode::BAD_GATEWAY,
        kind: "unknown",
        detail: format!("nobody can tell whether the request ran to its end: {detail}"),
        field: None,
        outcome: "unknown",
        retry_after: None,
    }
}

/// Returns the name of the end of an attempt in metrics.
pub fn end_name(end: AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Done => "done",
        AttemptEnd::Refused => "refused",
        AttemptEnd::NotSent => "not-sent",
        AttemptEnd::Broken => "broken",
        AttemptEnd::Failed => "failed",
    }
}
