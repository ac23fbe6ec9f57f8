//! At most once: claims on keys, decided by their order in a stream of the log.
//!
//! A caller's key holds its time of issue. The first claim on a key wins; a claim is never taken
//! over, so a holder that was frozen cannot be overtaken and run a request a second time. Keys
//! older than [`MAX_KEY_AGE`] are refused by the log's own time, so nothing older need be remembered.

use crate::job::AttemptId;
use protocol::{EntryId, LogRecord, RecordId, ServiceId, decode};
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeMap,
    time::{Duration, SystemTime},
};

/// A caller's key: a ULID, whose first part is its time of issue.
pub type Key = ulid::Ulid;

/// Age at which a key is refused.
pub const MAX_KEY_AGE: Duration = Duration::from_secs(600);

/// How far ahead of an entry's clock a key's time may be.
pub const MAX_KEY_AHEAD: Duration = Duration::from_secs(60);

/// Why a key is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// It is no ULID.
    #[error("must be a ULID: 26 characters that begin with the time of issue")]
    Malformed,
    /// It was issued too long ago.
    #[error("was issued more than {} s ago", MAX_KEY_AGE.as_secs())]
    TooOld,
    /// It is dated ahead.
    #[error("is dated ahead of the present time")]
    Ahead,
}

/// Reads a caller's key.
///
/// # Errors
///
/// Fails when the text is no ULID, or when its time is too old or ahead.
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

/// One record of a stream of claims.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Unique id; a second copy has no effect because each claim in it has an id as well.
    pub id: RecordId,
    /// The entry that appended it.
    pub by: EntryId,
    /// What it holds.
    pub entries: Vec<Entry>,
}

/// One part of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// A claim.
    Claim(Claim),
    /// What became of the request of a claim that won.
    Settle {
        /// The service.
        service: ServiceId,
        /// The key.
        key: Key,
        /// The claim.
        claim: AttemptId,
        /// What became of it.
        state: ClaimState,
    },
}

/// A claim on a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The service.
    pub service: ServiceId,
    /// The caller's key.
    pub key: Key,
    /// The claim's own id.
    pub claim: AttemptId,
    /// Hash of the request's body: another body under the same key is another request.
    pub digest: u64,
    /// The claim has no effect if the log takes it later than this.
    pub expires: SystemTime,
}

/// What became of a request that holds its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// Nobody has said yet.
    Open,
    /// It ran to its end and its caller was answered.
    Done,
    /// Nobody can tell whether it ran.
    Unknown,
    /// It was certainly not run; the key is free again.
    NotRun,
}

/// What was decided about a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// It was first: the request may be sent.
    Won,
    /// An earlier request with the key ran to its end.
    Done,
    /// An earlier request with the key is in progress, or nobody can tell what became of it.
    Held(ClaimState),
    /// The key belongs to a request with another body.
    Mismatch,
    /// The key was too old by the time the log took the claim.
    TooOld,
    /// The log could not be reached in time.
    LogDown,
}

/// The verdict on one claim, as the book reads it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimVerdict {
    /// The claim.
    pub claim: AttemptId,
    /// What was decided.
    pub decision: ClaimDecision,
    /// The entry that holds the key.
    pub holder: EntryId,
}

/// Who holds a key.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Holder {
    claim: AttemptId,
    by: EntryId,
    digest: u64,
    state: ClaimState,
}

/// The fold of one stream of claims.
#[derive(Clone, Debug, Default)]
pub struct ClaimRegistry {
    held: BTreeMap<(Key, ServiceId), Holder>,
}

impl ClaimRegistry {
    /// Applies the next record and returns the verdict on each claim in it.
    pub fn apply(&mut self, record: &LogRecord) -> Vec<ClaimVerdict> {
        self.forget(record.at);
        let Ok(claims) = decode::<ClaimRecord>(&record.data) else {
            return Vec::new();
        };
        let mut verdicts = Vec::new();
        for entry in claims.entries {
            match entry {
                Entry::Claim(claim) => verdicts.push(self.judge(claim, &claims.by, record.at)),
                Entry::Settle {
                    service,
                    key,
                    claim,
                    state,
                } => self.settle((key, service), claim, state),
            }
        }
        verdicts
    }

    /// Keys that are remembered.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Tells whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    fn judge(&mut self, claim: Claim, by: &str, at: SystemTime) -> ClaimVerdict {
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
        let place = (claim.key, claim.service);
        if let Some(holder) = self.held.get(&place) {
            return verdict(holder.answer(id, claim.digest), &holder.by);
        }
        let holder = Holder {
            claim: id,
            by: by.to_owned(),
            digest: claim.digest,
            state: ClaimState::Open,
        };
        self.held.insert(place, holder);
        verdict(ClaimDecision::Won, by)
    }

    fn settle(&mut self, place: (Key, ServiceId), claim: AttemptId, state: ClaimState) {
        let Some(holder) = self.held.get_mut(&place) else {
            return;
        };
        if holder.claim != claim {
            return;
        }
        match state {
            ClaimState::NotRun => {
                self.held.remove(&place);
            }
            ClaimState::Open | ClaimState::Done | ClaimState::Unknown => holder.state = state,
        }
    }

    /// Forgets keys on which no claim can win any more.
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
    fn answer(&self, claim: AttemptId, digest: u64) -> ClaimDecision {
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
