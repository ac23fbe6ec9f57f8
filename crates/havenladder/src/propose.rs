//! Appends proposals to the log and learns what was decided, also when an answer is lost.

use crate::context::Context;
use fleet::{Change, Outcome, Record};
use platform::{CallError, Log};
use protocol::{Offset, RecordId, encode};
use std::{
    thread::sleep,
    time::{Duration, Instant, SystemTime},
};

/// The stream of the fleet.
pub const FLEET: &str = "fleet";

/// Time between two tries to reach the log.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which an append waits to see its own record before it appends it once more.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(2);

/// What was decided about a proposal.
#[derive(Debug)]
pub struct Decision {
    /// The record's offset.
    pub offset: Offset,
    /// The outcome of each change.
    pub outcomes: Vec<Outcome>,
}

/// Why nothing is known to have been decided.
#[derive(Debug, thiserror::Error)]
pub enum ProposeError {
    /// The log took nothing, and will not.
    #[error("the platform's log cannot be reached; nothing was changed: {0}")]
    NotTaken(CallError),
    /// The log may have taken the record, or may do so until it expires.
    #[error("the platform's log did not confirm the change in time; it may still take effect")]
    Unknown,
}

/// Appends `changes` as one record and waits for what the fold decides.
///
/// The record has one id on every try, so that the fold takes it once however often an answer is
/// lost, and it expires, so that a late copy cannot take effect after this has given up.
///
/// # Errors
///
/// Tells whether the record may still take effect.
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
            Ok(_) | Err(CallError::AnswerLost(_)) => {
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

/// Waits until the fold of this process has met the record.
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
