//! How sure an entry may be that its configuration is the newest one.
//!
//! An entry follows the operators' topic and hears of each change within some ms. Where it has heard nothing for a while,
//! as after a freeze or while the platform turns it away, or where a call shows what its configuration does not know, it
//! looks once more before it answers: [`Freshness::next`] says when. Looks are shared by all calls that wait and have a
//! least distance, so that 1,000 calls a second with guessed keys cause ten of them.

use clock::Instant;
use std::time::Duration;

/// How old knowledge may be before a call is let wait for a look. The topic is read for 0.8 s at a time, so that an
/// entry in touch never is older than 0.8 s and two answers, 0.24 s each where the store is 60 times slower than usual; a
/// change must be in force within 2 s where it must be soonest.
const AGE: Duration = Duration::from_millis(1_500);

/// The least time between two looks.
const LOOK_GAP: Duration = Duration::from_millis(100);

/// The least time until the next look after one that had no answer: nobody gains from more.
const RETRY_GAP: Duration = Duration::from_millis(500);

/// What an entry has to do before it takes a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Nothing: what it knows is new enough, or no look could tell more for now.
    Go,
    /// It looks, and asks again then.
    Look,
    /// A look is under way: it waits for its end.
    Join,
    /// The next look is due at this moment: it waits until then.
    Wait(Instant),
    /// It refuses: it cannot make sure for longer than it may.
    Refuse,
}

/// When an entry knew what, and when it last looked.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    /// Until when its configuration was the newest for certain.
    confirmed: Instant,
    /// When the newest question was sent that has been answered.
    asked: Option<Instant>,
    /// When the last look was sent.
    looked: Option<Instant>,
    /// Whether that look is under way.
    looking: bool,
    /// Whether the last look that ended had no answer.
    failed: bool,
    /// For how long it may go on without being sure; none if for ever.
    patience: Option<Duration>,
}

impl Freshness {
    /// An entry that begins now and may go on for so long without being sure; for ever without a limit.
    pub fn new(now: Instant, patience: Option<Duration>) -> Self {
        Freshness {
            confirmed: now,
            asked: None,
            looked: None,
            looking: false,
            failed: false,
            patience,
        }
    }

    /// A question that was sent at `asked` has been answered, by what was the newest until `confirmed`.
    pub fn confirm(&mut self, asked: Instant, confirmed: Instant) {
        self.asked = self.asked.max(Some(asked));
        self.confirmed = self.confirmed.max(confirmed);
        self.failed = false;
    }

    /// A look is sent.
    pub fn begin_look(&mut self, now: Instant) {
        self.looked = Some(now);
        self.looking = true;
    }

    /// The look has ended.
    pub fn end_look(&mut self, answered: bool) {
        self.looking = false;
        self.failed = !answered;
    }

    /// How long ago its configuration was the newest for certain.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.confirmed)
    }

    /// What to do before a call is taken.
    pub fn next(&self, now: Instant) -> Next {
        if self.age(now) <= AGE {
            return Next::Go;
        }
        match self.look_due(now) {
            Next::Wait(_) if self.failed => self.unsure(now),
            next => next,
        }
    }

    /// What to do before a call that came at `came` is refused for what this configuration does not know.
    pub fn next_unknown(&self, came: Instant, now: Instant) -> Next {
        if self.asked.is_some_and(|asked| asked >= came) {
            return Next::Go;
        }
        match self.look_due(now) {
            // Nobody answers: what is known has to do.
            Next::Wait(_) if self.failed => Next::Go,
            next => next,
        }
    }

    /// When no look can be had: it goes on, or refuses where it may not.
    pub fn unsure(&self, now: Instant) -> Next {
        match self.patience {
            Some(patience) if self.age(now) > patience => Next::Refuse,
            _ => Next::Go,
        }
    }

    /// When the next look is due.
    fn look_due(&self, now: Instant) -> Next {
        let Some(looked) = self.looked else {
            return Next::Look;
        };
        let gap = if self.failed { RETRY_GAP } else { LOOK_GAP };
        let due = looked + gap;
        if self.looking {
            Next::Join
        } else if due > now {
            Next::Wait(due)
        } else {
            Next::Look
        }
    }
}
