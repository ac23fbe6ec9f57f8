//! Whether an entry can serve callers, judged by whether it reaches the platform's store, entries of other
//! data centres, and the owner of the cell.
//!
//! An entry that is cut off together with its data centre cannot accept jobs: the owner is either on the
//! other side, or on this side and unable to record anything. The entry reports this, so that callers are
//! sent elsewhere. If the store is unavailable for everybody, the entries still reach each other and none
//! of them counts as cut off.

use crate::LEASE_TIMEOUT;
use clock::Instant;
use std::time::Duration;

/// The time without a response from outside the data centre after which an entry probes what it reaches.
/// The owner's renewals arrive every 0.4 s and may each be late by a quarter of that.
pub const PROBE_DELAY: Duration = Duration::from_millis(500);

/// The time without a response after which an entry counts as cut off: one round of probes, 0.15 s, after
/// [`PROBE_DELAY`].
pub const CUT_OFF_TIMEOUT: Duration = Duration::from_millis(700);

/// The minimum time between the owner's first missing response and a renewal that proves the owner alive.
/// An earlier renewal may have been in flight already and only been read late.
pub const MIN_RENEWAL_DELAY: Duration = Duration::from_millis(300);

/// The time after its first missing response at which an owner counts as silent. It has been asked a second
/// time by then.
pub const OWNER_SILENCE_TIMEOUT: Duration = Duration::from_millis(150);

/// The time for which a response of the owner counts. While its renewals are missing, the owner is asked
/// every 0.5 s.
pub const MAX_OWNER_RESPONSE_AGE: Duration = Duration::from_millis(1_200);

/// The parts of the system that an entry reaches, by the time of their last response.
#[derive(Clone, Copy, Debug)]
pub struct Reach {
    /// The time of the last response of the store or of an entry in another data centre.
    outside: Instant,
    /// The time of the last response of an entry in another data centre, or `None` if no such entry is
    /// known.
    peer: Option<Instant>,
    /// The time since which the owner has not responded, or `None` if it responds.
    silent: Option<Instant>,
    /// The time at which the owner last responded to a request that it answers immediately.
    answered: Option<Instant>,
    /// The time at which a renewal of the owner was last read.
    renewed: Option<Instant>,
}

impl Reach {
    /// Creates the state of an entry that has received no response yet.
    pub fn new(now: Instant) -> Self {
        Reach {
            outside: now,
            peer: None,
            silent: None,
            answered: None,
            renewed: None,
        }
    }

    /// Records a response of the store.
    pub fn on_store_response(&mut self, now: Instant) {
        self.outside = self.outside.max(now);
    }

    /// Returns how long neither the store nor an entry in another data centre has responded.
    pub fn outside_silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.outside)
    }

    /// Records a response of an entry in another data centre.
    pub fn on_peer_response(&mut self, now: Instant) {
        self.outside = now;
        self.peer = Some(now);
    }

    /// Returns whether an entry in another data centre has responded since `since`.
    pub fn has_peer_answered(&self, since: Instant) -> bool {
        self.peer.is_some_and(|at| at >= since)
    }

    /// Records that a renewal of the owner was read.
    pub fn on_renewal(&mut self, now: Instant) {
        self.renewed = Some(now);
    }

    /// Records a response of the owner.
    pub fn on_owner_response(&mut self, now: Instant) {
        self.silent = None;
        self.answered = Some(now);
    }

    /// Forgets the responses of the earlier owner, since there is another owner or none.
    pub fn on_owner_change(&mut self) {
        self.silent = None;
        self.answered = None;
    }

    /// Returns whether the owner has responded recently, whether or not its renewals arrive.
    pub fn has_owner_answered(&self, now: Instant) -> bool {
        self.answered
            .is_some_and(|at| now < at + MAX_OWNER_RESPONSE_AGE)
    }

    /// Records that the owner did not respond to a request that it answers immediately.
    pub fn on_owner_timeout(&mut self, now: Instant) {
        self.silent.get_or_insert(now);
    }

    /// Returns whether the owner did not respond to two requests while something else outside the data
    /// centre did.
    pub fn is_owner_silent(&self, now: Instant) -> bool {
        let unanswered = self
            .silent
            .is_some_and(|since| now >= since + OWNER_SILENCE_TIMEOUT);
        unanswered && now < self.outside + CUT_OFF_TIMEOUT
    }

    /// Returns when the entry has to probe what it reaches, unless there is a response before.
    pub fn probe_at(&self) -> Instant {
        self.outside + PROBE_DELAY
    }

    /// Returns whether the entry cannot serve callers that other entries can serve: either nothing outside
    /// its data centre responds, or it does not reach an owner that others reach.
    pub fn is_cut_off(&self, now: Instant) -> bool {
        let isolated = self.peer.is_some() && now >= self.outside + CUT_OFF_TIMEOUT;
        let bypassed = self
            .silent
            .is_some_and(|since| self.is_bypassed(since, now));
        isolated || bypassed
    }

    /// Returns whether the owner has not responded to this entry since `since` although it keeps renewing
    /// its lease.
    fn is_bypassed(&self, since: Instant, now: Instant) -> bool {
        let renews = |at: Instant| at >= since + MIN_RENEWAL_DELAY && now < at + LEASE_TIMEOUT;
        now >= since + CUT_OFF_TIMEOUT && self.renewed.is_some_and(renews)
    }
}
