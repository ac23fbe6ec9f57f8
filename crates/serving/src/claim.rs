//! At-most-once execution: claims on keys, decided by their order in a stream of the log.
//!
//! A caller's key contains its time of issue. The first claim on a key wins. A claim is never taken over, so
//! that a holder that was suspended cannot be overtaken and then run a request a second time. Keys older than
//! [`MAX_KEY_AGE`] by the log's time are refused, so that no older key has to be kept in memory.

use crate::job::AttemptId;
use protocol::{EntryId, LogRecord, RecordId, ServiceId, decode};
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeMap,
    time::{Duration, SystemTime},
};

/// Key of a caller: a ULID, which begins with its time of issue.
pub type Key = ulid::Ulid;

/// Age above which a key is refused.
pub const MAX_KEY_AGE: Duration = Duration::from_secs(600);

/// Maximum time by which a key may be ahead of an entry's clock.
pub const MAX_KEY_AHEAD: Duration = Duration::from_secs(60);

/// Reason why a key is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The key is not a ULID.
    #[error("must be a ULID: 26 characters that begin with the time of issue")]
    Malformed,
    /// The key was issued too long ago.
    #[error("was issued more than {} s ago", MAX_KEY_AGE.as_secs())]
    TooOld,
    /// The key's time of issue is too far in the future.
    #[error("is dated ahead of the present time")]
    Ahead,
}

/// Parses a caller's key.
///
/// # Errors
///
/// Fails when the text is not a ULID, or its time of issue is too old or too far in the future.
pub fn read_key(text: &str, now: SystemTime) -> Result<Key, KeyError> {
    let key = Key::from_string(text).map_err(|_| KeyError::Malformed)?;
    if key.datetime() > now + MAX_KEY_AHEAD {
        return Err(KeyError::Ahead);
    }
    if is_too_old(key, now) {
        return Err(KeyError::TooOld);
    }
    Ok(key)
}

/// Record of a stream of claims.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Unique id of the record. A second copy of a record has no effect, because each claim has an id of its
    /// own too.
    pub id: RecordId,
    /// Entry that appended the record.
    pub by: EntryId,
    /// Claims and results, in the order in which they are applied.
    pub entries: Vec<ClaimItem>,
}

/// Item of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimItem {
    /// Claim on a key.
    Claim(Claim),
    /// Result of the request whose claim won.
    Settle {
        /// Service of the request.
        service: ServiceId,
        /// Key of the request.
        key: Key,
        /// Claim that won.
        claim: AttemptId,
        /// Result of the request.
        state: ClaimState,
    },
}

/// Claim on a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Service of the request.
    pub service: ServiceId,
    /// Key that the caller sent.
    pub key: Key,
    /// Id of the claim.
    pub claim: AttemptId,
    /// Hash of the request's body. The same key with another body is another request.
    pub digest: u64,
    /// Time limit for the log to accept the claim. A claim that is accepted later has no effect.
    pub expires: SystemTime,
}

/// State of a request that holds its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// No result has been reported.
    Open,
    /// The request ran to its end and its caller was answered.
    Done,
    /// It is unknown whether the request ran.
    Unknown,
    /// The request was certainly not run, and the key is free again.
    NotRun,
}

/// Decision about a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The claim is the first, and the request may be sent.
    Won,
    /// An earlier request with the key ran to its end.
    Done,
    /// An earlier request with the key is in progress, or its result is unknown.
    Held(ClaimState),
    /// The key belongs to a request with another body.
    Mismatch,
    /// The key was already too old when the log accepted the claim.
    TooOld,
    /// The log could not be reached in time.
    LogDown,
}

/// Decision about one claim, with the entry that holds its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimVerdict {
    /// Id of the claim.
    pub claim: AttemptId,
    /// Decision about the claim.
    pub decision: ClaimDecision,
    /// Entry that holds the key.
    pub holder: EntryId,
}

/// Claim that holds a key.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Holder {
    claim: AttemptId,
    by: EntryId,
    digest: u64,
    state: ClaimState,
}

/// Keys that are held, as the records of one stream of claims define them.
#[derive(Clone, Debug, Default)]
pub struct ClaimRegistry {
    held: BTreeMap<(Key, ServiceId), Holder>,
}

impl ClaimRegistry {
    /// Applies the next record and returns the decision on each claim in it.
    pub fn apply(&mut self, record: &LogRecord) -> Vec<ClaimVerdict> {
        self.forget(record.at);
        let Ok(claims) = decode::<ClaimRecord>(&record.data) else {
            return Vec::new();
        };
        let mut decisions = Vec::new();
        for item in claims.entries {
            match item {
                ClaimItem::Claim(claim) => {
                    decisions.push(self.decide(claim, &claims.by, record.at))
                }
                ClaimItem::Settle {
                    service,
                    key,
                    claim,
                    state,
                } => self.settle((key, service), claim, state),
            }
        }
        decisions
    }

    /// Returns the number of keys in memory.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Returns whether no key is in memory.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    fn decide(&mut self, claim: Claim, by: &str, at: SystemTime) -> ClaimVerdict {
        let id = claim.claim;
        let verdict = |decision, holder: &str| ClaimVerdict {
            claim: id,
            decision,
            holder: holder.to_owned(),
        };
        if at > claim.expires {
            return verdict(ClaimDecision::LogDown, by);
        }
        if is_too_old(claim.key, at) {
            return verdict(ClaimDecision::TooOld, by);
        }
        let held_key = (claim.key, claim.service);
        if let Some(holder) = self.held.get(&held_key) {
            return verdict(holder.decide(id, claim.digest), &holder.by);
        }
        let holder = Holder {
            claim: id,
            by: by.to_owned(),
            digest: claim.digest,
            state: ClaimState::Open,
        };
        self.held.insert(held_key, holder);
        verdict(ClaimDecision::Won, by)
    }

    fn settle(&mut self, held_key: (Key, ServiceId), claim: AttemptId, state: ClaimState) {
        let Some(holder) = self.held.get_mut(&held_key) else {
            return;
        };
        if holder.claim != claim {
            return;
        }
        match state {
            ClaimState::NotRun => {
                self.held.remove(&held_key);
            }
            ClaimState::Open | ClaimState::Done | ClaimState::Unknown => holder.state = state,
        }
    }

    /// Drops the keys on which no claim can win any more.
    fn forget(&mut self, at: SystemTime) {
        while let Some(entry) = self.held.first_entry() {
            if !is_too_old(entry.key().0, at) {
                return;
            }
            entry.remove();
        }
    }
}

impl Holder {
    fn decide(&self, claim: AttemptId, digest: u64) -> ClaimDecision {
        if self.claim == claim {
            return ClaimDecision::Won;
        }
        if self.digest != digest {
            return ClaimDecision::Mismatch;
        }
        match self.state {
            ClaimState::Done => ClaimDecision::Done,
            state => ClaimDecision::Held(state),
        }
    }
}

fn is_too_old(key: Key, at: SystemTime) -> bool {
    key.datetime() + MAX_KEY_AGE < at
}
