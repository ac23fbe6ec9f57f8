//! Decides how long an entry may rely on its configuration without confirming that it is the newest one.
//!
//! An entry follows the operators' topic and receives each change within some ms. It polls the platform
//! before it responds to a call in two cases: if it has received nothing for a while, for instance after a
//! freeze or while it is isolated from the platform, or if the call refers to something that its
//! configuration does not contain. [`Freshness::next_action`] and [`Freshness::next_action_for_unknown`] say
//! when. All waiting calls share a poll, and polls have a minimum interval, so that 1,000 calls per second
//! with guessed keys cause ten polls per second.
//!
//! A rejection says something about the newest configuration: there is no such queue, or no such key. An entry
//! that cannot confirm its configuration does not know this and refuses the call instead, so that the caller
//! tries again.

use clock::Instant;
use std::time::Duration;

/// The age of a configuration above which a call waits for a poll. The topic is read for 0.8 s at a time,
/// so that a connected entry is never older than 0.8 s and two responses, which take 0.24 s each if the
/// store is 60 times slower than usual. In the strictest setting, a change must be in force within 2 s.
const POLL_AGE: Duration = Duration::from_millis(1_500);

/// The minimum time between two polls.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The minimum time between a failed poll and the next one: more frequent polls would not help.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// The age of a configuration that was never confirmed: longer than any limit.
pub const UNKNOWN_AGE: Duration = Duration::from_secs(3_600);

/// The action required before an entry handles a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FreshnessAction {
    /// Handle the call: the configuration is recent enough, or no poll could confirm it for now.
    Proceed,
    /// Poll the platform, then decide again.
    Poll,
    /// Wait for the end of the poll in progress.
    JoinPoll,
    /// Wait until this time, when the next poll is due.
    WaitUntil(Instant),
    /// Refuse the call for now: the configuration has not been confirmed for longer than allowed.
    Refuse,
}

/// The age of an entry's configuration and the state of its polls.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    /// The last time at which the configuration was known to be the newest, or `None` if it never was.
    confirmed: Option<Instant>,
    /// The sending time of the newest request that has been answered.
    requested: Option<Instant>,
    /// The sending time of the last poll.
    last_poll: Option<Instant>,
    /// Whether that poll is in progress.
    polling: bool,
    /// Whether the last completed poll failed.
    failed: bool,
    /// The maximum age at which calls are still handled, or `None` for no limit.
    max_age: Option<Duration>,
}

impl Freshness {
    /// Creates the state of an entry that has confirmed nothing yet. Calls are handled up to the age
    /// `max_age`, or without limit if it is `None`.
    pub fn new(max_age: Option<Duration>) -> Self {
        Freshness {
            confirmed: None,
            requested: None,
            last_poll: None,
            polling: false,
            failed: false,
            max_age,
        }
    }

    /// Records the response to a request that was sent at `requested`. It contained the newest
    /// configuration as of `confirmed`.
    pub fn confirm(&mut self, requested: Instant, confirmed: Instant) {
        self.requested = self.requested.max(Some(requested));
        self.confirmed = self.confirmed.max(Some(confirmed));
        self.failed = false;
    }

    /// Records that a poll is sent.
    pub fn begin_poll(&mut self, now: Instant) {
        self.last_poll = Some(now);
        self.polling = true;
    }

    /// Records that the poll has ended, with or without a response.
    pub fn end_poll(&mut self, answered: bool) {
        self.polling = false;
        self.failed = !answered;
    }

    /// Returns the time since the configuration was known to be the newest, or an hour if it never was.
    pub fn age(&self, now: Instant) -> Duration {
        self.confirmed.map_or(UNKNOWN_AGE, |confirmed| {
            now.saturating_duration_since(confirmed)
        })
    }

    /// Returns whether a call that was received at `received` may be rejected because of what the configuration
    /// contains: it was confirmed recently enough to contain every change that must be in force by then.
    pub fn may_reject(&self, received: Instant) -> bool {
        self.confirmed
            .is_some_and(|confirmed| confirmed + POLL_AGE >= received)
    }

    /// Returns whether a request that was sent at `time` or later has been answered.
    pub fn was_answered_since(&self, time: Instant) -> bool {
        self.requested.is_some_and(|requested| requested >= time)
    }

    /// Returns the action required before a call is handled.
    pub fn next_action(&self, now: Instant) -> FreshnessAction {
        if self.age(now) <= POLL_AGE {
            return FreshnessAction::Proceed;
        }
        match self.poll_due(now) {
            FreshnessAction::WaitUntil(_) if self.failed => self.action_without_poll(now),
            next => next,
        }
    }

    /// Returns the action required before a call that was received at `received` is rejected because the
    /// configuration lacks something that it refers to.
    pub fn next_action_for_unknown(&self, received: Instant, now: Instant) -> FreshnessAction {
        if self.was_answered_since(received) && self.may_reject(received) {
            return FreshnessAction::Proceed;
        }
        match self.poll_due(now) {
            FreshnessAction::WaitUntil(_) if self.failed => {
                self.action_for_unknown_without_poll(received)
            }
            next => next,
        }
    }

    /// Returns the action for such a call if no poll is possible.
    pub fn action_for_unknown_without_poll(&self, received: Instant) -> FreshnessAction {
        match self.may_reject(received) {
            true => FreshnessAction::Proceed,
            false => FreshnessAction::Refuse,
        }
    }

    /// Returns the action if no poll is possible: proceed, or refuse if the maximum age is exceeded.
    pub fn action_without_poll(&self, now: Instant) -> FreshnessAction {
        match self.max_age {
            Some(max_age) if self.age(now) > max_age => FreshnessAction::Refuse,
            _ => FreshnessAction::Proceed,
        }
    }

    /// Returns whether a poll is due, in progress, or when the next one is due.
    fn poll_due(&self, now: Instant) -> FreshnessAction {
        let Some(last_poll) = self.last_poll else {
            return FreshnessAction::Poll;
        };
        let interval = if self.failed {
            RETRY_INTERVAL
        } else {
            MIN_POLL_INTERVAL
        };
        let due = last_poll + interval;
        if self.polling {
            FreshnessAction::JoinPoll
        } else if due > now {
            FreshnessAction::WaitUntil(due)
        } else {
            FreshnessAction::Poll
        }
    }
}
