//! How sure an entry may be that its configuration is the newest one.
//!
//! An entry follows the operators' topic and hears of each change within some ms. Where it has heard nothing for a while,
//! as after a freeze or while the platform turns it away, or where a call shows what its configuration does not know, it
//! looks once more before it answers: [`Freshness::next_action`] says when. Looks are shared by all calls that wait and have a
//! least distance, so that 1,000 calls a second with guessed keys cause ten of them.

use clock::Instant;
use std::time::Duration;

/// How old knowledge may be before a call is let wait for a look. The topic is read for 0.8 s at a time, so that an
/// entry in touch never is older than 0.8 s and two answers, 0.24 s each where the store is 60 times slower than usual; a
/// change must be in force within 2 s where it must be soonest.
const POLL_AGE: Duration = Duration::from_millis(1_500);

/// The least time between two looks.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The least time until the next look after one that had no answer: nobody gains from more.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// What an entry has to do before it takes a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FreshnessAction {
    /// Nothing: what it knows is new enough, or no look could tell more for now.
    Proceed,
    /// It looks, and asks again then.
    Poll,
    /// A look is under way: it waits for its end.
    JoinPoll,
    /// The next look is due at this moment: it waits until then.
    WaitUntil(Instant),
    /// It refuses: it cannot make sure for longer than it may.
    Refuse,
}

/// When an entry knew what, and when it last looked.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    /// Until when its configuration was the newest for certain.
    confirmed: Instant,
    /// When the newest question was sent that has been answered.
    requested: Option<Instant>,
    /// When the last look was sent.
    last_poll: Option<Instant>,
    /// Whether that look is under way.
    polling: bool,
    /// Whether the last look that ended had no answer.
    failed: bool,
    /// For how long it may go on without being sure; none if for ever.
    max_age: Option<Duration>,
}

impl Freshness {
    /// An entry that begins now and may go on for so long without being sure; for ever without a limit.
    pub fn new(now: Instant, max_age: Option<Duration>) -> Self {
        Freshness {
            confirmed: now,
            requested: None,
            last_poll: None,
            polling: false,
            failed: false,
            max_age,
        }
    }

    /// A question that was sent at `asked` has been answered, by what was the newest until `confirmed`.
    pub fn confirm(&mut self, requested: Instant, confirmed: Instant) {
        self.requested = self.requested.max(Some(requested));
        self.confirmed = self.confirmed.max(confirmed);
        self.failed = false;
    }

    /// A look is sent.
    pub fn begin_poll(&mut self, now: Instant) {
        self.last_poll = Some(now);
        self.polling = true;
    }

    /// The look has ended.
    pub fn end_poll(&mut self, answered: bool) {
        self.polling = false;
        self.failed = !answered;
    }

    /// How long ago its configuration was the newest for certain.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.confirmed)
    }

    /// What to do before a call is taken.
    pub fn next_action(&self, now: Instant) -> FreshnessAction {
        if self.age(now) <= POLL_AGE {
            return FreshnessAction::Proceed;
        }
        match self.poll_due(now) {
            FreshnessAction::WaitUntil(_) if self.failed => self.action_without_poll(now),
            next => next,
        }
    }

    /// What to do before a call that came at `came` is refused for what this configuration does not know.
    pub fn next_action_for_unknown(&self, received: Instant, now: Instant) -> FreshnessAction {
        if self
            .requested
            .is_some_and(|requested| requested >= received)
        {
            return FreshnessAction::Proceed;
        }
        match self.poll_due(now) {
            // Nobody answers: what is known has to do.
            FreshnessAction::WaitUntil(_) if self.failed => FreshnessAction::Proceed,
            next => next,
        }
    }

    /// When no look can be had: it goes on, or refuses where it may not.
    pub fn action_without_poll(&self, now: Instant) -> FreshnessAction {
        match self.max_age {
            Some(max_age) if self.age(now) > max_age => FreshnessAction::Refuse,
            _ => FreshnessAction::Proceed,
        }
    }

    /// When the next look is due.
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
