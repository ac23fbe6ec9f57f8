//! Whether an entry can serve callers, by what it reaches: the platform's store, entries of other data
//! centres, and the owner of the cell.
//!
//! An entry that is cut off together with its data centre can take no job: the owner is on the other side,
//! or is on this side and cannot record anything. It says so, so that callers are sent elsewhere. Where the
//! store is away for everybody, entries still reach each other, and none of them is cut off.

use crate::LEASE_TIMEOUT;
use clock::Instant;
use std::time::Duration;

/// How long nothing outside of the data centre has been heard until an entry asks whether something is
/// there: the owner's renewals come every 0.4 s, and none may be late by a quarter of that.
pub const PROBE_DELAY: Duration = Duration::from_millis(500);

/// How long nothing has been heard until an entry counts as cut off: one round of questions, 0.15 s, after
/// [`PROBE_DELAY`].
pub const CUT_OFF_TIMEOUT: Duration = Duration::from_millis(700);

/// How long after the owner's first missing answer a renewal must come to show that it lives: one that was
/// under way by then, and read late, does not.
pub const MIN_RENEWAL_DELAY: Duration = Duration::from_millis(300);

/// How long after its first missing answer an owner counts as silent: it has been asked once more by then.
pub const OWNER_SILENCE_TIMEOUT: Duration = Duration::from_millis(150);

/// For how long an answer of the owner counts: it is asked about every 0.5 s while its renewals do not come.
pub const MAX_OWNER_RESPONSE_AGE: Duration = Duration::from_millis(1_200);

/// What an entry reaches.
#[derive(Clone, Copy, Debug)]
pub struct Reach {
    /// When the store, or an entry of another data centre, last answered.
    outside: Instant,
    /// When an entry of another data centre last answered; none if none is known that could be asked.
    peer: Option<Instant>,
    /// Since when the owner has not answered.
    silent: Option<Instant>,
    /// When the owner last answered a question that it answers at once.
    answered: Option<Instant>,
    /// When a renewal of the owner was last read.
    renewed: Option<Instant>,
}

impl Reach {
    /// An entry that has heard nothing yet.
    pub fn new(now: Instant) -> Self {
        Reach {
            outside: now,
            peer: None,
            silent: None,
            answered: None,
            renewed: None,
        }
    }

    /// The store answered.
    pub fn on_store_response(&mut self, now: Instant) {
        self.outside = self.outside.max(now);
    }

    /// For how long neither the store nor another data centre has been heard of.
    pub fn outside_silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.outside)
    }

    /// An entry of another data centre answered.
    pub fn on_peer_response(&mut self, now: Instant) {
        self.outside = now;
        self.peer = Some(now);
    }

    /// Whether an entry of another data centre has answered since then.
    pub fn has_peer_answered(&self, since: Instant) -> bool {
        self.peer.is_some_and(|at| at >= since)
    }

    /// A renewal of the owner was read.
    pub fn on_renewal(&mut self, now: Instant) {
        self.renewed = Some(now);
    }

    /// The owner answered.
    pub fn on_owner_response(&mut self, now: Instant) {
        self.silent = None;
        self.answered = Some(now);
    }

    /// There is another owner, or none: what was heard of the one before does not count.
    pub fn on_owner_change(&mut self) {
        self.silent = None;
        self.answered = None;
    }

    /// Whether the owner has answered of late, whatever became of its renewals.
    pub fn has_owner_answered(&self, now: Instant) -> bool {
        self.answered
            .is_some_and(|at| now < at + MAX_OWNER_RESPONSE_AGE)
    }

    /// The owner did not answer a question that it answers at once.
    pub fn on_owner_timeout(&mut self, now: Instant) {
        self.silent.get_or_insert(now);
    }

    /// Whether the owner has not answered, asked twice, while something else outside of the data centre did.
    pub fn is_owner_silent(&self, now: Instant) -> bool {
        let unanswered = self
            .silent
            .is_some_and(|since| now >= since + OWNER_SILENCE_TIMEOUT);
        unanswered && now < self.outside + CUT_OFF_TIMEOUT
    }

    /// When the entry is to ask what it reaches, unless something is heard before.
    pub fn probe_at(&self) -> Instant {
        self.outside + PROBE_DELAY
    }

    /// Whether the entry cannot serve callers that entries elsewhere can serve: it hears nothing from
    /// outside, or does not reach an owner that others hear.
    pub fn is_cut_off(&self, now: Instant) -> bool {
        let isolated = self.peer.is_some() && now >= self.outside + CUT_OFF_TIMEOUT;
        let bypassed = self
            .silent
            .is_some_and(|since| self.is_bypassed(since, now));
        isolated || bypassed
    }

    /// Whether the owner has not answered this entry since `since`, though it renews its lease all the while.
    fn is_bypassed(&self, since: Instant, now: Instant) -> bool {
        let renews = |at: Instant| at >= since + MIN_RENEWAL_DELAY && now < at + LEASE_TIMEOUT;
        now >= since + CUT_OFF_TIMEOUT && self.renewed.is_some_and(renews)
    }
}
