//! Appends proposals to the log and learns their outcomes, even when a response is lost.

use crate::context::Context;
use fleet::{Change, Outcome, Record};
use platform::{CallError, Log};
use protocol::{Offset, RecordId, encode};
use std::{
    thread::sleep,
    time::{Duration, Instant, SystemTime},
};

/// Name of the log stream that holds the changes of the fleet.
pub const FLEET: &str = "fleet";

/// Interval between two attempts to reach the log.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which an append waits until its own record is applied here, before it is repeated.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(2);

/// Outcome of a proposal.
#[derive(Debug)]
pub struct Decision {
    /// Offset of the record.
    pub offset: Offset,
    /// Outcome of each change.
    pub outcomes: Vec<Outcome>,
}

/// Reason why the outcome of a proposal is not known.
#[derive(Debug, thiserror::Error)]
pub enum ProposeError {
    /// The log did not accept the record and will not do so later.
    #[error("the platform's log cannot be reached; nothing was changed: {0}")]
    NotTaken(CallError),
    /// The log may have accepted the record, or may still do so until the record expires.
    #[error("the platform's log did not confirm the change in time; it may still take effect")]
    Unknown,
}

/// Appends `changes` as one record and waits until it is applied here.
///
/// Every attempt uses the same record ID, so the record takes effect once even if a response is
/// lost and the append is repeated. The record expires, so a delayed copy cannot take effect after
/// this function has returned an error.
///
/// # Errors
///
/// Returns an error that tells whether the record may still take effect.
pub fn propose(ctx: &Context, changes: Vec<Change>) -> Result<Decision, ProposeError> {
    let timeout = ctx.config.platform.propose;
    let record = Record {
        id: RecordId::new(),
        by: ctx.config.entry.name.clone(),
        expires: SystemTime::now() + timeout,
        changes,
    };
    let decided = append_until(ctx, &record, Instant::now() + timeout);
    ctx.metrics.proposal(match &decided {
        Ok(_) => "decided",
        Err(ProposeError::NotTaken(_)) => "not-taken",
        Err(ProposeError::Unknown) => "unknown",
    });
    decided
}

fn append_until(
    ctx: &Context,
    record: &Record,
    deadline: Instant,
) -> Result<Decision, ProposeError> {
    let Ok(data) = encode(record) else {
        return Err(ProposeError::Unknown);
    };
    let mut maybe_taken = false;
    loop {
        match ctx.platform.append(FLEET, &data) {
            Ok(_) | Err(CallError::ResponseLost(_)) => {
                maybe_taken = true;
                if let Some(decided) = read_back(ctx, record.id, deadline) {
                    return Ok(decided);
                }
            }
            Err(error @ CallError::Refused(_)) if !maybe_taken => {
                return Err(ProposeError::NotTaken(error));
            }
            Err(error) if !maybe_taken && Instant::now() >= deadline => {
                return Err(ProposeError::NotTaken(error));
            }
            Err(_) => sleep(RETRY_INTERVAL),
        }
        if maybe_taken && Instant::now() >= deadline {
            return Err(ProposeError::Unknown);
        }
    }
}

/// Waits until this process has applied the record, and returns its outcomes. Returns `None` on a
/// timeout.
fn read_back(ctx: &Context, id: RecordId, deadline: Instant) -> Option<Decision> {
    let until = deadline.min(Instant::now() + READ_BACK_TIMEOUT);
    loop {
        let applied = {
            let fleet = ctx.fleet.get();
            if let Some((mark, outcomes)) = fleet.outcome(id) {
                return Some(Decision {
                    offset: mark.offset,
                    outcomes: outcomes.to_vec(),
                });
            }
            fleet.next
        };
        if !ctx.fleet.wait(until, |next| next > applied) {
            return None;
        }
    }
}
